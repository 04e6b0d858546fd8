/// Claims: the rule for rows, and claim homes under random faults.
#define BOOST_TEST_MODULE claim
#include "claim/claim_home_core.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <rapidcheck/boost_test.h>
#include <set>

using namespace crowstep;
using namespace crowstep::claim;
using namespace std::chrono_literals;
using platform::PlatformFailure;

namespace {

/// A table service whose writes take effect when the test applies them: at
/// once, never, or long after they were reported as failed.
class FakeTable {
public:
  std::vector<platform::RowOutcome>
  apply(const std::vector<platform::RowWrite> &Writes) {
    std::vector<platform::RowOutcome> Result;
    for (const platform::RowWrite &Write : Writes) {
      auto Found = m_Rows.find(Write.m_Key);
      const platform::RowVersion Present = Found == m_Rows.end()
                                               ? platform::RowVersion()
                                               : Found->second.m_Version;
      const bool Written = Present == Write.m_Expected;
      if (Written)
        m_Rows[Write.m_Key] = {Write.m_Key,
                               platform::RowVersion(Present.value() + 1),
                               Write.m_Value};
      Found = m_Rows.find(Write.m_Key);
      Result.push_back({Written, Found == m_Rows.end()
                                     ? std::nullopt
                                     : std::optional(Found->second)});
    }
    return Result;
  }

  std::vector<platform::Row> read(const std::string &Key) const {
    const auto Found = m_Rows.find(Key);
    return Found == m_Rows.end() ? std::vector<platform::Row>()
                                 : std::vector{Found->second};
  }

private:
  std::map<std::string, platform::Row> m_Rows; ///< By key.
};

/// The state of one attempt to claim the key.
struct Attempt {
  AttemptId m_Id;             ///< Unique.
  bool m_Owned = false;       ///< Got the reply Owned.
  bool m_Released = false;    ///< Released the claim; must not run.
  bool m_Ran = false;         ///< Its call ran.
  ClaimOutcome m_LastOutcome; ///< Last reply.
};

/// Two homes of one key (one of them stale), several attempts, one table.
class ClaimSimulation {
public:
  explicit ClaimSimulation(std::uint32_t Seed) : m_Random(Seed) {}

  void step() {
    m_Now += Duration(chance(20) ? 3s : 5ms);
    switch (below(12)) {
    case 0:
      m_Attempts.push_back(
          {"a" + std::to_string(m_Attempts.size()), false, false, false, {}});
      return sendClaim(m_Attempts.size() - 1);
    case 1: // The reply was lost: resend, perhaps to the other home.
      return m_Attempts.empty() ? void() : sendClaim(below(m_Attempts.size()));
    case 2:
      return runOne();
    case 3:
      return releaseOne();
    case 4:
    case 5:
    case 6:
    case 7:
      return finishWrite(below(2));
    case 8: // A write that was reported as uncertain takes effect now.
      if (!m_DelayedWrites.empty()) {
        m_Table.apply(m_DelayedWrites.back());
        m_DelayedWrites.pop_back();
      }
      return;
    default:
      return handle(below(2), HomeTick());
    }
  }

  /// Ends all faults: calls are answered. An attempt that did not get Owned, or
  /// that released its claim, releases it again, as ClaimClient does until it
  /// gets Done.
  void recover() {
    runWithoutFaults();
    for (std::size_t Index = 0; Index < m_Attempts.size(); ++Index)
      if (!m_Attempts[Index].m_Owned || m_Attempts[Index].m_Released) {
        m_Attempts[Index].m_Released = true;
        sendOperation(Index, NotRunOperation{m_Attempts[Index].m_Id});
        runWithoutFaults();
      }
  }

  void runWithoutFaults() {
    for (int Round = 0; Round < 50; ++Round) {
      m_Now += 50ms;
      for (std::size_t Home = 0; Home < 2; ++Home) {
        if (m_WritesInFlight[Home])
          finishWrite(Home, 0);
        handle(Home, HomeTick());
      }
    }
  }

  std::size_t runCount() const {
    return std::count_if(
        m_Attempts.begin(), m_Attempts.end(),
        [](const Attempt &Candidate) { return Candidate.m_Ran; });
  }
  std::size_t holderCount() const {
    return std::count_if(m_Attempts.begin(), m_Attempts.end(),
                         [](const Attempt &Candidate) {
                           return Candidate.m_Owned && !Candidate.m_Released;
                         });
  }
  const std::vector<Attempt> &attempts() const { return m_Attempts; }

  /// Makes one more attempt without faults and returns its status.
  ClaimStatus claimOnceMore() {
    m_Attempts.push_back({"probe", false, false, false, {}});
    sendClaim(m_Attempts.size() - 1);
    runWithoutFaults();
    return m_Attempts.back().m_LastOutcome.m_Status;
  }

private:
  std::size_t below(std::size_t Limit) { return m_Random() % Limit; }
  bool chance(std::size_t OneIn) { return below(OneIn) == 0; }

  void sendOperation(std::size_t Index, RowOperation Operation) {
    const RequestNumber Number(++m_LastNumber);
    m_AttemptOfRequest[Number] = Index;
    handle(below(2),
           RequestReceived{Number, "key", std::move(Operation), {}, 7});
  }
  void sendClaim(std::size_t Index) {
    sendOperation(Index, ClaimOperation{m_Attempts[Index].m_Id, 7});
  }
  void runOne() {
    for (std::size_t Index = 0; Index < m_Attempts.size(); ++Index)
      if (m_Attempts[Index].m_Owned && !m_Attempts[Index].m_Released) {
        m_Attempts[Index].m_Ran = true;
        return sendOperation(
            Index, RanOperation{m_Attempts[Index].m_Id, {200, "t", "done"}});
      }
  }
  void releaseOne() {
    if (m_Attempts.empty() || below(3) != 0)
      return;
    const std::size_t Index = below(m_Attempts.size());
    if (m_Attempts[Index].m_Ran)
      return;
    m_Attempts[Index].m_Released = true;
    sendOperation(Index, NotRunOperation{m_Attempts[Index].m_Id});
  }

  /// Ends the write in flight by \p Fault: 1 refused, 2 answer lost after the
  /// effect, 3 answer lost and effect delayed, others answered.
  void finishWrite(std::size_t Home) { finishWrite(Home, below(8)); }
  void finishWrite(std::size_t Home, std::size_t Fault) {
    if (!m_WritesInFlight[Home])
      return;
    const std::vector<platform::RowWrite> Writes = *m_WritesInFlight[Home];
    m_WritesInFlight[Home].reset();
    if (Fault == 0 || Fault > 3)
      return handle(Home, WriteEnded{m_Table.apply(Writes)});
    if (Fault == 1)
      return handle(Home, WriteEnded{PlatformFailure::Refused});
    if (Fault == 2)
      m_Table.apply(Writes);
    else
      m_DelayedWrites.push_back(Writes);
    handle(Home, WriteEnded{PlatformFailure::Uncertain});
  }

  void handle(std::size_t Home, const HomeEvent &Event) {
    std::vector<HomeAction> Actions;
    m_Homes[Home].handle(Event, m_Now, Actions);
    for (const HomeAction &Action : Actions) {
      if (const auto *Write = std::get_if<StartWrite>(&Action))
        m_WritesInFlight[Home] = Write->m_Writes;
      else if (const auto *Read = std::get_if<StartRead>(&Action))
        handle(Home, ReadEnded{Read->m_Key, m_Table.read(Read->m_Key)});
      else
        onReply(std::get<SendReply>(Action));
    }
  }

  void onReply(const SendReply &Action) {
    Attempt &Requester = m_Attempts[m_AttemptOfRequest.at(Action.m_Number)];
    Requester.m_LastOutcome = Action.m_Outcome;
    if (Action.m_Outcome.m_Status == ClaimStatus::Owned &&
        !Requester.m_Released)
      Requester.m_Owned = true;
  }

  std::mt19937 m_Random; ///< The whole schedule follows from it.
  TimePoint m_Now{1h};   ///< Of all homes.
  FakeTable m_Table;     ///< Shared.
  ClaimHomeCore m_Homes[2] = {ClaimHomeCore({}), ClaimHomeCore({})};
  /// Of each home.
  std::optional<std::vector<platform::RowWrite>> m_WritesInFlight[2];
  /// Reported as uncertain and not yet in effect.
  std::vector<std::vector<platform::RowWrite>> m_DelayedWrites;
  std::vector<Attempt> m_Attempts; ///< In the order of their start.
  std::map<RequestNumber, std::size_t> m_AttemptOfRequest; ///< For replies.
  std::uint64_t m_LastNumber = 0;                          ///< Of requests.
};

} // namespace

// A call is resent through other entries while the first attempt waits, holds
// the claim, runs or has released the claim. Answers of the table service are
// lost after the effect, writes take effect late, and a second home works from
// an outdated view. The call must never run twice, so at any time at most one
// attempt may believe that it holds the claim.
RC_BOOST_PROP(NeverTwoHoldersAndNeverTwoRuns, (std::uint32_t Seed)) {
  ClaimSimulation Simulation(Seed);
  for (int Step = 0; Step < 200; ++Step) {
    Simulation.step();
    RC_ASSERT(Simulation.holderCount() <= 1U);
    RC_ASSERT(Simulation.runCount() <= 1U);
  }
}

// When the faults have ended, the key must not stay claimed for an attempt that
// has ended: a new attempt gets the stored answer or the claim, or learns that
// a live attempt holds it.
RC_BOOST_PROP(KeyIsNotStuckAfterFaults, (std::uint32_t Seed)) {
  ClaimSimulation Simulation(Seed);
  for (int Step = 0; Step < 200; ++Step)
    Simulation.step();
  Simulation.recover();
  const std::size_t Holders = Simulation.holderCount();
  const ClaimStatus Status = Simulation.claimOnceMore();
  if (Status == ClaimStatus::InProgress)
    RC_ASSERT(Holders == 1U);
  else
    RC_ASSERT(Status == ClaimStatus::Owned || Status == ClaimStatus::Ran);
}

BOOST_AUTO_TEST_CASE(RepeatedKeyGetsKeptAnswerAndOtherBodyIsRefused) {
  const ClaimRow Ran{ClaimState::Ran, "a", 7, {200, "application/json", "{}"}};
  const RowDecision SameBody = decideRow(ClaimOperation{"b", 7}, Ran);
  BOOST_TEST((std::get<ClaimOutcome>(SameBody).m_Status == ClaimStatus::Ran));
  BOOST_TEST((std::get<ClaimOutcome>(SameBody).m_Answer == Ran.m_Answer));
  const RowDecision OtherBody = decideRow(ClaimOperation{"b", 8}, Ran);
  BOOST_TEST(
      (std::get<ClaimOutcome>(OtherBody).m_Status == ClaimStatus::OtherBody));
}

// An entry whose insert took effect but whose answer was lost resends the
// request. It must get Owned; otherwise the key is unusable for a day, until
// the claim expires. A copy of the request that arrives after the attempt
// released the claim must not take it again.
BOOST_AUTO_TEST_CASE(AskingTwiceIsIdempotent) {
  const ClaimRow Claimed{ClaimState::Claimed, "a", 7, {}};
  const RowDecision Repeated = decideRow(ClaimOperation{"a", 7}, Claimed);
  BOOST_TEST((std::get<ClaimOutcome>(Repeated).m_Status == ClaimStatus::Owned));
  const ClaimRow Released{ClaimState::NotRun, "a", 7, {}};
  const RowDecision LateCopy = decideRow(ClaimOperation{"a", 7}, Released);
  BOOST_TEST(std::holds_alternative<ClaimOutcome>(LateCopy));
  const RowDecision NewAttempt = decideRow(ClaimOperation{"b", 7}, Released);
  BOOST_TEST(std::holds_alternative<RowChange>(NewAttempt));
}

BOOST_AUTO_TEST_CASE(RowsOfThisFormatAreReadBackAndNewerOnesRefused) {
  const ClaimRow Row{ClaimState::Ran, "a", 7, {201, "text/plain", "x\xff"}};
  BOOST_TEST((decodeRow(encodeRow(Row)).m_Attempt == "a"));
  BOOST_CHECK_THROW(decodeRow("{\"format\":2}"), ClaimRowError);
  BOOST_CHECK_THROW(decodeRow("nonsense"), ClaimRowError);
}

// A thousand keyed calls within one second must cost the table service no more
// than one write call per window.
BOOST_AUTO_TEST_CASE(WritesAreBoundedByTheWindow) {
  ClaimHomeCore Home({});
  FakeTable Table;
  TimePoint Now{1h};
  std::size_t Calls = 0;
  std::size_t Owned = 0;
  for (std::uint64_t Step = 0; Step < 1000; ++Step, Now += 1ms) {
    std::vector<HomeAction> Actions;
    Home.handle(RequestReceived{RequestNumber(Step),
                                "k" + std::to_string(Step),
                                ClaimOperation{"a" + std::to_string(Step), 7},
                                {},
                                0},
                Now, Actions);
    Home.handle(HomeTick(), Now, Actions);
    for (std::size_t Index = 0; Index < Actions.size(); ++Index)
      if (const auto *Write = std::get_if<StartWrite>(&Actions[Index])) {
        ++Calls;
        const auto Outcomes = Table.apply(Write->m_Writes);
        Home.handle(WriteEnded{Outcomes}, Now, Actions);
      } else if (std::holds_alternative<SendReply>(Actions[Index])) {
        ++Owned;
      }
  }
  BOOST_TEST(Calls <= 51U);
  BOOST_TEST(Owned >= 980U);
}

// Guards against requests that are dropped for their age and never answered, so
// that the home keeps their requesters for good.
BOOST_AUTO_TEST_CASE(ARequestThatIsTooOldIsAnswered) {
  const ClaimHomeConfig Config;
  ClaimHomeCore Home(Config);
  TimePoint Now{1h};
  std::vector<HomeAction> Actions;
  const auto Receive = [&](std::uint64_t Number) {
    Home.handle(RequestReceived{RequestNumber(Number),
                                "key",
                                ClaimOperation{std::to_string(Number), 7},
                                {},
                                0},
                Now, Actions);
  };
  Receive(1); // Its write is under way for long.
  Receive(2);
  Now += Config.m_MaxRequestAge + 1s;
  Home.handle(WriteEnded{PlatformFailure::Uncertain}, Now, Actions);
  std::map<std::uint64_t, ClaimStatus> Replies;
  for (const HomeAction &Action : Actions)
    if (const auto *Reply = std::get_if<SendReply>(&Action))
      Replies[Reply->m_Number.value()] = Reply->m_Outcome.m_Status;
  BOOST_REQUIRE(Replies.size() == 2U);
  BOOST_TEST((Replies[1] == ClaimStatus::Uncertain));
  BOOST_TEST((Replies[2] == ClaimStatus::Unavailable));
}
