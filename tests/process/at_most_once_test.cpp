/// A call that may not be repeated runs at most once, and "not run" is true.
///
/// The oracle is outside the router: the stand-in desks record every call with
/// its key, and the callers keep what they were told.
#define BOOST_TEST_MODULE at_most_once
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// All that callers were told of one key.
using Answers = std::vector<std::shared_ptr<const Told>>;

/// Sends a wave of holds, each key twice through different entries, and keeps
/// sending those that were told to come back until \p Done.
class Callers {
public:
  explicit Callers(Fleet &Of) : m_Fleet(Of) {}

  /// Starts \p Count new keys, each at entry Index and at the next one.
  void wave(std::size_t Count) {
    for (std::size_t Each = 0; Each < Count; ++Each) {
      const std::string Key = "key-" + std::to_string(m_Next++);
      send(Key, m_Next);
      send(Key, m_Next + 1);
    }
  }

  void send(const std::string &Key, std::size_t Entry) {
    Call What = m_Fleet.desk(Entry % m_Fleet.instances().size(), "hold", Key,
                             "{\"seat\":\"" + Key + "\"}");
    What.m_Limit = 12s;
    m_Told[Key].push_back(m_Fleet.caller().start(What));
  }

  /// Sends every key once more.
  void repeatAll() {
    for (auto &[Key, Given] : m_Told)
      send(Key, ++m_Next);
  }

  bool allEnded() const {
    for (const auto &[Key, Given] : m_Told)
      for (const auto &Each : Given)
        if (!Each->m_Ended)
          return false;
    return true;
  }

  /// Compares what callers were told with what the desks ran.
  void check() {
    std::map<std::string, std::size_t> Ran;
    for (const RanCall &Each : m_Fleet.ran("desk"))
      ++Ran[Each.m_Key];
    std::size_t Answered = 0;
    for (const auto &[Key, Given] : m_Told) {
      BOOST_TEST(Ran[Key] <= 1U, Key + " ran " + std::to_string(Ran[Key]));
      checkAnswers(Key, Given, Ran[Key], Answered);
    }
    BOOST_TEST_MESSAGE(m_Told.size() << " keys, " << Ran.size() << " ran, "
                                     << Answered << " answers");
    BOOST_TEST(Answered > 0U);
  }

private:
  static void checkAnswers(const std::string &Key, const Answers &Given,
                           std::size_t Ran, std::size_t &Answered) {
    std::string First;
    for (const auto &Each : Given) {
      if (Each->m_Run == "run" && Each->m_Status == 200) {
        ++Answered;
        BOOST_TEST(Ran == 1U, Key);
        if (First.empty())
          First = Each->m_Body;
        BOOST_TEST(Each->m_Body == First, Key);
      }
      // Told "not run" by every answer that came, the key must not have run.
    }
    const bool AllNotRun =
        std::all_of(Given.begin(), Given.end(),
                    [](const auto &Each) { return Each->m_Run == "not-run"; });
    if (AllNotRun)
      BOOST_TEST(Ran == 0U, Key + " told not-run by all and ran");
  }

  Fleet &m_Fleet;                        ///< Outlives this object.
  std::size_t m_Next = 0;                ///< For keys and entries.
  std::map<std::string, Answers> m_Told; ///< By key.
};

FleetPlan slowDesk() {
  FleetPlan Plan;
  Plan.m_ServiceSettings = "service_ms = 60\n";
  return Plan;
}

} // namespace

// Riders hold seats while an entry is killed in the middle of their calls. They
// see a broken connection and send the key again through another entry. The
// killed entry may have sent the call, so nobody else may ever send it.
BOOST_AUTO_TEST_CASE(EntryKilledInTheMiddle) {
  Fleet Under(slowDesk());
  Under.start();
  Callers Riders(Under);
  Riders.wave(40);
  runFor(60ms);
  Under.instances()[1].m_Entry->kill();
  BOOST_TEST(runUntil([&] { return Riders.allEnded(); }, 20s));
  Under.startInstance(1);
  Under.waitReady(1, 10s);
  Riders.repeatAll();
  BOOST_TEST(runUntil([&] { return Riders.allEnded(); }, 20s));
  Riders.check();
}

// The table service carries out the claim's insert, but its answer is lost. The
// entry does not know whether it holds the claim; it must find out, not guess.
BOOST_AUTO_TEST_CASE(AnswersOfTheTableServiceAreLost) {
  Fleet Under(slowDesk());
  Under.start();
  Callers Riders(Under);
  Under.platformFault("tables", "drop_answer", 0, 12);
  Riders.wave(30);
  BOOST_TEST(runUntil([&] { return Riders.allEnded(); }, 30s));
  Under.platformFault("tables", "none");
  Riders.repeatAll();
  BOOST_TEST(runUntil([&] { return Riders.allEnded(); }, 20s));
  Riders.check();
}

// An entry is frozen with claims and grants in hand, its callers go to other
// entries, and it wakes up. Whatever it then sends must be its own claims.
BOOST_AUTO_TEST_CASE(FrozenEntryWakesUp) {
  Fleet Under(slowDesk());
  Under.start();
  Callers Riders(Under);
  Riders.wave(30);
  runFor(30ms);
  Under.instances()[0].m_Entry->signal(SIGSTOP);
  runFor(1500ms);
  Riders.repeatAll();
  runFor(2500ms);
  Under.instances()[0].m_Entry->signal(SIGCONT);
  BOOST_TEST(runUntil([&] { return Riders.allEnded(); }, 20s));
  Riders.repeatAll();
  BOOST_TEST(runUntil([&] { return Riders.allEnded(); }, 20s));
  Riders.check();
}

// The dispatcher that decides for the desk, and perhaps writes the claims, is
// killed while the table service loses answers: two faults at once.
BOOST_AUTO_TEST_CASE(OwnerKilledWhileAnswersAreLost) {
  Fleet Under(slowDesk());
  Under.start();
  Callers Riders(Under);
  const std::string Owner = Under.ownerOf("desk");
  BOOST_TEST(!Owner.empty());
  Under.platformFault("tables", "drop_answer", 0, 6);
  Riders.wave(30);
  runFor(40ms);
  for (TestInstance &Each : Under.instances())
    if (Each.m_Name == Owner)
      Each.m_Dispatcher->kill();
  BOOST_TEST(runUntil([&] { return Riders.allEnded(); }, 30s));
  Under.platformFault("tables", "none");
  Riders.repeatAll();
  BOOST_TEST(runUntil([&] { return Riders.allEnded(); }, 30s));
  Riders.check();
}

// The table service is down for longer than a target allows: holds are refused
// as "not run" at their target with a time to come back, checks go on.
BOOST_AUTO_TEST_CASE(OutageRefusesHoldsAndServesChecks) {
  Fleet Under(slowDesk());
  Under.start();
  Under.platformFault("tables", "refuse");
  const Told Hold =
      Under.caller().call(Under.desk(0, "hold", "outage-1", "{\"seat\":1}"));
  BOOST_TEST(Hold.m_Status == 503U, Hold.m_Body);
  BOOST_TEST(Hold.code() == "claim_unavailable");
  BOOST_TEST(Hold.m_Run == "not-run");
  BOOST_TEST(!Hold.m_RetryAfter.empty());
  const Told Check =
      Under.caller().call(Under.desk(0, "check", "", "{\"pass\":1}"));
  BOOST_TEST(Check.m_Status == 200U, Check.m_Body);
  Under.platformFault("tables", "none");
  const Told Again =
      Under.caller().call(Under.desk(1, "hold", "outage-1", "{\"seat\":1}"));
  BOOST_TEST(Again.m_Status == 200U, Again.m_Body);
}
