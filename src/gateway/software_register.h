/// Keeps the register of software versions in the directory up to date.
///
/// The reader of the directory writes what is missing at once. All others wait
/// for a random time and write only what is still missing then, so that a fleet
/// of any size writes each row about once, and a reader that fails is replaced.
/// Nobody compares clocks: each instance goes by what it has seen itself.
#ifndef CROWSTEP_GATEWAY_SOFTWARE_REGISTER_H
#define CROWSTEP_GATEWAY_SOFTWARE_REGISTER_H

#include "core/metrics.h"
#include "core/scheduler.h"
#include "gateway/directory.h"
#include "gateway/software_history.h"

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace crowstep::gateway {

class SoftwareRegister {
public:
  /// Range of the random time after which others than the reader write a row
  /// that is still missing.
  static constexpr Duration MinWriteDelay = std::chrono::seconds(2);
  static constexpr Duration MaxWriteDelay = std::chrono::seconds(5);

  /// The same for an instance without a role, longer than the pause between two
  /// reads of the directory: a fleet that starts for the first time has no
  /// reader yet, and each of its instances would write.
  static constexpr Duration MinAloneDelay = std::chrono::seconds(4);
  static constexpr Duration MaxAloneDelay = std::chrono::seconds(7);

  /// The same for the removal of a row.
  static constexpr Duration MinRemovalDelay = std::chrono::seconds(5);
  static constexpr Duration MaxRemovalDelay = std::chrono::seconds(15);

  /// A version that leaves the history within this time isn't registered any
  /// more: instances see its last upstream go at different times, and some
  /// would write its row again right after another one has removed it.
  static constexpr Duration RemovalMargin = std::chrono::seconds(10);

  /// Upstreams of a version that isn't registered get no calls for this long.
  static constexpr Duration HoldTime = std::chrono::seconds(1);

  /// Versions leave the history with time alone, so it is checked this often.
  static constexpr Duration CheckInterval = std::chrono::seconds(1);

  /// No more versions of a service are registered: upstreams that each state
  /// another one must not fill the table. With two of them there is no sole
  /// version already.
  static constexpr std::size_t MaxVersions = 32;

  /// Effects on other parts.
  struct Events {
    /// Gets the upstreams that must get no new calls for now.
    std::function<void(const std::set<UpstreamId> &)> m_OnHeldBack;

    /// Gets the services with several versions, after each change, once the
    /// register has been read.
    std::function<void(const std::set<std::string> &)> m_OnMixed;
  };

  /// \p Random gives numbers between 0 and 1; the references outlive this
  /// object.
  SoftwareRegister(SoftwareHistory &History, Directory &Rows, const Clock &Time,
                   Scheduler &Timers, std::function<double()> Random,
                   Metrics &Stats, Events OnEvents);

  /// Sets the services with a resumable route; those of others aren't
  /// registered.
  void setServices(std::set<std::string> Resumable);

  void setUpstreams(const std::vector<Upstream> &List);

  /// Takes the whole register as read. For an instance without a role the
  /// random times begin anew, as others may have been found.
  void setRegister(const ServiceVersions &Registered);

  /// Sets the role of this instance; \p IsFirst is set for the reader that
  /// writes at once. A change begins the random times anew, in which that one
  /// has time to write.
  void setRole(ReadingRole Role, bool IsFirst);

  /// A stream of \p Service begins at a process that could not be proven.
  void recordUnproven(const std::string &Service);

private:
  /// A version of a service.
  using Entry = std::pair<std::string, std::string>;
  using DueTimes = std::map<Entry, TimePoint>;

  void update();
  void writeMissing();
  void removeDisused();
  void holdBack();
  void reportMixed();
  [[nodiscard]] bool isDue(DueTimes &Times, const Entry &Row, Duration Min,
                           Duration Max);
  [[nodiscard]] std::set<Entry> missingRows() const;
  [[nodiscard]] bool isResumable(const std::string &Service) const {
    return m_Services && m_Services->contains(Service);
  }

  SoftwareHistory &m_History;       ///< Outlives this object.
  Directory &m_Directory;           ///< Outlives this object.
  const Clock &m_Clock;             ///< Outlives this object.
  std::function<double()> m_Random; ///< Between 0 and 1.
  Events m_Events;                  ///< All set.
  Counter &m_Added;                 ///< Writes of rows.
  Counter &m_Removed;               ///< Removals of rows.
  std::optional<std::set<std::string>>
      m_Services; ///< See setServices(); none: not known yet.
  std::vector<Upstream> m_Upstreams;       ///< Listed.
  ReadingRole m_Role = ReadingRole::Alone; ///< See setRole().
  bool m_WritesAtOnce = false;             ///< See setRole().
  std::set<std::string> m_Unproven; ///< See recordUnproven(); seen lately.
  DueTimes m_MissingSince;          ///< Since when rows have been missing.
  DueTimes m_WritesDue;             ///< Of rows that are missing.
  DueTimes m_RemovalsDue;           ///< Of rows that are to be removed.
  TimePoint m_NextHoldEnd{};        ///< Of the upstreams held back; or none.
  std::set<UpstreamId> m_HeldBack;  ///< As reported.
  std::optional<std::set<std::string>> m_Mixed; ///< As reported.
  Timer m_Timer;                                ///< Until the next update().
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_SOFTWARE_REGISTER_H
