/// Events and actions of TableCore.
#ifndef CROWSTEP_CONTRACT_TABLE_CORE_TYPE_H
#define CROWSTEP_CONTRACT_TABLE_CORE_TYPE_H

#include "contract/table_document.h"
#include "contract/table_type.h"
#include "link/link_type.h"
#include "membership/membership_type.h"
#include "platform/platform_type.h"

#include <optional>

namespace crowstep::contract {

/// Identifies a change that an operator requested of this process.
using ChangeId = StrongId<struct ChangeTag, std::uint64_t>;

/// A voter's confirmation as a peer passes it on.
struct RelayedConfirmation {
  InstanceId m_Instance;     ///< The voter.
  Incarnation m_Incarnation; ///< Of the voter.
  TableVersion m_Version;    ///< In force on the voter.
  Duration m_Age{};          ///< At the time of the peer's answer.
};

/// The freshest read of the table service as a peer passes it on.
struct RelayedStoreConfirmation {
  TableVersion m_Version; ///< Of the row.
  Duration m_Age{};       ///< At the time of the peer's answer.
};

/// Answer to a probe.
struct ProbeAnswer {
  std::uint64_t m_Sequence = 0;                    ///< Of the probe.
  TableVersion m_Version;                          ///< In force on the peer.
  std::optional<RelayedStoreConfirmation> m_Store; ///< None: no read is known.
  std::vector<RelayedConfirmation>
      m_Confirmations; ///< By voters of the document
                       ///< and its quorums.
};

// ---- Events ----

/// The row was read; none if it does not exist.
struct StoreRead {
  TimePoint m_SentAt;                 ///< Time before the call was sent.
  std::optional<platform::Row> m_Row; ///< As read.
};
struct StoreReadFailed {
  TimePoint m_SentAt; ///< Time before the call was sent.
};
/// The table service answered a write.
struct StoreWritten {
  CommitId m_Commit;              ///< As in WriteStore.
  platform::RowOutcome m_Outcome; ///< Written or not, and the present row.
};
struct StoreWriteFailed {
  CommitId m_Commit;                   ///< As in WriteStore.
  platform::PlatformFailure m_Failure; ///< Refused or uncertain.
};
struct PeerUp {
  link::LinkId m_Link;   ///< The new link.
  InstanceId m_Instance; ///< At the other end.
  bool m_IsEntry = true; ///< Entries receive documents and are not probed.
};
struct PeerDown {
  link::LinkId m_Link; ///< The closed link.
};
struct DocumentReceived {
  link::LinkId m_Link;      ///< From the sender.
  TableDocument m_Document; ///< Validated.
};
struct DocumentRequested {
  link::LinkId m_Link; ///< From the requester.
};
struct ProbeReceived {
  link::LinkId m_Link;          ///< From the prober.
  std::uint64_t m_Sequence = 0; ///< To be returned in the answer.
  TableVersion m_Version;       ///< In force on the prober.
};
struct ProbeAnswerReceived {
  link::LinkId m_Link;  ///< From the answering peer.
  ProbeAnswer m_Answer; ///< As received.
};
struct MembersChanged {
  std::vector<membership::Member> m_Members; ///< All known members.
};
struct EntriesVersionChanged {
  TableVersion m_Version; ///< In force, or a later one, on each attached entry.
};
struct InstancesListed {
  std::vector<std::string> m_Names; ///< In the platform's instance list.
};
struct ChangeRequested {
  ChangeId m_Id;                     ///< Returned in FinishChange.
  std::vector<Contract> m_Contracts; ///< All rows of the new table; validated.
  TableVersion m_BaseVersion;        ///< The version that the operator read.
  std::string m_Operator;            ///< For the history.
  std::string m_Time;                ///< Wall-clock time, for the history.
};
/// Sent several times a second.
struct Tick {};

using TableEvent =
    std::variant<StoreRead, StoreReadFailed, StoreWritten, StoreWriteFailed,
                 PeerUp, PeerDown, DocumentReceived, DocumentRequested,
                 ProbeReceived, ProbeAnswerReceived, MembersChanged,
                 EntriesVersionChanged, InstancesListed, ChangeRequested, Tick>;

// ---- Actions ----

/// Reads the row "current".
struct ReadStore {};
/// Writes the row "current" conditionally.
struct WriteStore {
  CommitId m_Commit;          ///< Returned in the answer.
  platform::RowWrite m_Write; ///< The conditional write.
};
/// Sends the document in force.
struct SendDocument {
  link::LinkId m_Link; ///< To the receiver.
};
/// Requests a document.
struct RequestDocument {
  link::LinkId m_Link;    ///< To the peer that has it.
  TableVersion m_Version; ///< Lowest version wanted.
};
struct SendProbe {
  link::LinkId m_Link;          ///< To the peer.
  std::uint64_t m_Sequence = 0; ///< Returned in the answer.
  TableVersion m_Version;       ///< In force on this instance.
};
struct SendProbeAnswer {
  link::LinkId m_Link;  ///< To the prober.
  ProbeAnswer m_Answer; ///< To be sent.
};
/// Publishes, through the membership, the version that is in force on this
/// instance and its entries.
struct PublishVersion {
  TableVersion m_Version; ///< 0 until it has caught up after its start.
};
/// A new document is in force.
struct TableChanged {};
struct FinishChange {
  ChangeId m_Id;           ///< As in ChangeRequested.
  ChangeOutcome m_Outcome; ///< To be reported to the operator.
};
/// A log event; enumerators match the names in table/contract_events.inc.
enum class TableNotice : std::uint8_t {
  CaughtUp,      ///< All versions accepted before the start are known.
  StoreWentBack, ///< The table service returned an older version.
  RowUnreadable, ///< The row does not hold a valid table.
  RowReplaced,   ///< This process wrote new voters or repaired the row.
};
struct Notify {
  TableNotice m_Notice; ///< The event.
  std::string m_Detail; ///< Version or error, for the log.
};

using TableAction =
    std::variant<ReadStore, WriteStore, SendDocument, RequestDocument,
                 SendProbe, SendProbeAnswer, PublishVersion, TableChanged,
                 FinishChange, Notify>;
using TableActions = std::vector<TableAction>;

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_CORE_TYPE_H
