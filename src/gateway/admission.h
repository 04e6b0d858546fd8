/// Whether a request may be forwarded, and as what.
#ifndef CROWSTEP_GATEWAY_ADMISSION_H
#define CROWSTEP_GATEWAY_ADMISSION_H

#include "gateway/header_codec.h"
#include "gateway/route_table.h"
#include "http/request_parser.h"
#include "refusal_type.h"

namespace crowstep::gateway {

/// A request that may be forwarded.
struct Admitted {
  RouteTablePtr m_Table;   ///< Keeps m_Route alive.
  const Route *m_Route;    ///< Never null.
  std::string m_Workspace; ///< Whose key it bears; empty: none.
  unsigned m_Turn = 0;     ///< See RouteTable::urgency().
  unsigned m_Urgency = 0;  ///< See RouteTable::engineRank().
  RequestFacts m_Facts;    ///< What its headers say.
};

/// Why a request is not forwarded, with its id if it has one.
struct NotAdmitted {
  RefusalReason m_Reason; ///< Never None.
  std::string m_Id;       ///< Of the caller's attempt; may be empty.
};

/// Checks \p Request against \p Table, which may be null: nothing is known yet.
std::variant<Admitted, NotAdmitted> admit(const IncomingRequest &Request,
                                          const RouteTablePtr &Table,
                                          const HeaderCodec &Codec);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_ADMISSION_H
