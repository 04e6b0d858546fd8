/// The table in force on one dispatcher, as a state machine without I/O.
///
/// Its input is typed events and the time, its output typed actions.
/// docs/TABLE.md explains why no change is reported as accepted while a lower
/// version is in use.
#ifndef CROWSTEP_CONTRACT_TABLE_CORE_H
#define CROWSTEP_CONTRACT_TABLE_CORE_H

#include "contract/table_change.h"

#include <list>
#include <map>
#include <random>
#include <set>

namespace crowstep::contract {

/// Holds the document in force.
class TableCore {
public:
  /// \p CommitPrefix must be unique over all processes and for all time.
  TableCore(TableKeeperConfig Config, std::string CommitPrefix, TimePoint Now);

  /// Handles one event. \p Now must be read for this call, not once for an
  /// iteration of the loop, as a stale time would make old confirmations look
  /// fresh.
  TableActions handle(TimePoint Now, const TableEvent &Event);

  /// Returns the document in force; version 0 before the first.
  [[nodiscard]] const TableDocument &document() const { return m_Document; }

  /// Returns whether this instance may take new work.
  [[nodiscard]] bool rightToServe(TimePoint Now) const;

  /// Returns whether this process knows every version that was accepted before
  /// it started.
  [[nodiscard]] bool hasCaughtUp() const { return m_CaughtUp; }

  /// Returns the version in force if it is known that no lower version is in
  /// use, else 0.
  [[nodiscard]] TableVersion settledVersion() const;

private:
  struct PeerState {
    InstanceId m_Instance; ///< At the other end.
    bool m_IsEntry = true; ///< Receives documents and is not probed.
    std::map<std::uint64_t, TimePoint> m_Probes; ///< Send times of unanswered
                                                 ///< probes, by sequence.
    TableVersion m_RequestedVersion;             ///< Last requested.
    TimePoint m_RequestedAt;                     ///< Time of the last request.
  };

  // One handler for each type of event.
  void on(const StoreRead &Event);
  void on(const StoreReadFailed &Event);
  void on(const StoreWritten &Event);
  void on(const StoreWriteFailed &Event);
  void on(const PeerUp &Event);
  void on(const PeerDown &Event);
  void on(const DocumentReceived &Event);
  void on(const DocumentRequested &Event);
  void on(const ProbeReceived &Event);
  void on(const ProbeAnswerReceived &Event);
  void on(const MembersChanged &Event);
  void on(const EntriesVersionChanged &Event);
  void on(const InstancesListed &Event);
  void on(const ChangeRequested &Event);
  void on(const Tick &Event);

  void adopt(const TableDocument &Document);
  void endReadingChanges(TimePoint SentAt);
  void applyRow(const RowImage &Row, TimePoint SentAt);
  std::optional<RowImage> decodeRow(const std::optional<platform::Row> &Row);
  void sendProbe(link::LinkId Link, PeerState &Peer);
  void probeIfDue();
  [[nodiscard]] TimePoint lastConfirmationOf(InstanceId Instance) const;
  void pollIfDue();
  void replaceVotersIfDue();
  void repairStoreIfDue();
  void writeRow(const TableDocument &Document, platform::RowVersion Expected);
  [[nodiscard]] bool maintainsRow() const;
  void requestIfNewer(link::LinkId Link, PeerState &Peer, TableVersion Version);
  void addConfirmations(ProbeAnswer &Answer) const;
  void findRemovedVoters();
  void updateCaughtUp();
  void publishIfChanged();
  void updateChanges();
  [[nodiscard]] TableVersion confirmedVersion() const;
  ChangeContext context() const;
  [[nodiscard]] Duration expiryDelay() const;
  [[nodiscard]] bool isSteady() const;
  Duration jittered(Duration Mean);
  CommitId nextCommitId();

  TableKeeperConfig m_Config; ///< As passed in.
  std::string m_CommitPrefix; ///< Unique to this process.
  InstanceId m_Self;          ///< Derived from the name.
  TimePoint m_StartedAt;      ///< Start of this process.
  TimePoint m_Now;            ///< Time of the present event.
  TableActions m_Out;         ///< Of the present event.
  std::mt19937_64 m_Random;   ///< For jitter and for choosing peers.

  TableDocument m_Document; ///< In force; its version never decreases.
  TimePoint m_AdoptedAt;    ///< When m_Document came into force here.
  std::optional<SettleWatch> m_Watch; ///< Of m_Document; none at version 0.
  bool m_CaughtUp = false;            ///< If not, this process sends no
                                      ///< confirmations of its own.
  TableVersion m_EntriesVersion;      ///< In force on all attached entries.
  TableVersion m_PublishedVersion;    ///< Last one published.
  ConfirmationTable m_Confirmations;  ///< By other instances and this one.

  std::map<link::LinkId, PeerState> m_Peers; ///< By open link.
  TimePoint m_NextProbe;                     ///< When peers are probed next.
  std::uint64_t m_LastSequence = 0;          ///< Of the last probe.

  std::size_t m_PendingReads = 0; ///< Reads without an answer.
  std::size_t m_FailedReads = 0;  ///< Reads that failed in a row.
  TimePoint m_NextRead;           ///< Earliest time of the next poll.
  std::optional<RowImage> m_Row;  ///< As last read, or in the answer to
                                  ///< a write.

  std::vector<membership::Member> m_Members; ///< All known members.
  std::set<std::string> m_Listed;        ///< In either of the last two lists.
  std::set<std::string> m_LastList;      ///< In the last list.
  std::size_t m_ListCount = 0;           ///< Lists received.
  std::set<std::string> m_RemovedVoters; ///< Voters that count as removed.

  std::list<ChangeProgress> m_Changes; ///< Operators' changes in progress.
  std::uint64_t m_LastCommit = 0;      ///< Part of the last commit id.
  Voters m_NextVoters;                 ///< As chosen last.
  TimePoint m_NextVotersSince;         ///< When m_NextVoters last changed.
  std::optional<CommitId> m_MaintenanceWrite; ///< Pending write that replaces
                                              ///< voters or repairs the row.
  TableDocument m_MaintenanceDocument; ///< Written by m_MaintenanceWrite.
  bool m_StoreIsBehind = false;        ///< m_Row is older than m_Document, and
                                       ///< a repair is due.
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_CORE_H
