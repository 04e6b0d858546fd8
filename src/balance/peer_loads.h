/// What other instances have at the upstreams, from their digests.
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
  UpstreamId m_Upstream;            ///< Where.
  Urgency m_Urgency = 0;            ///< Below UrgencyCount.
  std::uint32_t m_Running = 0;      ///< Calls that have not ended.
  std::uint32_t m_UnreadTokens = 0; ///< Of prompts without a first event.
  std::uint32_t m_HeldTokens = 0;   ///< Memory needed beside kept parts.
  std::uint32_t m_Tight = 0;        ///< Of m_Running; see isTight().
};

/// What one call adds to an upstream's load.
struct CallTokens {
  std::uint64_t m_Unread = 0; ///< To be read before the first event.
  std::uint64_t m_Held = 0;   ///< In memory until the end.
  bool m_Tight = false;       ///< See isTight().
};

/// Calls at one upstream, by urgency.
class CallLoad {
public:
  void begin(Urgency Level, const CallTokens &Tokens);
  void read(Urgency Level, std::uint64_t PrefillTokens);
  void end(Urgency Level, const CallTokens &Tokens);

  /// Adds what an instance said, or takes it away.
  void add(const UpstreamLoad &Reported);
  void remove(const UpstreamLoad &Reported);

  [[nodiscard]] std::uint32_t running() const { return m_All.m_Running; }

  /// Returns how many calls would be late by the pauses that a long prompt
  /// makes.
  [[nodiscard]] std::uint32_t tight() const { return m_All.m_Tight; }

  /// Returns the memory that all calls need.
  [[nodiscard]] std::uint64_t held() const { return m_All.m_Held; }

  /// Returns the tokens that are read before those of a call of urgency
  /// \p How that comes now.
  [[nodiscard]] std::uint64_t unreadBefore(Urgency Level) const;

  /// Returns the tokens that are read after those of such a call.
  [[nodiscard]] std::uint64_t unreadAfter(Urgency Level) const {
    return m_All.m_Unread - unreadBefore(Level);
  }

  /// Returns how many calls are more urgent than \p How.
  [[nodiscard]] std::uint32_t moreUrgent(Urgency Level) const;

  /// Returns how many calls are less urgent than \p How.
  [[nodiscard]] std::uint32_t lessUrgent(Urgency Level) const {
    return running() - moreUrgent(Level) - m_Parts.at(Level).m_Running;
  }

  /// Appends what there is to tell of \p Upstream.
  void tell(UpstreamId Upstream, std::vector<UpstreamLoad> &Out) const;

private:
  struct Part {
    std::uint32_t m_Running = 0; ///< Calls that have not ended.
    std::uint64_t m_Unread = 0;  ///< Tokens of prompts without a first event.
    std::uint64_t m_Held = 0;    ///< Tokens in memory until the end.
    std::uint32_t m_Tight = 0;   ///< Of m_Running; see isTight().

    void begin(const CallTokens &Tokens);
    void read(std::uint64_t PrefillTokens);
    void end(const CallTokens &Tokens);
    void add(const UpstreamLoad &Reported);
    void remove(const UpstreamLoad &Reported);
  };

  template <typename Function> void change(Urgency Level, Function Change);

  std::array<Part, UrgencyCount> m_Parts{}; ///< By urgency.
  Part m_All; ///< Their sum: each placement asks for it at all engines.
};

/// A part of a prompt that went to an engine.
struct PartPlaced {
  UpstreamId m_Upstream; ///< The engine.
  PromptPart m_Part;     ///< The part.
};

/// What one instance tells the others several times a second.
struct LoadDigest {
  std::vector<UpstreamLoad> m_Loads; ///< All upstreams where it has calls.
  std::vector<PartPlaced> m_Parts;   ///< Since its last digest.
  std::unordered_map<PoolId, WorkTokens> m_Work; ///< Since its last digest.
  std::vector<CrashNews> m_Crashes;              ///< Since its last digest.
  std::vector<LimitNews> m_Limits;               ///< Since its last digest.

  /// Returns whether there is nothing to tell.
  [[nodiscard]] bool empty() const {
    return m_Loads.empty() && m_Parts.empty() && m_Crashes.empty() &&
           m_Limits.empty();
  }
};

/// Sums of the loads of all instances that were heard of lately.
class PeerLoads {
public:
  /// A digest older than this counts no more: its sender is gone, frozen or cut
  /// off, and its calls end without word. Five digests may be lost before.
  static constexpr Duration DigestLife = std::chrono::milliseconds(1000);

  /// Replaces what \p Peer said before.
  void take(InstanceId Peer, const std::vector<UpstreamLoad> &Loads,
            TimePoint Now);

  /// Forgets an instance.
  void drop(InstanceId Peer);

  /// Forgets the instances whose digests are too old.
  void expire(TimePoint Now);

  /// Returns the sum of the peers' loads at \p Upstream.
  [[nodiscard]] const CallLoad &at(UpstreamId Upstream) const;

  /// Appends the sums at all upstreams.
  void tell(std::vector<UpstreamLoad> &Out) const;

  /// Forgets all instances.
  void clear();

  /// Returns how many instances count.
  [[nodiscard]] std::size_t size() const { return m_Peers.size(); }

private:
  /// What one instance said last.
  struct Said {
    std::vector<UpstreamLoad> m_Loads; ///< See LoadDigest.
    TimePoint m_At;                    ///< When it arrived.
  };

  std::unordered_map<InstanceId, Said> m_Peers;   ///< By instance.
  std::unordered_map<UpstreamId, CallLoad> m_Sum; ///< Of all of them.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_PEER_LOADS_H
