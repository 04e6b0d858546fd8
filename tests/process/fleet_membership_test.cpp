/// Real member processes over loopback: killed, frozen, and told to go.
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
  struct Place {
    Address m_Link{0x7F000001, freePort()};
    Address m_Http{0x7F000001, freePort()};
    std::unique_ptr<Process> m_Process; ///< Null: not running.
  };

  MemberFleet() : m_Places(MemberCount) {
    for (std::size_t Index = 0; Index < MemberCount; ++Index)
      start(Index);
    BOOST_REQUIRE(runUntil([this] { return allAlive(); }, 30s));
  }

  void start(std::size_t Index) {
    Place &Which = m_Places[Index];
    Which.m_Process = std::make_unique<Process>(
        m_Folder, "tests/standin-member", nameOf(Index),
        "[log]\nlevel=warn\n[member]\nname=" + nameOf(Index) + "\nlisten=" +
            toString(Which.m_Link) + "\nhttp=" + toString(Which.m_Http) +
            "\nhints=" + toString(m_Places[0].m_Link) + ";" +
            toString(m_Places[1].m_Link) + "\n");
  }
  static std::string nameOf(std::size_t Index) {
    return "i" + std::to_string(Index);
  }
  std::string get(std::size_t Index, const std::string &Path) {
    return m_Caller
        .call({"GET", m_Places[Index].m_Http, Path, "", {}, Duration(2s)})
        .m_Body;
  }
  bool holds(std::size_t By, std::size_t Whom, const std::string &State) {
    return get(By, "/view").find(nameOf(Whom) + " " + State + "\n") !=
           std::string::npos;
  }
  bool allAlive() {
    for (std::size_t By = 0; By < MemberCount; ++By)
      for (std::size_t Whom = 0; Whom < MemberCount; ++Whom)
        if (!holds(By, Whom, "alive"))
          return false;
    return true;
  }
  bool othersHold(std::size_t Whom, const std::string &State) {
    for (std::size_t By = 0; By < MemberCount; ++By)
      if (By != Whom && !holds(By, Whom, State))
        return false;
    return true;
  }
  bool counted(std::size_t Index, const std::string &Event) {
    return get(Index, "/metrics")
               .find("crowstep_membership_events_total{event=\"" + Event +
                     "\"} 0\n") == std::string::npos;
  }

  TemporaryFolder m_Folder;
  Caller m_Caller;
  std::vector<Place> m_Places; ///< By index.
};

} // namespace

/// SIGKILL: the kernel closes the links and refuses the dials that follow. All
/// others give the member up on that evidence, with no time of suspicion; it
/// comes back under its name with the higher incarnation of the new start.
BOOST_FIXTURE_TEST_CASE(KilledMemberIsGivenUpAndReplaced, MemberFleet) {
  m_Places[3].m_Process->kill();
  BOOST_TEST(runUntil([this] { return othersHold(3, "dead"); }, 2s));
  for (const std::size_t Index : {0U, 1U, 2U, 4U, 5U})
    BOOST_TEST(!counted(Index, "suspected"));
  start(3);
  BOOST_TEST(runUntil([this] { return allAlive(); }, 20s));
}

/// SIGSTOP: the links stay open and only silence shows it. After SIGCONT the
/// process reads that it was given up, and refutes; it accuses nobody for the
/// heartbeats that it missed.
BOOST_FIXTURE_TEST_CASE(FrozenMemberComesBackAndAccusesNobody, MemberFleet) {
  m_Places[2].m_Process->signal(SIGSTOP);
  BOOST_TEST(runUntil([this] { return othersHold(2, "dead"); }, 20s));
  runFor(5s); // Longer than any silence that would be forgiven.
  m_Places[2].m_Process->signal(SIGCONT);
  BOOST_TEST(runUntil([this] { return allAlive(); }, 20s));
  BOOST_TEST(counted(2, "refuted"));
  BOOST_TEST(!counted(2, "suspected"));
  BOOST_TEST(!counted(2, "died"));
}

/// SIGTERM: the goodbye reaches all, nobody suspects anybody, and the process
/// ends with success.
BOOST_FIXTURE_TEST_CASE(LeavingMemberSaysGoodbye, MemberFleet) {
  m_Places[4].m_Process->signal(SIGTERM);
  BOOST_TEST((m_Places[4].m_Process->wait(10s) == 0));
  BOOST_TEST(runUntil([this] { return othersHold(4, "left"); }, 2s));
  for (std::size_t Index = 0; Index < MemberCount; ++Index)
    if (Index != 4)
      BOOST_TEST(!counted(Index, "suspected"));
}
