/// Records and lookups among instances.
#include "resume/origin_exchange.h"

#include "core/pair_hash.h"
#include "resume/holder_ranking.h"
#include "resume/origin_codec.h"

#include <algorithm>
#include <utility>

namespace crowstep::resume {

namespace {

/// Arbitrary; it makes the hash independent of others.
constexpr std::uint64_t PartnerSeed = 9;

} // namespace

/// Cancels its search when it is destroyed.
class OriginExchange::Lookup final : public OriginLookup {
public:
  Lookup(OriginExchange &Owner, SearchId Id) : m_Owner(Owner), m_Id(Id) {}
  ~Lookup() override { m_Owner.m_Searches.erase(m_Id); }
  Lookup(const Lookup &) = delete;
  Lookup &operator=(const Lookup &) = delete;

private:
  OriginExchange &m_Owner; ///< Outlives the lookup.
  SearchId m_Id;           ///< Unknown to the owner once it has ended.
};

OriginExchange::OriginExchange(InstanceId Self, AvailabilityZone Zone,
                               const Clock &Time, Scheduler &Timers,
                               Metrics &Stats)
    : m_Self(Self), m_Zone(std::move(Zone)), m_Clock(Time), m_Timers(Timers),
      m_CopyTimer(Timers), m_ExportTimer(Timers),
      m_KeptGauge(Stats.gauge("crowstep_stream_origins")),
      m_Copies(Stats.counter("crowstep_stream_origins_sent_total")),
      m_Found(Stats.counter("crowstep_stream_lookups_total",
                            {{"outcome", "found"}})),
      m_Unknown(Stats.counter("crowstep_stream_lookups_total",
                              {{"outcome", "unknown"}})),
      m_Unanswered(Stats.counter("crowstep_stream_lookups_total",
                                 {{"outcome", "unanswered"}})) {}

OriginExchange::~OriginExchange() = default;

// ---- Instances --------------------------------------------------------------

void OriginExchange::addPeer(link::Links &Links, const OriginPeer &Peer) {
  m_Links = &Links;
  m_Peers[Peer.m_Link] = {Peer, false, false};
  Links.outbox(Peer.m_Link).stream_peer = packPeerState(m_IsStopping);
  updateArchiveRoles();
}

/// What it was asked stays unanswered.
void OriginExchange::removePeer(link::LinkId Link) {
  m_Peers.erase(Link);
  m_LastLossAt = m_Clock.now();
  updateArchiveRoles();
  m_RecordCopies.removeLink(Link, m_Clock.now());
  scheduleMissingCopies();
  std::vector<SearchId> Ended;
  for (auto &[Id, Open] : m_Searches)
    if (Open.m_Unanswered.erase(Link) > 0) {
      ++Open.m_Result.m_UnansweredCount;
      if (Open.m_Unanswered.empty())
        Ended.push_back(Id);
    }
  for (const SearchId Id : Ended)
    finishSearch(Id);
}

void OriginExchange::setNear(link::LinkId Link, bool IsNear) {
  if (const auto Found = m_Peers.find(Link); Found != m_Peers.end())
    Found->second.m_Info.m_IsNear = IsNear;
}

void OriginExchange::setHubs(const std::vector<InstanceId> &Hubs) {
  m_Hubs = Hubs;
  updateArchiveRoles();
}

void OriginExchange::setActiveHub(bool IsActive) {
  m_IsActiveHub = IsActive;
  updateArchiveRoles();
}

void OriginExchange::setArchive(OriginArchive &Archive) {
  m_Archive = &Archive;
  Archive.setEvents({[this](const StreamRecord &Record) { keep(Record); },
                     [this] { handleArchiveRead(); }});
  updateArchiveRoles();
}

/// Returns how many instances write: one of each zone, or all where there are
/// no hubs.
std::size_t OriginExchange::archiveWriters() const {
  if (m_Hubs.empty())
    return m_Peers.size() + 1;
  std::set<std::string> Zones = {m_Zone.m_Name};
  for (const auto &[Link, Known] : m_Peers)
    Zones.insert(Known.m_Info.m_Zone.m_Name);
  return Zones.size();
}

/// A zone's hubs have the origins of all its streams, so the others neither
/// write nor read.
void OriginExchange::updateArchiveRoles() {
  if (m_Archive != nullptr)
    m_Archive->setRoles(m_Hubs.empty() || (isHub() && m_IsActiveHub),
                        m_Hubs.empty() || isHub(), archiveWriters());
}

void OriginExchange::stop() {
  m_IsStopping = true;
  for (const auto &[Link, Known] : m_Peers)
    m_Links->outbox(Link).stream_peer = packPeerState(true);
}

bool OriginExchange::isHub() const {
  return std::ranges::find(m_Hubs, m_Self) != m_Hubs.end();
}

/// Returns those that keep a stream, or that are asked for it. Two links to one
/// instance may be up for a short time; the newer one stays.
std::vector<RecordCopy> OriginExchange::holdersOf(const StreamKey &Key,
                                                  bool ForRecord) const {
  std::map<InstanceId, const Peer *> Usable;
  for (const auto &[Link, Known] : m_Peers)
    if (Known.m_Info.m_IsNear && Known.m_TakesPart &&
        !(ForRecord && Known.m_IsStopping))
      Usable[Known.m_Info.m_Instance] = &Known;
  std::vector<HolderCandidate> Candidates;
  std::vector<RecordCopy> Links;
  for (const auto &[Instance, Known] : Usable) {
    const auto Hub = std::ranges::find(m_Hubs, Instance);
    Candidates.push_back(
        {Instance, Known->m_Info.m_Zone,
         Hub == m_Hubs.end() ? NoHub
                             : static_cast<std::size_t>(Hub - m_Hubs.begin())});
    Links.push_back({Instance, Known->m_Info.m_Link});
  }
  std::vector<RecordCopy> Result;
  for (const std::size_t Index :
       rankHolders(Key, Candidates, ForRecord ? CopyCount : AskedCount))
    Result.push_back(Links[Index]);
  return Result;
}

/// Returns the links to the hubs of the other zones.
std::vector<link::LinkId> OriginExchange::otherZones() const {
  std::vector<link::LinkId> Result;
  for (const auto &[Link, Known] : m_Peers)
    if (!Known.m_Info.m_IsNear && Known.m_TakesPart)
      Result.push_back(Link);
  return Result;
}

/// Returns the links to the hubs of the zone that keeps this zone's origins.
std::vector<link::LinkId> OriginExchange::partnerZone() const {
  const auto RankOf = [&](link::LinkId Link) {
    const std::string &Zone = m_Peers.at(Link).m_Info.m_Zone.m_Name;
    return std::make_pair(
        pairHash(PartnerSeed ^ instanceIdOf(m_Zone.m_Name).value(),
                 instanceIdOf(Zone).value()),
        Zone);
  };
  std::vector<link::LinkId> Result = otherZones();
  std::erase_if(
      Result, [&](link::LinkId Link) { return m_Peers.at(Link).m_IsStopping; });
  if (Result.empty())
    return Result;
  const auto Best = RankOf(*std::ranges::max_element(Result, {}, RankOf));
  std::erase_if(Result,
                [&](link::LinkId Link) { return RankOf(Link) != Best; });
  return Result;
}

// ---- Records ----------------------------------------------------------------

void OriginExchange::keep(const StreamRecord &Record) {
  m_Origins.record(Record, m_Clock.now());
  m_KeptGauge.set(static_cast<double>(m_Origins.size()));
}

/// Flushes the links, as the caller gets the first event right after.
void OriginExchange::record(const StreamRecord &Begun) {
  keep(Begun);
  if (isHub())
    queueExport(Begun);
  if (m_Archive != nullptr && (m_Hubs.empty() || isHub()))
    m_Archive->add(Begun);
  std::vector<RecordCopy> Holders = holdersOf(Begun.m_Key, true);
  for (const RecordCopy &Holder : Holders) {
    sendRecord(Holder.m_Link, Begun);
    m_Links->flush(Holder.m_Link);
  }
  m_RecordCopies.add(Begun, std::move(Holders), m_Clock.now());
}

void OriginExchange::sendRecord(link::LinkId To, const StreamRecord &Record) {
  m_Links->outbox(To).stream_origins.push_back(packRecord(Record));
  m_Copies.add();
}

void OriginExchange::scheduleMissingCopies() {
  if (!m_CopyTimer.isRunning())
    m_CopyTimer.start(CopyDelay, [this] { sendMissingCopies(); });
}

void OriginExchange::sendMissingCopies() {
  m_RecordCopies.sendMissing(
      [this](const StreamKey &Key) { return holdersOf(Key, true); },
      [this](link::LinkId To, const StreamRecord &Record) {
        sendRecord(To, Record);
      },
      m_Clock.now());
}

void OriginExchange::handleRecord(const Peer &From,
                                  const wire::StreamOrigin &Received) {
  const auto Record = unpack(Received);
  if (!Record)
    return;
  keep(*Record);
  if (!From.m_Info.m_IsNear || !isHub())
    return;
  queueExport(*Record);
  if (m_Archive != nullptr)
    m_Archive->add(*Record);
}

void OriginExchange::queueExport(const StreamRecord &Record) {
  m_Exports.push_back({m_Clock.now(), Record});
  if (m_Exports.size() > StreamOrigins::MaxStreams)
    m_Exports.pop_front();
  if (!m_ExportTimer.isRunning())
    m_ExportTimer.start(ExportInterval, [this] { sendExports(); });
}

void OriginExchange::sendExports() {
  const TimePoint Now = m_Clock.now();
  while (!m_Exports.empty() && Now - m_Exports.front().m_Since > ExportMemory)
    m_Exports.pop_front();
  if (m_IsActiveHub) {
    for (const link::LinkId Link : partnerZone())
      for (const Export &Entry : m_Exports)
        m_Links->outbox(Link).stream_origins.push_back(
            packRecord(Entry.m_Record));
    m_Exports.clear();
  }
  if (!m_Exports.empty())
    m_ExportTimer.start(ExportInterval, [this] { sendExports(); });
}

// ---- Lookups ----------------------------------------------------------------

const StreamOrigin *OriginExchange::findLocal(const StreamKey &Key) const {
  return m_Origins.find(Key, m_Clock.now());
}

bool OriginExchange::isUnproven(const StreamKey &Key) const {
  return m_Origins.findUnproven(Key, m_Clock.now()) != nullptr;
}

/// Returns what this instance has recorded of a stream, also if that says that
/// it can't be continued.
const StreamOrigin *OriginExchange::findAny(const StreamKey &Key) const {
  const StreamOrigin *Known = findLocal(Key);
  return Known != nullptr ? Known : m_Origins.findUnproven(Key, m_Clock.now());
}

std::unique_ptr<OriginLookup> OriginExchange::ask(const StreamKey &Key,
                                                  LookupCallback OnDone) {
  const auto Count = [this,
                      Done = std::move(OnDone)](const LookupResult &Result) {
    (Result.m_Origin                ? m_Found
     : Result.m_UnansweredCount > 0 ? m_Unanswered
                                    : m_Unknown)
        .add();
    Done(Result);
  };
  std::vector<link::LinkId> Asked;
  for (const RecordCopy &Holder : holdersOf(Key, false))
    Asked.push_back(Holder.m_Link);
  if (isHub())
    for (const link::LinkId Hub : otherZones())
      Asked.push_back(Hub);
  return std::make_unique<Lookup>(
      *this, search(Key, Asked, true, LookupTimeout, Count));
}

/// Asks the instances at the other ends of \p At. With \p InOtherZones hubs
/// among them search in other zones, and this instance may read the archive.
OriginExchange::SearchId
OriginExchange::search(const StreamKey &Key,
                       const std::vector<link::LinkId> &At, bool InOtherZones,
                       Duration Timeout, LookupCallback OnDone) {
  const SearchId Id = ++m_LastSearch;
  Search &Made = m_Searches[Id];
  Made.m_OnDone = std::move(OnDone);
  Made.m_Unanswered = {At.begin(), At.end()};
  Made.m_Result.m_AskedCount = At.size();
  Made.m_Key = Key;
  Made.m_HubCount = countHubs(Made.m_Unanswered);
  Made.m_MayReadArchive = InOtherZones && mayReadArchive();
  Made.m_BeganAt = m_Clock.now();
  Made.m_Timeout = Timeout;
  Made.m_Timer = std::make_unique<Timer>(m_Timers);
  Made.m_Timer->start(At.empty() ? Duration::zero() : Timeout,
                      [this, Id] { finishSearch(Id); });
  for (const link::LinkId Link : At)
    m_Links->outbox(Link).stream_questions.emplace_back(
        Id, Key.m_High, Key.m_Low,
        InOtherZones && m_Peers.at(Link).m_Info.m_IsNear);
  return Id;
}

/// With hubs these read for their zone.
bool OriginExchange::mayReadArchive() const {
  return m_Archive != nullptr &&
         (m_Hubs.empty() || isHub() ||
          std::ranges::none_of(m_Peers, [&](const auto &Entry) {
            return std::ranges::find(m_Hubs, Entry.second.m_Info.m_Instance) !=
                   m_Hubs.end();
          }));
}

std::size_t OriginExchange::countHubs(const std::set<link::LinkId> &At) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(At, [&](link::LinkId Link) {
        const auto Known = m_Peers.find(Link);
        return Known != m_Peers.end() &&
               std::ranges::find(m_Hubs, Known->second.m_Info.m_Instance) !=
                   m_Hubs.end();
      }));
}

/// A hub that was asked may be reading the archive.
bool OriginExchange::waitsForHubs(const Search &Open) const {
  return !isHub() && Open.m_HubCount > 0 &&
         countHubs(Open.m_Unanswered) == Open.m_HubCount;
}

/// What an instance kept that doesn't answer counts as lost.
void OriginExchange::recordSilence(const Search &Open) {
  for (const link::LinkId Link : Open.m_Unanswered)
    if (const auto Known = m_Peers.find(Link);
        Known != m_Peers.end() &&
        !std::exchange(Known->second.m_IsSilent, true))
      m_LastLossAt = m_Clock.now();
}

/// Returns whether the search goes on until the archive is read or its time has
/// passed. The stream may have been recorded here meanwhile.
bool OriginExchange::waitForArchive(SearchId Id) {
  const auto Found = m_Searches.find(Id);
  if (Found == m_Searches.end() || Found->second.m_Result.m_Origin ||
      m_Archive == nullptr)
    return false;
  Search &Open = Found->second;
  if (const StreamOrigin *Known = findAny(Open.m_Key))
    Open.m_Result.m_Origin = *Known;
  if (Open.m_Result.m_Origin)
    return false;
  recordSilence(Open);
  if (Open.m_MayReadArchive)
    m_Archive->readSince(m_LastLossAt);
  const bool WaitsForHubs = waitsForHubs(Open);
  if (!isArchivePending() && !WaitsForHubs)
    return false;
  // A caller whose stream a silent instance may know comes back.
  const bool IsReread = m_Archive->hasRead() || WaitsForHubs;
  const Duration TimeLeft = Open.m_BeganAt +
                            (IsReread ? ArchiveTimeout : Open.m_Timeout) -
                            m_Clock.now();
  const bool IsFutile =
      IsReread && !WaitsForHubs &&
      (m_Archive->isReadFailing() || !Open.m_Unanswered.empty());
  if (IsFutile || TimeLeft <= Duration::zero()) {
    ++Open.m_Result.m_UnansweredCount; // The archive.
    return false;
  }
  Open.m_WaitsForArchive = true;
  Open.m_Timer->start(TimeLeft, [this, Id] { finishSearch(Id); });
  return true;
}

void OriginExchange::handleArchiveRead() {
  std::vector<SearchId> Waiting;
  for (const auto &[Id, Open] : m_Searches)
    if (Open.m_WaitsForArchive)
      Waiting.push_back(Id);
  for (const SearchId Id : Waiting)
    finishSearch(Id);
}

/// The callback may destroy the lookup, and other ones.
void OriginExchange::finishSearch(SearchId Id) {
  if (waitForArchive(Id))
    return;
  auto Node = m_Searches.extract(Id);
  if (Node.empty())
    return;
  Search &Ended = Node.mapped();
  Ended.m_Result.m_UnansweredCount += Ended.m_Unanswered.size();
  Ended.m_OnDone(Ended.m_Result);
}

void OriginExchange::handleQuestion(link::LinkId From,
                                    const wire::StreamQuestion &Asked) {
  const StreamKey Key = {Asked.high(), Asked.low()};
  const StreamOrigin *Known = findAny(Key);
  const std::vector<link::LinkId> Others =
      Known == nullptr && Asked.in_other_zones() && isHub()
          ? otherZones()
          : std::vector<link::LinkId>();
  const bool ReadsForPeer = Asked.in_other_zones() && isHub();
  const bool MayBeArchived =
      Known == nullptr &&
      (isArchivePending() || (ReadsForPeer && m_Archive != nullptr &&
                              m_Archive->needsRead(m_LastLossAt)));
  if (Others.empty() && !MayBeArchived) {
    sendAnswer(From, Asked.id(), Known);
    return;
  }
  // Silence, as a denial would make the stream count as lost for good.
  if (m_Searches.size() >= MaxSearches)
    return;
  search(Key, Others, ReadsForPeer, SearchTimeout,
         [this, From, Question = Asked.id()](const LookupResult &Result) {
           if (Result.m_Origin || Result.m_UnansweredCount == 0)
             sendAnswer(From, Question,
                        Result.m_Origin ? &*Result.m_Origin : nullptr);
         });
}

void OriginExchange::sendAnswer(link::LinkId To, std::uint64_t Question,
                                const StreamOrigin *Origin) {
  if (m_Peers.contains(To))
    m_Links->outbox(To).stream_answers.push_back(packAnswer(Question, Origin));
}

void OriginExchange::handleAnswer(link::LinkId From,
                                  const wire::StreamAnswer &Answer) {
  const auto Found = m_Searches.find(Answer.question());
  if (Found == m_Searches.end() || Found->second.m_Unanswered.erase(From) == 0)
    return;
  Found->second.m_Result.m_Origin = unpack(Answer);
  if (Found->second.m_Result.m_Origin || Found->second.m_Unanswered.empty())
    finishSearch(Answer.question());
}

void OriginExchange::receive(link::LinkId From, const wire::Frame &Frame) {
  const auto Sender = m_Peers.find(From);
  if (Sender == m_Peers.end())
    return;
  Sender->second.m_IsSilent = false;
  if (const wire::StreamPeer *State = Frame.stream_peer()) {
    const bool IsNew = !std::exchange(Sender->second.m_TakesPart, true);
    Sender->second.m_IsStopping = State->stopping();
    if (IsNew && !State->stopping() && Sender->second.m_Info.m_IsNear)
      scheduleMissingCopies();
  }
  if (Frame.stream_origins() != nullptr)
    for (const wire::StreamOrigin *Received : *Frame.stream_origins())
      handleRecord(Sender->second, *Received);
  if (Frame.stream_questions() != nullptr)
    for (const wire::StreamQuestion *Asked : *Frame.stream_questions())
      handleQuestion(From, *Asked);
  if (Frame.stream_answers() != nullptr)
    for (const wire::StreamAnswer *Answer : *Frame.stream_answers())
      handleAnswer(From, *Answer);
}

} // namespace crowstep::resume
