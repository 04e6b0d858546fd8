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

constexpr std::uint32_t AnswerTokens = 5; ///< Tokens of every answer.

/// The claim row of the key, as the table service stores it.
struct KeyRow {
  enum class State : std::uint8_t { Free, Claimed, Ran } m_State = State::Free;
  int m_Owner = -1; ///< Index of the request that holds it.

  ClaimStatus claim(int Index) {
    if (m_State == State::Free) {
      m_State = State::Claimed;
      m_Owner = Index;
    }
    return statusFor(Index);
  }
  [[nodiscard]] ClaimStatus statusFor(int Index) const {
    if (m_State == State::Ran)
      return ClaimStatus::Ran;
    if (m_State == State::Free)
      return ClaimStatus::Done;
    return m_Owner == Index ? ClaimStatus::Owned : ClaimStatus::InProgress;
  }
};

/// One request, its outstanding actions, and what its caller was answered.
struct DrivenRequest {
  RequestCore m_Core;
  bool m_Streamed;
  bool m_Bidding = false, m_Claiming = false, m_Reading = false;
  bool m_RecordingRan = false, m_RecordingNotRun = false, m_Waking = false;
  bool m_Calling = false;
  int m_SlotCount = 0;           ///< Granted and not released.
  int m_FinalAnswers = 0;        ///< Final answers.
  int m_RunCount = 0;            ///< Calls that an upstream has started.
  bool m_AnsweredNotRun = false; ///< Of the final answer.
  bool m_Complete = false;       ///< Of the final answer.
  bool m_CallerGone = false;     ///< The caller closed its connection.
  std::uint32_t m_Received = 0;  ///< Tokens of the current answer.
  bool m_CallStarted = false;    ///< The current call has started.
};

/// Simulates two requests, which have the same key if they are not repeatable.
class Simulation {
public:
  Simulation(bool Repeatable, bool Streamed) : m_Repeatable(Repeatable) {
    RequestTerms Terms;
    Terms.m_Repeatable = Repeatable;
    Terms.m_Streamed = Streamed;
    Terms.m_FirstTokenTarget = 1s;
    Terms.m_TotalLimit = 10s;
    for (int Index = 0; Index < 2; ++Index)
      m_Requests.push_back({RequestCore(Terms, m_Now), Streamed});
    for (int Index = 0; Index < 2; ++Index)
      deliver(Index, Admitted{});
  }

  /// Delivers one event. The low bits of \p Choice select request and event.
  void step(std::uint32_t Choice) {
    m_Now += Duration(Choice % 97 * 1000);
    const int Index = static_cast<int>(Choice & 1);
    DrivenRequest &Request = m_Requests[Index];
    const std::uint32_t Detail = Choice >> 5;
    switch ((Choice >> 1) % 16) {
    case 0:
    case 1:
    case 2:
      if (Request.m_Bidding)
        grant(Index, Detail);
      break;
    case 3:
      if (Request.m_Bidding && Detail % 4 == 0) {
        Request.m_Bidding = false;
        deliver(Index, BidRefused{RefusalReason::QueueFull, 1s});
      }
      break;
    case 4:
    case 5:
      if (Request.m_Claiming)
        answerClaim(Index, Detail);
      break;
    case 6:
      if (Request.m_Reading) {
        Request.m_Reading = false;
        const bool Down = Detail % 4 == 0;
        deliver(Index, ClaimAnswered{{Down ? ClaimStatus::Unavailable
                                           : m_Row.statusFor(Index),
                                      {}}});
      }
      break;
    case 7:
      answerRecords(Index, Detail);
      break;
    case 8:
    case 9:
    case 10:
      if (Request.m_Calling)
        receiveTokens(Index, Detail);
      break;
    case 11:
      if (Request.m_Calling)
        endCall(Index, Detail);
      break;
    case 12:
      if (Request.m_Waking) {
        Request.m_Waking = false;
        deliver(Index, WaitElapsed{});
      }
      break;
    case 13:
      if (Detail % 4 == 0)
        deliver(Index, PreemptOrdered{UpstreamId(1)});
      break;
    case 14:
      if (Detail % 8 == 0) {
        Request.m_CallerGone = true;
        deliver(Index, CallerLeft{});
      } else if (Detail % 8 == 1) {
        m_Now += 10s;
        deliver(Index, LimitReached{});
      }
      break;
    default:
      if (Detail % 4 == 0)
        deliver(Index, GrantSuspect{});
    }
  }

  /// Completes all outstanding actions successfully.
  void settle() {
    for (int Round = 0; Round < 200; ++Round)
      for (int Index = 0; Index < 2; ++Index) {
        DrivenRequest &Request = m_Requests[Index];
        m_Now += 1ms;
        if (Request.m_Bidding)
          grant(Index, 1);
        else if (Request.m_Claiming)
          answerClaim(Index, 1);
        else if (Request.m_Reading) {
          Request.m_Reading = false;
          deliver(Index, ClaimAnswered{{m_Row.statusFor(Index), {}}});
        } else if (Request.m_RecordingRan || Request.m_RecordingNotRun)
          answerRecords(Index, 1);
        else if (Request.m_Calling && Request.m_Received < AnswerTokens)
          receiveTokens(Index, 1);
        else if (Request.m_Calling)
          endCall(Index, 0);
        else if (Request.m_Waking) {
          Request.m_Waking = false;
          deliver(Index, WaitElapsed{});
        }
      }
    // A request that waits for a key that is never released ends by its limit.
    m_Now += 10s;
    for (int Index = 0; Index < 2; ++Index)
      deliver(Index, LimitReached{});
  }

  void check() const {
    int Runs = 0;
    for (const DrivenRequest &Request : m_Requests) {
      RC_ASSERT(Request.m_FinalAnswers <= 1);
      RC_ASSERT(Request.m_SlotCount == 0 || Request.m_SlotCount == 1);
      RC_ASSERT(!(Request.m_AnsweredNotRun && Request.m_RunCount > 0));
      RC_ASSERT(!Request.m_Complete || m_Repeatable == false ||
                Request.m_Received == AnswerTokens);
      Runs += Request.m_RunCount;
    }
    RC_ASSERT(m_Repeatable || Runs <= 1);
  }

  [[nodiscard]] bool isOver() const {
    return m_Requests[0].m_Core.isEnded() && m_Requests[1].m_Core.isEnded();
  }

  void checkEnded() const {
    for (const DrivenRequest &Request : m_Requests) {
      RC_ASSERT(Request.m_Core.isEnded());
      RC_ASSERT(Request.m_FinalAnswers == 1);
      RC_ASSERT(Request.m_SlotCount == 0);
      // If "not run" was answered, the row must not name the request, so that
      // the key stays usable.
      RC_ASSERT(!(m_Row.m_State == KeyRow::State::Claimed &&
                  m_Requests[m_Row.m_Owner].m_AnsweredNotRun));
    }
  }

private:
  void grant(int Index, std::uint32_t Detail) {
    DrivenRequest &Request = m_Requests[Index];
    Request.m_Bidding = false;
    ++Request.m_SlotCount;
    GrantedSlot Slot;
    Slot.m_Upstream = UpstreamId(1);
    Slot.m_CanResume = Detail % 4 != 0;
    Slot.m_ValidFor = 2s;
    deliver(Index, Granted{Slot});
  }

  /// The write may take effect although its reply is lost.
  void answerClaim(int Index, std::uint32_t Detail) {
    m_Requests[Index].m_Claiming = false;
    ClaimStatus Status = ClaimStatus::Unavailable;
    if (Detail % 4 == 2)
      Status = ClaimStatus::Uncertain;
    if (Detail % 4 != 0 && (Detail % 4 != 2 || (Detail & 8) != 0)) {
      const ClaimStatus Actual = m_Row.claim(Index);
      Status = Detail % 4 == 2 ? Status : Actual;
    }
    deliver(Index, ClaimAnswered{{Status, {}}});
  }

  void answerRecords(int Index, std::uint32_t Detail) {
    DrivenRequest &Request = m_Requests[Index];
    const bool Certain = Detail % 4 != 0;
    const bool Written = Certain || Detail % 8 == 0;
    if (Request.m_RecordingRan) {
      Request.m_RecordingRan = false;
      if (Written && m_Row.m_Owner == Index)
        m_Row.m_State = KeyRow::State::Ran;
      deliver(Index, EndRecorded{Certain});
    } else if (Request.m_RecordingNotRun) {
      Request.m_RecordingNotRun = false;
      if (Written && m_Row.m_State == KeyRow::State::Claimed &&
          m_Row.m_Owner == Index)
        m_Row = KeyRow();
      deliver(Index, EndRecorded{Certain});
    }
  }

  void receiveTokens(int Index, std::uint32_t Detail) {
    DrivenRequest &Request = m_Requests[Index];
    markStarted(Request);
    if (Request.m_Received >= AnswerTokens)
      return;
    const std::uint32_t Count =
        std::min(Detail % 3, AnswerTokens - Request.m_Received);
    Request.m_Received += Count;
    deliver(Index, TokensReceived{Count});
  }

  static void markStarted(DrivenRequest &Request) {
    Request.m_RunCount += Request.m_CallStarted ? 0 : 1;
    Request.m_CallStarted = true;
  }

  void endCall(int Index, std::uint32_t Detail) {
    DrivenRequest &Request = m_Requests[Index];
    CallEnd End = CallEnd::Complete;
    if (Request.m_Received < AnswerTokens) {
      constexpr CallEnd Unsent[] = {CallEnd::ConnectFailed, CallEnd::Withheld,
                                    CallEnd::Busy, CallEnd::Draining};
      if (!Request.m_CallStarted && Detail % 2 == 0)
        End = Unsent[Detail / 2 % 4];
      else
        End = Request.m_CallStarted ? CallEnd::ClosedMidStream
                                    : CallEnd::ClosedBeforeByte;
    }
    // The call may have run although no byte of an answer was received.
    if (End == CallEnd::ClosedBeforeByte)
      markStarted(Request);
    Request.m_Calling = false;
    deliver(Index, CallEnded{End});
  }

  void deliver(int Index, const RequestEvent &Event) {
    std::vector<RequestAction> Actions;
    m_Requests[Index].m_Core.handle(Event, m_Now, Actions);
    for (const RequestAction &Action : Actions)
      std::visit([&](const auto &Typed) { apply(m_Requests[Index], Typed); },
                 Action);
  }

  static void apply(DrivenRequest &Request, const PlaceBid &Action) {
    RC_ASSERT(Request.m_FinalAnswers == 0);
    RC_ASSERT(!Request.m_Bidding);
    RC_ASSERT(Action.m_DoneTokens == Request.m_Received);
    Request.m_Bidding = true;
  }
  static void apply(DrivenRequest &Request, const WithdrawBid &) {
    Request.m_Bidding = false;
  }
  static void apply(DrivenRequest &, const ReportFirstToken &) {}
  static void apply(DrivenRequest &Request, const ReleaseSlot &) {
    --Request.m_SlotCount;
  }
  static void apply(DrivenRequest &Request, const RequestClaim &) {
    Request.m_Claiming = true;
  }
  static void apply(DrivenRequest &Request, const ReadClaim &) {
    Request.m_Reading = true;
  }
  static void apply(DrivenRequest &Request, const RecordNotRun &) {
    Request.m_RecordingNotRun = true;
  }
  static void apply(DrivenRequest &Request, const RecordRan &) {
    Request.m_RecordingRan = true;
  }
  void apply(DrivenRequest &Request, const SendCall &Action) const {
    RC_ASSERT(Request.m_FinalAnswers == 0); // No caller would get the answer.
    RC_ASSERT(!Request.m_Calling);
    RC_ASSERT(Request.m_SlotCount == 1);
    RC_ASSERT(m_Repeatable || Action.m_SendDeadline > m_Now);
    RC_ASSERT(Action.m_ResumeTokens == 0 || Action.m_Slot.m_CanResume);
    if (Request.m_Streamed)
      RC_ASSERT(Action.m_ResumeTokens == Request.m_Received);
    if (Action.m_ResumeTokens == 0)
      Request.m_Received = 0;
    Request.m_Calling = true;
    Request.m_CallStarted = false;
  }
  static void apply(DrivenRequest &Request, const CancelCall &) {
    RC_ASSERT(Request.m_Calling);
    markStarted(Request);
    Request.m_Calling = false;
  }
  static void apply(DrivenRequest &Request, const WakeAfter &) {
    Request.m_Waking = true;
  }
  static void apply(DrivenRequest &Request, const Refuse &Action) {
    ++Request.m_FinalAnswers;
    Request.m_AnsweredNotRun = Action.m_State == RunState::NotRun;
    RC_ASSERT(!Request.m_CallerGone);
    RC_ASSERT(!Request.m_Streamed || Request.m_Received == 0);
  }
  static void apply(DrivenRequest &Request, const ReplayAnswer &) {
    ++Request.m_FinalAnswers;
  }
  static void apply(DrivenRequest &Request, const FinishAnswer &) {
    ++Request.m_FinalAnswers;
    Request.m_Complete = true;
  }
  static void apply(DrivenRequest &Request, const CutAnswer &) {
    ++Request.m_FinalAnswers;
  }
  static void apply(DrivenRequest &Request, const DropAnswer &) {
    ++Request.m_FinalAnswers;
    RC_ASSERT(Request.m_CallerGone);
  }
  static void apply(DrivenRequest &, const CountRetry &) {}

  bool m_Repeatable;
  TimePoint m_Now{1s};
  KeyRow m_Row;
  std::vector<DrivenRequest> m_Requests;
};

void checkInvariants(const char *Name, bool Repeatable) {
  const bool Passed = rc::check(Name, [Repeatable](bool Streamed) {
    const auto Choices =
        *rc::gen::resize(400, rc::gen::container<std::vector<std::uint32_t>>(
                                  rc::gen::arbitrary<std::uint32_t>()));
    Simulation Sim(Repeatable, Streamed);
    for (const std::uint32_t Choice : Choices) {
      Sim.step(Choice);
      Sim.check();
      if (Sim.isOver()) { // The other events go to two new requests.
        Sim.checkEnded();
        Sim = Simulation(Repeatable, Streamed);
      }
    }
    Sim.settle();
    Sim.check();
    Sim.checkEnded();
  });
  BOOST_TEST(Passed);
}

} // namespace

// Two requests with the same key, through two entries or as a retry, while
// replies to claims are lost, grants expire, upstreams close and callers close
// their connections. The call runs at most once, "not run" is true, and each
// caller gets one final answer, because a claim is owned by one attempt, is
// never taken over, and is released before "not run" is answered.
BOOST_AUTO_TEST_CASE(KeyedCallRunsAtMostOnce) {
  checkInvariants("keyed call runs at most once", false);
}

// An engine closes mid-stream, refuses the call, or its slot is preempted. The
// caller gets one answer without a gap or duplicate, or one that ends with an
// error event, because each further call resumes after the tokens that the
// caller has.
BOOST_AUTO_TEST_CASE(RepeatableAnswerIsWhole) {
  checkInvariants("repeatable answer is whole", true);
}
