/// At most once: the claim's rule and the claim home under random faults.
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

/// A table service whose calls take effect when the test says so, perhaps
/// never, perhaps long after the caller was told that it failed.
class FakeTable {
public:
  std::vector<platform::RowOutcome>
  apply(const std::vector<platform::RowWrite> &Writes) {
    std::vector<platform::RowOutcome> Result;
    for (const platform::RowWrite &Each : Writes) {
      auto Found = m_Rows.find(Each.m_Key);
      const platform::RowVersion Present = Found == m_Rows.end()
                                               ? platform::RowVersion()
                                               : Found->second.m_Version;
      const bool Written = Present == Each.m_Expected;
      if (Written)
        m_Rows[Each.m_Key] = {Each.m_Key,
                              platform::RowVersion(Present.value() + 1),
                              Each.m_Value};
      Found = m_Rows.find(Each.m_Key);
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

/// An entry's attempt at a keyed call, as far as claims go.
struct Attempt {
  AttemptId m_Id;        ///< Unique.
  bool m_Owned = false;  ///< Was told Owned.
  bool m_GaveUp = false; ///< Gave the claim back; never runs after that.
  bool m_Ran = false;    ///< Its call ran.
  ClaimOutcome m_Last;   ///< Last reply.
};

/// Two homes of one key (one of them stale), several attempts, one table.
class World {
public:
  explicit World(std::uint32_t Seed) : m_Random(Seed) {}

  void step() {
    m_Now += Duration(chance(20) ? 3s : 5ms);
    switch (below(12)) {
    case 0:
      m_Attempts.push_back(
          {"a" + std::to_string(m_Attempts.size()), false, false, false, {}});
      return ask(m_Attempts.size() - 1);
    case 1: // Asked again, perhaps of the other home: a lost reply.
      return m_Attempts.empty() ? void() : ask(below(m_Attempts.size()));
    case 2:
      return finishOne();
    case 3:
      return giveUpOne();
    case 4:
    case 5:
    case 6:
    case 7:
      return endWrite(below(2));
    case 8: // A call that was reported lost takes effect now.
      if (!m_Late.empty()) {
        m_Table.apply(m_Late.back());
        m_Late.pop_back();
      }
      return;
    default:
      return feed(below(2), HomeTick());
    }
  }

  /// Ends all faults: calls are answered, and an attempt that was not told
  /// Owned, or whose giving up was not written, gives up again, as ClaimClient
  /// does until it is told Done.
  void recover() {
    calm();
    for (std::size_t Of = 0; Of < m_Attempts.size(); ++Of)
      if (!m_Attempts[Of].m_Owned || m_Attempts[Of].m_GaveUp) {
        m_Attempts[Of].m_GaveUp = true;
        request(Of, NotRunWanted{m_Attempts[Of].m_Id});
        calm();
      }
  }

  void calm() {
    for (int Round = 0; Round < 50; ++Round) {
      m_Now += 50ms;
      for (std::size_t Home = 0; Home < 2; ++Home) {
        if (m_OnWay[Home])
          endWrite(Home, 0);
        feed(Home, HomeTick());
      }
    }
  }

  std::size_t runs() const {
    return std::count_if(m_Attempts.begin(), m_Attempts.end(),
                         [](const Attempt &Each) { return Each.m_Ran; });
  }
  std::size_t holders() const {
    return std::count_if(
        m_Attempts.begin(), m_Attempts.end(),
        [](const Attempt &Each) { return Each.m_Owned && !Each.m_GaveUp; });
  }
  const std::vector<Attempt> &attempts() const { return m_Attempts; }

  /// Makes one more attempt in calm and returns what it is told.
  ClaimStatus probe() {
    m_Attempts.push_back({"probe", false, false, false, {}});
    ask(m_Attempts.size() - 1);
    calm();
    return m_Attempts.back().m_Last.m_Status;
  }

private:
  std::size_t below(std::size_t Limit) { return m_Random() % Limit; }
  bool chance(std::size_t OneIn) { return below(OneIn) == 0; }

  void request(std::size_t Of, Wanted What) {
    const RequestNumber Number(++m_LastNumber);
    m_AskedBy[Number] = Of;
    feed(below(2), RequestCame{Number, "key", std::move(What), {}, 7});
  }
  void ask(std::size_t Of) { request(Of, ClaimWanted{m_Attempts[Of].m_Id, 7}); }
  void finishOne() {
    for (std::size_t Of = 0; Of < m_Attempts.size(); ++Of)
      if (m_Attempts[Of].m_Owned && !m_Attempts[Of].m_GaveUp) {
        m_Attempts[Of].m_Ran = true;
        return request(Of, RanWanted{m_Attempts[Of].m_Id, {200, "t", "done"}});
      }
  }
  void giveUpOne() {
    if (m_Attempts.empty() || below(3) != 0)
      return;
    const std::size_t Of = below(m_Attempts.size());
    if (m_Attempts[Of].m_Ran)
      return;
    m_Attempts[Of].m_GaveUp = true;
    request(Of, NotRunWanted{m_Attempts[Of].m_Id});
  }

  /// Ends the write on its way: 1 refused, 2 answer lost after the effect,
  /// 3 reported lost and still to take effect, others answered.
  void endWrite(std::size_t Home) { endWrite(Home, below(8)); }
  void endWrite(std::size_t Home, std::size_t How) {
    if (!m_OnWay[Home])
      return;
    const std::vector<platform::RowWrite> Writes = *m_OnWay[Home];
    m_OnWay[Home].reset();
    if (How == 0 || How > 3)
      return feed(Home, WriteEnded{m_Table.apply(Writes)});
    if (How == 1)
      return feed(Home, WriteEnded{PlatformFailure::Refused});
    if (How == 2)
      m_Table.apply(Writes);
    else
      m_Late.push_back(Writes);
    feed(Home, WriteEnded{PlatformFailure::Uncertain});
  }

  void feed(std::size_t Home, const HomeEvent &What) {
    std::vector<HomeAction> Actions;
    m_Homes[Home].handle(What, m_Now, Actions);
    for (const HomeAction &Each : Actions) {
      if (const auto *Write = std::get_if<StartWrite>(&Each))
        m_OnWay[Home] = Write->m_Writes;
      else if (const auto *Read = std::get_if<StartRead>(&Each))
        feed(Home, ReadEnded{Read->m_Key, m_Table.read(Read->m_Key)});
      else
        told(std::get<Reply>(Each));
    }
  }

  void told(const Reply &What) {
    Attempt &Who = m_Attempts[m_AskedBy.at(What.m_Number)];
    Who.m_Last = What.m_Outcome;
    if (What.m_Outcome.m_Status == ClaimStatus::Owned && !Who.m_GaveUp)
      Who.m_Owned = true;
  }

  std::mt19937 m_Random; ///< The whole schedule follows from it.
  TimePoint m_Now{1h};   ///< Of all homes.
  FakeTable m_Table;     ///< Shared.
  ClaimHomeCore m_Homes[2] = {ClaimHomeCore({}), ClaimHomeCore({})};
  std::optional<std::vector<platform::RowWrite>> m_OnWay[2]; ///< Of each home.
  std::vector<std::vector<platform::RowWrite>> m_Late;       ///< Reported lost.
  std::vector<Attempt> m_Attempts; ///< In the order of their start.
  std::map<RequestNumber, std::size_t> m_AskedBy; ///< For replies.
  std::uint64_t m_LastNumber = 0;                 ///< Of requests.
};

} // namespace

// A rider's seat hold is sent again through other entries while the first
// still waits, is claimed, runs or has given up. Answers of the table service
// get lost after the effect, writes take effect late, and a second home works
// from an old view. The rider must never get two holds, so that at every
// moment at most one attempt may believe that it holds the claim.
RC_BOOST_PROP(NeverTwoHoldersAndNeverTwoRuns, (std::uint32_t Seed)) {
  World Fleet(Seed);
  for (int Step = 0; Step < 200; ++Step) {
    Fleet.step();
    RC_ASSERT(Fleet.holders() <= 1U);
    RC_ASSERT(Fleet.runs() <= 1U);
  }
}

// After the faults the key must not be stuck: whoever asks is told the kept
// answer, or holds the claim, or is told that a living attempt holds it.
RC_BOOST_PROP(KeyIsNotStuckAfterFaults, (std::uint32_t Seed)) {
  World Fleet(Seed);
  for (int Step = 0; Step < 200; ++Step)
    Fleet.step();
  Fleet.recover();
  const std::size_t Holders = Fleet.holders();
  const ClaimStatus Told = Fleet.probe();
  if (Told == ClaimStatus::InProgress)
    RC_ASSERT(Holders == 1U);
  else
    RC_ASSERT(Told == ClaimStatus::Owned || Told == ClaimStatus::Ran);
}

BOOST_AUTO_TEST_CASE(RepeatedKeyGetsKeptAnswerAndOtherBodyIsRefused) {
  const ClaimRow Ran{ClaimState::Ran, "a", 7, {200, "application/json", "{}"}};
  const RowVerdict Same = judge(ClaimWanted{"b", 7}, Ran);
  BOOST_TEST((std::get<ClaimOutcome>(Same).m_Status == ClaimStatus::Ran));
  BOOST_TEST((std::get<ClaimOutcome>(Same).m_Answer == Ran.m_Answer));
  const RowVerdict Other = judge(ClaimWanted{"b", 8}, Ran);
  BOOST_TEST(
      (std::get<ClaimOutcome>(Other).m_Status == ClaimStatus::OtherBody));
}

// The answer to an entry's insert is lost and it asks again: it must learn that
// it holds the claim, else a rider's hold is refused for a day. A copy of the
// request that arrives after the attempt gave up must not take the claim.
BOOST_AUTO_TEST_CASE(AskingTwiceIsIdempotent) {
  const ClaimRow Mine{ClaimState::Claimed, "a", 7, {}};
  const RowVerdict Again = judge(ClaimWanted{"a", 7}, Mine);
  BOOST_TEST((std::get<ClaimOutcome>(Again).m_Status == ClaimStatus::Owned));
  const ClaimRow GivenBack{ClaimState::NotRun, "a", 7, {}};
  const RowVerdict Late = judge(ClaimWanted{"a", 7}, GivenBack);
  BOOST_TEST(std::holds_alternative<ClaimOutcome>(Late));
  const RowVerdict Fresh = judge(ClaimWanted{"b", 7}, GivenBack);
  BOOST_TEST(std::holds_alternative<RowChange>(Fresh));
}

BOOST_AUTO_TEST_CASE(RowsOfThisFormatAreReadBackAndNewerOnesRefused) {
  const ClaimRow Row{ClaimState::Ran, "a", 7, {201, "text/plain", "x\xff"}};
  BOOST_TEST((readRow(writeRow(Row)).m_Attempt == "a"));
  BOOST_CHECK_THROW(readRow("{\"format\":2}"), ClaimRowError);
  BOOST_CHECK_THROW(readRow("nonsense"), ClaimRowError);
}

// A thousand keyed calls of one second may cost the table service no more
// than one write a window.
BOOST_AUTO_TEST_CASE(WritesAreBoundedByTheWindow) {
  ClaimHomeCore Home({});
  FakeTable Table;
  TimePoint Now{1h};
  std::size_t Calls = 0;
  std::size_t Owned = 0;
  for (std::uint64_t Step = 0; Step < 1000; ++Step, Now += 1ms) {
    std::vector<HomeAction> Todo;
    Home.handle(RequestCame{RequestNumber(Step),
                            "k" + std::to_string(Step),
                            ClaimWanted{"a" + std::to_string(Step), 7},
                            {},
                            0},
                Now, Todo);
    Home.handle(HomeTick(), Now, Todo);
    for (std::size_t Index = 0; Index < Todo.size(); ++Index)
      if (const auto *Write = std::get_if<StartWrite>(&Todo[Index])) {
        ++Calls;
        const auto Outcomes = Table.apply(Write->m_Writes);
        Home.handle(WriteEnded{Outcomes}, Now, Todo);
      } else if (std::holds_alternative<Reply>(Todo[Index])) {
        ++Owned;
      }
  }
  BOOST_TEST(Calls <= 51U);
  BOOST_TEST(Owned >= 980U);
}
