/// TableCore: periodic work (probes, polls, replacement of voters, repair).
#include "contract/table_commit.h"
#include "contract/table_core.h"

#include <algorithm>

namespace crowstep::contract {

namespace {

constexpr std::chrono::minutes ConfirmationLifetime{1};
constexpr std::chrono::seconds FastProbePeriod{1}; ///< After a new version.
constexpr std::size_t MaxUnansweredProbes = 16;    ///< On one link.

} // namespace

void TableCore::on(const Tick &) {
  m_Confirmations.expire(m_Now - ConfirmationLifetime);
  probeIfDue();
  pollIfDue();
  if (!m_MaintenanceWrite && m_CaughtUp && maintainsRow()) {
    replaceVotersIfDue();
    repairStoreIfDue();
  }
}

// ---- Probes ----

void TableCore::sendProbe(link::LinkId Link, PeerState &Peer) {
  // Several probes may be unanswered: on a link whose round trip exceeds the
  // interval, an answer to the last probe alone would always come too late.
  if (Peer.m_Probes.size() == MaxUnansweredProbes)
    Peer.m_Probes.erase(Peer.m_Probes.begin());
  Peer.m_Probes.emplace(++m_LastSequence, m_Now);
  m_Out.push_back(SendProbe{Link, m_LastSequence, m_Document.version()});
}

/// While the table service answers and no change is in progress, the right to
/// serve rests on reads alone. Confirmations by others are then not passed on,
/// and fewer peers are probed, which halves the cost of keeping the table. The
/// first read that fails to arrive ends this state within a poll interval,
/// before the right to serve expires.
bool TableCore::isSteady() const {
  const std::optional<StoreConfirmation> &Store = m_Confirmations.store();
  return Store && m_Now < Store->m_ConfirmedAt + m_Config.m_PollInterval &&
         settledVersion() == m_Document.version();
}

/// Probes a few peers, starting with the voters whose confirmations are the
/// oldest. Their number is fixed, so that the cost for an instance does not
/// grow with the fleet; their answers include what they know of other voters.
void TableCore::probeIfDue() {
  if (m_Now < m_NextProbe)
    return;
  // Probes are more frequent after a new version, as an operator waits for it.
  const bool IsNewVersion = m_Now < m_AdoptedAt + FastProbePeriod;
  m_NextProbe = m_Now + jittered(IsNewVersion ? m_Config.m_ProbeInterval / 5
                                              : m_Config.m_ProbeInterval);
  std::vector<link::LinkId> Links;
  for (const auto &[Link, Peer] : m_Peers)
    if (!Peer.m_IsEntry)
      Links.push_back(Link);
  std::ranges::shuffle(Links, m_Random);
  std::ranges::stable_sort(Links, {}, [this](link::LinkId Link) {
    return lastConfirmationOf(m_Peers[Link].m_Instance);
  });
  const std::size_t MaxLinks =
      isSteady() ? m_Config.m_SteadyProbeLinks : m_Config.m_ProbeLinks;
  if (Links.size() > MaxLinks)
    Links.resize(MaxLinks);
  for (const link::LinkId Link : Links)
    sendProbe(Link, m_Peers[Link]);
}

TimePoint TableCore::lastConfirmationOf(InstanceId Instance) const {
  if (!isVoter(m_Document.m_Voters, Instance))
    return TimePoint::max();
  const auto Found = m_Confirmations.byVoter().find(Instance);
  return Found == m_Confirmations.byVoter().end() ? TimePoint()
                                                  : Found->second.m_ConfirmedAt;
}

void TableCore::on(const ProbeReceived &Event) {
  const auto Found = m_Peers.find(Event.m_Link);
  if (Found == m_Peers.end())
    return;
  requestIfNewer(Event.m_Link, Found->second, Event.m_Version);
  ProbeAnswer Answer;
  Answer.m_Sequence = Event.m_Sequence;
  Answer.m_Version = m_Document.version();
  if (const std::optional<StoreConfirmation> &Store = m_Confirmations.store())
    Answer.m_Store = {Store->m_Version, m_Now - Store->m_ConfirmedAt};
  addConfirmations(Answer);
  m_Out.push_back(SendProbeAnswer{Event.m_Link, std::move(Answer)});
}

/// Adds confirmations by voters only, as others count for nobody; this keeps
/// the answer small.
void TableCore::addConfirmations(ProbeAnswer &Answer) const {
  for (const auto &Known : m_Confirmations.byVoter()) {
    const InstanceId Id = Known.first;
    const Confirmation &Last = Known.second;
    const bool IsSelf = Id == m_Self;
    if (isSteady() && !IsSelf)
      continue;
    const bool IsNeeded =
        isVoter(m_Document.m_Voters, Id) ||
        std::ranges::any_of(m_Document.m_Quorums, [&](const Voters &Quorum) {
          return isVoter(Quorum, Id);
        });
    if (!IsNeeded || (IsSelf && !m_CaughtUp))
      continue;
    Answer.m_Confirmations.push_back(
        {Id, Last.m_Incarnation, IsSelf ? m_Document.version() : Last.m_Version,
         IsSelf ? Duration::zero() : m_Now - Last.m_ConfirmedAt});
  }
}

void TableCore::on(const ProbeAnswerReceived &Event) {
  const auto Found = m_Peers.find(Event.m_Link);
  const ProbeAnswer &Answer = Event.m_Answer;
  if (Found == m_Peers.end())
    return;
  auto &Probes = Found->second.m_Probes;
  const auto Probe = Probes.find(Answer.m_Sequence);
  if (Probe == Probes.end())
    return;
  // Ages count from before the probe was sent; see table_confirmation.h.
  const TimePoint SentAt = Probe->second;
  Probes.erase(Probes.begin(), std::next(Probe));
  if (Answer.m_Store)
    m_Confirmations.addStore(
        {Answer.m_Store->m_Version, SentAt - Answer.m_Store->m_Age});
  for (const RelayedConfirmation &Relayed : Answer.m_Confirmations)
    if (Relayed.m_Instance != m_Self)
      m_Confirmations.add(
          Relayed.m_Instance,
          {Relayed.m_Incarnation, Relayed.m_Version, SentAt - Relayed.m_Age});
  requestIfNewer(Event.m_Link, Found->second, Answer.m_Version);
}

// ---- Polls ----

/// Reads the row unless a recent read, here or by a peer, is fresh enough.
void TableCore::pollIfDue() {
  if (m_PendingReads > 0 || m_Now < m_NextRead)
    return;
  const std::optional<StoreConfirmation> &Store = m_Confirmations.store();
  if (Store && m_Now < Store->m_ConfirmedAt + m_Config.m_PollInterval * 3 / 4)
    return;
  m_NextRead = m_Now + jittered(m_Config.m_PollInterval);
  ++m_PendingReads;
  m_Out.push_back(ReadStore());
}

// ---- Maintenance of the row ----

/// The present member with the lowest id maintains the row. If two instances
/// take themselves for it at the same time, the conditional write lets only one
/// of them succeed.
bool TableCore::maintainsRow() const {
  for (const membership::Member &Member : m_Members)
    if (isPresent(Member) && Member.m_Id < m_Self)
      return false;
  return isPresent(m_Members, m_Config.m_Name);
}

void TableCore::replaceVotersIfDue() {
  Voters NextVoters =
      chooseVoters(m_Document.m_Voters, m_Members, m_Config.m_MaxVoters);
  if (NextVoters != m_NextVoters) {
    m_NextVoters = NextVoters;
    m_NextVotersSince = m_Now;
  }
  const bool IsStable =
      m_Now >= m_NextVotersSince + m_Config.m_VoterReplacementDelay;
  if (!IsStable || NextVoters == m_Document.m_Voters ||
      m_Document.version() == TableVersion())
    return;
  // Voters of an unsettled version can't be replaced; see nextDocument().
  const bool IsSettled = settledVersion() == m_Document.version();
  if (!m_Document.m_Voters.empty() && !IsSettled)
    return;
  m_NextVotersSince = m_Now;
  if (!m_Row || m_Row->m_Document.version() != m_Document.version()) {
    ++m_PendingReads;
    m_Out.push_back(ReadStore());
    return;
  }
  writeRow(documentWithNewVoters(m_Row->m_Document,
                                 {nextCommitId(), IsSettled, NextVoters}),
           m_Row->m_RowVersion);
}

/// Writes the version in force to a table service that was restored to an older
/// state. Until then changes are refused, and an instance that starts may take
/// the old table from it.
void TableCore::repairStoreIfDue() {
  if (!m_StoreIsBehind || m_MaintenanceWrite)
    return;
  m_StoreIsBehind = false;
  writeRow(m_Document, m_Row->m_RowVersion);
}

void TableCore::writeRow(const TableDocument &Document,
                         platform::RowVersion Expected) {
  m_MaintenanceWrite = nextCommitId();
  m_MaintenanceDocument = Document;
  m_Out.push_back(
      WriteStore{*m_MaintenanceWrite,
                 {CurrentRowKey, Expected, encodeDocument(Document)}});
}

} // namespace crowstep::contract
