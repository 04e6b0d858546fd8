/// Recording and checks.
#include "soak/ledger.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <numeric>
#include <set>
#include <sstream>

namespace crowstep::soak {

using namespace std::chrono_literals;

namespace {

/// Answers by an older table are tolerated for this long after the first by a
/// newer one.
constexpr Duration DowngradeSlack = 250ms;

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNotFound = 404;

bool isNotExecutedStatus(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

std::string describe(const std::string &Id, const RequestRecord &Request) {
  std::ostringstream Text;
  Text << Id << " at gateway " << Request.m_Gateway << ", status "
       << Request.m_Result->m_Status
       << (Request.m_Result->m_ConnectionBroken ? ", broken" : "") << ", runs:";
  for (const UpstreamRun &Started : Request.m_Runs)
    Text << ' ' << Started.m_UpstreamName
         << (Started.m_IsResumption ? "(resumed)" : "");
  return Text.str();
}

/// An event as SoakUpstream sends it: "id: 3\ndata: ATTEMPT UPSTREAM\n\n".
struct Event {
  int m_Id = 0;          ///< From 1.
  std::string m_Attempt; ///< X-Attempt-Id of the request.
  std::string m_Run;     ///< Name of the upstream's incarnation.
};

bool hasBegun(const RequestRecord &Request) {
  return Request.m_Result->m_Status == HttpOk &&
         !Request.m_Result->m_Body.empty();
}

std::vector<Event> parseEvents(const std::string &Body) {
  std::vector<Event> Result;
  std::istringstream Lines(Body);
  Event Current;
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.starts_with("id: "))
      Current.m_Id = std::atoi(Line.c_str() + 4);
    if (Line.starts_with("data: ")) {
      std::istringstream(Line.substr(6)) >> Current.m_Attempt >> Current.m_Run;
      Result.push_back(Current);
    }
  }
  return Result;
}

} // namespace

std::string versionOfRun(const std::string &Run) {
  return Run.substr(Run.find('.') + 1);
}

void Ledger::recordArrival(const std::string &Id, const std::string &Upstream,
                           TimePoint Now) {
  m_Arrivals.push_back({Id, Upstream, Now});
  if (++m_ArrivalCounts[Id] > 1)
    m_RetryArrivals.push_back(Now);
}

void Ledger::recordRun(const std::string &Id, UpstreamRun Started) {
  const auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end()) {
    addViolation("own_answer", "run of an unknown request " + Id);
    return;
  }
  Found->second.m_Runs.push_back(std::move(Started));
}

void Ledger::recordRunEnd(const std::string &Id, const std::string &Upstream,
                          TimePoint Now, bool BrokeOff) {
  const auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end())
    return;
  for (UpstreamRun &Started : Found->second.m_Runs)
    if (Started.m_UpstreamName == Upstream && !Started.m_EndedAt) {
      Started.m_EndedAt = Now;
      Started.m_BrokeOff = BrokeOff;
    }
}

void Ledger::checkDuties(const std::string &Violation, bool Resumed) {
  ++m_CheckCounts["duties"];
  if (!Violation.empty())
    addViolation("duties", Violation);
  if (!Resumed)
    addViolation("duties", "no usage report after the faults");
}

void Ledger::checkEndedRequests() {
  for (auto &[Id, Request] : m_Requests)
    if (!Request.m_IsChecked && Request.m_Result->m_Ended) {
      Request.m_IsChecked = true;
      checkAnswer(Id, Request);
      checkStream(Id, Request);
      checkTableVersion(Id, Request);
    }
}

/// An answer with status 200 that did not break off must be the whole body made
/// by a run of this very request.
void Ledger::checkAnswer(const std::string &Id, const RequestRecord &Request) {
  if (Request.m_Result->m_Status != HttpOk ||
      Request.m_Result->m_ConnectionBroken ||
      Request.m_Kind == RequestKind::Stream ||
      Request.m_Kind == RequestKind::ResumableStream)
    return;
  ++m_CheckCounts["own_answer"];
  if (Request.m_Result->m_Body !=
      Id + " whole" + std::string(Request.m_Padding, '.'))
    addViolation("own_answer", describe(Id, Request) + ": " +
                                   Request.m_Result->m_Body.substr(0, 80));
}

void Ledger::checkStream(const std::string &Id, const RequestRecord &Request) {
  const bool Resumable = Request.m_Kind == RequestKind::ResumableStream;
  if (Request.m_Result->m_Status != HttpOk ||
      (Request.m_Kind != RequestKind::Stream && !Resumable))
    return;
  ++m_CheckCounts["stream_order"];
  const std::vector<Event> Events = parseEvents(Request.m_Result->m_Body);
  std::set<std::string> Runs;
  for (std::size_t I = 0; I < Events.size(); ++I) {
    Runs.insert(Events[I].m_Run);
    if (Events[I].m_Id != Request.m_LastEvent + static_cast<int>(I) + 1 ||
        Events[I].m_Attempt != Id)
      addViolation("stream_order",
                   describe(Id, Request) + ": event " + std::to_string(I + 1));
  }
  if (!Resumable && Runs.size() > 1)
    addViolation("stream_order",
                 describe(Id, Request) + ": joined from several upstreams");
  if (!Request.m_Result->m_ConnectionBroken &&
      Request.m_LastEvent + static_cast<int>(Events.size()) != EventsPerStream)
    addViolation("stream_order", describe(Id, Request) +
                                     ": ends without an error after event " +
                                     std::to_string(Events.size()));
}

void Ledger::recordListed(const std::string &Version, int Change,
                          TimePoint Now) {
  std::map<TimePoint, int> &Counts = m_ListedCounts[Version];
  const int Before = Counts.empty() ? 0 : Counts.rbegin()->second;
  Counts[Now] = Before + Change;
}

int Ledger::resumeAfter(const std::string &Id) const {
  const RequestRecord &Request = m_Requests.at(Id);
  if (Request.m_Kind != RequestKind::ResumableStream || !hasBegun(Request))
    return 0;
  const auto Events = parseEvents(Request.m_Result->m_Body);
  const int Last = Events.empty() ? 0 : Events.back().m_Id;
  return Last == EventsPerStream ? 0 : Last;
}

/// Returns the version of the first event of a request, or an empty string.
std::string Ledger::versionOf(const std::string &Id) const {
  const auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end() || !hasBegun(Found->second))
    return {};
  const auto Events = parseEvents(Found->second.m_Result->m_Body);
  return Events.empty() ? std::string() : versionOfRun(Events[0].m_Run);
}

/// A stream holds events of one software version, over all of its attempts.
void Ledger::checkVersions() {
  std::map<std::string, std::string> Versions;
  for (const auto &[Id, Request] : m_Requests) {
    if (Request.m_Kind != RequestKind::ResumableStream || !hasBegun(Request))
      continue;
    const std::string &Stream =
        Request.m_Resumes.empty() ? Id : Request.m_Resumes;
    ++m_CheckCounts["one_version"];
    for (const Event &Part : parseEvents(Request.m_Result->m_Body)) {
      const std::string Version = versionOfRun(Part.m_Run);
      const auto [Known, IsNew] = Versions.emplace(Stream, Version);
      if (!IsNew && Known->second != Version) {
        std::ostringstream Details;
        Details << describe(Id, Request) << " resumes " << Stream << ": "
                << Known->second << " and " << Version;
        addViolation("one_version", Details.str());
        break;
      }
    }
  }
}

/// Returns whether the gateway's process, its paths, the upstreams and the
/// store were undisturbed for a while before the request.
bool Ledger::isCalm(const RequestRecord &Request) const {
  const auto Concerns = [&](const GatewaySpan &Span) {
    return Span.m_Gateway == Request.m_Gateway &&
           Span.m_From <= Request.m_SentAt + Request.m_Result->m_Elapsed &&
           Request.m_SentAt <= Span.m_To + ContactBound;
  };
  const auto Overlaps = [&](const auto &Span) {
    return Span.first <= Request.m_SentAt + Request.m_Result->m_Elapsed &&
           Request.m_SentAt <= Span.second + ContactBound;
  };
  return std::ranges::none_of(m_GatewayFaults, Concerns) &&
         std::ranges::none_of(m_Cuts, Concerns) &&
         std::ranges::none_of(m_UpstreamFaults, Overlaps) &&
         isStoreStable(Request.m_SentAt);
}

/// Returns whether two upstreams of \p Version were listed all the while from
/// ContactBound before \p At on.
bool Ledger::areTwoListed(const std::string &Version, TimePoint At) const {
  const auto Counts = m_ListedCounts.find(Version);
  if (Counts == m_ListedCounts.end())
    return false;
  auto Next = Counts->second.upper_bound(At - ContactBound);
  if (Next == Counts->second.begin())
    return false;
  for (--Next; Next != Counts->second.end() && Next->first <= At; ++Next)
    if (Next->second < 2)
      return false;
  return true;
}

/// Streams that callers resume at calm gateways go on, if two upstreams of
/// their version serve, half as often as new ones begin at least.
void Ledger::checkResumedShare() {
  std::array<int, 2> Sent{};
  std::array<int, 2> Begun{};
  for (const auto &[Id, Request] : m_Requests) {
    if (Request.m_Kind != RequestKind::ResumableStream || !isCalm(Request))
      continue;
    const bool IsResumed = !Request.m_Resumes.empty();
    if (IsResumed &&
        !areTwoListed(versionOf(Request.m_Resumes), Request.m_SentAt))
      continue;
    ++Sent.at(IsResumed ? 1 : 0);
    Begun.at(IsResumed ? 1 : 0) += hasBegun(Request) ? 1 : 0;
  }
  m_CheckCounts["resumed_streams"] += Sent[1];
  if (Sent[1] >= MinResumed &&
      Begun[1] * Sent[0] < ResumedShare * Begun[0] * Sent[1])
    addViolation("resumed_streams",
                 std::to_string(Begun[1]) + " of " + std::to_string(Sent[1]) +
                     " went on, " + std::to_string(Begun[0]) + " of " +
                     std::to_string(Sent[0]) + " new ones began");
}

/// A gateway that has served by a table must not answer by an older one again.
void Ledger::checkTableVersion(const std::string &Id,
                               const RequestRecord &Request) {
  if (Request.m_TableVersion == 0)
    return;
  ++m_CheckCounts["version_never_back"];
  auto &Newest = m_NewestTables[{Request.m_Gateway, Request.m_Incarnation}];
  const auto &[Version, Since] = Newest;
  const bool After = Request.m_SentAt > Since + DowngradeSlack;
  const bool Served = Request.m_Result->m_Status == HttpOk;
  if (After && Served && Request.m_TableVersion < Version)
    addViolation("version_never_back",
                 describe(Id, Request) + ": served by table " +
                     std::to_string(Request.m_TableVersion) + " after " +
                     std::to_string(Version));
  // The next table may be in force though no answer has shown it yet.
  const auto Next = m_TableWrittenAt.find(Request.m_TableVersion + 1);
  const bool Replaced =
      Next != m_TableWrittenAt.end() &&
      Next->second <= Request.m_SentAt + Request.m_Result->m_Elapsed;
  const bool IsMissing =
      Request.m_Result->m_Status == HttpNotFound && !Replaced;
  if (After && IsMissing && Request.m_TableVersion == Version)
    addViolation("version_never_back",
                 describe(Id, Request) + ": its route is no longer found");
  checkTableInForce(Id, Request, IsMissing);
  if (Served && Request.m_TableVersion > Version)
    Newest = {Request.m_TableVersion,
              Request.m_SentAt + Request.m_Result->m_Elapsed};
}

/// A table must be in force DrainBound after the store has acknowledged it.
void Ledger::checkTableInForce(const std::string &Id,
                               const RequestRecord &Request, bool IsMissing) {
  const TimePoint Written = m_TableWrittenAt.at(Request.m_TableVersion);
  if (Request.m_SentAt <= knowledgeDeadline(Written) ||
      !isGatewayUpToDate(Request, Request.m_SentAt))
    return;
  ++m_CheckCounts["table_in_force"];
  if (IsMissing)
    addViolation("table_in_force",
                 describe(Id, Request) + ": its table is not in force");
}

/// Returns whether the answer may have been cut for another reason than the
/// stop, or the request outlasted the grace period though it came early.
bool Ledger::isCutAllowed(const RequestRecord &Request,
                          const PlannedStop &Stop) {
  constexpr Duration EarlyTime = 3s;
  constexpr int LastPart = 6;
  if (Request.m_Result->m_Elapsed >= Request.m_TimeLimit)
    return true;
  if (Request.m_Runs.empty())
    return false;
  const UpstreamRun &Last = Request.m_Runs.back();
  const TimePoint LateFrom =
      Stop.m_SignalledAt + Stop.m_GracePeriod * (LastPart - 1) / LastPart;
  return Last.m_BrokeOff || ((!Last.m_EndedAt || *Last.m_EndedAt >= LateFrom) &&
                             Request.m_LastByteAt.value_or(Request.m_SentAt) <=
                                 Stop.m_SignalledAt + EarlyTime);
}

/// Around a stop in a round of planned work only, every request that has
/// reached an upstream, or was there to be read for LossSlack, gets a complete
/// answer.
void Ledger::checkPlannedStops(const std::string &Id,
                               const RequestRecord &Request) {
  constexpr Duration AfterGrace = 1s;
  const TimePoint End = Request.m_SentAt + Request.m_Result->m_Elapsed;
  for (const PlannedStop &Stop : m_PlannedStops) {
    if (Stop.m_Gateway != Request.m_Gateway || End < Stop.m_SignalledAt ||
        Request.m_SentAt > Stop.m_SignalledAt + Stop.m_GracePeriod + AfterGrace)
      continue;
    const bool HasRun = !Request.m_Runs.empty() &&
                        (!Request.m_IsAroundStop || Request.m_LastByteAt);
    const bool WasRead =
        Request.m_LastByteAt && End > *Request.m_LastByteAt + LossSlack;
    if (Request.m_IsAroundStop && !HasRun && !WasRead)
      continue;
    ++m_CheckCounts["stop_cuts_nothing"];
    if ((!HasRun && !WasRead) || (Request.m_Result->m_Status != 0 &&
                                  !Request.m_Result->m_ConnectionBroken))
      continue;
    if (Request.m_IsAroundStop && isCutAllowed(Request, Stop)) {
      ++m_CheckCounts["stop_cuts_nothing (excused)"];
      continue;
    }
    const auto SinceSignal = [&](TimePoint At) {
      return std::to_string(
          std::chrono::duration<double>(At - Stop.m_SignalledAt).count());
    };
    addViolation(
        "stop_cuts_nothing",
        describe(Id, Request) + ", after SIGTERM: begun " +
            SinceSignal(Request.m_SentAt) + " s, sent " +
            SinceSignal(Request.m_LastByteAt.value_or(Request.m_SentAt)) +
            " s, ended " + SinceSignal(End) + " s");
  }
}

void Ledger::checkAll() {
  checkEndedRequests();
  for (const auto &[Id, Request] : m_Requests) {
    checkRuns(Id, Request);
    checkDraining(Id, Request);
    if (Request.m_Result->m_Ended)
      checkPlannedStops(Id, Request);
  }
  checkVersions();
  checkResumedShare();
  checkStatedLeaves();
  checkPauses();
  checkRetryBudget();
  checkCrashingRequest();
  checkCutGateways();
}

/// Returns whether \p Gateway had lost all upstreams for ContactBound, or
/// reaches them, or nothing if it was disturbed otherwise or lost them lately.
std::optional<bool> Ledger::isCut(int Gateway, TimePoint At) const {
  const auto Concerns = [&](const GatewaySpan &Span) {
    return Span.m_Gateway == Gateway && Span.m_From <= At &&
           At <= Span.m_To + ContactBound;
  };
  if (std::ranges::any_of(m_GatewayFaults, Concerns))
    return std::nullopt;
  const bool IsCut = std::ranges::any_of(m_Cuts, [&](const GatewaySpan &Cut) {
    return Cut.m_Gateway == Gateway && Cut.m_From + ContactBound <= At &&
           At < Cut.m_To;
  });
  if (!IsCut && std::ranges::any_of(m_Cuts, Concerns))
    return std::nullopt;
  return IsCut;
}

/// Returns whether the gateway was killed while the request was there.
bool Ledger::isLostInKill(const RequestRecord &Request) const {
  return std::ranges::any_of(m_Kills, [&](const GatewaySpan &Kill) {
    return Kill.m_Gateway == Request.m_Gateway &&
           Request.m_SentAt <= Kill.m_From &&
           Kill.m_From <= Request.m_SentAt + Request.m_Result->m_Elapsed;
  });
}

/// Callers of gateways that can reach no upstream are served nearly as well as
/// those of the others at the same time, as long as there are others.
void Ledger::checkCutGateways() {
  std::set<int> Gateways;
  for (const GatewaySpan &Fault : m_GatewayFaults)
    Gateways.insert(Fault.m_Gateway);
  std::array<int, 2> Sent{};
  std::array<int, 2> Served{};
  for (const auto &[Id, Request] : m_Requests) {
    std::array<int, 2> Present{};
    for (const int Gateway : Gateways)
      if (const auto IsCut = this->isCut(Gateway, Request.m_SentAt))
        ++Present.at(*IsCut ? 1 : 0);
    const auto IsCut = isCut(Request.m_Gateway, Request.m_SentAt);
    if (Present[0] == 0 || Present[1] == 0 || !IsCut || Request.m_IsCrashing ||
        Request.m_TableVersion != 0 || !isStoreStable(Request.m_SentAt) ||
        isLostInKill(Request))
      continue;
    ++Sent.at(*IsCut ? 1 : 0);
    Served.at(*IsCut ? 1 : 0) += Request.m_Result->m_Status == HttpOk &&
                                         !Request.m_Result->m_ConnectionBroken
                                     ? 1
                                     : 0;
  }
  if (Sent[0] == 0 || Sent[1] == 0)
    return;
  m_CheckCounts["served_behind_cut"] += Sent[1];
  const double Failed = Sent[1] - Served[1];
  if (Failed > CutFailures + CutFailureShare * Sent[1] &&
      Served[1] * Sent[0] < CutServedRatio * Served[0] * Sent[1])
    addViolation("served_behind_cut",
                 std::to_string(Served[1]) + " of " + std::to_string(Sent[1]) +
                     " by cut gateways, " + std::to_string(Served[0]) + " of " +
                     std::to_string(Sent[0]) + " by the others");
}

/// Returns whether the gateway must know at \p At what the store holds: it has
/// run for SettleBound, and no freeze, store fault or driver stall was under
/// way within that time.
bool Ledger::isGatewayUpToDate(const RequestRecord &Request,
                               TimePoint At) const {
  return At > Request.m_GatewayStartedAt + SettleBound && isStoreStable(At);
}

bool Ledger::isStoreStable(TimePoint At) const {
  return std::none_of(m_StalenessExcuses.begin(), m_StalenessExcuses.end(),
                      [&](const auto &Excused) {
                        return Excused.first <= At &&
                               At <= Excused.second + SettleBound;
                      });
}

void Ledger::checkCrashingRequest() {
  const std::size_t Crashes = m_CrashesBeforeHold;
  if (m_CrashRowsRemoved.size() < Crashes)
    return;
  ++m_CheckCounts["crashing_request"];
  const TimePoint KnownBy = knowledgeDeadline(m_CrashRowsRemoved[Crashes - 1]);
  std::string Late;
  std::size_t Count = 0;
  for (const auto &[Id, Request] : m_Requests)
    for (const UpstreamRun &Started : Request.m_Runs)
      if (Request.m_IsCrashing && Started.m_StartedAt > KnownBy &&
          isGatewayUpToDate(Request, Started.m_StartedAt)) {
        ++Count;
        Late += " " + Id + "@" + Started.m_UpstreamName;
      }
  if (Count > MaxRunsAfterCrashes)
    addViolation("crashing_request",
                 "runs after " + std::to_string(Crashes) + " crashes:" + Late);
}

void Ledger::checkRuns(const std::string &Id, const RequestRecord &Request) {
  const auto Fresh = static_cast<std::size_t>(std::count_if(
      Request.m_Runs.begin(), Request.m_Runs.end(),
      [](const UpstreamRun &Started) { return !Started.m_IsResumption; }));
  if (Request.m_Kind == RequestKind::AtMostOnce ||
      Request.m_Kind == RequestKind::Stream) {
    ++m_CheckCounts["at_most_once"];
    if (Request.m_Runs.size() > 1)
      addViolation("at_most_once", describe(Id, Request));
  }
  if (Request.m_Result->m_Ended &&
      isNotExecutedStatus(Request.m_Result->m_Status)) {
    ++m_CheckCounts["not_run_is_true"];
    if (Fresh > 0)
      addViolation("not_run_is_true", describe(Id, Request));
  }
}

/// Returns whether the run may be of bytes that a cut of the path held up.
bool Ledger::wasHeldUp(const RequestRecord &Request,
                       const UpstreamRun &Started) const {
  return std::ranges::any_of(m_PathCuts, [&](const PathCutSpan &Cut) {
    return Cut.m_Gateway == Request.m_Gateway &&
           Started.m_UpstreamName.starts_with(
               "u-" + std::to_string(Cut.m_Upstream) + "-") &&
           Cut.m_From <= Started.m_StartedAt &&
           Started.m_StartedAt <= Cut.m_To + ContactBound;
  });
}

void Ledger::checkDraining(const std::string &Id,
                           const RequestRecord &Request) {
  for (const UpstreamRun &Started : Request.m_Runs) {
    const auto Since = m_DrainingSince.find(Started.m_UpstreamName);
    if (Since == m_DrainingSince.end() || Started.m_StartedAt < Since->second ||
        wasHeldUp(Request, Started))
      continue;
    ++m_CheckCounts["nothing_new_to_leaving"];
    if (Started.m_StartedAt > knowledgeDeadline(Since->second))
      addViolation("nothing_new_to_leaving", describe(Id, Request));
  }
}

std::optional<Ledger::Pairing> Ledger::pairingOf(const Arrival &At) const {
  const auto Found = m_Requests.find(At.m_Id);
  if (Found == m_Requests.end())
    return std::nullopt;
  return Pairing(Found->second.m_Gateway, Found->second.m_Incarnation,
                 At.m_UpstreamName);
}

/// A gateway that has passed on an answer which states that its upstream leaves
/// sends that upstream none of the requests that callers send later than
/// DrainBound after, whatever the state of the store.
void Ledger::checkStatedLeaves() {
  std::map<Pairing, TimePoint> StatedAt;
  for (const auto &[Id, Request] : m_Requests) {
    // A resumed stream keeps the head of its first upstream.
    const std::string &Leaving = Request.m_Result->m_LeavingUpstream;
    if (Leaving.empty())
      continue;
    const TimePoint End = Request.m_SentAt + Request.m_Result->m_Elapsed;
    const Pairing Key(Request.m_Gateway, Request.m_Incarnation, Leaving);
    const auto [Known, New] = StatedAt.emplace(Key, End);
    Known->second = std::min(Known->second, End);
    if (New)
      ++m_CheckCounts["stated_leave"];
  }
  for (const Arrival &At : m_Arrivals) {
    const auto Key = pairingOf(At);
    const auto Known = Key ? StatedAt.find(*Key) : StatedAt.end();
    if (Known == StatedAt.end() || At.m_Time < Known->second)
      continue;
    const RequestRecord &Request = m_Requests.at(At.m_Id);
    if (Request.m_SentAt > Known->second + DrainBound)
      addViolation("stated_leave", describe(At.m_Id, Request));
  }
}

/// In a pause a gateway sends the upstream few requests, unless the path
/// between them was disturbed.
void Ledger::checkPauses() {
  for (const Arrival &Pause : m_Pauses) {
    const TimePoint End = Pause.m_Time + PauseTime;
    const auto Key = pairingOf(Pause);
    if (!Key || std::any_of(m_PathExcuses.begin(), m_PathExcuses.end(),
                            [&](const auto &Excused) {
                              return Excused.first <= End &&
                                     Pause.m_Time <= Excused.second;
                            }))
      continue;
    ++m_CheckCounts["pause_kept"];
    const auto Count = std::count_if(
        m_Arrivals.begin(), m_Arrivals.end(), [&](const Arrival &At) {
          return At.m_Time > Pause.m_Time + PauseGrace && At.m_Time < End &&
                 pairingOf(At) == Key;
        });
    if (Count > MaxInPause)
      addViolation("pause_kept",
                   describe(Pause.m_Id, m_Requests.at(Pause.m_Id)) + ": " +
                       std::to_string(Count) + " requests in the pause");
  }
}

void Ledger::checkRetryBudget() {
  std::vector<TimePoint> Requests;
  for (const auto &[Id, Request] : m_Requests)
    Requests.push_back(Request.m_SentAt);
  std::sort(Requests.begin(), Requests.end());
  const auto CountIn = [](const std::vector<TimePoint> &Times, TimePoint From,
                          Duration Span) {
    return static_cast<double>(
        std::lower_bound(Times.begin(), Times.end(), From + Span) -
        std::lower_bound(Times.begin(), Times.end(), From));
  };
  for (const TimePoint From : m_RetryArrivals) {
    ++m_CheckCounts["retry_budget"];
    // Requests of this window or of the one before, whichever had more.
    const double Earned =
        std::max(CountIn(Requests, From, RetryWindow),
                 CountIn(Requests, From - RetryWindow, RetryWindow));
    const double Used = CountIn(m_RetryArrivals, From, RetryWindow);
    if (Used > RetryRatio * Earned + RetrySlack) {
      addViolation("retry_budget", std::to_string(Used) + " retries for " +
                                       std::to_string(Earned) + " requests");
      return;
    }
  }
}

/// Returns by when every gateway must know what was written to the store at
/// \p Written. A fault that begins only after that time extends nothing.
TimePoint Ledger::knowledgeDeadline(TimePoint Written) const {
  TimeRanges InOrder = m_StalenessExcuses;
  std::sort(InOrder.begin(), InOrder.end());
  TimePoint Result = Written + DrainBound;
  for (const auto &[From, To] : InOrder)
    if (From <= Result)
      Result = std::max(Result, To + SettleBound);
  return Result;
}

double Ledger::servedShare(TimePoint From, TimePoint To) const {
  int Sent = 0;
  int Served = 0;
  for (const auto &[Id, Request] : m_Requests) {
    if (Request.m_SentAt < From || Request.m_SentAt >= To ||
        !Request.m_Result->m_Ended || Request.m_TableVersion != 0 ||
        Request.m_IsCrashing || Request.m_IsAroundStop)
      continue;
    ++Sent;
    if (Request.m_Result->m_Status == HttpOk &&
        !Request.m_Result->m_ConnectionBroken)
      ++Served;
  }
  return Sent == 0 ? 0 : static_cast<double>(Served) / Sent;
}

void Ledger::printReport() const {
  std::map<std::string, int> Outcomes;
  for (const auto &[Id, Request] : m_Requests) {
    const test::CallResult &Answer = *Request.m_Result;
    ++Outcomes[!Answer.m_Ended             ? "open"
               : Answer.m_Status == 0      ? "no answer"
               : Answer.m_ConnectionBroken ? "broken"
                                           : std::to_string(Answer.m_Status)];
  }
  std::cout << "calls by outcome:";
  for (const auto &[Outcome, Count] : Outcomes)
    std::cout << "  " << Outcome << ": " << Count;
  std::cout << "\nretries at upstreams: " << m_RetryArrivals.size()
            << "\nchecked:";
  for (const auto &[Check, Count] : m_CheckCounts)
    std::cout << "  " << Check << ": " << Count;
  std::cout << '\n';
  if (!m_DriverStalls.empty()) {
    const std::chrono::duration<double> Sum = std::accumulate(
        m_DriverStalls.begin(), m_DriverStalls.end(), Duration::zero());
    std::cout << "driver stalled " << m_DriverStalls.size() << " times, "
              << Sum.count() << " s in all\n";
  }
  for (const Violation &Broken : m_Violations)
    std::cout << "VIOLATION " << Broken.m_Check << ": " << Broken.m_Details
              << '\n';
}

} // namespace crowstep::soak
