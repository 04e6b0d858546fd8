/// The entries attached to this dispatcher: what they are told, what they hold.
///
/// An attached entry hears every half second what it may do; its right to
/// serve runs from its own acknowledgements. A change of the table counts as
/// in force here only when every entry holds it or has lost its right.
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

/// What the attachments are made from; the daemon supplies it.
struct AttachmentSource {
  std::function<bool()> m_RightToServe; ///< Of this instance.
  std::function<bool()> m_Draining;     ///< The instance takes no new work.
  std::function<const std::vector<membership::Member> &()> m_Members;
  std::function<const std::vector<Upstream> &()> m_Upstreams;
  std::function<const std::vector<Workspace> &()> m_Workspaces;
};

class EntryAttachments {
public:
  EntryAttachments(const Clock &Time, Scheduler &Timers, link::Links &Wire,
                   AttachmentSource Source);

  /// Calls \p Job whenever the version that all entries hold may have grown.
  void onHeld(std::function<void(TableVersion)> Job) {
    m_Held = std::move(Job);
  }

  /// Registers the link of an entry. The entry is attached with its first
  /// acknowledgement. Entries that only bid or claim here send none: a claim
  /// home has links to all entries of the fleet and must not send attachments
  /// to each of them.
  void linkUp(link::LinkId Link, const link::Peer &Peer);
  void linkFrame(link::LinkId Link, const wire::Frame &Frame);
  void linkDown(link::LinkId Link);

  /// Marks a part as changed: it goes out whole with the next attachment,
  /// which is sent at once.
  void membersChanged();
  void upstreamsChanged();
  void workspacesChanged();

  /// Returns the lowest version that an entry which may still serve holds, or
  /// \p Highest where there is no such entry.
  [[nodiscard]] TableVersion heldByAll(TableVersion Highest) const;

  [[nodiscard]] std::size_t count() const { return m_Entries.size(); }

private:
  struct Entry {
    std::uint64_t m_Acked = 0;    ///< Highest sequence acknowledged.
    TimePoint m_AckedAt;          ///< When that acknowledgement came.
    TableVersion m_Version;       ///< That it has in force.
    bool m_SendMembers = true;    ///< Not yet sent since the last change.
    bool m_SendUpstreams = true;  ///< As above.
    bool m_SendWorkspaces = true; ///< As above.
  };
  /// An entry whose link closed may serve until its right has lapsed.
  struct Detached {
    TimePoint m_ServesUntil; ///< At the latest.
    TableVersion m_Version;  ///< That it held.
  };

  void attach(link::LinkId Link);
  void tick();
  void sendAll();
  void send(link::LinkId Link, Entry &Recipient);
  void addMembers(wire::AttachmentT &Out) const;
  void addUpstreams(wire::AttachmentT &Out) const;
  void addWorkspaces(wire::AttachmentT &Out) const;

  const Clock &m_Clock;                        ///< Outlives this object.
  link::Links &m_Links;                        ///< Outlives this object.
  AttachmentSource m_Source;                   ///< All set.
  Timer m_Timer;                               ///< For the next attachments.
  std::uint64_t m_Sequence = 0;                ///< Of the last attachment.
  std::map<link::LinkId, std::string> m_Names; ///< Entries with links, by name.
  std::map<link::LinkId, Entry> m_Entries;     ///< Attached now.
  std::vector<Detached> m_Detached;            ///< May still serve.
  std::function<void(TableVersion)> m_Held;    ///< May be empty.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_ENTRY_ATTACHMENTS_H
