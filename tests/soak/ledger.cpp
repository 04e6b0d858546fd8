/// The checks.
#include "soak/ledger.h"

#include <algorithm>
#include <iostream>
#include <numeric>
#include <set>
#include <sstream>

namespace crowstep::soak {

using namespace std::chrono_literals;

namespace {

/// Within this time of a first answer by a newer table an older one may speak.
constexpr Duration DowngradeSlack = 250ms;

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNotFound = 404;

bool saysNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

std::string describe(const std::string &Id, const Asked &Call) {
  std::ostringstream Text;
  Text << Id << " at gateway " << Call.m_Gateway << ", status "
       << Call.m_Told->m_Status << (Call.m_Told->m_Broken ? ", broken" : "")
       << ", runs:";
  for (const Run &Each : Call.m_Runs)
    Text << ' ' << Each.m_Upstream << (Each.m_Continues ? "(continues)" : "");
  return Text.str();
}

/// An event as the stand-in upstreams make them: "id: 3\ndata: ATTEMPT RUN\n".
struct Event {
  int m_Id = 0;          ///< Its number.
  std::string m_Attempt; ///< The call.
  std::string m_Run;     ///< The upstream's start.
};

std::vector<Event> eventsOf(const std::string &Body) {
  std::vector<Event> Result;
  std::istringstream Lines(Body);
  Event Now;
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.starts_with("id: "))
      Now.m_Id = std::atoi(Line.c_str() + 4);
    if (Line.starts_with("data: ")) {
      std::istringstream(Line.substr(6)) >> Now.m_Attempt >> Now.m_Run;
      Result.push_back(Now);
    }
  }
  return Result;
}

} // namespace

void Ledger::arrived(const std::string &Id, TimePoint Now) {
  if (++m_Arrivals[Id] > 1)
    m_Again.push_back(Now);
}

void Ledger::ran(const std::string &Id, Run What) {
  const auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end()) {
    violated("own_answer", "a run of an unknown call " + Id);
    return;
  }
  Found->second.m_Runs.push_back(std::move(What));
}

void Ledger::judge() {
  for (auto &[Id, Call] : m_Calls)
    if (!Call.m_Judged && Call.m_Told->m_Ended) {
      Call.m_Judged = true;
      judgeAnswer(Id, Call);
      judgeStream(Id, Call);
      judgeVersion(Id, Call);
      judgeStops(Id, Call);
    }
}

/// A good answer is one that a run of just this call has made, and whole.
void Ledger::judgeAnswer(const std::string &Id, const Asked &Call) {
  if (Call.m_Told->m_Status != HttpOk || Call.m_Told->m_Broken ||
      Call.m_Kind == Kind::Stream || Call.m_Kind == Kind::Resumable)
    return;
  ++m_Checked["own_answer"];
  if (Call.m_Told->m_Body != Id + " whole")
    violated("own_answer", describe(Id, Call) + ": " + Call.m_Told->m_Body);
}

void Ledger::judgeStream(const std::string &Id, const Asked &Call) {
  const bool Resumable = Call.m_Kind == Kind::Resumable;
  if (Call.m_Told->m_Status != HttpOk ||
      (Call.m_Kind != Kind::Stream && !Resumable))
    return;
  ++m_Checked["stream_order"];
  const std::vector<Event> Events = eventsOf(Call.m_Told->m_Body);
  std::set<std::string> Runs;
  for (std::size_t I = 0; I < Events.size(); ++I) {
    Runs.insert(Events[I].m_Run);
    if (Events[I].m_Id != static_cast<int>(I) + 1 || Events[I].m_Attempt != Id)
      violated("stream_order",
               describe(Id, Call) + ": event " + std::to_string(I + 1));
  }
  if (!Resumable && Runs.size() > 1)
    violated("stream_order", describe(Id, Call) + ": joined from several runs");
  if (!Call.m_Told->m_Broken && Events.size() != EventsOfStream)
    violated("stream_order", describe(Id, Call) + ": ends as whole after " +
                                 std::to_string(Events.size()));
}

/// A gateway that has served by a table never again answers by an older one.
void Ledger::judgeVersion(const std::string &Id, const Asked &Call) {
  if (Call.m_TableVersion == 0)
    return;
  ++m_Checked["version_never_back"];
  auto &Newest = m_Newest[{Call.m_Gateway, Call.m_Lifetime}];
  const auto &[Version, Since] = Newest;
  const bool After = Call.m_At > Since + DowngradeSlack;
  const bool Served = Call.m_Told->m_Status == HttpOk;
  if (After && Served && Call.m_TableVersion < Version)
    violated("version_never_back", describe(Id, Call) + ": served by table " +
                                       std::to_string(Call.m_TableVersion) +
                                       " after " + std::to_string(Version));
  // The table after it may be in force, though no call has shown that yet.
  const auto Next = m_Tables.find(Call.m_TableVersion + 1);
  const bool Replaced = Next != m_Tables.end() &&
                        Next->second <= Call.m_At + Call.m_Told->m_Elapsed;
  if (After && Call.m_Told->m_Status == HttpNotFound &&
      Call.m_TableVersion == Version && !Replaced)
    violated("version_never_back",
             describe(Id, Call) + ": the route is gone again");
  if (Served && Call.m_TableVersion > Version)
    Newest = {Call.m_TableVersion, Call.m_At + Call.m_Told->m_Elapsed};
}

/// Around a stop without other troubles each call that an upstream has begun
/// gets its answer.
void Ledger::judgeStops(const std::string &Id, const Asked &Call) {
  const TimePoint End = Call.m_At + Call.m_Told->m_Elapsed;
  for (const CalmStop &Each : m_CalmStops) {
    if (Each.m_Gateway != Call.m_Gateway || End < Each.m_From ||
        Call.m_At > Each.m_To)
      continue;
    ++m_Checked["stop_cuts_nothing"];
    if (!Call.m_Runs.empty() &&
        (Call.m_Told->m_Status == 0 || Call.m_Told->m_Broken))
      violated("stop_cuts_nothing", describe(Id, Call));
  }
}

void Ledger::judgeAll() {
  judge();
  for (const auto &[Id, Call] : m_Calls) {
    judgeRuns(Id, Call);
    judgeLeaving(Id, Call);
  }
  judgeBudget();
  judgeCrashing();
}

/// Returns whether the gateway had no trouble of its own or with the store.
bool Ledger::inTouch(const Asked &Call, TimePoint At) const {
  return At > Call.m_GatewayStart + SettleBound &&
         std::none_of(m_Blind.begin(), m_Blind.end(), [&](const auto &Each) {
           return Each.first <= At && At <= Each.second + SettleBound;
         });
}

void Ledger::judgeCrashing() {
  constexpr std::size_t Crashes = 3;
  if (m_CrashesKnown.size() < Crashes)
    return;
  ++m_Checked["crashing_request"];
  const TimePoint Known = knownBy(m_CrashesKnown[Crashes - 1]);
  std::string Late;
  std::size_t Count = 0;
  for (const auto &[Id, Call] : m_Calls)
    for (const Run &Each : Call.m_Runs)
      if (Call.m_Crashing && Each.m_At > Known && inTouch(Call, Each.m_At)) {
        ++Count;
        Late += " " + Id + "@" + Each.m_Upstream;
      }
  if (Count > RunsAfterCrashes)
    violated("crashing_request", "runs after three crashes:" + Late);
}

void Ledger::judgeRuns(const std::string &Id, const Asked &Call) {
  const auto Fresh = static_cast<std::size_t>(
      std::count_if(Call.m_Runs.begin(), Call.m_Runs.end(),
                    [](const Run &Each) { return !Each.m_Continues; }));
  if (Call.m_Kind == Kind::Once || Call.m_Kind == Kind::Stream) {
    ++m_Checked["at_most_once"];
    if (Call.m_Runs.size() > 1)
      violated("at_most_once", describe(Id, Call));
  }
  if (Call.m_Told->m_Ended && saysNotRun(Call.m_Told->m_Status)) {
    ++m_Checked["not_run_is_true"];
    if (Fresh > 0)
      violated("not_run_is_true", describe(Id, Call));
  }
}

void Ledger::judgeLeaving(const std::string &Id, const Asked &Call) {
  for (const Run &Each : Call.m_Runs) {
    const auto Since = m_Leaving.find(Each.m_Upstream);
    if (Since == m_Leaving.end() || Each.m_At < Since->second)
      continue;
    ++m_Checked["nothing_new_to_leaving"];
    if (Each.m_At > knownBy(Since->second))
      violated("nothing_new_to_leaving", describe(Id, Call));
  }
}

void Ledger::judgeBudget() {
  std::vector<TimePoint> Calls;
  for (const auto &[Id, Call] : m_Calls)
    Calls.push_back(Call.m_At);
  std::sort(Calls.begin(), Calls.end());
  const auto In = [](const std::vector<TimePoint> &All, TimePoint From,
                     Duration Span) {
    return static_cast<double>(
        std::lower_bound(All.begin(), All.end(), From + Span) -
        std::lower_bound(All.begin(), All.end(), From));
  };
  for (const TimePoint From : m_Again) {
    ++m_Checked["retry_budget"];
    // Calls of the window or of the one before, whichever had more.
    const double Earned = std::max(In(Calls, From, RetryWindow),
                                   In(Calls, From - RetryWindow, RetryWindow));
    const double Used = In(m_Again, From, RetryWindow);
    if (Used > RetryRatio * Earned + RetrySlack) {
      violated("retry_budget", std::to_string(Used) + " repeats beside " +
                                   std::to_string(Earned) + " calls");
      return;
    }
  }
}

/// Returns by when every gateway must know what the store was told at \p Told.
/// A trouble that begins only after this excuses nothing.
TimePoint Ledger::knownBy(TimePoint Told) const {
  Spans InOrder = m_Blind;
  std::sort(InOrder.begin(), InOrder.end());
  TimePoint Result = Told + DrainBound;
  for (const auto &[From, To] : InOrder)
    if (From <= Result)
      Result = std::max(Result, To + SettleBound);
  return Result;
}

double Ledger::servedShare(TimePoint From, TimePoint To) const {
  int Sent = 0;
  int Served = 0;
  for (const auto &[Id, Call] : m_Calls) {
    if (Call.m_At < From || Call.m_At >= To || !Call.m_Told->m_Ended ||
        Call.m_TableVersion != 0 || Call.m_Crashing)
      continue;
    ++Sent;
    if (Call.m_Told->m_Status == HttpOk && !Call.m_Told->m_Broken)
      ++Served;
  }
  return Sent == 0 ? 0 : static_cast<double>(Served) / Sent;
}

void Ledger::report() const {
  std::map<std::string, int> Outcomes;
  for (const auto &[Id, Call] : m_Calls) {
    const test::Told &Told = *Call.m_Told;
    ++Outcomes[!Told.m_Ended        ? "open"
               : Told.m_Status == 0 ? "no answer"
               : Told.m_Broken      ? "broken"
                                    : std::to_string(Told.m_Status)];
  }
  std::cout << "calls by outcome:";
  for (const auto &[Outcome, Count] : Outcomes)
    std::cout << "  " << Outcome << ": " << Count;
  std::cout << "\nrepeats at upstreams: " << m_Again.size() << "\nchecked:";
  for (const auto &[Check, Count] : m_Checked)
    std::cout << "  " << Check << ": " << Count;
  std::cout << '\n';
  if (!m_Stalled.empty()) {
    const std::chrono::duration<double> Sum =
        std::accumulate(m_Stalled.begin(), m_Stalled.end(), Duration::zero());
    std::cout << "the driver stood still " << m_Stalled.size() << " times, "
              << Sum.count() << " s in all\n";
  }
  for (const Violation &Each : m_Violations)
    std::cout << "VIOLATION " << Each.m_Check << ": " << Each.m_What << '\n';
}

} // namespace crowstep::soak
