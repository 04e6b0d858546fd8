/// TableCore: handlers of events, and the right to serve.
#include "contract/table_core.h"

#include "contract/contract_error.h"
#include "contract/contract_func.h"
#include "contract/table_commit.h"

#include <algorithm>

namespace crowstep::contract {

namespace {

std::uint64_t seedOf(const TableKeeperConfig &Config) {
  return Config.m_Seed != 0 ? Config.m_Seed
                            : instanceIdOf(Config.m_Name).value() ^
                                  Config.m_Incarnation.value();
}

} // namespace

TableCore::TableCore(TableKeeperConfig Config, std::string CommitPrefix,
                     TimePoint Now)
    : m_Config(std::move(Config)), m_CommitPrefix(std::move(CommitPrefix)),
      m_Self(instanceIdOf(m_Config.m_Name)), m_StartedAt(Now), m_Now(Now),
      m_Random(seedOf(m_Config)), m_NextProbe(Now), m_NextVotersSince(Now) {
  // Spreads the first reads of instances that start at the same time.
  std::uniform_int_distribution<Duration::rep> Delay(
      0, m_Config.m_PollInterval.count() / 2);
  m_NextRead = Now + Duration(Delay(m_Random));
}

TableActions TableCore::handle(TimePoint Now, const TableEvent &Event) {
  m_Now = std::max(m_Now, Now);
  m_Out.clear();
  std::visit([this](const auto &Alternative) { on(Alternative); }, Event);
  updateCaughtUp();
  if (m_CaughtUp)
    m_Confirmations.add(m_Self,
                        {m_Config.m_Incarnation, m_Document.version(), m_Now});
  if (m_Watch)
    m_Watch->update(m_Confirmations, m_RemovedVoters, m_Now);
  updateChanges();
  publishIfChanged();
  return std::move(m_Out);
}

bool TableCore::rightToServe(TimePoint Now) const {
  if (!m_CaughtUp || m_Document.version() == TableVersion())
    return false;
  const TableVersion Version = m_Document.version();
  const std::optional<StoreConfirmation> &Store = m_Confirmations.store();
  if (Store && Store->m_Version <= Version &&
      Now < Store->m_ConfirmedAt + m_Config.m_RightDuration)
    return true;
  const auto MajorityTime = m_Confirmations.lastMajorityTime(
      m_Document.m_Voters, Version, m_Self, true);
  return MajorityTime && (*MajorityTime == TimePoint::max() ||
                          Now < *MajorityTime + m_Config.m_RightDuration);
}

TableVersion TableCore::settledVersion() const {
  return m_Watch && m_Watch->isSettled() ? m_Watch->version() : TableVersion();
}

// ---- The table service ----

void TableCore::on(const StoreRead &Event) {
  m_PendingReads -= m_PendingReads > 0 ? 1 : 0;
  m_FailedReads = 0;
  const std::optional<RowImage> Row = decodeRow(Event.m_Row);
  if (!Row) {
    endReadingChanges(Event.m_SentAt);
    return;
  }
  applyRow(*Row, Event.m_SentAt);
  for (ChangeProgress &Change : m_Changes)
    if (Event.m_SentAt >= Change.requestedAt())
      Change.onRowRead(context(), *Row, m_Out);
}

void TableCore::on(const StoreReadFailed &Event) {
  m_PendingReads -= m_PendingReads > 0 ? 1 : 0;
  constexpr std::size_t MaxBackoffExponent = 2; // 4 intervals.
  const Duration Wait = m_Config.m_PollInterval *
                        (1 << std::min(m_FailedReads, MaxBackoffExponent));
  ++m_FailedReads;
  m_NextRead = m_Now + jittered(Wait);
  endReadingChanges(Event.m_SentAt);
}

/// Ends the changes that a read sent at \p SentAt, which gave no row, was for.
/// Later ones wait for their own.
void TableCore::endReadingChanges(TimePoint SentAt) {
  for (ChangeProgress &Change : m_Changes)
    if (SentAt >= Change.requestedAt())
      Change.onReadFailed(m_Out);
}

void TableCore::on(const StoreWritten &Event) {
  const bool Written = Event.m_Outcome.m_Written;
  const std::optional<RowImage> Present =
      decodeRow(Event.m_Outcome.m_CurrentRow);
  if (Present)
    m_Row = Present;
  if (m_MaintenanceWrite == Event.m_Commit) {
    m_MaintenanceWrite.reset();
    if (Written) {
      m_Out.push_back(
          Notify{TableNotice::RowReplaced,
                 std::to_string(m_MaintenanceDocument.version().value())});
      adopt(m_MaintenanceDocument);
    }
    return;
  }
  for (ChangeProgress &Change : m_Changes)
    if (Change.commitId() == Event.m_Commit && (Written || Present))
      Change.onWritten(context(), Written ? std::nullopt : Present, m_Out);
    else if (Change.commitId() == Event.m_Commit)
      Change.onWriteFailed(context(), platform::PlatformFailure::Uncertain,
                           m_Out);
}

void TableCore::on(const StoreWriteFailed &Event) {
  if (m_MaintenanceWrite == Event.m_Commit)
    m_MaintenanceWrite.reset();
  for (ChangeProgress &Change : m_Changes)
    if (Change.commitId() == Event.m_Commit)
      Change.onWriteFailed(context(), Event.m_Failure, m_Out);
}

std::optional<RowImage>
TableCore::decodeRow(const std::optional<platform::Row> &Row) {
  if (!Row)
    return RowImage();
  try {
    return RowImage{Row->m_Version, decodeDocument(Row->m_Value)};
  } catch (const Error &Failure) {
    m_Out.push_back(Notify{TableNotice::RowUnreadable, Failure.what()});
    return std::nullopt;
  }
}

void TableCore::applyRow(const RowImage &Row, TimePoint SentAt) {
  m_Row = Row;
  m_NextRead = m_Now + jittered(m_Config.m_PollInterval);
  const TableVersion Version = Row.m_Document.version();
  // An older version is expected in a read that was sent before the document
  // came into force. In a later read it means that the table service has lost
  // writes: the document stays in force, and the read is not a confirmation.
  m_StoreIsBehind = Version < m_Document.version() && SentAt > m_AdoptedAt;
  if (m_StoreIsBehind) {
    m_Out.push_back(
        Notify{TableNotice::StoreWentBack, std::to_string(Version.value())});
    return;
  }
  adopt(Row.m_Document);
  m_Confirmations.addStore({Version, SentAt});
}

// ---- Documents ----

void TableCore::adopt(const TableDocument &Document) {
  if (Document.version() <= m_Document.version())
    return;
  m_Document = Document;
  findRemovedVoters(); // Among the voters of this document.
  m_AdoptedAt = m_Now;
  m_NextProbe = m_Now;
  m_Watch.emplace(Document.version(), Document.m_Quorums, m_Now, expiryDelay());
  m_Out.push_back(TableChanged());
  // Entries get the document at once. Peers get a probe with the version and
  // request the document unless another peer has sent it already, so that each
  // instance receives it about once.
  for (auto &[Link, Peer] : m_Peers)
    if (Peer.m_IsEntry)
      m_Out.push_back(SendDocument{Link});
    else
      sendProbe(Link, Peer);
}

void TableCore::on(const DocumentReceived &Event) { adopt(Event.m_Document); }

void TableCore::on(const DocumentRequested &Event) {
  if (m_Document.version() != TableVersion())
    m_Out.push_back(SendDocument{Event.m_Link});
}

void TableCore::requestIfNewer(link::LinkId Link, PeerState &Peer,
                               TableVersion Version) {
  constexpr std::chrono::milliseconds RequestTimeout{500};
  if (Version <= m_Document.version())
    return;
  const bool IsRequested = std::ranges::any_of(m_Peers, [&](const auto &Other) {
    return Other.second.m_RequestedVersion >= Version &&
           m_Now < Other.second.m_RequestedAt + RequestTimeout;
  });
  if (IsRequested)
    return;
  Peer.m_RequestedVersion = Version;
  Peer.m_RequestedAt = m_Now;
  m_Out.push_back(RequestDocument{Link, Version});
}

// ---- Peers ----

void TableCore::on(const PeerUp &Event) {
  PeerState &Peer = m_Peers[Event.m_Link];
  Peer.m_Instance = Event.m_Instance;
  Peer.m_IsEntry = Event.m_IsEntry;
  if (!Peer.m_IsEntry)
    sendProbe(Event.m_Link, Peer);
  else if (m_Document.version() != TableVersion())
    m_Out.push_back(SendDocument{Event.m_Link});
}

void TableCore::on(const PeerDown &Event) { m_Peers.erase(Event.m_Link); }

void TableCore::on(const MembersChanged &Event) {
  m_Members = Event.m_Members;
  findRemovedVoters();
}

void TableCore::on(const EntriesVersionChanged &Event) {
  m_EntriesVersion = Event.m_Version;
}

void TableCore::on(const InstancesListed &Event) {
  const std::set<std::string> Names(Event.m_Names.begin(), Event.m_Names.end());
  m_Listed = m_LastList;
  m_Listed.insert(Names.begin(), Names.end());
  m_LastList = Names;
  ++m_ListCount;
  findRemovedVoters();
}

/// Finds voters that count as removed. Without this, a fleet that was replaced
/// as a whole under new names could never settle a version again, as it would
/// wait for the old voters for ever. The list lags, so a voter counts as
/// removed only if it is absent from two lists in a row and is not a present
/// member.
void TableCore::findRemovedVoters() {
  m_RemovedVoters.clear();
  if (m_ListCount < 2)
    return;
  std::vector<Voters> Lists = m_Document.m_Quorums;
  Lists.push_back(m_Document.m_Voters);
  for (const Voters &List : Lists)
    for (const std::string &Name : List)
      if (!m_Listed.contains(Name) && !isPresent(m_Members, Name))
        m_RemovedVoters.insert(Name);
}

// ---- Catching up and publishing ----

void TableCore::updateCaughtUp() {
  if (m_CaughtUp)
    return;
  const TableVersion Version = m_Document.version();
  const std::optional<StoreConfirmation> &Store = m_Confirmations.store();
  const auto MajorityTime = m_Confirmations.lastMajorityTime(
      m_Document.m_Voters, Version, m_Self, false);
  m_CaughtUp = (Store && Store->m_Version <= Version &&
                Store->m_ConfirmedAt >= m_StartedAt) ||
               (MajorityTime && *MajorityTime >= m_StartedAt);
  if (m_CaughtUp)
    m_Out.push_back(
        Notify{TableNotice::CaughtUp, std::to_string(Version.value())});
}

TableVersion TableCore::confirmedVersion() const {
  return m_CaughtUp ? std::min(m_Document.version(), m_EntriesVersion)
                    : TableVersion();
}

void TableCore::publishIfChanged() {
  if (confirmedVersion() == m_PublishedVersion)
    return;
  m_PublishedVersion = confirmedVersion();
  m_Out.push_back(PublishVersion{m_PublishedVersion});
}

// ---- Changes ----

void TableCore::on(const ChangeRequested &Event) {
  m_Changes.emplace_back(Event, nextCommitId(), m_Now,
                         m_Now + m_Config.m_AcceptTimeout);
  ++m_PendingReads;
  m_Out.push_back(ReadStore());
}

void TableCore::updateChanges() {
  for (ChangeProgress &Change : m_Changes) {
    if (const auto Committed = Change.takeCommitted())
      adopt(*Committed);
    Change.update(context(), m_Out);
  }
  std::erase_if(m_Changes,
                [](const auto &Change) { return Change.isFinished(); });
}

ChangeContext TableCore::context() const {
  return {m_Now,
          m_Document.version(),
          settledVersion(),
          confirmedVersion(),
          m_Self,
          chooseVoters(m_Document.m_Voters, m_Members, m_Config.m_MaxVoters),
          expiryDelay(),
          m_Confirmations,
          m_RemovedVoters,
          m_Members};
}

Duration TableCore::expiryDelay() const {
  return m_Config.m_RightDuration + m_Config.m_EntryRightDuration +
         m_Config.m_Margin;
}

CommitId TableCore::nextCommitId() {
  return m_CommitPrefix + "/" + std::to_string(++m_LastCommit);
}

Duration TableCore::jittered(Duration Mean) {
  std::uniform_int_distribution<Duration::rep> Distribution(
      Mean.count() * 3 / 4, Mean.count() * 5 / 4);
  return Duration(Distribution(m_Random));
}

} // namespace crowstep::contract
