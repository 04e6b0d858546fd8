/// A call that is not repeatable runs at most once, and the answer "not-run" is
/// true.
///
/// Verified outside the router: the stand-in upstreams record every call with
/// its key, and the callers keep the answers they got.
#define BOOST_TEST_MODULE at_most_once
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// Results of all requests with one key.
using CallResults = std::vector<std::shared_ptr<const CallResult>>;

/// Sends keyed "hold" requests, each key twice through different entries, keeps
/// their results, and compares them with the records of the upstreams.
class KeyedCallers {
public:
  explicit KeyedCallers(Fleet &TestFleet) : m_Fleet(TestFleet) {}

  /// Sends requests with \p Count new keys, each at two successive entries.
  void sendWave(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      const std::string Key = "key-" + std::to_string(m_NextNumber++);
      send(Key, m_NextNumber);
      send(Key, m_NextNumber + 1);
    }
  }

  void send(const std::string &Key, std::size_t Entry) {
    Call Request = m_Fleet.deskCall(Entry % m_Fleet.instances().size(), "hold",
                                    Key, "{\"seat\":\"" + Key + "\"}");
    Request.m_Timeout = 12s;
    m_Results[Key].push_back(m_Fleet.caller().start(Request));
  }

  /// Sends another request with every key.
  void resendAll() {
    for (auto &[Key, Results] : m_Results)
      send(Key, ++m_NextNumber);
  }

  bool allEnded() const {
    for (const auto &[Key, Results] : m_Results)
      for (const auto &Answer : Results)
        if (!Answer->m_Ended)
          return false;
    return true;
  }

  /// Checks that each key ran at most once and that all answers agree with the
  /// records of the upstreams.
  void checkAgainstRecords() {
    std::map<std::string, std::size_t> Ran;
    for (const RecordedCall &Record : m_Fleet.recordedCalls("desk"))
      ++Ran[Record.m_IdempotencyKey];
    std::size_t Answered = 0;
    for (const auto &[Key, Results] : m_Results) {
      BOOST_TEST(Ran[Key] <= 1U, Key + " ran " + std::to_string(Ran[Key]));
      checkAnswers(Key, Results, Ran[Key], Answered);
    }
    BOOST_TEST_MESSAGE(m_Results.size() << " keys, " << Ran.size() << " ran, "
                                        << Answered << " answers");
    BOOST_TEST(Answered > 0U);
  }

private:
  static void checkAnswers(const std::string &Key, const CallResults &Results,
                           std::size_t Ran, std::size_t &Answered) {
    std::string First;
    for (const auto &Answer : Results) {
      if (Answer->m_Run == "run" && Answer->m_Status == 200) {
        ++Answered;
        BOOST_TEST(Ran == 1U, Key);
        if (First.empty())
          First = Answer->m_Body;
        BOOST_TEST(Answer->m_Body == First, Key);
      }
    }
    // If every answer says "not-run", the key must not have run.
    const bool AllNotRun =
        std::all_of(Results.begin(), Results.end(), [](const auto &Answer) {
          return Answer->m_Run == "not-run";
        });
    if (AllNotRun)
      BOOST_TEST(Ran == 0U, Key + " ran, although every answer says not-run");
  }

  Fleet &m_Fleet;                               ///< Must outlive this object.
  std::size_t m_NextNumber = 0;                 ///< For keys and entries.
  std::map<std::string, CallResults> m_Results; ///< By key.
};

FleetPlan slowDesk() {
  FleetPlan Plan;
  Plan.m_ServiceSettings = "service_ms = 60\n";
  return Plan;
}

} // namespace

// An entry is killed in the middle of its keyed calls. Callers see a broken
// connection and send the key again through another entry. The killed entry may
// have sent the call, so no other entry may ever send it.
BOOST_AUTO_TEST_CASE(EntryKilledInTheMiddle) {
  Fleet TestFleet(slowDesk());
  TestFleet.start();
  KeyedCallers Callers(TestFleet);
  Callers.sendWave(40);
  runFor(60ms);
  TestFleet.instances()[1].m_Entry->kill();
  BOOST_TEST(runUntil([&] { return Callers.allEnded(); }, 20s));
  TestFleet.startInstance(1);
  TestFleet.waitUntilReady(1, 10s);
  Callers.resendAll();
  BOOST_TEST(runUntil([&] { return Callers.allEnded(); }, 20s));
  Callers.checkAgainstRecords();
}

// The table service inserts the claim, but its answer is lost. The entry does
// not know whether it holds the claim and must read it to find out.
BOOST_AUTO_TEST_CASE(AnswersOfTheTableServiceAreLost) {
  Fleet TestFleet(slowDesk());
  TestFleet.start();
  KeyedCallers Callers(TestFleet);
  TestFleet.setPlatformFault("tables", "drop_answer", 0, 12);
  Callers.sendWave(30);
  BOOST_TEST(runUntil([&] { return Callers.allEnded(); }, 30s));
  TestFleet.setPlatformFault("tables", "none");
  Callers.resendAll();
  BOOST_TEST(runUntil([&] { return Callers.allEnded(); }, 20s));
  Callers.checkAgainstRecords();
}

// An entry that holds claims and grants is suspended, its callers use other
// entries, and it resumes. It may then send only calls whose claims it holds.
BOOST_AUTO_TEST_CASE(FrozenEntryWakesUp) {
  Fleet TestFleet(slowDesk());
  TestFleet.start();
  KeyedCallers Callers(TestFleet);
  Callers.sendWave(30);
  runFor(30ms);
  TestFleet.instances()[0].m_Entry->signal(SIGSTOP);
  runFor(1500ms);
  Callers.resendAll();
  runFor(2500ms);
  TestFleet.instances()[0].m_Entry->signal(SIGCONT);
  BOOST_TEST(runUntil([&] { return Callers.allEnded(); }, 20s));
  Callers.resendAll();
  BOOST_TEST(runUntil([&] { return Callers.allEnded(); }, 20s));
  Callers.checkAgainstRecords();
}

// Two faults at once: the dispatcher that owns the pool of "desk", and may
// write the claims, is killed while the table service loses answers.
BOOST_AUTO_TEST_CASE(OwnerKilledWhileAnswersAreLost) {
  Fleet TestFleet(slowDesk());
  TestFleet.start();
  KeyedCallers Callers(TestFleet);
  const std::string Owner = TestFleet.ownerOf("desk");
  BOOST_TEST(!Owner.empty());
  TestFleet.setPlatformFault("tables", "drop_answer", 0, 6);
  Callers.sendWave(30);
  runFor(40ms);
  for (TestInstance &Instance : TestFleet.instances())
    if (Instance.m_Name == Owner)
      Instance.m_Dispatcher->kill();
  BOOST_TEST(runUntil([&] { return Callers.allEnded(); }, 30s));
  TestFleet.setPlatformFault("tables", "none");
  Callers.resendAll();
  BOOST_TEST(runUntil([&] { return Callers.allEnded(); }, 30s));
  Callers.checkAgainstRecords();
}

// The table service is down for longer than the latency target: keyed requests
// are refused at their target as "not-run" with a Retry-After; requests without
// a key are served.
BOOST_AUTO_TEST_CASE(OutageRefusesHoldsAndServesChecks) {
  Fleet TestFleet(slowDesk());
  TestFleet.start();
  TestFleet.setPlatformFault("tables", "refuse");
  const CallResult Hold = TestFleet.caller().call(
      TestFleet.deskCall(0, "hold", "outage-1", "{\"seat\":1}"));
  BOOST_TEST(Hold.m_Status == 503U, Hold.m_Body);
  BOOST_TEST(Hold.errorCode() == "claim_unavailable");
  BOOST_TEST(Hold.m_Run == "not-run");
  BOOST_TEST(!Hold.m_RetryAfter.empty());
  const CallResult Check = TestFleet.caller().call(
      TestFleet.deskCall(0, "check", "", "{\"pass\":1}"));
  BOOST_TEST(Check.m_Status == 200U, Check.m_Body);
  TestFleet.setPlatformFault("tables", "none");
  const CallResult Again = TestFleet.caller().call(
      TestFleet.deskCall(1, "hold", "outage-1", "{\"seat\":1}"));
  BOOST_TEST(Again.m_Status == 200U, Again.m_Body);
}
