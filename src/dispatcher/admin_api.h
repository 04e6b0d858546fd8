/// The operators' administration API over HTTP.
///
/// GET  /v1/table               the table as CSV; its version is in the header
///                              Crowstep-Table-Version
/// POST /v1/table/check         CSV in; answers what it would change, changes
///                              nothing
/// PUT  /v1/table               CSV in, If-Match: the version that was read;
///                              200 accepted, 202 pending, 409 conflict, 503
///                              unavailable
/// GET  /v1/table/history       the last changes, newest first
/// GET  /v1/status              instances, pools, upstreams
/// PUT, DELETE /v1/drains/upstream/NAME, /v1/drains/instance/NAME
///                              starts or ends a drain
/// POST /v1/orders/NAME         {"order", "name"} for an engine, sent under a
///                              lease with its fencing number
/// GET  /healthz, /metrics      without a key; /healthz is 200 while this
///                              instance has the right to serve, else 503
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

/// The components that the API reads and changes; all outlive it.
struct AdminContext {
  contract::TableKeeper &m_Table;
  membership::Membership &m_Membership;
  UpstreamDirectory &m_Upstreams;
  const WorkspaceDirectory &m_Workspaces;
  const PoolSet &m_Pools;
  UpstreamOrders &m_Orders;
  Metrics &m_Stats;
};

class AdminApi {
public:
  explicit AdminApi(const AdminContext &Parts);

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
  void postOrder(SoupServerMessage *Message, const std::string &Upstream,
                 const Workspace &Operator);

  AdminContext m_Context;  ///< Outlive this object.
  Counter &m_RefusedCalls; ///< Without a valid operator's key.
  HttpServer m_Server;     ///< Calls handle() for each request.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_ADMIN_API_H
