/// Keeps the operators' table in force: reads, propagates and changes it.
///
/// This class connects the state machine in table_core.h, which does no I/O, to
/// the table service, the membership and the links.
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

/// Keeps the operators' table in force on one dispatcher.
class TableKeeper {
public:
  TableKeeper(const TableKeeperConfig &Config, const Clock &Time,
              Scheduler &Timers, platform::TableService &Store,
              membership::Membership &Fleet, link::Links &Links,
              Metrics &Stats);
  ~TableKeeper();
  TableKeeper(const TableKeeper &) = delete;
  TableKeeper &operator=(const TableKeeper &) = delete;

  /// Starts to read the table service and to probe peers.
  void start();

  // Called by the daemon for all its links, including those to entries.
  void linkUp(link::LinkId Link, const link::Peer &Peer);
  void linkFrame(link::LinkId Link, const wire::Frame &Frame);
  void linkDown(link::LinkId Link, const link::Peer &Peer,
                link::CloseReason Reason);

  /// Returns the table in force; version 0 before the first.
  [[nodiscard]] const ContractTable &table() const;

  /// Registers \p Listener, which is called after each new version.
  void onChange(std::function<void()> Listener);

  /// Sets the lowest version that an attached entry with a right to serve may
  /// have in force. This instance confirms no higher version.
  void setEntriesVersion(TableVersion Version);

  /// Must be called each time the platform's instance list was read. A voter
  /// that is in neither of the last two lists, and is not a present member,
  /// counts as removed.
  void instancesListed(const std::vector<std::string> &Names);

  /// Returns whether this instance may take new work. Reads the clock, so that
  /// the answer is correct after the process was suspended.
  [[nodiscard]] bool rightToServe() const;

  /// Returns the differences that change() would make, without making them.
  /// \throws TableCellError if \p Changed is not valid.
  [[nodiscard]] std::vector<std::string>
  tryChange(const ContractTable &Changed) const;

  /// Replaces the rows by those of \p Changed, unless they were changed after
  /// \p BaseVersion, which the operator read. Calls \p Done with the outcome
  /// when the change is in force everywhere or can't be accepted in time.
  /// \throws TableCellError if \p Changed is not valid.
  void change(const ContractTable &Changed, TableVersion BaseVersion,
              const std::string &Operator,
              std::function<void(ChangeOutcome)> Done);

  /// Calls \p Done with the last changes, newest first. They are part of the
  /// document in force and so available when the table service is not.
  void history(const std::function<void(std::vector<HistoryEntry>)> &Done);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl; ///< Never null.
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_KEEPER_H
