/// The operators' table in force: reads, spreads, commits and confirms it.
///
/// The state machine without I/O is in table_core.h; this class ties it to the
/// table service, the membership and the links.
#ifndef CROWSTEP_CONTRACT_TABLE_KEEPER_H
#define CROWSTEP_CONTRACT_TABLE_KEEPER_H

#include "contract/table_type.h"
#include "core/metrics.h"
#include "core/scheduler.h"
#include "link/link_type.h"
#include "membership/membership.h"
#include "platform/platform_type.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crowstep::contract {

/// Keeps the table in force on one dispatcher.
class TableKeeper {
public:
  TableKeeper(const TableKeeperConfig &Config, const Clock &Time,
              Scheduler &Timers, platform::TableService &Store,
              membership::Membership &Fleet, link::Links &Wire, Metrics &Stats);
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

  /// Tells what the platform's instance list holds, each time it was read. A
  /// voter that is in no list and not heard either is gone for good.
  void instancesListed(const std::vector<std::string> &Names);

  /// Returns whether this instance may take new work. Reads the clock anew, so
  /// that a process that wakes from a freeze gets the right answer.
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

  /// Tells the last changes, newest first. They are part of the document in
  /// force, so that an outage of the table service does not hide them.
  void history(const std::function<void(std::vector<HistoryEntry>)> &Done);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl; ///< Never null.
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_KEEPER_H
