/// The table in force on one dispatcher, as a state machine without I/O.
///
/// Typed events and the time go in, typed actions come out. docs/TABLE.md
/// argues why no change is called accepted while a lower version is in use.
#ifndef CROWSTEP_CONTRACT_TABLE_CORE_H
#define CROWSTEP_CONTRACT_TABLE_CORE_H

#include "contract/table_change.h"

#include <list>
#include <map>
#include <random>
#include <set>

namespace crowstep::contract {

/// Keeps the document in force.
class TableCore {
public:
  /// \p CommitPrefix must differ from that of every other process ever.
  TableCore(TableKeeperConfig Config, std::string CommitPrefix, TimePoint Now);

  /// Takes one event; \p Now must be read just now, not once an iteration of
  /// the loop: a stale time would make old knowledge look fresh.
  TableActions handle(TimePoint Now, const TableEvent &Event);

  /// Returns the document in force; version 0 before the first.
  [[nodiscard]] const TableDocument &document() const { return m_Document; }

  /// Returns whether this instance may take new work.
  [[nodiscard]] bool rightToServe(TimePoint Now) const;

  /// Returns whether this process knows all that was accepted at its start.
  [[nodiscard]] bool caughtUp() const { return m_CaughtUp; }

  /// Returns the version below which none is in use any more, as far as this
  /// process knows.
  [[nodiscard]] TableVersion settledVersion() const;

private:
  struct PeerState {
    InstanceId m_Who;      ///< Other end.
    bool m_IsEntry = true; ///< Gets documents, is not probed.
    std::map<std::uint64_t, TimePoint> m_Probes; ///< Unanswered, by sequence,
                                                 ///< and when composed.
    TableVersion m_Wanted;                       ///< Last asked for there.
    TimePoint m_WantedAt; ///< When the document was last asked for.
  };

  // One handler an event.
  void on(const StoreRead &Event);
  void on(const StoreReadFailed &Event);
  void on(const StoreWritten &Event);
  void on(const StoreWriteFailed &Event);
  void on(const PeerUp &Event);
  void on(const PeerDown &Event);
  void on(const DocumentArrived &Event);
  void on(const DocumentWanted &Event);
  void on(const ProbeArrived &Event);
  void on(const ProbeAnswered &Event);
  void on(const MembersChanged &Event);
  void on(const EntriesHold &Event);
  void on(const InstancesListed &Event);
  void on(const ChangeAsked &Event);
  void on(const Tick &Event);

  void adopt(const TableDocument &Fresh);
  void learnRow(const RowImage &Row, TimePoint SentAt);
  std::optional<RowImage> imageOf(const std::optional<platform::Row> &Row);
  void probe(link::LinkId Link, PeerState &Peer);
  void probeSome();
  [[nodiscard]] TimePoint lastWordOf(InstanceId Who) const;
  void pollIfDue();
  void replaceVotersIfDue();
  void writeVoters(const Voters &Wanted);
  void repairStoreIfDue();
  void writeRow(const TableDocument &Fresh, platform::RowVersion Expected);
  [[nodiscard]] bool keepsRow() const;
  void want(link::LinkId Link, PeerState &Peer, TableVersion Version);
  void addVouches(ProbeAnswer &Answer) const;
  void findGone();
  void catchUp();
  void publish();
  void updateChanges();
  [[nodiscard]] TableVersion confirmed() const;
  ChangeContext context() const;
  [[nodiscard]] Duration lapse() const;
  [[nodiscard]] bool calm() const;
  Duration jittered(Duration Around);
  CommitId nextCommit();

  TableKeeperConfig m_Config; ///< As given.
  std::string m_CommitPrefix; ///< Unique to this process.
  InstanceId m_Self;          ///< From the name.
  TimePoint m_Start;          ///< Of this process.
  TimePoint m_Now;            ///< Of the event under way.
  TableActions m_Out;         ///< Of the event under way.
  std::mt19937_64 m_Random;   ///< For jitter and the choice of peers.

  TableDocument m_Document; ///< In force; its version never decreases.
  TimePoint m_AdoptedAt;    ///< When m_Document came into force here.
  std::optional<SettleWatch> m_Watch; ///< Of m_Document; none at version 0.
  bool m_CaughtUp = false;            ///< Only then does this process vouch.
  TableVersion m_EntriesHold;         ///< Held by all attached entries.
  TableVersion m_Published;           ///< Last told to the membership.
  VouchTable m_Known;                 ///< Freshest vouches of the others.

  std::map<link::LinkId, PeerState> m_Peers; ///< Links that are up.
  TimePoint m_NextProbe;                     ///< Of some peers.
  std::uint64_t m_LastSequence = 0;          ///< Of probes.

  std::size_t m_Reads = 0;       ///< Reads under way.
  std::size_t m_Failed = 0;      ///< Reads that failed in a row.
  TimePoint m_NextRead;          ///< No poll before this.
  std::optional<RowImage> m_Row; ///< As last read or written here.

  std::vector<membership::Member> m_Members; ///< As last told.
  std::set<std::string> m_Listed;            ///< In the last two lists.
  std::set<std::string> m_LastList;          ///< In the last list.
  std::size_t m_Lists = 0;                   ///< Lists told so far.
  std::set<std::string> m_Gone;              ///< Voters gone for good.

  std::list<ChangeProgress> m_Changes; ///< Operators' changes under way.
  std::uint64_t m_LastCommit = 0;      ///< Makes commit ids unique.
  Voters m_WantedVoters;               ///< As of the last tick.
  TimePoint m_WantedSince;             ///< Unchanged since.
  std::optional<CommitId> m_OwnWrite;  ///< Write of no operator under way.
  TableDocument m_OwnDocument;         ///< What m_OwnWrite writes.
  bool m_StoreWentBack = false;        ///< m_Row is older than m_Document.
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_CORE_H
