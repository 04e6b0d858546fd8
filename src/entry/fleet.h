/// The entry's links to the fleet's dispatchers.
///
/// One of them is the home: its word on members, upstreams and workspaces
/// counts. Every dispatcher that is linked counts this entry among those whose
/// table version it waits for, so all attachments are acknowledged.
#ifndef CROWSTEP_ENTRY_FLEET_H
#define CROWSTEP_ENTRY_FLEET_H

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

/// A home whose link is down for longer is left for the next one.
inline constexpr Duration HomePatience = std::chrono::milliseconds(500);

class Fleet final : public link::LinkListener {
public:
  Fleet(std::vector<Address> Homes, const Clock &Time, Scheduler &Timers,
        Directory &Known);

  /// Begins to dial over \p Wire, which outlives this object's use.
  void start(link::Links &Wire);

  /// Returns whether new work may be taken, by Clock::fresh().
  [[nodiscard]] bool rightToServe() const;

  /// Returns whether the home wants the balancer to look elsewhere.
  [[nodiscard]] bool draining() const { return m_Draining; }

  /// Returns the link to the owner of \p Pool, or none.
  [[nodiscard]] link::LinkId linkToOwner(PoolId Pool) const;

  /// Returns the link to the claim home \p Index, if it is up.
  [[nodiscard]] std::optional<link::LinkId>
  linkToClaimHome(std::uint64_t Index) const;

  /// Returns the members as the home sees them.
  [[nodiscard]] const std::vector<membership::Member> &members() const {
    return m_Members;
  }

  /// Returns the link to a member, or none.
  [[nodiscard]] link::LinkId linkTo(InstanceId Id) const;

  [[nodiscard]] link::Links &links() { return *m_Links; }

  /// Sets what runs when owners or links have changed, and for each frame.
  void onRoutes(std::function<void()> Job) { m_Routes = std::move(Job); }
  void onUpstreams(std::function<void()> Job) { m_Upstreams = std::move(Job); }
  void onTable(std::function<void()> Job) { m_Table = std::move(Job); }
  void onFrame(std::function<void(link::LinkId, const wire::Frame &)> Job) {
    m_Frame = std::move(Job);
  }

  void linkUp(link::LinkId Link, const link::Peer &Who) override;
  void linkFrame(link::LinkId Link, const wire::Frame &Frame) override;
  void linkDown(link::LinkId Link, const link::Peer &Who,
                link::CloseReason Why) override;
  void dialFailed(const Address &Where, link::CloseReason Why) override;

private:
  /// What one dispatcher has told, kept for the time when it is the home.
  struct Neighbour {
    link::Peer m_Peer;                         ///< Who.
    std::uint64_t m_Sequence = 0;              ///< Last one seen.
    std::map<std::uint64_t, TimePoint> m_Sent; ///< Acknowledgements sent.
    TimePoint m_ServesUntil;                   ///< By the last echo.
    bool m_Right = false;                      ///< As last told.
    bool m_Attached = false;                   ///< Was asked for attachments.
    std::vector<membership::Member> m_Members; ///< As last told whole.
    std::vector<Upstream> m_Upstreams;         ///< As above.
    std::vector<WorkspaceRow> m_Workspaces;    ///< As above.
  };

  void attachment(link::LinkId Link, Neighbour &From,
                  const wire::Attachment &What);
  void tableUpdate(const wire::TableUpdate &What);
  void acknowledge(link::LinkId Link, Neighbour &To);
  void sendAcknowledgement(link::LinkId Link, std::uint64_t Sequence);
  void attachToHome();
  [[nodiscard]] Neighbour *home();
  void useHome();
  void redial();
  void watchHome();

  std::vector<Address> m_Homes;              ///< At least one.
  std::size_t m_Home = 0;                    ///< Index of the present one.
  const Clock &m_Clock;                      ///< Outlives this object.
  Directory &m_Directory;                    ///< Outlives this object.
  link::Links *m_Links = nullptr;            ///< Null before start().
  Timer m_Patience;                          ///< Runs while home is down.
  std::map<link::LinkId, Neighbour> m_Up;    ///< Links that are up.
  std::set<Address> m_Dialled;               ///< Wanted links.
  std::vector<membership::Member> m_Members; ///< Of the home.
  bool m_Draining = false;                   ///< Of the home.
  std::function<void()> m_Routes;            ///< May be empty.
  std::function<void()> m_Upstreams;         ///< May be empty.
  std::function<void()> m_Table;             ///< May be empty.
  std::function<void(link::LinkId, const wire::Frame &)> m_Frame; ///< As set.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_FLEET_H
