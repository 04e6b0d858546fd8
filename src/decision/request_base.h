/// The state of a request in the pool, from its bid to the end of its work.
#ifndef CROWSTEP_DECISION_REQUEST_BASE_H
#define CROWSTEP_DECISION_REQUEST_BASE_H

#include "decision/decision_type.h"

#include <boost/intrusive/set.hpp>

#include <cstdint>
#include <tuple>
#include <unordered_map>

namespace crowstep::decision {

struct ClassState;
struct Flow;
struct UpstreamState;

/// State of a request. Refused and finished requests are erased.
enum class RequestState : std::uint8_t {
  Waiting, ///< In a lane of its class.
  Granted, ///< Holds a slot.
  /// Lost its slot by a decision of the pool; may bid again without limits.
  AwaitingRebid,
};

/// Hook of an intrusive sorted set, so that queueing does not allocate.
using QueueHook =
    boost::intrusive::set_member_hook<boost::intrusive::optimize_size<true>>;

/// One request. Its address is stable while it exists.
struct Request {
  Bid m_Bid;                         ///< As last sent.
  std::uint64_t m_ArrivalNumber = 0; ///< Number of the arrival; unique.
  ClassState *m_Class;               ///< Never null.
  Flow *m_Flow = nullptr; ///< Queue that holds it; null unless waiting.
  /// Where it runs; null unless granted.
  UpstreamState *m_UpstreamState = nullptr;
  TimePoint m_FlowKey;         ///< Order within its flow.
  TimePoint m_Deadline;        ///< Waiting: the target, or the limit if late.
  TimePoint m_Limit;           ///< End of the longest wait.
  TimePoint m_StateSince;      ///< When it was granted, or lost its slot.
  TimePoint m_StopOrderedAt;   ///< Only if m_IsStopping.
  TimePoint m_SilenceDeadline; ///< Granted without a sign of use: freed then.
  double m_ReleaseRate = 0.0; ///< Its part of the upstream's, slots per second.
  double m_ReservedTokens = 0.0;       ///< Taken from the token buckets.
  std::uint32_t m_ExpectedTokens = 0;  ///< Output tokens charged at the grant.
  std::uint32_t m_GeneratedTokens = 0; ///< As far as reported by an entry.
  RequestState m_State = RequestState::Waiting;
  std::uint8_t m_WasteRank = 0;   ///< Cost of stopping it; fixed while granted.
  std::uint8_t m_Preemptions = 0; ///< Times it was ordered to stop; saturating.
  bool m_HasFirstToken = false;   ///< Its first token was reported.
  bool m_IsStopping = false;      ///< Granted, and ordered to stop.
  /// Not refused before its limit, unless displaced or its row is removed.
  bool m_WaitsUntilLimit = false;
  QueueHook m_QueueHook; ///< Waiting: its flow. Granted: its class's m_Victims.
  QueueHook m_DeadlineHook; ///< Waiting: its lane's m_ByDeadline.
};

/// Orders a flow by target, then by arrival.
struct FlowOrder {
  bool operator()(const Request &A, const Request &B) const {
    return std::tie(A.m_FlowKey, A.m_ArrivalNumber) <
           std::tie(B.m_FlowKey, B.m_ArrivalNumber);
  }
};

/// Orders a lane by deadline, then by arrival.
struct DeadlineOrder {
  bool operator()(const Request &A, const Request &B) const {
    return std::tie(A.m_Deadline, A.m_ArrivalNumber) <
           std::tie(B.m_Deadline, B.m_ArrivalNumber);
  }
};

/// Orders running work for preemption: the least wasteful to stop first, then
/// the youngest, which has generated least.
struct VictimOrder {
  bool operator()(const Request &A, const Request &B) const {
    return std::tie(A.m_WasteRank, B.m_StateSince, B.m_ArrivalNumber) <
           std::tie(B.m_WasteRank, A.m_StateSince, A.m_ArrivalNumber);
  }
};

template <typename Order, QueueHook Request::*Hook>
using RequestSet = boost::intrusive::set<
    Request, boost::intrusive::compare<Order>,
    boost::intrusive::member_hook<Request, QueueHook, Hook>>;

using FlowQueue = RequestSet<FlowOrder, &Request::m_QueueHook>;
using DeadlineQueue = RequestSet<DeadlineOrder, &Request::m_DeadlineHook>;
using VictimQueue = RequestSet<VictimOrder, &Request::m_QueueHook>;

/// Mixes both parts of an id, so that equal numbers of different entries don't
/// collide.
struct RequestIdHash {
  std::size_t operator()(const RequestId &Id) const noexcept;
};

using RequestTable = std::unordered_map<RequestId, Request, RequestIdHash>;

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_REQUEST_BASE_H
