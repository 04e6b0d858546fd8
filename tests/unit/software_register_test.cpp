/// The register of software versions, which outlives all instances.
#define BOOST_TEST_MODULE software_register
#include "gateway/software_register.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace crowstep;
using namespace crowstep::gateway;
using namespace std::chrono_literals;

namespace {

constexpr Duration Memory = SoftwareHistory::Memory;

/// Until an instance sees a row that another one has written.
constexpr Duration ReadDelay = 100ms;

Upstream upstreamOf(const std::string &Name, const std::string &Text,
                    const std::string &Service = "s") {
  Upstream Result;
  Result.m_Id = upstreamIdOf(Name);
  Result.m_Name = Name;
  Result.m_Service = Service;
  Result.m_Software = SoftwareVersion(Text);
  return Result;
}

/// Instances with one register, which all of them see after ReadDelay.
class RegisterFleet {
public:
  struct Instance final : Directory {
    Instance(RegisterFleet &Owner, double Draw, bool HasServices = true)
        : m_Fleet(Owner),
          m_Register(m_History, *this, Owner.m_Clock, Owner.m_Timers,
                     [Draw] { return Draw; }, m_Stats,
                     {[this](const std::set<UpstreamId> &Held) {
                        m_Held = Held;
                        ++m_Reports;
                      },
                      [this](const std::set<std::string> &Mixed) {
                        m_Mixed = Mixed;
                        ++m_Reports;
                      }}) {
      if (HasServices)
        m_Register.setServices({"s", "t"});
    }
    void start(DirectoryListener &, const PeerInstance &) override {}
    void deregister() override {}
    void listQuarantined(const ContentHash &) override {}
    void unlistQuarantined(const ContentHash &) override {}
    void setReadingRole(ReadingRole) override {}
    void confirmSoftware(const ConfirmCallback &) override {}
    void receiveUpdate(const DirectoryUpdate &) override {}
    void registerSoftware(const std::string &Service,
                          const std::string &Text) override {
      m_Fleet.change([&] { m_Fleet.m_Rows[Service].insert(Text); });
    }
    void unregisterSoftware(const std::string &Service,
                            const std::string &Text) override {
      m_Fleet.change([&] {
        m_Fleet.m_Rows[Service].erase(Text);
        if (m_Fleet.m_Rows[Service].empty())
          m_Fleet.m_Rows.erase(Service);
      });
    }
    [[nodiscard]] std::optional<SoftwareVersion> sole() const {
      return m_History.soleVersionOf("s", m_Fleet.m_Clock.now());
    }

    RegisterFleet &m_Fleet;
    Metrics m_Stats;
    SoftwareHistory m_History;
    std::set<UpstreamId> m_Held;
    std::optional<std::set<std::string>> m_Mixed;
    std::size_t m_Reports = 0; ///< Of m_Held and m_Mixed.
    SoftwareRegister m_Register;
  };

  explicit RegisterFleet(std::size_t Count, bool HasReader = true) {
    for (std::size_t I = 0; I < Count; ++I)
      m_Instances.push_back(std::make_unique<Instance>(
          *this, static_cast<double>(I) / static_cast<double>(Count)));
    publish();
    m_Timers.advance(ReadDelay);
    if (HasReader)
      giveRoles();
    else
      for (const auto &Each : m_Instances)
        Each->m_Register.setRole(ReadingRole::Follower, false);
  }

  /// All instances are lost, and as many start with an empty history.
  void loseAll() {
    const std::size_t Count = m_Instances.size();
    m_Instances.clear();
    for (std::size_t I = 0; I < Count; ++I)
      m_Instances.push_back(std::make_unique<Instance>(*this, 0.5));
    publish();
    m_Timers.advance(ReadDelay);
    giveRoles();
  }

  void giveRoles() {
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      m_Instances[I]->m_Register.setRole(
          I == 0 ? ReadingRole::Reader : ReadingRole::Follower, I == 0);
  }

  void list(const std::vector<Upstream> &List) {
    for (const auto &Each : m_Instances)
      Each->m_Register.setUpstreams(List);
  }

  template <typename Function> void change(Function Apply) {
    ++m_Calls;
    if (!m_IsAway)
      Apply();
    publish();
  }

  void publish() {
    m_Timers.runAfter(ReadDelay, [this] {
      for (const auto &Each : m_Instances)
        Each->m_Register.setRegister(m_Rows);
    });
  }

  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  ServiceVersions m_Rows;
  std::size_t m_Calls = 0; ///< That write.
  bool m_IsAway = false;   ///< Writes have no effect.
  std::vector<std::unique_ptr<Instance>> m_Instances;
};

} // namespace

// Guards against calls to the store that grow with the fleet or with time.
BOOST_AUTO_TEST_CASE(EachVersionIsWrittenOnce) {
  for (const std::size_t Count : {9U, 84U, 300U}) {
    RegisterFleet Fleet(Count);
    Fleet.list({upstreamOf("a", "v1"), upstreamOf("b", "v1", "t"),
                upstreamOf("c", "v1", "not resumable")});
    Fleet.m_Timers.advance(10min);
    BOOST_TEST(Fleet.m_Calls == 2U);
    Fleet.list({upstreamOf("a", "v1"), upstreamOf("d", "v2"),
                upstreamOf("b", "v1", "t")});
    Fleet.m_Timers.advance(10min);
    BOOST_TEST(Fleet.m_Calls == 3U);
    Fleet.list({upstreamOf("d", "v2"), upstreamOf("b", "v1", "t")});
    Fleet.m_Timers.advance(10min);
    BOOST_TEST(Fleet.m_Calls == 4U);
    BOOST_TEST((Fleet.m_Rows == ServiceVersions{{"s", {"v2"}}, {"t", {"v1"}}}));
  }
}

// Guards against a fleet of which all write when it starts for the first time,
// before it has a reader.
BOOST_AUTO_TEST_CASE(AFleetThatFormsWritesOnce) {
  for (const std::size_t Count : {9U, 84U, 300U}) {
    RegisterFleet Fleet(Count, false);
    for (const auto &Each : Fleet.m_Instances)
      Each->m_Register.setRole(ReadingRole::Alone, false);
    Fleet.list({upstreamOf("a", "v1")});
    for (int Reads = 0; Reads < 3; ++Reads) {
      Fleet.publish();
      Fleet.m_Timers.advance(3s);
    }
    BOOST_TEST(Fleet.m_Calls == 0U);
    Fleet.giveRoles();
    Fleet.m_Timers.advance(1min);
    BOOST_TEST(Fleet.m_Calls == 1U);
  }
}

// Guards against an instance without others that never writes.
BOOST_AUTO_TEST_CASE(AnInstanceAloneWrites) {
  RegisterFleet Fleet(1, false);
  Fleet.m_Instances[0]->m_Register.setRole(ReadingRole::Alone, false);
  Fleet.list({upstreamOf("a", "v1")});
  Fleet.m_Timers.advance(SoftwareRegister::MaxAloneDelay);
  BOOST_TEST(Fleet.m_Rows["s"].contains("v1"));
}

// Guards against a register that fails with the reader, and against all others
// writing in its place.
BOOST_AUTO_TEST_CASE(OthersWriteWithoutAReader) {
  for (const std::size_t Count : {9U, 84U, 300U}) {
    RegisterFleet Fleet(Count, false);
    Fleet.list({upstreamOf("a", "v1")});
    Fleet.m_Timers.advance(SoftwareRegister::MinWriteDelay - 1ms);
    BOOST_TEST(Fleet.m_Calls == 0U);
    Fleet.m_Timers.advance(SoftwareRegister::MaxWriteDelay);
    BOOST_TEST(Fleet.m_Rows["s"].contains("v1"));
    BOOST_TEST(Fleet.m_Calls <= 1 + Count / 28); // ReadDelay of 3 s.
  }
}

// Guards against readers of other zones, and followers, that write at once.
BOOST_AUTO_TEST_CASE(OneReaderWritesAtOnce) {
  RegisterFleet Fleet(3);
  Fleet.m_Instances[1]->m_Register.setRole(ReadingRole::Reader, false);
  Fleet.m_Instances[2]->m_Register.setRole(ReadingRole::Follower, true);
  Fleet.list({upstreamOf("a", "v1")});
  BOOST_TEST(Fleet.m_Calls == 1U);
}

// Guards against random times that begin anew with each statement of a role,
// and against a new reader that waits for the time it had as a follower.
BOOST_AUTO_TEST_CASE(OnlyAChangedRoleStartsTheTimesAnew) {
  RegisterFleet Fleet(1, false);
  SoftwareRegister &Register = Fleet.m_Instances[0]->m_Register;
  Fleet.list({upstreamOf("a", "v1"), upstreamOf("b", "v2")});
  for (int I = 0; I < 10; ++I) {
    Fleet.m_Timers.advance(1s);
    Register.setRole(ReadingRole::Follower, false);
  }
  BOOST_TEST(Fleet.m_Rows["s"].size() == 2U);
  Fleet.list({upstreamOf("a", "v1")});
  Fleet.m_Timers.advance(Memory + 1s);
  BOOST_TEST(Fleet.m_Rows["s"].size() == 2U);
  Register.setRole(ReadingRole::Reader, true);
  BOOST_TEST((Fleet.m_Rows["s"] == VersionTexts{"v1"}));
}

// Guards against writes and reports of an instance that has not read the
// register, or doesn't know which services may be resumed: archives are read
// only if there are several versions.
BOOST_AUTO_TEST_CASE(NothingIsDecidedBeforeAllIsRead) {
  RegisterFleet Fleet(0);
  RegisterFleet::Instance NoServices(Fleet, 0.5, false);
  RegisterFleet::Instance NoRegister(Fleet, 0.5);
  NoServices.m_Register.setRegister({{"s", {"v1", "v2"}}});
  for (SoftwareRegister *Register :
       {&NoServices.m_Register, &NoRegister.m_Register}) {
    Register->setRole(ReadingRole::Reader, true);
    Register->setUpstreams({upstreamOf("a", "v3")});
  }
  Fleet.m_Timers.advance(10s);
  BOOST_TEST(Fleet.m_Calls == 0U);
  BOOST_TEST(!NoServices.m_Mixed.has_value());
  BOOST_TEST(!NoRegister.m_Mixed.has_value());
  NoServices.m_Register.setServices({"s"});
  BOOST_TEST((NoServices.m_Mixed == std::set<std::string>{"s"}));
}

// Guards against a version that stays unregistered after the store was away.
BOOST_AUTO_TEST_CASE(AFailedWriteIsRepeated) {
  RegisterFleet Fleet(9);
  Fleet.m_IsAway = true;
  Fleet.list({upstreamOf("a", "v1")});
  Fleet.m_Timers.advance(30s);
  BOOST_TEST(Fleet.m_Rows.empty());
  BOOST_TEST(Fleet.m_Calls <= 9U * 15U);
  Fleet.m_IsAway = false;
  Fleet.m_Timers.advance(SoftwareRegister::MaxWriteDelay);
  BOOST_TEST(Fleet.m_Rows["s"].contains("v1"));
}

// Guards against a version that is taken for the only one by instances that
// have not seen the other one.
BOOST_AUTO_TEST_CASE(TheRegisterOutlivesAllInstances) {
  RegisterFleet Fleet(3);
  Fleet.list({upstreamOf("a", "v1"), upstreamOf("b", "v2")});
  Fleet.m_Timers.advance(1s);
  Fleet.loseAll();
  Fleet.list({upstreamOf("a", "v1")});
  const auto &Instance = *Fleet.m_Instances[1];
  Fleet.m_Timers.advance(Memory - 1s);
  BOOST_TEST(!Instance.sole().has_value());
  BOOST_TEST((*Instance.m_Mixed == std::set<std::string>{"s"}));
  BOOST_TEST(Fleet.m_Rows["s"].size() == 2U);
  Fleet.m_Timers.advance(2s);
  BOOST_REQUIRE(Instance.sole().has_value());
  BOOST_TEST(Instance.sole()->text() == "v1");
  BOOST_TEST(Instance.m_Mixed->empty());
}

// Guards against a sole version without a register, of one that isn't in it, or
// of one that isn't the only one.
BOOST_AUTO_TEST_CASE(ASoleVersionNeedsAllThreeSources) {
  SoftwareHistory History;
  const TimePoint Now{};
  const auto IsSole = [&] {
    return History.soleVersionOf("s", Now).has_value();
  };
  History.record({upstreamOf("a", "v1")}, Now);
  BOOST_TEST(!IsSole());
  History.setRegister({}, Now);
  BOOST_TEST(!IsSole());
  History.setRegister({{"t", {"v1"}}}, Now);
  BOOST_TEST(!IsSole());
  History.setRegister({{"s", {"v1"}}}, Now);
  BOOST_TEST(IsSole());
  History.setRegister({{"s", {"v1", ""}}}, Now);
  BOOST_TEST(!IsSole());
  History.setRegister({{"s", {"v1"}}}, Now);
  History.record({upstreamOf("a", "v1"), upstreamOf("b", "")}, Now);
  BOOST_TEST(!IsSole());
  History.setRegister({{"s", {""}}}, Now);
  History.record({upstreamOf("b", "")}, Now + Memory);
  BOOST_TEST(!History.soleVersionOf("s", Now + 3 * Memory).has_value());
}

// Guards against a row that is removed while upstreams of its version serve, or
// by an instance that has just started.
BOOST_AUTO_TEST_CASE(ARowStaysAsLongAsItsVersionMayBeInUse) {
  RegisterFleet Fleet(2);
  Fleet.list({upstreamOf("a", "v1"), upstreamOf("b", "v2")});
  Fleet.m_Timers.advance(1h);
  BOOST_TEST(Fleet.m_Rows["s"].size() == 2U);
  Fleet.loseAll();
  Fleet.m_Timers.advance(1h); // No list was read.
  BOOST_TEST(Fleet.m_Rows["s"].size() == 2U);
  Fleet.list({upstreamOf("a", "v1")});
  Fleet.m_Timers.advance(Memory - 1s);
  BOOST_TEST(Fleet.m_Rows["s"].size() == 2U);
  Fleet.m_Timers.advance(2s);
  BOOST_TEST((Fleet.m_Rows["s"] == VersionTexts{"v1"}));
}

// Guards against a row, and archives, that stay for a version that is gone, as
// lists and rows are read again, and against archives of other services.
BOOST_AUTO_TEST_CASE(FurtherReadsDoNotProlongARow) {
  RegisterFleet Fleet(1);
  const auto &Only = *Fleet.m_Instances[0];
  Fleet.list({upstreamOf("a", "v1"), upstreamOf("b", "v2"),
              upstreamOf("c", "v1", "not resumable"),
              upstreamOf("d", "v2", "not resumable")});
  Fleet.m_Timers.advance(1s);
  BOOST_TEST((*Only.m_Mixed == std::set<std::string>{"s"}));
  const std::size_t Reports = Only.m_Reports;
  Fleet.m_Timers.advance(1h);
  BOOST_TEST(Only.m_Reports == Reports);
  Fleet.m_IsAway = true;
  for (int I = 0; I < 7; ++I) {
    Fleet.list({upstreamOf("a", "v1")});
    Fleet.publish();
    Fleet.m_Timers.advance(10s);
  }
  BOOST_TEST(Only.m_Mixed->empty());
  Fleet.m_IsAway = false;
  Fleet.m_Timers.advance(SoftwareRegister::MaxRemovalDelay + 1s);
  BOOST_TEST((Fleet.m_Rows["s"] == VersionTexts{"v1"}));
}

// Guards against instances that write a row again after the reader has removed
// it, as they saw the last upstream go later.
BOOST_AUTO_TEST_CASE(ARemovedRowIsNotWrittenAgain) {
  RegisterFleet Fleet(84);
  Fleet.list({upstreamOf("a", "v1"), upstreamOf("b", "v2")});
  Fleet.m_Timers.advance(10min);
  Fleet.m_Calls = 0;
  Fleet.m_Instances[0]->m_Register.setUpstreams({upstreamOf("a", "v1")});
  Fleet.m_Timers.advance(8s);
  Fleet.list({upstreamOf("a", "v1")});
  Fleet.m_Timers.advance(10min);
  BOOST_TEST(Fleet.m_Calls == 1U);
  BOOST_TEST((Fleet.m_Rows["s"] == VersionTexts{"v1"}));
}

// Guards against streams that begin at a version before its row is written, and
// against upstreams that are held back for longer or without a substitute.
BOOST_AUTO_TEST_CASE(AnUnregisteredVersionIsHeldBack) {
  RegisterFleet Fleet(2);
  const auto &Held = Fleet.m_Instances[1]->m_Held;
  Fleet.list({upstreamOf("a", "v1")});
  BOOST_TEST(Held.empty());
  Fleet.m_Timers.advance(10s);
  Fleet.list({upstreamOf("a", "v1"), upstreamOf("b", "v2")});
  BOOST_TEST((Held == std::set{upstreamIdOf("b")}));
  Fleet.m_Timers.advance(ReadDelay);
  BOOST_TEST(Held.empty());
  Fleet.m_IsAway = true;
  Fleet.list({upstreamOf("a", "v1"), upstreamOf("c", "v3")});
  Fleet.m_Timers.advance(SoftwareRegister::HoldTime - 1ms);
  BOOST_TEST((Held == std::set{upstreamIdOf("c")}));
  Fleet.m_Timers.advance(1ms);
  BOOST_TEST(Held.empty());
  Upstream Draining = upstreamOf("a", "v1");
  Draining.m_Draining = true;
  Fleet.list({Draining, upstreamOf("d", "v4")});
  BOOST_TEST(Held.empty());
}

// Guards against a guess about a stream that began at a process which could not
// be proven.
BOOST_AUTO_TEST_CASE(AnUnprovenStreamIsRegisteredAtOnce) {
  RegisterFleet Fleet(3);
  Fleet.list({upstreamOf("a", "v1")});
  Fleet.m_Timers.advance(10s);
  BOOST_TEST(Fleet.m_Instances[2]->sole().has_value());
  const std::size_t Before = Fleet.m_Calls;
  for (int I = 0; I < 100; ++I)
    Fleet.m_Instances[2]->m_Register.recordUnproven("s");
  BOOST_TEST(!Fleet.m_Instances[2]->sole().has_value());
  Fleet.m_Timers.advance(ReadDelay);
  BOOST_TEST(Fleet.m_Calls == Before + 1);
  BOOST_TEST(!Fleet.m_Instances[1]->sole().has_value());
}

// Guards against a reader that removes the row of an unproven process at once,
// as only another instance has seen that process.
BOOST_AUTO_TEST_CASE(AnUnprovenRowStaysWhereOthersHaveRunForLong) {
  RegisterFleet Fleet(3);
  Fleet.list({upstreamOf("a", "v1")});
  Fleet.m_Timers.advance(1h);
  const std::size_t Before = Fleet.m_Calls;
  Fleet.m_Instances[2]->m_Register.recordUnproven("s");
  Fleet.m_Timers.advance(ReadDelay);
  for (Duration Passed{}; Passed < Memory - 1s; Passed += ReadDelay) {
    Fleet.m_Timers.advance(ReadDelay);
    BOOST_REQUIRE(!Fleet.m_Instances[1]->sole().has_value());
  }
  BOOST_TEST(Fleet.m_Calls == Before + 1);
  Fleet.m_Timers.advance(Memory);
  BOOST_TEST((Fleet.m_Rows["s"] == VersionTexts{"v1"}));
  BOOST_TEST(Fleet.m_Calls == Before + 2);
  // The next such stream is registered at once again.
  Fleet.m_Instances[2]->m_Register.recordUnproven("s");
  BOOST_TEST(Fleet.m_Rows["s"].contains(""));
}

// Guards against a row that is missing time and again while a process stays
// unproven: others remove it each minute.
BOOST_AUTO_TEST_CASE(AProcessThatStaysUnprovenKeepsItsRow) {
  RegisterFleet Fleet(3);
  Fleet.list({upstreamOf("a", "v1")});
  Fleet.m_Timers.advance(1h);
  const std::size_t Before = Fleet.m_Calls;
  int Guesses = 0; // In 10 minutes, looked for each 100 ms.
  for (int I = 0; I < 6000; ++I) {
    if (I % 50 == 0)
      Fleet.m_Instances[2]->m_Register.recordUnproven("s");
    Fleet.m_Timers.advance(ReadDelay);
    Guesses += Fleet.m_Instances[1]->sole().has_value() ? 1 : 0;
  }
  BOOST_TEST(Guesses <= 20);
  BOOST_TEST(Fleet.m_Calls - Before <= 22U);
}

// Guards against a table that upstreams fill, each with a version of its own.
BOOST_AUTO_TEST_CASE(TheRegisterIsBounded) {
  RegisterFleet Fleet(3);
  std::vector<Upstream> List;
  List.reserve(200);
  for (int I = 0; I < 200; ++I)
    List.push_back(upstreamOf(std::to_string(I), "v" + std::to_string(I)));
  Fleet.list(List);
  Fleet.m_Timers.advance(1min);
  BOOST_TEST(Fleet.m_Rows["s"].size() == SoftwareRegister::MaxVersions);
  BOOST_TEST(Fleet.m_Calls == SoftwareRegister::MaxVersions);
}
