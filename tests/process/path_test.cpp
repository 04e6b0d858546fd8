/// End-to-end requests through real processes: plain, streamed and keyed calls,
/// and each kind of answer.
#define BOOST_TEST_MODULE path
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// Returns the fleet that all test cases of this file share.
Fleet &fleet() {
  static Fleet Shared({});
  static const bool Started = (Shared.start(), true);
  (void)Started;
  return Shared;
}

} // namespace

BOOST_AUTO_TEST_CASE(PlainAndStreamedAnswersAreWhole) {
  for (std::size_t Index = 0; Index < 3; ++Index)
    for (const bool Streamed : {false, true}) {
      const CallResult Answer =
          fleet().caller().call(fleet().chatCall(Index, "guide", 25, Streamed));
      BOOST_TEST(Answer.m_Status == 200U);
      BOOST_TEST(Answer.m_Run == "run");
      BOOST_TEST(isCompleteAnswer(Answer.completionText(), 25), Answer.m_Body);
      BOOST_TEST(Answer.isStreamComplete() == Streamed);
    }
}

BOOST_AUTO_TEST_CASE(PlainServiceAnswersThroughEveryEntry) {
  for (std::size_t Index = 0; Index < 3; ++Index) {
    const CallResult Answer = fleet().caller().call(
        fleet().deskCall(Index, "check", "", "{\"pass\":1}"));
    BOOST_TEST(Answer.m_Status == 200U, Answer.m_Body);
    BOOST_TEST(Answer.m_Run == "run");
  }
}

// A caller sends the same idempotency key again through other entries: it gets
// the first answer, and the upstream has run the call once.
BOOST_AUTO_TEST_CASE(RepeatedKeyGetsTheFirstAnswer) {
  const CallResult First = fleet().caller().call(
      fleet().deskCall(0, "hold", "path-1", "{\"seat\":1}"));
  BOOST_TEST(First.m_Status == 200U, First.m_Body);
  for (std::size_t Index = 0; Index < 3; ++Index) {
    const CallResult Again = fleet().caller().call(
        fleet().deskCall(Index, "hold", "path-1", "{\"seat\":1}"));
    BOOST_TEST(Again.m_Status == 200U);
    BOOST_TEST(Again.m_Run == "run");
    BOOST_TEST(Again.m_Body == First.m_Body);
  }
  std::size_t Ran = 0;
  for (const RecordedCall &Record : fleet().recordedCalls("desk"))
    Ran += Record.m_IdempotencyKey.find("path-1") != std::string::npos ? 1 : 0;
  BOOST_TEST(Ran == 1U);
}

// Reuse of a key with a different body is the caller's error: the request is
// refused, does not get the first request's answer, and does not run.
BOOST_AUTO_TEST_CASE(KeyWithAnotherBodyIsRefused) {
  fleet().caller().call(fleet().deskCall(0, "hold", "path-2", "{\"seat\":1}"));
  const CallResult Other = fleet().caller().call(
      fleet().deskCall(1, "hold", "path-2", "{\"seat\":2}"));
  BOOST_TEST(Other.m_Status == 422U);
  BOOST_TEST(Other.errorCode() == "key_reused");
  BOOST_TEST(Other.m_Run == "not-run");
}

// A workspace that uses the key of another one must not get its answer: keys
// are separate by workspace, and its own call runs.
BOOST_AUTO_TEST_CASE(WorkspacesDoNotShareKeys) {
  const CallResult Mine = fleet().caller().call(
      fleet().deskCall(0, "hold", "path-3", "{\"seat\":1}"));
  Call Theirs = fleet().deskCall(1, "hold", "path-3", "{\"seat\":1}");
  Theirs.m_Headers["Authorization"] = "Bearer other-workspace-key";
  const CallResult Other = fleet().caller().call(Theirs);
  BOOST_TEST(Other.m_Status == 200U);
  BOOST_TEST(Other.m_Body != Mine.m_Body);
}

BOOST_AUTO_TEST_CASE(BadInputIsATypedRefusalAndNothingRuns) {
  const std::size_t RanBefore = fleet().recordedCalls("writer").size() +
                                fleet().recordedCalls("desk").size();
  struct InputCase {
    const char *m_Code;                        ///< Expected.
    unsigned m_Status;                         ///< Expected.
    std::function<void(Call &)> m_MakeInvalid; ///< Makes a valid call invalid.
  };
  const InputCase Cases[] = {
      {"malformed_body", 400, [](Call &C) { C.m_Body = "{\"messages\":"; }},
      {"malformed_body", 400, [](Call &C) { C.m_Body = "{\"a\":\"\xff\"}"; }},
      {"wrong_content_type", 415,
       [](Call &C) { C.m_Headers["Content-Type"] = "text/plain"; }},
      {"body_too_large", 413, [](Call &C) { C.m_Body.append(9U << 20U, ' '); }},
      {"unknown_class", 404,
       [](Call &C) { C.m_Headers["Crowstep-Class"] = "none"; }},
      {"missing_key", 401, [](Call &C) { C.m_Headers.erase("Authorization"); }},
      {"unknown_key", 401,
       [](Call &C) { C.m_Headers["Authorization"] = "Bearer wrong"; }},
      {"unknown_path", 404, [](Call &C) { C.m_Path = "/v1/nothing"; }},
      {"header_too_large", 431,
       [](Call &C) { C.m_Headers["X-Long"] = std::string(20000, 'x'); }},
  };
  for (const InputCase &Case : Cases) {
    Call Bad = fleet().chatCall(0, "guide", 5, false);
    Case.m_MakeInvalid(Bad);
    const CallResult Answer = fleet().caller().call(Bad);
    BOOST_TEST(Answer.m_Status == Case.m_Status, Case.m_Code);
    BOOST_TEST(Answer.errorCode() == Case.m_Code);
    BOOST_TEST(Answer.m_Run == "not-run", Case.m_Code);
  }
  const CallResult NoKey =
      fleet().caller().call(fleet().deskCall(0, "hold", "", "{\"seat\":1}"));
  BOOST_TEST(NoKey.errorCode() == "key_required");
  BOOST_TEST(fleet().recordedCalls("writer").size() +
                 fleet().recordedCalls("desk").size() ==
             RanBefore);
  const CallResult Good =
      fleet().caller().call(fleet().chatCall(0, "guide", 5, false));
  BOOST_TEST(Good.m_Status == 200U);
}

// Readers of logs may not be entitled to see the content of requests: logs must
// not contain keys, prompts or answers.
BOOST_AUTO_TEST_CASE(NoSecretPromptOrAnswerInAnyLog) {
  fleet().caller().call(
      fleet().chatCall(0, "guide", 5, true, "a-very-private-prompt"));
  const std::string Logs = fleet().logs();
  for (const char *Secret : {"workspace-key", "a-very-private-prompt",
                             "link-key-of-tests", "operator-key", "t0."})
    BOOST_TEST(Logs.find(Secret) == std::string::npos, Secret);
}
