/// The dispatcher daemon: the control plane of one instance.
///
/// It takes part in the membership, keeps the table in force, places the
/// requests of the pools that it owns, sends its attached entries their right
/// to serve and the lists that they need, and serves operators. Requests and
/// answers of callers never pass through it.
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
  void connectComponents();
  /// Sends the upstreams and workspaces known here to a dispatcher, for the
  /// case that it can't read the platform itself.
  void sendKnowledge(link::LinkId Link);
  void applyKnowledge(const wire::Knowledge &Received);
  void logRightChanges();

  DispatcherSettings m_Settings; ///< As read at start.
  LoopClock m_Clock;
  LoopScheduler m_Timers;
  Metrics m_Stats;
  HttpClient m_HttpClient;             ///< To the platform and upstreams.
  platform::PlatformClient m_Platform; ///< Table service, instance list.
  link::TcpLinks m_Links;              ///< To dispatchers and entries.
  membership::Membership m_Membership; ///< The dispatchers.
  contract::TableKeeper m_Table;       ///< The table in force.
  UpstreamDirectory m_Upstreams;       ///< Engines and plain services.
  WorkspaceDirectory m_Workspaces;     ///< Customers and key hashes.
  PoolSet m_Pools;                     ///< Owned by this dispatcher.
  EntryAttachments m_Attachments;      ///< To attached entries.
  claim::ClaimHome m_ClaimHome;        ///< For keys whose home this is.
  UpstreamOrders m_Orders;             ///< From operators to engines.
  AdminApi m_Admin;                    ///< Administration API.
  Timer m_RightTimer;                  ///< For the next check of the right.
  Timer m_StopTimer;                   ///< Until the last frames are out.
  bool m_LoggedRight = false;          ///< Right to serve, as last logged.
  bool m_IsStopping = false;           ///< After stop().
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_DISPATCHER_H
