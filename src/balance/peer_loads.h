/// Load that other instances put on the upstreams, from their digests.
#ifndef CROWSTEP_BALANCE_PEER_LOADS_H
#define CROWSTEP_BALANCE_PEER_LOADS_H

#include "balance/balance_type.h"
#include "balance/quarantine.h"
#include "balance/rate_limits.h"
#include "balance/role_split.h"
#include "core/clock.h"
#include "upstream_type.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace crowstep::balance {

/// One instance's own calls of one urgency at an upstream.
struct UpstreamLoad {
  UpstreamId m_Upstream;            ///< Upstream with the calls.
  Urgency m_Urgency = 0;            ///< Below UrgencyCount.
  std::uint32_t m_Running = 0;      ///< Calls that have not ended.
  std::uint32_t m_UnreadTokens = 0; ///< Of prompts without a first event.
  std::uint32_t m_HeldTokens = 0;   ///< Memory beside cached segments.
  std::uint32_t m_Tight = 0; ///< Among m_Running, see isLatencySensitive().
};

/// Load that one call adds to an upstream.
struct CallTokens {
  std::uint64_t m_Unread = 0; ///< Prefill until the first event.
  std::uint64_t m_Held = 0;   ///< Engine memory until the end.
  bool m_Tight = false;       ///< See isLatencySensitive().
};

/// Calls at one upstream, by urgency.
class CallLoad {
public:
  void begin(Urgency Level, const CallTokens &Tokens);
  void read(Urgency Level, std::uint64_t PrefillTokens);
  void end(Urgency Level, const CallTokens &Tokens);

  /// Adds or subtracts the load that an instance reported.
  void add(const UpstreamLoad &Reported);
  void remove(const UpstreamLoad &Reported);

  [[nodiscard]] std::uint32_t running() const { return m_All.m_Running; }

  /// Returns the number of latency-sensitive calls.
  [[nodiscard]] std::uint32_t tight() const { return m_All.m_Tight; }

  /// Returns the engine memory that all calls need, in tokens.
  [[nodiscard]] std::uint64_t held() const { return m_All.m_Held; }

  /// Returns the prompt tokens that are prefilled before those of a new call of
  /// urgency \p Level.
  [[nodiscard]] std::uint64_t unreadBefore(Urgency Level) const;

  /// Returns the prompt tokens that are prefilled after those of such a call.
  [[nodiscard]] std::uint64_t unreadAfter(Urgency Level) const {
    return m_All.m_Unread - unreadBefore(Level);
  }

  /// Returns how many calls are more urgent than \p Level.
  [[nodiscard]] std::uint32_t moreUrgent(Urgency Level) const;

  /// Returns how many calls are less urgent than \p Level.
  [[nodiscard]] std::uint32_t lessUrgent(Urgency Level) const {
    return running() - moreUrgent(Level) - m_Parts.at(Level).m_Running;
  }

  /// Appends one entry for each urgency that has calls at \p Upstream.
  void tell(UpstreamId Upstream, std::vector<UpstreamLoad> &Out) const;

private:
  struct Part {
    std::uint32_t m_Running = 0; ///< Calls that have not ended.
    std::uint64_t m_Unread = 0;  ///< Of prompts without a first event.
    std::uint64_t m_Held = 0;    ///< Engine memory until the end.
    std::uint32_t m_Tight = 0;   ///< Among m_Running.

    void begin(const CallTokens &Tokens);
    void read(std::uint64_t PrefillTokens);
    void end(const CallTokens &Tokens);
    void add(const UpstreamLoad &Reported);
    void remove(const UpstreamLoad &Reported);
  };

  template <typename Function> void change(Urgency Level, Function Change);

  std::array<Part, UrgencyCount> m_Parts{}; ///< By urgency.
  Part m_All; ///< Sum; each placement reads it for all engines.
};

/// A segment of a prompt that was sent to an engine.
struct PartPlaced {
  UpstreamId m_Upstream; ///< The engine.
  PromptPart m_Part;     ///< The segment.
};

/// What one instance sends to the others several times a second.
struct LoadDigest {
  std::vector<UpstreamLoad> m_Loads; ///< All upstreams where it has calls.
  std::vector<PartPlaced> m_Parts;   ///< Since its last digest.
  std::unordered_map<PoolId, WorkTokens> m_Work; ///< Since its last digest.
  std::vector<CrashNews> m_Crashes;              ///< Since its last digest.
  std::vector<LimitNews> m_Limits;               ///< Since its last digest.

  /// Returns whether there is nothing to send.
  [[nodiscard]] bool empty() const {
    return m_Loads.empty() && m_Parts.empty() && m_Crashes.empty() &&
           m_Limits.empty();
  }
};

/// Sums of the loads of all instances whose digests have not expired.
class PeerLoads {
public:
  /// A digest older than this has expired: its sender has died, is frozen or is
  /// cut off, and no digest will report the end of its calls. Five digests may
  /// be lost before.
  static constexpr Duration DigestLife = std::chrono::milliseconds(1000);

  /// Replaces the loads of the last digest of \p Peer.
  void take(InstanceId Peer, const std::vector<UpstreamLoad> &Loads,
            TimePoint Now);

  /// Forgets an instance.
  void drop(InstanceId Peer);

  /// Forgets the instances whose digests are older than DigestLifetime.
  void expire(TimePoint Now);

  /// Returns the sum of the peers' loads at \p Upstream.
  [[nodiscard]] const CallLoad &at(UpstreamId Upstream) const;

  /// Appends the sums at all upstreams.
  void tell(std::vector<UpstreamLoad> &Out) const;

  void clear();

  /// Returns the number of instances whose digests are in use.
  [[nodiscard]] std::size_t size() const { return m_Peers.size(); }

private:
  /// The loads of the last digest of an instance.
  struct Said {
    std::vector<UpstreamLoad> m_Loads; ///< See LoadDigest.
    TimePoint m_At;                    ///< Time of receipt.
  };

  std::unordered_map<InstanceId, Said> m_Peers;   ///< By instance.
  std::unordered_map<UpstreamId, CallLoad> m_Sum; ///< Over all instances.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_PEER_LOADS_H
