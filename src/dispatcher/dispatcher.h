/// The dispatcher daemon: control of one instance.
///
/// It takes part in the membership, keeps the table in force, decides for the
/// pools that it owns, tells its attached entries what they may do, and serves
/// operators. Requests and answers of callers never pass through it.
#ifndef CROWSTEP_DISPATCHER_DISPATCHER_H
#define CROWSTEP_DISPATCHER_DISPATCHER_H

#include "claim/claim_home.h"
#include "core/program.h"
#include "dispatcher/admin_api.h"
#include "dispatcher/dispatcher_settings.h"
#include "dispatcher/entry_attachments.h"
#include "http/http_client.h"
#include "platform/platform_client.h"

namespace crowstep::dispatcher {

class Dispatcher final : public Daemon, private link::LinkListener {
public:
  explicit Dispatcher(DispatcherSettings Config);

  void start() override;
  void stop(std::function<void()> Done) override;

private:
  void linkUp(link::LinkId Link, const link::Peer &Peer) override;
  void linkFrame(link::LinkId Link, const wire::Frame &Frame) override;
  void linkDown(link::LinkId Link, const link::Peer &Peer,
                link::CloseReason Reason) override;
  void dialFailed(const Address &Target, link::CloseReason Reason) override;

  AttachmentSource attachmentSource();
  void connectParts();
  void tellKnowledge(link::LinkId Link);
  void learn(const wire::Knowledge &Received);
  void watchRight();

  DispatcherSettings m_Settings;       ///< As read.
  LoopClock m_Clock;                   ///< Of this process.
  LoopScheduler m_Timers;              ///< Of this process.
  Metrics m_Stats;                     ///< Of this process.
  HttpClient m_Http;                   ///< To the platform and upstreams.
  platform::PlatformClient m_Platform; ///< Table service, instance list.
  link::TcpLinks m_Links;              ///< To dispatchers and entries.
  membership::Membership m_Fleet;      ///< The dispatchers.
  contract::TableKeeper m_Table;       ///< The table in force.
  UpstreamDirectory m_Upstreams;       ///< Engines and plain services.
  WorkspaceDirectory m_Workspaces;     ///< Customers.
  PoolSet m_Pools;                     ///< Owned here.
  EntryAttachments m_Entries;          ///< Attached here.
  claim::ClaimHome m_Claims;           ///< Of the keys whose home this is.
  UpstreamOrders m_Orders;             ///< Of operators.
  AdminApi m_Admin;                    ///< For operators.
  Timer m_RightTimer;                  ///< For the next look at the right.
  Timer m_StopTimer;                   ///< For the goodbyes to go out.
  bool m_Serves = false;               ///< Right to serve, as last seen.
  bool m_Stopping = false;             ///< After stop().
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_DISPATCHER_H
