/// Streams that callers resume at an instance whose view of the store is old,
/// as it was stopped or cut off while upstreams of a new version joined.
#define BOOST_TEST_MODULE out_of_step
#include "unit/directory_zone.h"
#include "unit/versioned_env.h"

using namespace crowstep;
using namespace crowstep::test;

namespace {

/// Less than an instance takes to find out that it is cut off.
constexpr Duration CutTime = 500ms;

/// Longer than a request waits for the store.
constexpr Duration LongestWait = 1100ms;

HeaderList resumes(bool IsNamed) {
  HeaderList Result = {{"Call-After", "3"}};
  if (IsNamed)
    Result.push_back({"Call-Resumes", "first"});
  return Result;
}

/// An instance that no other one reaches, and another one that serves.
class OutOfStepInstance final : public DirectoryListener {
public:
  OutOfStepInstance() {
    m_Env.m_SoftwareHistory = SoftwareHistory();
    for (const char *Name : {"u0", "u1"})
      list(Name, "v1");
    m_Other.start(m_Ignored, {"edge-1", {0x0a000001, 7340}, {"a"}, 1});
    m_Own.start(*this, {"edge-2", {0x0a000002, 7340}, {"a"}, 1});
    m_Env.m_Timers.advance(10s);
    m_Other.registerSoftware("s", "v1");
    m_Env.m_Timers.advance(10s);
    m_Env.m_Context.m_IsRegisterCurrent = [this] {
      return m_Own.isRegisterCurrent();
    };
    m_Env.m_Context.m_ConfirmSoftware =
        [this](const Directory::ConfirmCallback &OnDone) {
          m_Own.confirmSoftware(OnDone);
        };
  }

  void list(const std::string &Name, const std::string &Version) {
    m_Store.put("servers", Name,
                R"({"service":"s","address":"10.0.0.9:8080","zone":"a",)"
                R"("slots":64,"state":"ready","version":")" +
                    Version + R"("})");
  }

  /// An upstream of v2 joins, and streams begin there.
  void join() {
    list("u2", "v2");
    m_Other.registerSoftware("s", "v2");
    m_Env.m_Timers.advance(CutTime);
  }

  /// The same, and it leaves.
  void joinAndLeave() {
    join();
    m_Store.remove("servers", "u2");
  }

  /// A caller resumes a stream that no reachable instance knows.
  void resume(bool IsNamed) {
    m_CallsBefore = m_Env.calls();
    m_AnswersBefore = m_Env.m_Record.m_Answers.size();
    m_Earlier.push_back(std::move(m_Env.m_Request));
    m_Env.receive(Resumable, 3, resumes(IsNamed));
    m_Env.m_Request->start();
    if (const auto OnDone = std::move(m_Env.m_Origins.m_OnDone))
      OnDone({std::nullopt, 0, 0});
  }
  [[nodiscard]] bool isContinued() const {
    return m_Env.calls() > m_CallsBefore;
  }

  /// Returns whether it was refused, with a time to come back if \p ForNow.
  [[nodiscard]] bool isRefused(bool ForNow) const {
    const auto &Answers = m_Env.m_Record.m_Answers;
    return Answers.size() == m_AnswersBefore + 1 &&
           Answers.back().m_Status == 503 &&
           (findHeader(Answers.back().m_Headers, "Retry-After") != nullptr) ==
               ForNow;
  }

  TestEnv m_Env{Resumable};
  SimulatedStore m_Store{m_Env.m_Clock, m_Env.m_Timers};
  StoreAccess m_Access = StoreAccess::Open; ///< Own.

private:
  class Ignoring final : public DirectoryListener {
    void tableChanged(RouteTablePtr) override {}
    void upstreamsChanged(const std::vector<Upstream> &) override {}
    void peersChanged(const PeerList &) override {}
    void quarantineChanged(const std::set<ContentHash> &) override {}
    void softwareRegistered(const ServiceVersions &) override {}
    void updateRead(const DirectoryUpdate &) override {}
  };

  void tableChanged(RouteTablePtr) override {}
  void peersChanged(const PeerList &) override {}
  void quarantineChanged(const std::set<ContentHash> &) override {}
  void updateRead(const DirectoryUpdate &) override {}
  void upstreamsChanged(const std::vector<Upstream> &List) override {
    m_Env.m_Balancer.setUpstreams(List);
    m_Env.m_SoftwareHistory.record(List, m_Env.m_Clock.now());
  }
  void softwareRegistered(const ServiceVersions &Registered) override {
    m_Env.m_SoftwareHistory.setRegister(Registered, m_Env.m_Clock.now());
  }

  static constexpr StoreBounds Bounds{RemovalLimit, RemovalLimit,
                                      RecoveryLimit};
  Ignoring m_Ignored;
  std::size_t m_CallsBefore = 0;   ///< Calls before resume().
  std::size_t m_AnswersBefore = 0; ///< Answers before resume().
  std::vector<std::unique_ptr<ForwardedRequest>>
      m_Earlier; ///< Requests before the last one.
  StoreDirectory m_Other{m_Store.client(), Bounds,          m_Env.m_Clock,
                         m_Env.m_Timers,   m_Env.m_Metrics, [] { return 0.5; }};
  StoreDirectory m_Own{
      std::make_unique<GatedStore>(m_Store.client(), m_Env.m_Timers, m_Access),
      Bounds,
      m_Env.m_Clock,
      m_Env.m_Timers,
      m_Env.m_Metrics,
      [] { return 0.5; }};
};

} // namespace

// Guards against an instance that is cut off from the others and the store, has
// not noticed it, and takes the version that it knows for the only one.
BOOST_AUTO_TEST_CASE(ACutOffInstanceGuessesNoVersion) {
  OutOfStepInstance Test;
  Test.m_Access = StoreAccess::Cut;
  Test.join();
  Test.resume(true);
  BOOST_TEST(!Test.isContinued());
  Test.m_Env.m_Timers.advance(LongestWait);
  BOOST_TEST(!Test.isContinued());
  BOOST_TEST(Test.isRefused(true));
}

// Guards against a request that is handled before what the store has sent to an
// instance that was stopped.
BOOST_AUTO_TEST_CASE(AnInstanceThatWakesReadsTheVersionsFirst) {
  for (const bool IsNamed : {true, false})
    for (const bool HasLeft : {false, true})
      BOOST_TEST_CONTEXT((IsNamed ? "named, " : "unnamed, ")
                         << (HasLeft ? "left" : "stays")) {
        OutOfStepInstance Test;
        Test.m_Access = StoreAccess::Held;
        if (HasLeft)
          Test.joinAndLeave();
        else
          Test.join();
        Test.resume(IsNamed);
        Test.m_Access = StoreAccess::Open;
        BOOST_TEST(!Test.isContinued());
        Test.m_Env.m_Timers.advance(LongestWait);
        BOOST_TEST(!Test.isContinued());
        BOOST_TEST(Test.isRefused(false));
      }
}

// Guards against an instance without links to the others that has not read a
// version yet, as it pauses after other changes.
BOOST_AUTO_TEST_CASE(AVersionThatJoinsDuringAPauseCounts) {
  for (const bool IsNamed : {true, false}) {
    OutOfStepInstance Test;
    Test.list("u3", "v1");
    Test.m_Store.put("crowstep_instances", "edge-3", "{}");
    Test.m_Env.m_Timers.advance(10ms);
    Test.join();
    Test.resume(IsNamed);
    Test.m_Env.m_Timers.advance(LongestWait);
    BOOST_TEST(!Test.isContinued());
    BOOST_TEST(Test.isRefused(false));
  }
}

// Guards against refusals where nothing has changed, and against a call to the
// store for each of many resumed streams.
BOOST_AUTO_TEST_CASE(StreamsOfTheOnlyVersionContinueAfterFewCalls) {
  constexpr std::size_t Count = 50;
  for (const bool IsNamed : {true, false}) {
    OutOfStepInstance Test;
    const std::uint64_t StoreCalls = Test.m_Store.calls();
    const std::size_t Begun = Test.m_Env.calls();
    for (std::size_t I = 0; I < Count; ++I) {
      Test.resume(IsNamed);
      Test.m_Env.m_Timers.advance(20ms);
      BOOST_TEST((I > 0 || Test.isContinued()));
    }
    Test.m_Env.m_Timers.advance(500ms);
    BOOST_TEST(Test.m_Env.calls() - Begun == Count);
    BOOST_TEST(Test.m_Store.calls() - StoreCalls < Count);
  }
}

// Guards against callers without a name for their stream that are all refused
// in an outage of the store.
BOOST_AUTO_TEST_CASE(UnnamedStreamsContinueInAnOutage) {
  OutOfStepInstance Test;
  Test.m_Access = StoreAccess::Cut;
  Test.resume(false);
  Test.m_Env.m_Timers.advance(LongestWait);
  BOOST_TEST(Test.isContinued());
}

// Guards against an answer to a request whose caller has left.
BOOST_AUTO_TEST_CASE(AConfirmationEndsWithItsRequest) {
  OutOfStepInstance Test;
  Test.resume(true);
  Test.m_Env.m_Record.m_HasLeft = true;
  Test.m_Env.m_Record.m_OnGone();
  Test.m_Env.m_Timers.advance(LongestWait);
  BOOST_TEST(!Test.isContinued());
}
