/// Recording and checks.
#include "soak/ledger.h"

#include <algorithm>
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

std::string describe(const std::string &Id, const Asked &Request) {
  std::ostringstream Text;
  Text << Id << " at gateway " << Request.m_Gateway << ", status "
       << Request.m_Told->m_Status
       << (Request.m_Told->m_Broken ? ", broken" : "") << ", runs:";
  for (const Run &Started : Request.m_Runs)
    Text << ' ' << Started.m_Upstream
         << (Started.m_Continues ? "(resumed)" : "");
  return Text.str();
}

/// An event as SoakUpstream sends it: "id: 3\ndata: ATTEMPT UPSTREAM\n\n".
struct Event {
  int m_Id = 0;          ///< From 1.
  std::string m_Attempt; ///< X-Attempt-Id of the request.
  std::string m_Run;     ///< Name of the upstream's incarnation.
};

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

void Ledger::arrived(const std::string &Id, TimePoint Now) {
  if (++m_Arrivals[Id] > 1)
    m_Again.push_back(Now);
}

void Ledger::ran(const std::string &Id, Run Started) {
  const auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end()) {
    violated("own_answer", "run of an unknown request " + Id);
    return;
  }
  Found->second.m_Runs.push_back(std::move(Started));
}

void Ledger::judge() {
  for (auto &[Id, Request] : m_Calls)
    if (!Request.m_Judged && Request.m_Told->m_Ended) {
      Request.m_Judged = true;
      judgeAnswer(Id, Request);
      judgeStream(Id, Request);
      judgeVersion(Id, Request);
      judgeStops(Id, Request);
    }
}

/// An answer with status 200 that did not break off must be the whole body made
/// by a run of this very request.
void Ledger::judgeAnswer(const std::string &Id, const Asked &Request) {
  if (Request.m_Told->m_Status != HttpOk || Request.m_Told->m_Broken ||
      Request.m_Kind == Kind::Stream || Request.m_Kind == Kind::Resumable)
    return;
  ++m_Checked["own_answer"];
  if (Request.m_Told->m_Body != Id + " whole")
    violated("own_answer",
             describe(Id, Request) + ": " + Request.m_Told->m_Body);
}

void Ledger::judgeStream(const std::string &Id, const Asked &Request) {
  const bool Resumable = Request.m_Kind == Kind::Resumable;
  if (Request.m_Told->m_Status != HttpOk ||
      (Request.m_Kind != Kind::Stream && !Resumable))
    return;
  ++m_Checked["stream_order"];
  const std::vector<Event> Events = parseEvents(Request.m_Told->m_Body);
  std::set<std::string> Runs;
  for (std::size_t I = 0; I < Events.size(); ++I) {
    Runs.insert(Events[I].m_Run);
    if (Events[I].m_Id != static_cast<int>(I) + 1 || Events[I].m_Attempt != Id)
      violated("stream_order",
               describe(Id, Request) + ": event " + std::to_string(I + 1));
  }
  if (!Resumable && Runs.size() > 1)
    violated("stream_order",
             describe(Id, Request) + ": joined from several upstreams");
  if (!Request.m_Told->m_Broken && Events.size() != EventsOfStream)
    violated("stream_order", describe(Id, Request) +
                                 ": ends without an error after event " +
                                 std::to_string(Events.size()));
}

/// A gateway that has served by a table must not answer by an older one again.
void Ledger::judgeVersion(const std::string &Id, const Asked &Request) {
  if (Request.m_TableVersion == 0)
    return;
  ++m_Checked["version_never_back"];
  auto &Newest = m_Newest[{Request.m_Gateway, Request.m_Lifetime}];
  const auto &[Version, Since] = Newest;
  const bool After = Request.m_At > Since + DowngradeSlack;
  const bool Served = Request.m_Told->m_Status == HttpOk;
  if (After && Served && Request.m_TableVersion < Version)
    violated("version_never_back", describe(Id, Request) +
                                       ": served by table " +
                                       std::to_string(Request.m_TableVersion) +
                                       " after " + std::to_string(Version));
  // The next table may be in force though no answer has shown it yet.
  const auto Next = m_Tables.find(Request.m_TableVersion + 1);
  const bool Replaced =
      Next != m_Tables.end() &&
      Next->second <= Request.m_At + Request.m_Told->m_Elapsed;
  if (After && Request.m_Told->m_Status == HttpNotFound &&
      Request.m_TableVersion == Version && !Replaced)
    violated("version_never_back",
             describe(Id, Request) + ": its route is no longer found");
  if (Served && Request.m_TableVersion > Version)
    Newest = {Request.m_TableVersion, Request.m_At + Request.m_Told->m_Elapsed};
}

/// Around a stop in a round of planned work only, every request that an
/// upstream has started to run must get a complete answer.
void Ledger::judgeStops(const std::string &Id, const Asked &Request) {
  const TimePoint End = Request.m_At + Request.m_Told->m_Elapsed;
  for (const CalmStop &Stop : m_CalmStops) {
    if (Stop.m_Gateway != Request.m_Gateway || End < Stop.m_From ||
        Request.m_At > Stop.m_To)
      continue;
    ++m_Checked["stop_cuts_nothing"];
    if (!Request.m_Runs.empty() &&
        (Request.m_Told->m_Status == 0 || Request.m_Told->m_Broken))
      violated("stop_cuts_nothing", describe(Id, Request));
  }
}

void Ledger::judgeAll() {
  judge();
  for (const auto &[Id, Request] : m_Calls) {
    judgeRuns(Id, Request);
    judgeLeaving(Id, Request);
  }
  judgeBudget();
  judgeCrashing();
}

/// Returns whether the gateway must know at \p At what the store holds: it has
/// run for SettleBound, and no freeze, store fault or driver stall was under
/// way within that time.
bool Ledger::inTouch(const Asked &Request, TimePoint At) const {
  return At > Request.m_GatewayStart + SettleBound &&
         std::none_of(m_Blind.begin(), m_Blind.end(), [&](const auto &Excused) {
           return Excused.first <= At && At <= Excused.second + SettleBound;
         });
}

void Ledger::judgeCrashing() {
  constexpr std::size_t Crashes = 3;
  if (m_CrashesKnown.size() < Crashes)
    return;
  ++m_Checked["crashing_request"];
  const TimePoint KnownBy = knownBy(m_CrashesKnown[Crashes - 1]);
  std::string Late;
  std::size_t Count = 0;
  for (const auto &[Id, Request] : m_Calls)
    for (const Run &Started : Request.m_Runs)
      if (Request.m_Crashing && Started.m_At > KnownBy &&
          inTouch(Request, Started.m_At)) {
        ++Count;
        Late += " " + Id + "@" + Started.m_Upstream;
      }
  if (Count > RunsAfterCrashes)
    violated("crashing_request", "runs after three crashes:" + Late);
}

void Ledger::judgeRuns(const std::string &Id, const Asked &Request) {
  const auto Fresh = static_cast<std::size_t>(
      std::count_if(Request.m_Runs.begin(), Request.m_Runs.end(),
                    [](const Run &Started) { return !Started.m_Continues; }));
  if (Request.m_Kind == Kind::Once || Request.m_Kind == Kind::Stream) {
    ++m_Checked["at_most_once"];
    if (Request.m_Runs.size() > 1)
      violated("at_most_once", describe(Id, Request));
  }
  if (Request.m_Told->m_Ended &&
      isNotExecutedStatus(Request.m_Told->m_Status)) {
    ++m_Checked["not_run_is_true"];
    if (Fresh > 0)
      violated("not_run_is_true", describe(Id, Request));
  }
}

void Ledger::judgeLeaving(const std::string &Id, const Asked &Request) {
  for (const Run &Started : Request.m_Runs) {
    const auto Since = m_Leaving.find(Started.m_Upstream);
    if (Since == m_Leaving.end() || Started.m_At < Since->second)
      continue;
    ++m_Checked["nothing_new_to_leaving"];
    if (Started.m_At > knownBy(Since->second))
      violated("nothing_new_to_leaving", describe(Id, Request));
  }
}

void Ledger::judgeBudget() {
  std::vector<TimePoint> Requests;
  for (const auto &[Id, Request] : m_Calls)
    Requests.push_back(Request.m_At);
  std::sort(Requests.begin(), Requests.end());
  const auto CountIn = [](const std::vector<TimePoint> &Times, TimePoint From,
                          Duration Span) {
    return static_cast<double>(
        std::lower_bound(Times.begin(), Times.end(), From + Span) -
        std::lower_bound(Times.begin(), Times.end(), From));
  };
  for (const TimePoint From : m_Again) {
    ++m_Checked["retry_budget"];
    // Requests of this window or of the one before, whichever had more.
    const double Earned =
        std::max(CountIn(Requests, From, RetryWindow),
                 CountIn(Requests, From - RetryWindow, RetryWindow));
    const double Used = CountIn(m_Again, From, RetryWindow);
    if (Used > RetryRatio * Earned + RetrySlack) {
      violated("retry_budget", std::to_string(Used) + " retries for " +
                                   std::to_string(Earned) + " requests");
      return;
    }
  }
}

/// Returns by when every gateway must know what was written to the store at
/// \p Written. A fault that begins only after that time extends nothing.
TimePoint Ledger::knownBy(TimePoint Written) const {
  Spans InOrder = m_Blind;
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
  for (const auto &[Id, Request] : m_Calls) {
    if (Request.m_At < From || Request.m_At >= To || !Request.m_Told->m_Ended ||
        Request.m_TableVersion != 0 || Request.m_Crashing)
      continue;
    ++Sent;
    if (Request.m_Told->m_Status == HttpOk && !Request.m_Told->m_Broken)
      ++Served;
  }
  return Sent == 0 ? 0 : static_cast<double>(Served) / Sent;
}

void Ledger::report() const {
  std::map<std::string, int> Outcomes;
  for (const auto &[Id, Request] : m_Calls) {
    const test::Told &Answer = *Request.m_Told;
    ++Outcomes[!Answer.m_Ended        ? "open"
               : Answer.m_Status == 0 ? "no answer"
               : Answer.m_Broken      ? "broken"
                                      : std::to_string(Answer.m_Status)];
  }
  std::cout << "calls by outcome:";
  for (const auto &[Outcome, Count] : Outcomes)
    std::cout << "  " << Outcome << ": " << Count;
  std::cout << "\nretries at upstreams: " << m_Again.size() << "\nchecked:";
  for (const auto &[Check, Count] : m_Checked)
    std::cout << "  " << Check << ": " << Count;
  std::cout << '\n';
  if (!m_Stalled.empty()) {
    const std::chrono::duration<double> Sum =
        std::accumulate(m_Stalled.begin(), m_Stalled.end(), Duration::zero());
    std::cout << "driver stalled " << m_Stalled.size() << " times, "
              << Sum.count() << " s in all\n";
  }
  for (const Violation &Broken : m_Violations)
    std::cout << "VIOLATION " << Broken.m_Check << ": " << Broken.m_What
              << '\n';
}

} // namespace crowstep::soak
