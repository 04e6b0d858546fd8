/// Membership of real processes over loopback: members are killed, suspended or
/// terminated.
#define BOOST_TEST_MODULE fleet_membership
#include "process/caller.h"
#include "process/process.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MemberCount = 6;

struct MemberFleet {
  struct Member {
    Address m_Link{0x7F000001, freePort()};
    Address m_Http{0x7F000001, freePort()};
    std::unique_ptr<Process> m_Process; ///< Null: not running.
  };

  MemberFleet() : m_Members(MemberCount) {
    for (std::size_t Index = 0; Index < MemberCount; ++Index)
      start(Index);
    BOOST_REQUIRE(runUntil([this] { return allAlive(); }, 30s));
  }

  void start(std::size_t Index) {
    Member &Started = m_Members[Index];
    Started.m_Process = std::make_unique<Process>(
        m_Folder, "tests/standin-member", nameOf(Index),
        "[log]\nlevel=warn\n[member]\nname=" + nameOf(Index) + "\nlisten=" +
            toString(Started.m_Link) + "\nhttp=" + toString(Started.m_Http) +
            "\nhints=" + toString(m_Members[0].m_Link) + ";" +
            toString(m_Members[1].m_Link) + "\n");
  }
  static std::string nameOf(std::size_t Index) {
    return "i" + std::to_string(Index);
  }
  std::string get(std::size_t Index, const std::string &Path) {
    return m_Caller
        .call({"GET", m_Members[Index].m_Http, Path, "", {}, Duration(2s)})
        .m_Body;
  }
  bool viewShows(std::size_t Observer, std::size_t Subject,
                 const std::string &State) {
    return get(Observer, "/view").find(nameOf(Subject) + " " + State + "\n") !=
           std::string::npos;
  }
  bool allAlive() {
    for (std::size_t Observer = 0; Observer < MemberCount; ++Observer)
      for (std::size_t Subject = 0; Subject < MemberCount; ++Subject)
        if (!viewShows(Observer, Subject, "alive"))
          return false;
    return true;
  }
  bool othersShow(std::size_t Subject, const std::string &State) {
    for (std::size_t Observer = 0; Observer < MemberCount; ++Observer)
      if (Observer != Subject && !viewShows(Observer, Subject, State))
        return false;
    return true;
  }
  bool hasCounted(std::size_t Index, const std::string &Event) {
    return get(Index, "/metrics")
               .find("crowstep_membership_events_total{event=\"" + Event +
                     "\"} 0\n") == std::string::npos;
  }

  TemporaryFolder m_Folder;
  Caller m_Caller;
  std::vector<Member> m_Members; ///< By index.
};

} // namespace

/// SIGKILL: the kernel closes the links and refuses new connections. On that
/// evidence all others declare the member dead without a suspicion; it rejoins
/// under the same name with the higher incarnation of its new start.
BOOST_FIXTURE_TEST_CASE(KilledMemberIsGivenUpAndReplaced, MemberFleet) {
  m_Members[3].m_Process->kill();
  BOOST_TEST(runUntil([this] { return othersShow(3, "dead"); }, 2s));
  for (const std::size_t Index : {0U, 1U, 2U, 4U, 5U})
    BOOST_TEST(!hasCounted(Index, "suspected"));
  start(3);
  BOOST_TEST(runUntil([this] { return allAlive(); }, 20s));
}

/// SIGSTOP: the links stay open, so that only silence reveals the failure.
/// After SIGCONT the process reads that it was declared dead and refutes that;
/// it suspects no member for the heartbeats that it missed itself.
BOOST_FIXTURE_TEST_CASE(FrozenMemberComesBackAndAccusesNobody, MemberFleet) {
  m_Members[2].m_Process->signal(SIGSTOP);
  BOOST_TEST(runUntil([this] { return othersShow(2, "dead"); }, 20s));
  runFor(5s); // Longer than any tolerated silence.
  m_Members[2].m_Process->signal(SIGCONT);
  BOOST_TEST(runUntil([this] { return allAlive(); }, 20s));
  BOOST_TEST(hasCounted(2, "refuted"));
  BOOST_TEST(!hasCounted(2, "suspected"));
  BOOST_TEST(!hasCounted(2, "died"));
}

/// SIGTERM: the leave notification reaches all members, no member is suspected,
/// and the process exits with 0.
BOOST_FIXTURE_TEST_CASE(LeavingMemberSaysGoodbye, MemberFleet) {
  m_Members[4].m_Process->signal(SIGTERM);
  BOOST_TEST((m_Members[4].m_Process->wait(10s) == 0));
  BOOST_TEST(runUntil([this] { return othersShow(4, "left"); }, 2s));
  for (std::size_t Index = 0; Index < MemberCount; ++Index)
    if (Index != 4)
      BOOST_TEST(!hasCounted(Index, "suspected"));
}
