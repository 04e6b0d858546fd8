/// Admission checks: route, API key and priority of a request.
#ifndef CROWSTEP_GATEWAY_ADMISSION_H
#define CROWSTEP_GATEWAY_ADMISSION_H

#include "gateway/header_codec.h"
#include "gateway/route_table.h"
#include "http/request_parser.h"
#include "refusal_type.h"

namespace crowstep::gateway {

/// A request that passed the checks.
struct AdmittedRequest {
  RouteTablePtr m_Table;     ///< Keeps m_Route alive.
  const Route *m_Route;      ///< Never null.
  std::string m_Workspace;   ///< Of the checked key; empty: none.
  unsigned m_QueueRank = 0;  ///< See RouteTable::queueRank().
  unsigned m_EngineRank = 0; ///< See RouteTable::engineRank().
  RequestFacts m_Facts;      ///< From its headers.

  /// Returns null if the answer is no stream.
  [[nodiscard]] const EventStream *eventStream() const {
    return std::get_if<EventStream>(&m_Route->m_Kind);
  }

  /// Returns whether the caller has events of the stream from an earlier
  /// attempt.
  [[nodiscard]] bool isResumed() const {
    return eventStream() != nullptr &&
           (m_Facts.m_LastEventId || !m_Facts.m_Resumes.empty());
  }
};

/// A request that is refused before placement.
struct RefusedRequest {
  RefusalReason m_Reason; ///< Never None.
  std::string m_Id;       ///< Of the caller's attempt; empty if unreadable.
};

/// Checks \p Request against \p Table, which is null until one was received.
std::variant<AdmittedRequest, RefusedRequest>
admit(const IncomingRequest &Request, const RouteTablePtr &Table,
      const HeaderCodec &Codec);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_ADMISSION_H
