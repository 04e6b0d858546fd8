/// The operators' administration API over HTTP.
///
/// GET  /v1/table               the table as CSV; Crowstep-Table-Version
/// POST /v1/table/check         CSV in; what it would alter, nothing done
/// PUT  /v1/table               CSV in, If-Match: the version that was read;
///                              200 accepted, 202 pending, 409 conflict
/// GET  /v1/table/history       the last changes, newest first
/// GET  /v1/status              instances, pools, upstreams
/// PUT, DELETE /v1/drains/upstream/NAME, /v1/drains/instance/NAME
/// POST /v1/orders/NAME         {"order", "name"} for an engine, given under a
///                              lease with a fencing number
/// GET  /healthz, /metrics      without a key
/// All others need Authorization: Bearer with an operator's key.
#ifndef CROWSTEP_DISPATCHER_ADMIN_API_H
#define CROWSTEP_DISPATCHER_ADMIN_API_H

#include "contract/table_keeper.h"
#include "core/http_server.h"
#include "core/metrics.h"
#include "dispatcher/pool_set.h"
#include "dispatcher/upstream_directory.h"
#include "dispatcher/upstream_orders.h"
#include "dispatcher/workspace_directory.h"
#include "membership/membership.h"

#include <string>

namespace crowstep::dispatcher {

/// What the API shows and changes; all outlive it.
struct AdminParts {
  contract::TableKeeper &m_Table;
  membership::Membership &m_Fleet;
  UpstreamDirectory &m_Upstreams;
  const WorkspaceDirectory &m_Workspaces;
  const PoolSet &m_Pools;
  UpstreamOrders &m_Orders;
  Metrics &m_Stats;
};

class AdminApi {
public:
  explicit AdminApi(const AdminParts &Parts);

  /// \throws ListenError.
  void listen(const Address &ListenAddress);

private:
  void handle(SoupServerMessage *Message, const std::string &Path);
  void handleOperator(SoupServerMessage *Message, const std::string &Path,
                      const Workspace &Operator);
  void getTable(SoupServerMessage *Message) const;
  void checkTable(SoupServerMessage *Message) const;
  void putTable(SoupServerMessage *Message, const Workspace &Operator);
  void getHistory(SoupServerMessage *Message);
  void getStatus(SoupServerMessage *Message) const;
  void changeDrain(SoupServerMessage *Message, const std::string &DrainKey,
                   const Workspace &Operator);
  void giveOrder(SoupServerMessage *Message, const std::string &Upstream,
                 const Workspace &Operator);

  AdminParts m_Parts;  ///< See above.
  Counter &m_Refused;  ///< Calls without a valid operator's key.
  HttpServer m_Server; ///< Listens.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_ADMIN_API_H
