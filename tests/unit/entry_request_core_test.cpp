/// State machine of a request under random orders of events and faults.
#define BOOST_TEST_MODULE entry_request_core
#include "entry/request_core.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace crowstep;
using namespace crowstep::entry;
using namespace std::chrono_literals;
using claim::ClaimStatus;

namespace {

constexpr std::uint32_t WholeAnswer = 5; ///< Tokens of every answer.

/// The claim row of the key, as the table service stores it.
struct KeyRow {
  enum class State : std::uint8_t { Free, Claimed, Ran } m_State = State::Free;
  int m_Owner = -1; ///< Index of the request that holds it.

  ClaimStatus claim(int Who) {
    if (m_State == State::Free) {
      m_State = State::Claimed;
      m_Owner = Who;
    }
    return seenBy(Who);
  }
  [[nodiscard]] ClaimStatus seenBy(int Who) const {
    if (m_State == State::Ran)
      return ClaimStatus::Ran;
    if (m_State == State::Free)
      return ClaimStatus::Done;
    return m_Owner == Who ? ClaimStatus::Owned : ClaimStatus::InProgress;
  }
};

/// One request, its outstanding actions, and what its caller was answered.
struct Driven {
  RequestCore m_Core;
  bool m_Streamed;
  bool m_Bidding = false, m_Claiming = false, m_Reading = false;
  bool m_RecordingRan = false, m_RecordingNotRun = false, m_Waking = false;
  bool m_Calling = false;
  int m_Slots = 0;              ///< Granted and not released.
  int m_Finals = 0;             ///< Final answers.
  int m_Runs = 0;               ///< Calls that an upstream has started.
  bool m_ToldNotRun = false;    ///< Of the final answer.
  bool m_Whole = false;         ///< Of the final answer.
  bool m_Gone = false;          ///< The caller closed its connection.
  std::uint32_t m_Received = 0; ///< Tokens of the current answer.
  bool m_CallRan = false;       ///< The current call has started.
};

/// Simulates two requests, which have the same key if they are not repeatable.
class World {
public:
  World(bool Repeatable, bool Streamed) : m_Repeatable(Repeatable) {
    RequestTerms Terms;
    Terms.m_Repeatable = Repeatable;
    Terms.m_Streamed = Streamed;
    Terms.m_FirstTokenTarget = 1s;
    Terms.m_TotalLimit = 10s;
    for (int Index = 0; Index < 2; ++Index)
      m_Requests.push_back({RequestCore(Terms, m_Now), Streamed});
    for (int Index = 0; Index < 2; ++Index)
      feed(Index, Admitted{});
  }

  /// Delivers one event. The low bits of \p Choice select request and event.
  void step(std::uint32_t Choice) {
    m_Now += Duration(Choice % 97 * 1000);
    const int Who = static_cast<int>(Choice & 1);
    Driven &It = m_Requests[Who];
    const std::uint32_t Detail = Choice >> 5;
    switch ((Choice >> 1) % 16) {
    case 0:
    case 1:
    case 2:
      if (It.m_Bidding)
        grant(Who, Detail);
      break;
    case 3:
      if (It.m_Bidding && Detail % 4 == 0) {
        It.m_Bidding = false;
        feed(Who, BidRefused{RefusalReason::QueueFull, 1s});
      }
      break;
    case 4:
    case 5:
      if (It.m_Claiming)
        answerClaim(Who, Detail);
      break;
    case 6:
      if (It.m_Reading) {
        It.m_Reading = false;
        const bool Down = Detail % 4 == 0;
        feed(Who,
             ClaimAnswered{
                 {Down ? ClaimStatus::Unavailable : m_Row.seenBy(Who), {}}});
      }
      break;
    case 7:
      answerRecords(Who, Detail);
      break;
    case 8:
    case 9:
    case 10:
      if (It.m_Calling)
        progress(Who, Detail);
      break;
    case 11:
      if (It.m_Calling)
        endCall(Who, Detail);
      break;
    case 12:
      if (It.m_Waking) {
        It.m_Waking = false;
        feed(Who, PauseOver{});
      }
      break;
    case 13:
      if (Detail % 4 == 0)
        feed(Who, PreemptOrdered{UpstreamId(1)});
      break;
    case 14:
      if (Detail % 8 == 0) {
        It.m_Gone = true;
        feed(Who, CallerLeft{});
      } else if (Detail % 8 == 1) {
        m_Now += 10s;
        feed(Who, LimitReached{});
      }
      break;
    default:
      if (Detail % 4 == 0)
        feed(Who, GrantSuspect{});
    }
  }

  /// Completes all outstanding actions successfully.
  void settle() {
    for (int Round = 0; Round < 200; ++Round)
      for (int Who = 0; Who < 2; ++Who) {
        Driven &It = m_Requests[Who];
        m_Now += 1ms;
        if (It.m_Bidding)
          grant(Who, 1);
        else if (It.m_Claiming)
          answerClaim(Who, 1);
        else if (It.m_Reading) {
          It.m_Reading = false;
          feed(Who, ClaimAnswered{{m_Row.seenBy(Who), {}}});
        } else if (It.m_RecordingRan || It.m_RecordingNotRun)
          answerRecords(Who, 1);
        else if (It.m_Calling && It.m_Received < WholeAnswer)
          progress(Who, 1);
        else if (It.m_Calling)
          endCall(Who, 0);
        else if (It.m_Waking) {
          It.m_Waking = false;
          feed(Who, PauseOver{});
        }
      }
    // A request that waits for a key that is never released ends by its limit.
    m_Now += 10s;
    for (int Who = 0; Who < 2; ++Who)
      feed(Who, LimitReached{});
  }

  void check() const {
    int Runs = 0;
    for (const Driven &Each : m_Requests) {
      RC_ASSERT(Each.m_Finals <= 1);
      RC_ASSERT(Each.m_Slots == 0 || Each.m_Slots == 1);
      RC_ASSERT(!(Each.m_ToldNotRun && Each.m_Runs > 0));
      RC_ASSERT(!Each.m_Whole || m_Repeatable == false ||
                Each.m_Received == WholeAnswer);
      Runs += Each.m_Runs;
    }
    RC_ASSERT(m_Repeatable || Runs <= 1);
  }

  [[nodiscard]] bool over() const {
    return m_Requests[0].m_Core.ended() && m_Requests[1].m_Core.ended();
  }

  void checkEnded() const {
    for (const Driven &Each : m_Requests) {
      RC_ASSERT(Each.m_Core.ended());
      RC_ASSERT(Each.m_Finals == 1);
      RC_ASSERT(Each.m_Slots == 0);
      // If "not run" was answered, the row must not name the request, so that
      // the key stays usable.
      RC_ASSERT(!(m_Row.m_State == KeyRow::State::Claimed &&
                  m_Requests[m_Row.m_Owner].m_ToldNotRun));
    }
  }

private:
  void grant(int Who, std::uint32_t Detail) {
    Driven &It = m_Requests[Who];
    It.m_Bidding = false;
    ++It.m_Slots;
    GrantedSlot Slot;
    Slot.m_Upstream = UpstreamId(1);
    Slot.m_Resumes = Detail % 4 != 0;
    Slot.m_ValidFor = 2s;
    feed(Who, Granted{Slot});
  }

  /// The write may take effect although its reply is lost.
  void answerClaim(int Who, std::uint32_t Detail) {
    m_Requests[Who].m_Claiming = false;
    ClaimStatus Told = ClaimStatus::Unavailable;
    if (Detail % 4 == 2)
      Told = ClaimStatus::Uncertain;
    if (Detail % 4 != 0 && (Detail % 4 != 2 || (Detail & 8) != 0)) {
      const ClaimStatus Real = m_Row.claim(Who);
      Told = Detail % 4 == 2 ? Told : Real;
    }
    feed(Who, ClaimAnswered{{Told, {}}});
  }

  void answerRecords(int Who, std::uint32_t Detail) {
    Driven &It = m_Requests[Who];
    const bool Certain = Detail % 4 != 0;
    const bool Written = Certain || Detail % 8 == 0;
    if (It.m_RecordingRan) {
      It.m_RecordingRan = false;
      if (Written && m_Row.m_Owner == Who)
        m_Row.m_State = KeyRow::State::Ran;
      feed(Who, EndRecorded{Certain});
    } else if (It.m_RecordingNotRun) {
      It.m_RecordingNotRun = false;
      if (Written && m_Row.m_State == KeyRow::State::Claimed &&
          m_Row.m_Owner == Who)
        m_Row = KeyRow();
      feed(Who, EndRecorded{Certain});
    }
  }

  void progress(int Who, std::uint32_t Detail) {
    Driven &It = m_Requests[Who];
    run(It);
    if (It.m_Received >= WholeAnswer)
      return;
    const std::uint32_t Count =
        std::min(Detail % 3, WholeAnswer - It.m_Received);
    It.m_Received += Count;
    feed(Who, TokensArrived{Count});
  }

  static void run(Driven &It) {
    It.m_Runs += It.m_CallRan ? 0 : 1;
    It.m_CallRan = true;
  }

  void endCall(int Who, std::uint32_t Detail) {
    Driven &It = m_Requests[Who];
    CallEnd How = CallEnd::Whole;
    if (It.m_Received < WholeAnswer) {
      constexpr CallEnd Unsent[] = {CallEnd::ConnectFailed, CallEnd::TooOld,
                                    CallEnd::Busy, CallEnd::Leaving};
      if (!It.m_CallRan && Detail % 2 == 0)
        How = Unsent[Detail / 2 % 4];
      else
        How =
            It.m_CallRan ? CallEnd::ClosedMidStream : CallEnd::ClosedBeforeByte;
    }
    // The call may have run although no byte of an answer was received.
    if (How == CallEnd::ClosedBeforeByte)
      run(It);
    It.m_Calling = false;
    feed(Who, CallEnded{How});
  }

  void feed(int Who, const RequestEvent &What) {
    std::vector<RequestAction> Actions;
    m_Requests[Who].m_Core.handle(What, m_Now, Actions);
    for (const RequestAction &Each : Actions)
      std::visit([&](const auto &Action) { take(m_Requests[Who], Action); },
                 Each);
  }

  static void take(Driven &It, const PlaceBid &What) {
    RC_ASSERT(It.m_Finals == 0);
    RC_ASSERT(!It.m_Bidding);
    RC_ASSERT(What.m_DoneTokens == It.m_Received);
    It.m_Bidding = true;
  }
  static void take(Driven &It, const WithdrawBid &) { It.m_Bidding = false; }
  static void take(Driven &, const ReportFirstToken &) {}
  static void take(Driven &It, const ReleaseSlot &) { --It.m_Slots; }
  static void take(Driven &It, const AskClaim &) { It.m_Claiming = true; }
  static void take(Driven &It, const ReadClaim &) { It.m_Reading = true; }
  static void take(Driven &It, const RecordNotRun &) {
    It.m_RecordingNotRun = true;
  }
  static void take(Driven &It, const RecordRan &) { It.m_RecordingRan = true; }
  void take(Driven &It, const SendCall &What) const {
    RC_ASSERT(It.m_Finals == 0); // No caller would get the answer.
    RC_ASSERT(!It.m_Calling);
    RC_ASSERT(It.m_Slots == 1);
    RC_ASSERT(m_Repeatable || What.m_SendBefore > m_Now);
    RC_ASSERT(What.m_ResumeTokens == 0 || What.m_Slot.m_Resumes);
    if (It.m_Streamed)
      RC_ASSERT(What.m_ResumeTokens == It.m_Received);
    if (What.m_ResumeTokens == 0)
      It.m_Received = 0;
    It.m_Calling = true;
    It.m_CallRan = false;
  }
  static void take(Driven &It, const CancelCall &) {
    RC_ASSERT(It.m_Calling);
    run(It);
    It.m_Calling = false;
  }
  static void take(Driven &It, const WakeAfter &) { It.m_Waking = true; }
  static void take(Driven &It, const Refuse &What) {
    ++It.m_Finals;
    It.m_ToldNotRun = What.m_State == RunState::NotRun;
    RC_ASSERT(!It.m_Gone);
    RC_ASSERT(!It.m_Streamed || It.m_Received == 0);
  }
  static void take(Driven &It, const ReplayAnswer &) { ++It.m_Finals; }
  static void take(Driven &It, const FinishAnswer &) {
    ++It.m_Finals;
    It.m_Whole = true;
  }
  static void take(Driven &It, const CutAnswer &) { ++It.m_Finals; }
  static void take(Driven &It, const DropAnswer &) {
    ++It.m_Finals;
    RC_ASSERT(It.m_Gone);
  }
  static void take(Driven &, const CountRetry &) {}

  bool m_Repeatable;
  TimePoint m_Now{1s};
  KeyRow m_Row;
  std::vector<Driven> m_Requests;
};

void property(const char *Name, bool Repeatable) {
  const bool Held = rc::check(Name, [Repeatable](bool Streamed) {
    const auto Choices =
        *rc::gen::resize(400, rc::gen::container<std::vector<std::uint32_t>>(
                                  rc::gen::arbitrary<std::uint32_t>()));
    World Run(Repeatable, Streamed);
    for (const std::uint32_t Each : Choices) {
      Run.step(Each);
      Run.check();
      if (Run.over()) { // The other events go to two new requests.
        Run.checkEnded();
        Run = World(Repeatable, Streamed);
      }
    }
    Run.settle();
    Run.check();
    Run.checkEnded();
  });
  BOOST_TEST(Held);
}

} // namespace

// Two requests with the same key, through two entries or as a retry, while
// replies to claims are lost, grants expire, upstreams close and callers close
// their connections. The call runs at most once, "not run" is true, and each
// caller gets one final answer, because a claim is owned by one attempt, is
// never taken over, and is released before "not run" is answered.
BOOST_AUTO_TEST_CASE(KeyedCallRunsAtMostOnce) {
  property("keyed call runs at most once", false);
}

// An engine closes mid-stream, refuses the call, or its slot is preempted. The
// caller gets one answer without a gap or duplicate, or one that ends with an
// error event, because each further call resumes after the tokens that the
// caller has.
BOOST_AUTO_TEST_CASE(RepeatableAnswerIsWhole) {
  property("repeatable answer is whole", true);
}
