/// A request as the pool knows it, from its bid to the end of its work.
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
struct Serving;

/// Where a request stands. Refused and finished ones are forgotten.
enum class RequestState : std::uint8_t {
  Waiting,   ///< In a lane of its class.
  Granted,   ///< Holds a slot.
  Returning, ///< Lost its slot by our doing; may bid again free of limits.
};

/// Hook of a sorted queue: no allocation for a place in it.
using QueueHook =
    boost::intrusive::set_member_hook<boost::intrusive::optimize_size<true>>;

/// One request. Its address is stable while it is known.
struct Request {
  Bid m_Bid;                    ///< As sent last.
  std::uint64_t m_Order = 0;    ///< Order of arrival; unique.
  ClassState *m_Class;          ///< Never null.
  Flow *m_Flow = nullptr;       ///< Its queue; null unless waiting.
  Serving *m_Serving = nullptr; ///< Where it runs; null unless granted.
  TimePoint m_FlowKey;          ///< Order within its flow.
  TimePoint m_Deadline;    ///< Waiting: the target, or the limit once late.
  TimePoint m_Limit;       ///< End of the longest wait.
  TimePoint m_Since;       ///< Granted, ordered to stop or returning since.
  TimePoint m_Lapses;      ///< Granted without a sign of use: freed then.
  double m_FreeRate = 0.0; ///< Added to the upstream's; slots a second.
  double m_Reserved = 0.0; ///< Taken from the token buckets.
  std::uint32_t m_Expected = 0; ///< Output tokens charged at the grant.
  std::uint32_t m_Progress = 0; ///< Tokens generated, where an entry told.
  RequestState m_State = RequestState::Waiting; ///< See above.
  std::uint8_t m_WasteRank = 0;   ///< See wasteRank(); fixed while granted.
  std::uint8_t m_Preemptions = 0; ///< Times it was stopped; saturating.
  bool m_SawToken = false;        ///< Its first token was reported.
  bool m_Stopping = false;        ///< Granted, and ordered to stop.
  bool m_IsKept = false;          ///< Refused at its limit only, never early.
  bool m_IsProbe = false;         ///< Granted to an ejected upstream.
  QueueHook m_QueueHook; ///< Waiting: its flow. Granted: its class's victims.
  QueueHook m_DeadlineHook; ///< Waiting: its lane by deadline.
};

/// Order within a flow: the earliest target first, then the first to come.
struct FlowOrder {
  bool operator()(const Request &A, const Request &B) const {
    return std::tie(A.m_FlowKey, A.m_Order) < std::tie(B.m_FlowKey, B.m_Order);
  }
};

/// Order of deadlines within a lane.
struct DeadlineOrder {
  bool operator()(const Request &A, const Request &B) const {
    return std::tie(A.m_Deadline, A.m_Order) <
           std::tie(B.m_Deadline, B.m_Order);
  }
};

/// Order of victims: the least wasteful first, then the youngest, which has
/// generated least.
struct VictimOrder {
  bool operator()(const Request &A, const Request &B) const {
    return std::tie(A.m_WasteRank, B.m_Since, B.m_Order) <
           std::tie(B.m_WasteRank, A.m_Since, A.m_Order);
  }
};

template <typename Order, QueueHook Request::*Hook>
using RequestSet = boost::intrusive::set<
    Request, boost::intrusive::compare<Order>,
    boost::intrusive::member_hook<Request, QueueHook, Hook>>;

using FlowQueue = RequestSet<FlowOrder, &Request::m_QueueHook>;
using DeadlineQueue = RequestSet<DeadlineOrder, &Request::m_DeadlineHook>;
using VictimQueue = RequestSet<VictimOrder, &Request::m_QueueHook>;

/// Mixes both halves of an id, so that entries' numbers don't collide.
struct RequestIdHash {
  std::size_t operator()(const RequestId &Id) const noexcept;
};

using RequestTable = std::unordered_map<RequestId, Request, RequestIdHash>;

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_REQUEST_BASE_H
