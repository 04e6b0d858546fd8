/// Services whose upstreams state that they are brittle.
///
/// A brittle upstream falls over if it has to reject more than some requests in
/// a second, from all instances together. So rejections are what must be
/// scarce, and instances can't ask one another before each call. As many
/// instances as an upstream has slots, its senders by rendezvous hashing, each
/// own a share of the slots: within these no race between instances makes it
/// reject. Calls beyond that are placed with a probability that grows slowly
/// while the service is little used and falls at once when it isn't, or when a
/// call is rejected; digests arrive faster than it grows. An instance
/// whose call is rejected besides pauses for so long that all together stay
/// under the number.
///
/// A statement concerns all upstreams of the service, and is broadcast.
#ifndef CROWSTEP_BALANCE_BRITTLE_UPSTREAMS_H
#define CROWSTEP_BALANCE_BRITTLE_UPSTREAMS_H

#include "core/clock.h"
#include "instance_type.h"
#include "upstream_type.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace crowstep::balance {

/// Requests that a brittle upstream can reject in a second; none: it is not
/// brittle.
using RejectionLimit = std::optional<double>;

/// Update on a service that instances broadcast.
struct BrittleUpdate {
  PoolId m_Pool;          ///< The service.
  RejectionLimit m_Limit; ///< As stated.
  Duration m_Age{};       ///< Time since the statement.
};

class BrittleUpstreams {
public:
  /// Share of the slots of a brittle upstream that calls may take.
  static constexpr double UsableShare = 0.85;

  /// Utilization of a service's usable slots: its mean of about the last second
  /// up to which the probability of further calls grows, the mean from which it
  /// falls, and the current utilization from which it falls.
  static constexpr double LowMean = 0.15;
  static constexpr double HighMean = 0.25;
  static constexpr double HighNow = 0.5;
  static constexpr Duration MeanTime = std::chrono::seconds(1);

  /// Growth of the probability a second, and its halving time.
  static constexpr double GrowthPerSecond = 0.1;
  static constexpr Duration HalvingTime = std::chrono::milliseconds(100);

  /// An answer that states nothing ends the state if its call was sent this
  /// long after the last statement: some upstreams may still state it.
  static constexpr Duration EndDelay = std::chrono::seconds(1);

  /// Without any answer the state ends after this time.
  static constexpr Duration MaxAge = std::chrono::seconds(30);

  /// Least and longest pause after a rejection.
  static constexpr Duration MinPause = std::chrono::milliseconds(250);
  static constexpr Duration MaxPause = std::chrono::seconds(5);

  /// Sets the list of all instances, this one as \p Self.
  void setInstances(InstanceId Self, std::vector<InstanceId> All);

  /// An answer of an upstream of \p Pool to a call that was sent at \p Sent
  /// states \p Limit.
  void recordStatement(PoolId Pool, RejectionLimit Limit, TimePoint Sent,
                       TimePoint Now);

  /// An upstream has rejected a call of this instance.
  void recordRejection(PoolId Pool, const Upstream &By, TimePoint Now);

  /// Applies another instance's updates.
  void applyUpdates(const std::vector<BrittleUpdate> &Updates, TimePoint Now);

  /// Returns what was stated to this instance since the last call.
  std::vector<BrittleUpdate> takeUpdates(TimePoint Now);

  /// Returns the limit that is in force for a service.
  [[nodiscard]] RejectionLimit limitOf(PoolId Pool, TimePoint Now) const;

  /// Prepares for a placement: all instances' calls take \p Utilization of the
  /// service's usable slots. \p Random is in [0, 1).
  void beginPlacement(PoolId Pool, double Utilization, double Random,
                      TimePoint Now);

  /// Returns how many calls a brittle upstream may have.
  [[nodiscard]] static std::size_t usableSlots(const Upstream &Target);

  /// Returns whether this instance, which has \p OwnCalls there, may add a call
  /// to \p Target.
  [[nodiscard]] bool maySend(PoolId Pool, const Upstream &Target,
                             std::uint32_t OwnCalls, TimePoint Now) const;

  /// Forgets what is over.
  void expire(TimePoint Now);

private:
  /// What is known of one service.
  struct State {
    RejectionLimit m_Limit;          ///< None: it has ended.
    TimePoint m_StatedAt;            ///< Time of the last statement.
    bool m_BroadcastPending = false; ///< To be broadcast.
    double m_Mean = 0;               ///< Of the utilization.
    TimePoint m_MeasuredAt{};        ///< Last change of m_Mean; not set: none.
    double m_Probability = 1;        ///< Of calls beyond the own share.
    bool m_IsOpen = false;           ///< For the current placement.
  };

  [[nodiscard]] std::size_t senderCount(const Upstream &Target) const;
  [[nodiscard]] std::size_t ownShare(const Upstream &Target) const;

  InstanceId m_Self;                   ///< This instance.
  std::vector<InstanceId> m_Instances; ///< Empty: not known yet.
  mutable std::unordered_map<UpstreamId, std::size_t>
      m_Shares;                               ///< Cache of ownShare().
  std::unordered_map<PoolId, State> m_States; ///< Those that stated it.
  std::unordered_map<UpstreamId, TimePoint>
      m_PausedUntil; ///< After a rejection; may be in the past.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_BRITTLE_UPSTREAMS_H
