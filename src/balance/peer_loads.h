/// Load that other instances put on the upstreams, from their digests.
#ifndef CROWSTEP_BALANCE_PEER_LOADS_H
#define CROWSTEP_BALANCE_PEER_LOADS_H

#include "balance/balance_type.h"
#include "balance/brittle_upstreams.h"
#include "balance/rate_limits.h"
#include "balance/role_split.h"
#include "core/clock.h"
#include "quarantine/quarantine.h"
#include "speed/speed_type.h"
#include "upstream_type.h"
#include "waiting/waiting_type.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace crowstep::balance {

/// One instance's own calls of one urgency at an upstream.
struct UpstreamLoad {
  UpstreamId m_Upstream;             ///< Upstream with the calls.
  Urgency m_Urgency = 0;             ///< Below UrgencyCount.
  std::uint32_t m_Running = 0;       ///< Calls that have not ended.
  std::uint32_t m_PrefillTokens = 0; ///< Of prompts without a first event.
  std::uint32_t m_HeldTokens = 0;    ///< Memory beside cached segments.
  std::uint32_t m_LatencySensitive =
      0; ///< Among m_Running, see isLatencySensitive().
};

/// Load that one call adds to an upstream.
struct CallDemand {
  std::uint64_t m_PrefillTokens = 0; ///< Prefill until the first event.
  std::uint64_t m_HeldTokens = 0;    ///< Engine memory until the end.
  bool m_LatencySensitive = false;   ///< See isLatencySensitive().
};

/// Calls at one upstream, by urgency.
class CallLoad {
public:
  void addCall(Urgency Level, const CallDemand &Tokens);
  void finishPrefill(Urgency Level, std::uint64_t PrefillTokens);
  void removeCall(Urgency Level, const CallDemand &Tokens);

  /// Adds or subtracts the load that an instance reported.
  void add(const UpstreamLoad &Reported);
  void remove(const UpstreamLoad &Reported);

  [[nodiscard]] std::uint32_t runningCalls() const { return m_Total.m_Running; }

  /// Returns the number of latency-sensitive calls.
  [[nodiscard]] std::uint32_t latencySensitiveCalls() const {
    return m_Total.m_LatencySensitive;
  }

  /// Returns the engine memory that all calls need, in tokens.
  [[nodiscard]] std::uint64_t heldTokens() const {
    return m_Total.m_HeldTokens;
  }

  /// Returns the prompt tokens that are prefilled before those of a new call of
  /// urgency \p Level.
  [[nodiscard]] std::uint64_t prefillBefore(Urgency Level) const;

  /// Returns the prompt tokens that are prefilled after those of such a call.
  [[nodiscard]] std::uint64_t prefillAfter(Urgency Level) const {
    return m_Total.m_PrefillTokens - prefillBefore(Level);
  }

  /// Returns how many calls are more urgent than \p Level.
  [[nodiscard]] std::uint32_t moreUrgentCalls(Urgency Level) const;

  /// Returns how many calls are less urgent than \p Level.
  [[nodiscard]] std::uint32_t lessUrgentCalls(Urgency Level) const {
    return runningCalls() - moreUrgentCalls(Level) -
           m_ByUrgency.at(Level).m_Running;
  }

  /// Appends one entry for each urgency that has calls at \p Upstream.
  void appendLoads(UpstreamId Upstream, std::vector<UpstreamLoad> &Out) const;

private:
  struct Counters {
    std::uint32_t m_Running = 0;          ///< Calls that have not ended.
    std::uint64_t m_PrefillTokens = 0;    ///< Of prompts without a first event.
    std::uint64_t m_HeldTokens = 0;       ///< Engine memory until the end.
    std::uint32_t m_LatencySensitive = 0; ///< Among m_Running.

    void addCall(const CallDemand &Tokens);
    void finishPrefill(std::uint64_t PrefillTokens);
    void removeCall(const CallDemand &Tokens);
    void add(const UpstreamLoad &Reported);
    void remove(const UpstreamLoad &Reported);
  };

  template <typename Function>
  void updateCounters(Urgency Level, Function Change);

  std::array<Counters, UrgencyCount> m_ByUrgency{}; ///< By urgency.
  Counters m_Total; ///< Sum; each placement reads it for all engines.
};

/// A segment of a prompt that was sent to an engine.
struct SegmentPlacement {
  UpstreamId m_Upstream;   ///< The engine.
  PrefixSegment m_Segment; ///< The segment.
};

/// What one instance sends to the others several times a second.
struct LoadDigest {
  std::vector<UpstreamLoad> m_Loads; ///< All upstreams where it has calls.
  std::vector<SegmentPlacement> m_Segments;       ///< Since its last digest.
  std::unordered_map<PoolId, WorkTokens> m_Work;  ///< Since its last digest.
  std::vector<quarantine::CrashUpdate> m_Crashes; ///< Since its last digest.
  std::vector<LimitUpdate> m_Limits;              ///< Since its last digest.
  std::vector<UpstreamId> m_Leaving;              ///< Since its last digest.
  std::vector<BrittleUpdate> m_Brittle;           ///< Since its last digest.
  std::vector<speed::SpeedUpdate> m_Speeds;       ///< Since its last digest.

  /// All services that its calls wait for, or were placed at.
  std::vector<waiting::WaitingCalls> m_Waiting;

  /// Returns whether there is nothing to send.
  [[nodiscard]] bool empty() const {
    return m_Loads.empty() && m_Segments.empty() && m_Work.empty() &&
           m_Crashes.empty() && m_Limits.empty() && m_Leaving.empty() &&
           m_Brittle.empty() && m_Speeds.empty() && m_Waiting.empty();
  }
};

/// How well an instance knows the loads of the others.
struct DigestBasis {
  std::size_t m_PeerCount = 0;         ///< Instances whose digests count.
  std::optional<Duration> m_OldestAge; ///< Of these digests; none: there are
                                       ///< none.
};

/// Sums of the loads of all instances whose digests have not expired.
class PeerLoads {
public:
  /// A digest older than this has expired: its sender has died, is frozen or is
  /// cut off, and no digest will report the end of its calls. Five digests may
  /// be lost before.
  static constexpr Duration DigestLifetime = std::chrono::milliseconds(1000);

  /// Replaces the loads of the last digest of \p Peer.
  void setPeerLoads(InstanceId Peer, const std::vector<UpstreamLoad> &Loads,
                    TimePoint Now);

  /// Forgets an instance.
  void drop(InstanceId Peer);

  /// Forgets the instances whose digests are older than DigestLifetime.
  void expire(TimePoint Now);

  /// Returns whether expire() would forget any.
  [[nodiscard]] bool hasExpired(TimePoint Now) const;

  /// Returns on which digests the sums are based once expire() was called.
  [[nodiscard]] DigestBasis basis(TimePoint Now) const;

  /// Returns the sum of the peers' loads at \p Upstream.
  [[nodiscard]] const CallLoad &at(UpstreamId Upstream) const;

  /// Appends the sums at all upstreams.
  void appendLoads(std::vector<UpstreamLoad> &Out) const;

  void clear();

  /// Returns the number of instances whose digests are in use.
  [[nodiscard]] std::size_t size() const { return m_Peers.size(); }

private:
  /// The loads of the last digest of an instance.
  struct PeerReport {
    std::vector<UpstreamLoad> m_Loads; ///< See LoadDigest.
    TimePoint m_ReceivedAt;            ///< Time of receipt.

    [[nodiscard]] bool hasExpired(TimePoint Now) const {
      return Now - m_ReceivedAt > DigestLifetime;
    }
  };

  std::unordered_map<InstanceId, PeerReport> m_Peers; ///< By instance.
  std::unordered_map<UpstreamId, CallLoad> m_Sums;    ///< Over all instances.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_PEER_LOADS_H
