/// Limits that upstreams state: requests a second from all instances together.
///
/// Instances can't ask one another for each call, and an equal share for each
/// of hundreds exceeds a limit of one a second. So few instances, the senders,
/// call such an upstream at all: those that come first by rendezvous hashing,
/// no more of them than the limit has requests a second. Each has a token
/// bucket with an equal part of the rate. A new sender waits until all
/// instances have the same list, so that the one before has stopped.
///
/// The senders find out that a limit has ended and broadcast it. Where
/// no statement arrives, any instance tries single calls.
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

/// Requests a second; nothing: as many as the upstream has room for.
using RateLimit = std::optional<double>;

/// What instances broadcast about an upstream's limit.
struct LimitNews {
  UpstreamId m_Upstream; ///< Whose.
  RateLimit m_Limit;     ///< As it stated it.
  Duration m_Age{};      ///< Since then.
};

class RateLimits {
public:
  /// Lists of instances agree after this long without a change.
  static constexpr Duration SettleSpan = std::chrono::seconds(4);

  /// After this long without a statement instances try single calls: one of all
  /// instances in each TrialSpan, on average.
  static constexpr Duration StaleAfter = std::chrono::seconds(8);
  static constexpr Duration TrialSpan = std::chrono::seconds(4);

  /// \p Seed differs between instances.
  explicit RateLimits(std::uint64_t Seed) : m_Seed(Seed) {}

  /// Takes all instances, this one as \p Self.
  void setInstances(InstanceId Self, std::vector<InstanceId> All,
                    TimePoint Now);

  /// Forgets all upstreams but \p Listed.
  void keepOnly(const std::vector<Upstream> &Listed);

  /// An upstream's answer to a call that was sent at \p Sent states \p Limit.
  /// An answer without one ends the limit only if its call was sent after the
  /// last statement.
  void stated(UpstreamId Upstream, RateLimit Limit, TimePoint Sent,
              TimePoint Now);

  /// Takes another instance's news.
  void take(const std::vector<LimitNews> &Updates, TimePoint Now);

  /// Returns what was stated to this instance since the last time.
  std::vector<LimitNews> takeNews(TimePoint Now);

  /// Returns all that is known, for an instance that has just started.
  [[nodiscard]] std::vector<LimitNews> all(TimePoint Now) const;

  /// Returns whether this instance may send a call to \p Upstream.
  [[nodiscard]] bool mayTake(UpstreamId Upstream, TimePoint Now);

  /// A call is sent to \p Upstream.
  void taken(UpstreamId Upstream, TimePoint Now);

  /// Returns the limit that is known of \p Upstream.
  [[nodiscard]] RateLimit limitOf(UpstreamId Upstream) const;

private:
  /// What is known of one upstream that has stated a limit.
  struct State {
    RateLimit m_Limit;     ///< Nothing: it has ended.
    TimePoint m_StatedAt;  ///< The newest statement.
    TimePoint m_LimitAt;   ///< The newest statement with a limit.
    bool m_News = false;   ///< To be broadcast.
    bool m_Sender = false; ///< This instance is one.
    double m_Tokens = 0;   ///< Calls that it may send now.
    TimePoint m_FilledAt; ///< When m_Tokens was right; a sender may begin then.
    std::int64_t m_Trial = -1; ///< The TrialSpan of the last trial.
  };

  void update(UpstreamId Upstream, RateLimit Limit, TimePoint StatedAt,
              TimePoint Now);
  void elect(UpstreamId Upstream, State &Entry, TimePoint Now) const;
  void fill(State &Entry, TimePoint Now) const;
  [[nodiscard]] std::size_t sendersFor(double Limit) const;
  [[nodiscard]] bool mayTry(UpstreamId Upstream, const State &Entry,
                            TimePoint Now) const;

  std::uint64_t m_Seed;          ///< Of trials.
  InstanceId m_Self;             ///< This instance.
  std::vector<InstanceId> m_All; ///< Sorted; empty: not known yet.
  TimePoint m_ChangedAt{};       ///< When m_All changed last.
  std::unordered_map<UpstreamId, State> m_States; ///< That stated a limit.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_RATE_LIMITS_H
