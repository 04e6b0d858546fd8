/// The entries attached to this dispatcher: what is sent to them, and which
/// table version they hold.
///
/// An attached entry gets an attachment every 500 ms (AttachmentInterval),
/// which says whether the instance has the right to serve and echoes the
/// entry's last acknowledgement. The entry's own right runs from the sending of
/// that acknowledgement. A change of the table counts as in force here only
/// when every entry holds it or has lost its right to serve.
#ifndef CROWSTEP_DISPATCHER_ENTRY_ATTACHMENTS_H
#define CROWSTEP_DISPATCHER_ENTRY_ATTACHMENTS_H

#include "attachment_type.h"
#include "contract_type.h"
#include "core/scheduler.h"
#include "dispatcher/workspace_directory.h"
#include "link/link_type.h"
#include "membership/membership_type.h"

#include <functional>
#include <map>
#include <vector>

namespace crowstep::dispatcher {

/// Supplies the contents of attachments.
struct AttachmentSource {
  std::function<bool()> m_HasRightToServe; ///< Of this instance.
  std::function<bool()> m_IsDraining;      ///< The instance takes no new work.
  std::function<const std::vector<membership::Member> &()> m_Members;
  std::function<const std::vector<Upstream> &()> m_Upstreams;
  std::function<const std::vector<Workspace> &()> m_Workspaces;
};

class EntryAttachments {
public:
  EntryAttachments(const Clock &Time, Scheduler &Timers, link::Links &Wire,
                   AttachmentSource Source);

  /// Calls \p Job whenever the lowest version held may have changed.
  void onEntriesVersionChanged(std::function<void(TableVersion)> Job) {
    m_EntriesVersionChanged = std::move(Job);
  }

  /// Registers the link of an entry. The entry is attached with its first
  /// acknowledgement. Entries that only bid or claim here send none: a claim
  /// home has links to all entries of the fleet and must not send attachments
  /// to each of them.
  void linkUp(link::LinkId Link, const link::Peer &Peer);
  void linkFrame(link::LinkId Link, const wire::Frame &Frame);
  void linkDown(link::LinkId Link);

  /// Sends each attached entry an attachment with the whole changed list at
  /// once. Lists that have not changed are left out of attachments.
  void membersChanged();
  void upstreamsChanged();
  void workspacesChanged();

  /// Returns the lowest table version held by an entry that may still serve,
  /// at most \p Highest; \p Highest if there is no such entry.
  [[nodiscard]] TableVersion lowestHeldVersion(TableVersion Highest) const;

  [[nodiscard]] std::size_t count() const { return m_Attached.size(); }

private:
  struct Entry {
    std::uint64_t m_LastAcked = 0; ///< Highest sequence acknowledged.
    TimePoint m_LastAckAt;         ///< When the last one was received.
    TableVersion m_Version;        ///< Highest version acknowledged.
    bool m_SendMembers = true;     ///< Not yet sent since the last change.
    bool m_SendUpstreams = true;   ///< As above.
    bool m_SendWorkspaces = true;  ///< As above.
  };
  /// An entry whose link closed may serve until its right has expired.
  struct Detached {
    TimePoint m_ServesUntil; ///< At the latest.
    TableVersion m_Version;  ///< Highest version acknowledged.
  };

  void attach(link::LinkId Link);
  void tick();
  void sendAll();
  void send(link::LinkId Link, Entry &Recipient);
  void addMembers(wire::AttachmentT &Out) const;
  void addUpstreams(wire::AttachmentT &Out) const;
  void addWorkspaces(wire::AttachmentT &Out) const;

  const Clock &m_Clock;         ///< Outlives this object.
  link::Links &m_Links;         ///< Outlives this object.
  AttachmentSource m_Source;    ///< No function is empty.
  Timer m_Timer;                ///< For the next attachments.
  std::uint64_t m_Sequence = 0; ///< Of the last attachment.
  std::map<link::LinkId, std::string> m_EntryNames; ///< Of entries with links.
  std::map<link::LinkId, Entry> m_Attached;         ///< Attached now.
  std::vector<Detached> m_Detached; ///< Kept while they may serve.
  std::function<void(TableVersion)> m_EntriesVersionChanged; ///< May be empty.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_ENTRY_ATTACHMENTS_H
