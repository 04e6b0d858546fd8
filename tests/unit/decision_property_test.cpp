/// Random schedules of bids, ends, losses, faults and changes of the table.
///
/// Each bid is answered once, urgent bids are never given up for less urgent
/// ones, and no limit is exceeded, whatever the order of events. The simulation
/// checks each action when it is made; the properties check the final state.
#define BOOST_TEST_MODULE decision_property
#include "decision_simulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace crowstep;
using namespace crowstep::decision;
using namespace crowstep::decision::test;

namespace {

using Schedule = std::vector<std::uint32_t>;

rc::Gen<Schedule> schedules() {
  constexpr int Length = 700;
  return rc::gen::resize(
      Length, rc::gen::container<Schedule>(rc::gen::inRange(0U, 1U << 24)));
}

std::vector<Contract> makeTable(unsigned Variant) {
  std::vector<Contract> Rows = {row(1, 1, 300ms, 2s), row(2, 2, 1s, 5s),
                                row(3, 4, 5s, 40s, true),
                                row(4, 6, 10s, 60s, true)};
  Rows[0].m_Weight = 5;
  Rows[2].m_Weight = 2;
  if (Variant % 2 == 1)
    Rows[2].m_Tier = 3;
  if (Variant % 3 == 1) {
    Rows[1].m_MaxConcurrent = 3;
    Rows[3].m_WorkspaceConcurrent = 2;
  }
  if (Variant % 5 == 1)
    Rows[2].m_MaxQueue = 6;
  return Rows;
}

/// Executes a schedule: each number encodes one step.
class SchedulePlayer {
public:
  explicit SchedulePlayer(DeciderSimulation &Sim) : m_Sim(Sim) {
    Sim.setTable(makeTable(0));
    list(4);
  }

  void play(std::uint32_t Code) {
    const std::uint32_t Kind = Code % 32;
    const std::uint32_t Value = Code / 32;
    if (Kind < 16)
      ask(Value);
    else if (Kind < 24)
      m_Sim.advance(Duration(Value % 300'000));
    else
      playFault(Kind, Value);
  }

private:
  void ask(std::uint32_t Value) {
    const auto Class = static_cast<std::uint16_t>(1 + Value % 4);
    const Duration Service = Class < 3 ? 200ms : 4s;
    m_Sim.submit(Class, 1 + Value / 4 % 5, Service + Duration(Value % 100'000));
  }

  void playFault(std::uint32_t Kind, std::uint32_t Value) {
    const UpstreamId Target(1 + Value % 4);
    switch (Kind) {
    case 24:
      return endOne(Value);
    case 25:
      return withdrawOne(Value);
    case 26:
      return m_Sim.loseEntry(InstanceId(1 + Value % 3));
    case 27:
      m_Sim.setTable(makeTable(Value % 30));
      return;
    case 28:
      return list(2 + Value % 3, Value / 4 % 4 == 0);
    case 29:
      return drain(Target, Value / 4 % 2 == 0);
    case 30:
      return m_Sim.send(
          LoadReport{Target, Value % 50, Duration(Value % 3'000'000), 0, 0});
    default:
      return m_Sim.send(CacheEvent{Target, Value % 9, Value % 5, true});
    }
  }

  void endOne(std::uint32_t Value) {
    if (m_Sim.m_Running.empty())
      return;
    constexpr std::array<WorkEnd, 4> Ends = {WorkEnd::Cancelled,
                                             WorkEnd::Failed, WorkEnd::Unused,
                                             WorkEnd::ConnectFailed};
    auto It = m_Sim.m_Running.begin();
    std::advance(It, Value % m_Sim.m_Running.size());
    const WorkEnd End = Ends[Value / 64 % Ends.size()];
    if (End == WorkEnd::Failed || End == WorkEnd::ConnectFailed)
      m_Sim.m_Failing.insert(It->second.m_Upstream);
    m_Sim.end(It->first, End);
  }

  void withdrawOne(std::uint32_t Value) {
    if (m_Sim.m_Waiting.empty())
      return;
    auto It = m_Sim.m_Waiting.begin();
    std::advance(It, Value % m_Sim.m_Waiting.size());
    m_Sim.withdraw(RequestId(It->first));
  }

  void list(std::uint32_t Count, bool LastLeaves = false) {
    std::vector<Upstream> All;
    for (std::uint64_t Id = 1; Id <= Count; ++Id)
      All.push_back(engine(Id, 2));
    All.back().m_Draining = LastLeaves;
    m_Sim.setUpstreams(All);
  }

  void drain(UpstreamId Target, bool Drained) {
    if (!m_Sim.m_Upstreams.contains(Target))
      return;
    if (Drained)
      m_Sim.m_Drained.insert(Target);
    else
      m_Sim.m_Drained.erase(Target);
    m_Sim.send(UpstreamDrained{Target, Drained});
  }

  DeciderSimulation &m_Sim; ///< Simulation that the schedule drives.
};

std::string toText(const Action &Logged) {
  std::string Text = std::to_string(Logged.index());
  const auto Add = [&Text](std::uint64_t Value) {
    Text += ' ' + std::to_string(Value);
  };
  if (const auto *Granted = std::get_if<Grant>(&Logged)) {
    Add(Granted->m_Request.m_Number);
    Add(Granted->m_Upstream.value());
  } else if (const auto *Refused = std::get_if<Refuse>(&Logged)) {
    Add(Refused->m_Request.m_Number);
    Add(static_cast<std::uint64_t>(Refused->m_RetryAfter.count()));
  } else if (const auto *Preempted = std::get_if<Preempt>(&Logged)) {
    Add(Preempted->m_Request.m_Number);
  }
  return Text;
}

} // namespace

RC_BOOST_PROP(EveryBidIsAnsweredOnceByItsLimit, ()) {
  DeciderSimulation Sim;
  SchedulePlayer Player(Sim);
  for (const std::uint32_t Code : *schedules())
    Player.play(Code);
  // A bid held beyond its limit would only delay its answer.
  for (const auto &[Id, Waiting] : Sim.m_Waiting)
    RC_ASSERT(Waiting.second > Sim.m_Clock.now());
  Sim.advance(200s);
  RC_ASSERT(Sim.m_Waiting.empty());
  RC_ASSERT(Sim.m_Running.empty());
}

RC_BOOST_PROP(SameEventsAndSeedGiveSameActions, ()) {
  const Schedule Codes = *schedules();
  std::vector<std::string> Logs;
  for (int Run = 0; Run < 2; ++Run) {
    DeciderSimulation Sim;
    SchedulePlayer Player(Sim);
    for (const std::uint32_t Code : Codes)
      Player.play(Code);
    std::string Log;
    for (const Action &Logged : Sim.m_Log)
      Log += toText(Logged) + '\n';
    Logs.push_back(Log);
  }
  RC_ASSERT(Logs[0] == Logs[1]);
}
