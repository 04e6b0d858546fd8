/// Links of an entry to dispatchers.
///
/// The entry takes members, upstreams and workspaces from one of them, its home
/// dispatcher. Every linked dispatcher waits for this entry before it considers
/// a table version in force, so the attachments of all are acknowledged.
#ifndef CROWSTEP_ENTRY_DISPATCHER_LINKS_H
#define CROWSTEP_ENTRY_DISPATCHER_LINKS_H

#include "attachment_type.h"
#include "core/scheduler.h"
#include "entry/directory.h"
#include "link/link_type.h"
#include "membership/membership_type.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crowstep::entry {

/// If the link to the home is down for longer, the next home is used.
inline constexpr Duration HomeTimeout = std::chrono::milliseconds(500);

class DispatcherLinks final : public link::LinkListener {
public:
  DispatcherLinks(std::vector<Address> Homes, const Clock &Time,
                  Scheduler &Timers, Directory &Dir);

  /// Starts to dial over \p NewLinks, which must exist while this object is
  /// used.
  void start(link::Links &NewLinks);

  /// Returns whether new work may be accepted, by Clock::readNow().
  [[nodiscard]] bool hasRightToServe() const;

  /// Returns whether the home reports that this instance is draining.
  [[nodiscard]] bool isDraining() const { return m_Draining; }

  /// Returns the link to the owner of \p Pool, or none.
  [[nodiscard]] link::LinkId linkToOwner(PoolId Pool) const;

  /// Returns the link to the claim home \p Index, if it is up.
  [[nodiscard]] std::optional<link::LinkId>
  linkToClaimHome(std::uint64_t Index) const;

  /// Returns the members in the view of the home.
  [[nodiscard]] const std::vector<membership::Member> &members() const {
    return m_Members;
  }

  /// Returns the link to a member, or none.
  [[nodiscard]] link::LinkId linkTo(InstanceId Id) const;

  [[nodiscard]] link::Links &links() { return *m_Links; }

  /// Set the callbacks for changes of owners or links, of upstreams and of the
  /// table, and for each received frame.
  void onRoutesChanged(std::function<void()> Callback) {
    m_RoutesChanged = std::move(Callback);
  }
  void onUpstreamsChanged(std::function<void()> Callback) {
    m_UpstreamsChanged = std::move(Callback);
  }
  void onTableChanged(std::function<void()> Callback) {
    m_TableChanged = std::move(Callback);
  }
  void
  onFrame(std::function<void(link::LinkId, const wire::Frame &)> Callback) {
    m_FrameHandler = std::move(Callback);
  }

  void linkUp(link::LinkId Link, const link::Peer &Peer) override;
  void linkFrame(link::LinkId Link, const wire::Frame &Frame) override;
  void linkDown(link::LinkId Link, const link::Peer &Peer,
                link::CloseReason Reason) override;
  void dialFailed(const Address &Target, link::CloseReason Reason) override;

private:
  /// State received from one dispatcher. It is kept for every linked
  /// dispatcher, because each may become the home.
  struct DispatcherState {
    link::Peer m_Peer;
    std::uint64_t m_LastSequence = 0; ///< Of the last attachment.
    std::map<std::uint64_t, TimePoint> m_AcknowledgedAt; ///< Time by sequence.
    TimePoint m_ServesUntil;                   ///< From the last echo.
    bool m_RightToServe = false;               ///< As last received.
    bool m_Draining = false;                   ///< As last received.
    bool m_Attached = false;                   ///< Attachments were requested.
    std::vector<membership::Member> m_Members; ///< Last full list.
    std::vector<Upstream> m_Upstreams;         ///< As above.
    std::vector<WorkspaceRow> m_Workspaces;    ///< As above.
  };

  void handleAttachment(link::LinkId Link, DispatcherState &Sender,
                        const wire::Attachment &Attachment);
  void handleTableUpdate(const wire::TableUpdate &Update);
  void acknowledge(link::LinkId Link, DispatcherState &Dispatcher);
  void sendAcknowledgement(link::LinkId Link, std::uint64_t Sequence);
  void attachToHome();
  [[nodiscard]] DispatcherState *findHome();
  void applyHomeState();
  void updateDials();
  void startHomeTimer();

  std::vector<Address> m_HomeAddresses; ///< In order of preference; not empty.
  std::size_t m_HomeIndex = 0;          ///< Index of the current home.
  const Clock &m_Clock;                 ///< Outlives this object.
  Directory &m_Directory;               ///< Outlives this object.
  link::Links *m_Links = nullptr;       ///< Null before start().
  Timer m_HomeTimer;                    ///< Runs while the home is down.
  std::map<link::LinkId, DispatcherState> m_Dispatchers; ///< By link.
  std::set<Address> m_DialledAddresses;      ///< Of the wanted links.
  std::vector<membership::Member> m_Members; ///< From the home.
  bool m_Draining = false;                   ///< From the home.
  std::function<void()> m_RoutesChanged;     ///< May be empty.
  std::function<void()> m_UpstreamsChanged;  ///< May be empty.
  std::function<void()> m_TableChanged;      ///< May be empty.
  std::function<void(link::LinkId, const wire::Frame &)>
      m_FrameHandler; ///< May be empty.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_DISPATCHER_LINKS_H
