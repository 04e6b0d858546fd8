/// The operators' table in force: reads, spreads, commits and confirms it.
///
/// The state machine without I/O is in table_core.h; this class ties it to the
/// table service, the membership and the links.
#ifndef CROWSTEP_CONTRACT_TABLE_KEEPER_H
#define CROWSTEP_CONTRACT_TABLE_KEEPER_H

#include "contract_type.h"
#include "core/metrics.h"
#include "core/scheduler.h"
#include "link/link_type.h"
#include "membership/membership.h"
#include "platform/platform_type.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace crowstep::contract {

/// How fast the table spreads and when the right to serve lapses.
struct TableKeeperConfig {
  Duration m_PollInterval = std::chrono::seconds(1); ///< Of the table service.
  Duration m_RightToServe = std::chrono::seconds(3); ///< Without any news.
  Duration m_AcceptLimit = std::chrono::seconds(7);  ///< Then "pending".
};

/// The change holds everywhere.
struct ChangeAccepted {
  TableVersion m_Version; ///< Of the table with the change.
};
/// The change is committed but not yet confirmed everywhere; it will hold.
struct ChangePending {
  TableVersion m_Version;                 ///< Of the table with the change.
  std::vector<std::string> m_Unconfirmed; ///< Names of the instances.
};
/// Another operator's change came first.
struct ChangeConflict {
  TableVersion m_Present;                ///< Version in the table service.
  std::vector<std::string> m_Difference; ///< Lines "class.column: a -> b".
};
/// The table service did not answer; nothing is known to be written.
struct ChangeUnavailable {
  bool m_MayHaveCommitted = false; ///< The write's answer was lost.
};

using ChangeOutcome = std::variant<ChangeAccepted, ChangePending,
                                   ChangeConflict, ChangeUnavailable>;

/// One line of the history.
struct HistoryEntry {
  TableVersion m_Version; ///< Which version.
  std::string m_Operator; ///< Who committed it.
  std::string m_Time;     ///< Wall clock of the committing instance; display
                          ///< only.
};

/// Keeps the table in force on one dispatcher.
class TableKeeper {
public:
  TableKeeper(TableKeeperConfig Config, const Clock &Time, Scheduler &Timers,
              platform::TableService &Store, membership::Membership &Fleet,
              link::Links &Wire, Metrics &Stats);
  ~TableKeeper();
  TableKeeper(const TableKeeper &) = delete;
  TableKeeper &operator=(const TableKeeper &) = delete;

  /// Begins to read the table service.
  void start();

  /// The daemon passes on what its links report, entries' included.
  void linkUp(link::LinkId Link, const link::Peer &Who);
  void linkFrame(link::LinkId Link, const wire::Frame &Frame);
  void linkDown(link::LinkId Link, const link::Peer &Who,
                link::CloseReason Why);

  /// Returns the table in force; version 0 before the first.
  [[nodiscard]] const ContractTable &table() const;

  /// Calls \p Job after each new version.
  void onChange(std::function<void()> Job);

  /// Tells that every entry attached here holds at least \p Version or has
  /// lost its right to serve; only then is this instance's version confirmed.
  void entriesHold(TableVersion Version);

  /// Returns whether this instance may take new work.
  [[nodiscard]] bool rightToServe() const;

  /// Tries \p Changed without effect: returns what it would alter.
  /// \throws TableCellError where it is not valid.
  [[nodiscard]] std::vector<std::string>
  tryChange(const ContractTable &Changed) const;

  /// Commits \p Changed against the version \p Read that the operator saw and
  /// reports once it holds everywhere. \throws TableCellError.
  void change(const ContractTable &Changed, TableVersion Read,
              const std::string &Operator,
              std::function<void(ChangeOutcome)> Done);

  /// Reads the last changes from the table service, newest first.
  void history(std::function<void(std::vector<HistoryEntry>)> Done);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl; ///< Never null.
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_KEEPER_H
