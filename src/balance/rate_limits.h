/// Rate limits that upstreams state, for all instances together.
///
/// Instances can't ask one another for each call, and an equal share for each
/// of hundreds of instances would exceed a limit of one request a second. So
/// only a few instances, the senders, call such an upstream at all: the first
/// ones by rendezvous hashing, no more of them than the limit has requests a
/// second. Each has a token bucket with an equal share of the rate. A new
/// sender waits until all instances have the same list, so that the previous
/// one has stopped.
///
/// Senders detect the end of a limit and broadcast it. While no statement
/// arrives, every instance makes occasional trial calls.
#ifndef CROWSTEP_BALANCE_RATE_LIMITS_H
#define CROWSTEP_BALANCE_RATE_LIMITS_H

#include "core/clock.h"
#include "instance_type.h"
#include "upstream_type.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crowstep::balance {

/// Requests a second; none: as many as the upstream has room for.
using RateLimit = std::optional<double>;

/// Update on an upstream's limit that instances broadcast.
struct LimitUpdate {
  UpstreamId m_Upstream; ///< Upstream that stated it.
  RateLimit m_Limit;     ///< Limit as stated.
  Duration m_Age{};      ///< Time since the statement.
};

class RateLimits {
public:
  /// All instances have the same list of instances after this long without a
  /// change.
  static constexpr Duration ListSettleTime = std::chrono::seconds(4);

  /// After this long without a statement instances make trial calls: one call
  /// by all instances together in each TrialInterval, on average.
  static constexpr Duration StaleAfter = std::chrono::seconds(8);
  static constexpr Duration TrialInterval = std::chrono::seconds(4);

  /// \p Seed differs between instances.
  explicit RateLimits(std::uint64_t Seed) : m_TrialSeed(Seed) {}

  /// Sets the list of all instances, this one as \p Self.
  void setInstances(InstanceId Self, std::vector<InstanceId> All,
                    TimePoint Now);

  /// Forgets all upstreams but \p Listed.
  void keepOnly(const std::vector<Upstream> &Listed);

  /// An upstream's answer to a call that was sent at \p Sent states \p Limit.
  /// An answer that states none ends a limit only if its call was sent after
  /// the last statement of the limit.
  void recordStatement(UpstreamId Upstream, RateLimit Limit, TimePoint Sent,
                       TimePoint Now);

  /// Applies another instance's updates.
  void applyUpdates(const std::vector<LimitUpdate> &Updates, TimePoint Now);

  /// Returns what was stated to this instance since the last call.
  std::vector<LimitUpdate> takeUpdates(TimePoint Now);

  /// Returns all limits, for an instance that has just started.
  [[nodiscard]] std::vector<LimitUpdate> snapshot(TimePoint Now) const;

  /// Returns whether this instance may send a call to \p Upstream.
  [[nodiscard]] bool maySend(UpstreamId Upstream, TimePoint Now);

  /// A call is sent to \p Upstream: uses a token, or else the trial.
  void recordSend(UpstreamId Upstream, TimePoint Now);

  /// Returns the limit of \p Upstream as last stated.
  [[nodiscard]] RateLimit limitOf(UpstreamId Upstream) const;

private:
  /// State of one upstream that has stated a limit.
  struct State {
    RateLimit m_Limit;               ///< None: it has ended.
    TimePoint m_StatedAt;            ///< Time of the last statement.
    TimePoint m_LimitStatedAt;       ///< Of the last one with a limit.
    bool m_BroadcastPending = false; ///< To be broadcast.
    bool m_IsSender = false;         ///< Whether this instance is one.
    double m_Tokens = 0;             ///< Calls that it may send now.
    TimePoint
        m_RefilledAt; ///< Time of m_Tokens; in the future for a new sender.
    std::int64_t m_LastTrial = -1; ///< TrialInterval of the last trial.
  };

  void update(UpstreamId Upstream, RateLimit Limit, TimePoint StatedAt,
              TimePoint Now);
  void electSender(UpstreamId Upstream, State &Entry, TimePoint Now) const;
  void refill(State &Entry, TimePoint Now) const;
  [[nodiscard]] std::size_t senderCount(double Limit) const;
  [[nodiscard]] bool isTrialDue(UpstreamId Upstream, const State &Entry,
                                TimePoint Now) const;

  std::uint64_t m_TrialSeed;           ///< For the choice of trials.
  InstanceId m_Self;                   ///< This instance.
  std::vector<InstanceId> m_Instances; ///< Sorted; empty: not known yet.
  TimePoint m_InstancesChangedAt{};    ///< Last change of m_Instances.
  std::unordered_map<UpstreamId, State>
      m_States; ///< Those that stated a limit.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_RATE_LIMITS_H
