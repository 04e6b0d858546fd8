/// One stream through the gateway while upstreams of several software versions
/// serve.
#define BOOST_TEST_MODULE stream_origin
#include "resume/stream_origins.h"
#include "unit/versioned_env.h"

using namespace crowstep;
using namespace crowstep::test;
using resume::LookupResult;
using resume::StreamOrigin;
using resume::StreamOrigins;

namespace {

HeaderList resumesAfter(int Event, const std::string &Attempt) {
  return {{"Call-After", std::to_string(Event)}, {"Call-Resumes", Attempt}};
}

/// A stream of a caller that resumes it after event 3.
struct ResumeEnv : TestEnv {
  explicit ResumeEnv(const std::vector<SoftwareVersion> &Versions,
                     const HeaderList &Headers = resumesAfter(3, "first"))
      : TestEnv(Resumable, 3, Headers, PlainService{4}, {},
                withVersions(Versions)) {}

  void answerLookup(const LookupResult &Result) {
    const auto OnDone = std::move(m_Origins.m_OnDone);
    OnDone(Result);
  }
  [[nodiscard]] std::string versionOf(std::size_t Index) {
    return m_Balancer.findUpstream(upstreamIdOf(upstreamOf(Index)))
        ->m_Software.text();
  }
};

} // namespace

// Guards against a first event that outruns the record of its version.
BOOST_AUTO_TEST_CASE(TheOriginIsRecordedBeforeTheFirstEvent) {
  TestEnv Env(Resumable, 3, {}, PlainService{4}, {},
              withVersions({Old, Old, Old}));
  bool WasFirst = false;
  Env.m_Origins.m_OnRecord = [&] { WasFirst = Env.m_Record.m_Stream.empty(); };
  Env.sendGoodHeaders(0);
  BOOST_TEST(Env.m_Origins.m_Records.empty());
  Env.sendBytes(0, event(1));
  BOOST_TEST(WasFirst);
  BOOST_TEST(Env.m_Record.m_Stream == event(1));
  BOOST_REQUIRE(Env.m_Origins.m_Records.size() == 1U);
  const resume::StreamRecord &Record = Env.m_Origins.m_Records[0];
  BOOST_TEST((Record.m_Key == resume::streamKeyOf("", Id)));
  BOOST_TEST((Record.m_Origin == StreamOrigin{"s", Old}));
  BOOST_TEST((Record.m_Lifetime > 6s));
  Env.sendBytes(0, event(2));
  BOOST_TEST(Env.m_Origins.m_Records.size() == 1U);
}

// Guards against an upstream whose version turns out to be contradictory
// between placement and first byte.
BOOST_AUTO_TEST_CASE(TheVersionIsCheckedBeforeTheFirstByte) {
  ResumeEnv Env({Old, New, New});
  Env.answerLookup({StreamOrigin{"s", Old}, 1, 0});
  BOOST_REQUIRE(Env.calls() == 1U);
  BOOST_TEST(Env.call(0).m_Send.m_SendCheck());
  withVersions({SoftwareVersion(), New, New})(Env);
  BOOST_TEST(!Env.call(0).m_Send.m_SendCheck());
}

// Guards against a version that the directory has corrected between placement
// and first event.
BOOST_AUTO_TEST_CASE(TheVersionStatedAtTheFirstEventCounts) {
  for (const bool IsStatedLate : {true, false}) {
    TestEnv Env(Resumable, 3, {}, PlainService{4}, {},
                withVersions(std::vector<SoftwareVersion>(
                    3, IsStatedLate ? SoftwareVersion() : Old)));
    int Reports = 0;
    Env.m_Context.m_OnUnproven = [&](const std::string &) { ++Reports; };
    Env.sendGoodHeaders(0);
    withVersions({New, New, New})(Env);
    Env.sendBytes(0, event(1));
    BOOST_TEST(Reports == (IsStatedLate ? 0 : 1));
    BOOST_REQUIRE(Env.m_Origins.m_Records.size() == 1U);
    BOOST_TEST((Env.m_Origins.m_Records[0].m_Origin.m_Software.text() ==
                (IsStatedLate ? "v2" : "")));
  }
}

// Guards against a stream that is taken for one of the sole version, as its
// upstream was removed before its first event, and against records where
// upstreams state no versions or streams can't be resumed.
BOOST_AUTO_TEST_CASE(AStreamOfARemovedUpstreamIsRecorded) {
  for (const bool IsRemoved : {true, false}) {
    TestEnv Env(Resumable, 3, {}, PlainService{4}, {},
                withVersions(std::vector<SoftwareVersion>(3)));
    Env.sendGoodHeaders(0);
    if (IsRemoved)
      Env.setUpstreams({});
    Env.sendBytes(0, event(1));
    BOOST_TEST(Env.m_Origins.m_Records.size() == (IsRemoved ? 1U : 0U));
  }
  TestEnv Once(NotResumable, 3, {}, PlainService{4}, {},
               withVersions({Old, Old, Old}));
  Once.sendGoodHeaders(0);
  Once.sendBytes(0, event(1));
  BOOST_TEST(Once.m_Origins.m_Records.empty());
}

// Guards against a listed version that is taken for that of a process which
// could not be proven, and against a report after the first event.
BOOST_AUTO_TEST_CASE(AnUnprovenProcessHasNoVersion) {
  int Reports = 0;
  const auto Prepare = [&](TestEnv &Made) {
    withVersions({Old, New, Old})(Made);
    Made.m_Codec.m_ChecksProcess = true;
    Made.m_Context.m_OnUnproven = [&](const std::string &) { ++Reports; };
  };
  TestEnv Begun(Resumable, 3, {}, PlainService{4}, {}, Prepare);
  BOOST_REQUIRE(Begun.call(0).m_Send.m_ProcessCheck.has_value());
  Begun.endCall(0, TransportEnd::Unproven);
  BOOST_TEST(Reports == 1);
  BOOST_REQUIRE(Begun.calls() == 2U);
  BOOST_TEST(!Begun.call(1).m_Send.m_ProcessCheck.has_value());
  Begun.sendGoodHeaders(1);
  Begun.sendBytes(1, event(1));
  BOOST_REQUIRE(Begun.m_Origins.m_Records.size() == 1U);
  BOOST_TEST(!Begun.m_Origins.m_Records[0].m_Origin.m_Software.isKnown());
  // A resumed stream goes to another upstream, and is sent only if proven.
  Reports = 0;
  TestEnv Resumed(Resumable, 3, resumesAfter(3, "first"), PlainService{4}, {},
                  Prepare);
  const auto OnDone = std::move(Resumed.m_Origins.m_OnDone);
  OnDone({StreamOrigin{"s", Old}, 1, 0});
  Resumed.endCall(0, TransportEnd::Unproven);
  BOOST_TEST(Reports == 0);
  BOOST_REQUIRE(Resumed.calls() == 2U);
  BOOST_TEST(Resumed.upstreamOf(1) != Resumed.upstreamOf(0));
  BOOST_TEST(Resumed.call(1).m_Send.m_ProcessCheck.has_value());
}

// Guards against a resumed stream that is placed before its version is known.
BOOST_AUTO_TEST_CASE(AResumedStreamWaitsForItsOrigin) {
  ResumeEnv Env({Old, New, Old});
  BOOST_TEST(Env.calls() == 0U);
  BOOST_REQUIRE(Env.m_Origins.m_Asked.size() == 1U);
  BOOST_TEST((Env.m_Origins.m_Asked[0] == resume::streamKeyOf("", "first")));
  Env.answerLookup({StreamOrigin{"s", New}, 5, 4});
  BOOST_REQUIRE(Env.calls() == 1U);
  BOOST_TEST(Env.upstreamOf(0) == "u1");
  BOOST_TEST(*findHeader(Env.call(0).m_Send.m_Headers, "Call-After") == "3");
  Env.sendGoodHeaders(0);
  Env.sendBytes(0, event(4));
  // The next attempt names the same stream, and may outlive the first record.
  BOOST_REQUIRE(Env.m_Origins.m_Records.size() == 1U);
  BOOST_TEST(
      (Env.m_Origins.m_Records[0].m_Key == resume::streamKeyOf("", "first")));
}

// Guards against a question to others for what this instance knows.
BOOST_AUTO_TEST_CASE(AKnownOriginIsUsedAtOnce) {
  const auto Prepare = [](TestEnv &Env) {
    withVersions({New, Old, New})(Env);
    Env.m_Origins.m_Known[resume::streamKeyOf("", "first")] = {"s", Old};
  };
  TestEnv Env(Resumable, 3, resumesAfter(3, "first"), PlainService{4}, {},
              Prepare);
  BOOST_TEST(Env.m_Origins.m_Asked.empty());
  BOOST_TEST(Env.upstreamOf(0) == "u1");
}

// Guards against a stream that is continued on a guess.
BOOST_AUTO_TEST_CASE(AStreamOfUnknownOriginIsRefused) {
  ResumeEnv Certain({Old, Old, Old});
  Certain.answerLookup({std::nullopt, 6, 0});
  BOOST_TEST(Certain.calls() == 0U);
  BOOST_TEST(Certain.answer().m_Status == 503U);
  BOOST_TEST((Certain.answer().m_RunState == RunState::NotRun));
  BOOST_TEST(!Certain.answerHas("Retry-After"));
  ResumeEnv Uncertain({Old, Old, Old});
  Uncertain.answerLookup({std::nullopt, 6, 1});
  BOOST_TEST(Uncertain.answer().m_Status == 503U);
  BOOST_TEST(Uncertain.answerHas("Retry-After"));
}

// Guards against a resumed stream that waits for an upstream which won't come.
BOOST_AUTO_TEST_CASE(AStreamWhoseVersionIsGoneIsRefusedAtOnce) {
  ResumeEnv Env({New, New, SoftwareVersion()});
  Env.answerLookup({StreamOrigin{"s", Old}, 1, 0});
  BOOST_TEST(Env.calls() == 0U);
  BOOST_TEST(Env.answer().m_Status == 503U);
  BOOST_TEST((Env.answer().m_RunState == RunState::NotRun));
  const auto Count = [&](const char *Reason) {
    return Env.m_Metrics
        .counter("crowstep_refusals_total", {{"reason", Reason}})
        .value();
  };
  BOOST_TEST(Count("software_gone") == 1U);
  BOOST_TEST(Count("no_upstream") == 0U);
}

// Guards against attempts of a resumed stream that move to another version.
BOOST_AUTO_TEST_CASE(AllAttemptsOfAResumedStreamKeepItsVersion) {
  ResumeEnv Env({Old, New, Old});
  Env.answerLookup({StreamOrigin{"s", Old}, 1, 0});
  Env.refuseCall(0);
  BOOST_REQUIRE(Env.calls() == 2U);
  BOOST_TEST(Env.versionOf(0) == "v1");
  BOOST_TEST(Env.versionOf(1) == "v1");
  Env.refuseCall(1);
  BOOST_TEST(Env.calls() == 2U);
  BOOST_TEST(Env.answer().m_Status == 503U);
}

// Guards against a lookup that outlives its request.
BOOST_AUTO_TEST_CASE(ALookupEndsWithItsRequest) {
  ResumeEnv Left({Old, Old, Old});
  Left.m_Record.m_HasLeft = true;
  Left.m_Record.m_OnGone();
  BOOST_TEST(!Left.m_Origins.m_OnDone);
  BOOST_TEST(Left.m_Finished == 1);
  ResumeEnv Late({Old, Old, Old});
  Late.m_Timers.advance(6100ms);
  BOOST_TEST(!Late.m_Origins.m_OnDone);
  BOOST_TEST(Late.answer().m_Status == 504U);
  BOOST_TEST((Late.answer().m_RunState == RunState::NotRun));
}

// Guards against a resumed stream that is taken for a new one because a header
// is missing.
BOOST_AUTO_TEST_CASE(EitherHeaderMakesAResumedStream) {
  for (const HeaderList &Headers :
       {HeaderList{{"Call-Resumes", "first"}},
        HeaderList{{"Call-Resumes", Id}, {"Call-After", "3"}}}) {
    ResumeEnv Env({Old, New, Old}, Headers);
    BOOST_TEST(Env.calls() == 0U);
    BOOST_REQUIRE(Env.m_Origins.m_Asked.size() == 1U);
    Env.answerLookup({std::nullopt, 6, 0});
    BOOST_TEST(Env.answer().m_Status == 503U);
  }
}

// Guards against a guess for a caller that doesn't name its stream, and against
// a refusal where only one version can have begun it.
BOOST_AUTO_TEST_CASE(AnUnnamedStreamNeedsASoleVersion) {
  const HeaderList Unnamed = {{"Call-After", "3"}};
  ResumeEnv Sole({New, New, New}, Unnamed);
  BOOST_TEST(Sole.calls() == 0U); // Another one was listed before.
  TestEnv Always(Resumable, 3, Unnamed);
  BOOST_TEST(Always.calls() == 1U);
  BOOST_TEST(Always.m_Origins.m_Asked.empty());
  ResumeEnv Several({Old, New, Old}, Unnamed);
  BOOST_TEST(Several.calls() == 0U);
  BOOST_TEST(Several.answer().m_Status == 503U);
  ResumeEnv Unknown({SoftwareVersion(), SoftwareVersion()}, Unnamed);
  BOOST_TEST(Unknown.answer().m_Status == 503U);
}

// Guards against refusals after the loss of all instances where one version
// alone can have begun the stream.
BOOST_AUTO_TEST_CASE(ANamedStreamThatNobodyKnowsUsesTheSoleVersion) {
  TestEnv Env(Resumable, 3, resumesAfter(3, "first"));
  BOOST_TEST(Env.calls() == 0U);
  const auto OnDone = std::move(Env.m_Origins.m_OnDone);
  OnDone({std::nullopt, 6, 0});
  BOOST_REQUIRE(Env.calls() == 1U);
  Env.sendGoodHeaders(0);
  Env.sendBytes(0, event(4));
  BOOST_REQUIRE(Env.m_Origins.m_Records.size() == 1U);
  BOOST_TEST((Env.m_Origins.m_Records[0].m_Origin ==
              StreamOrigin{"s", SoftwareVersion("1.0")}));
}

// Guards against an instance that is cut off and takes the only version that it
// knows for the only one there is.
BOOST_AUTO_TEST_CASE(AnOldRegisterProvesNothing) {
  TestEnv Env(Resumable, 3, resumesAfter(3, "first"));
  Env.m_Context.m_IsRegisterCurrent = [] { return false; };
  const auto OnDone = std::move(Env.m_Origins.m_OnDone);
  OnDone({std::nullopt, 0, 0});
  BOOST_TEST(Env.calls() == 0U);
  BOOST_TEST(Env.answer().m_Status == 503U);
  BOOST_TEST(Env.answerHas("Retry-After"));
}

// Guards against the sole version for a stream that is known to have begun at
// an unknown one.
BOOST_AUTO_TEST_CASE(AnUnprovenStreamIsNotContinued) {
  TestEnv Env(Resumable, 3, resumesAfter(3, "first"));
  const auto OnDone = std::move(Env.m_Origins.m_OnDone);
  OnDone({StreamOrigin{"s", SoftwareVersion()}, 6, 0});
  BOOST_TEST(Env.calls() == 0U);
  BOOST_TEST(Env.m_Record.m_Answers.at(0).m_Status == 503U);
}

// Guards against a refusal for good before the register could be read.
BOOST_AUTO_TEST_CASE(WithoutTheRegisterCallersAreToldToRetry) {
  for (const HeaderList &Headers :
       {HeaderList{{"Call-After", "3"}}, resumesAfter(3, "first")}) {
    TestEnv Env(Resumable, 3, Headers, PlainService{4}, {}, [](TestEnv &Made) {
      Made.m_SoftwareHistory = SoftwareHistory();
    });
    if (Env.m_Origins.m_OnDone) {
      const auto OnDone = std::move(Env.m_Origins.m_OnDone);
      OnDone({std::nullopt, 6, 0});
    }
    BOOST_TEST(Env.calls() == 0U);
    BOOST_TEST(Env.answerHas("Retry-After"));
  }
}

// Guards against a version that is taken for the only one right after another
// one was removed.
BOOST_AUTO_TEST_CASE(ARemovedVersionCountsForAWhile) {
  const auto ListOf = [](const std::vector<SoftwareVersion> &Versions) {
    std::vector<Upstream> Result;
    for (const SoftwareVersion &Version : Versions) {
      Result.emplace_back();
      Result.back().m_Service = "s";
      Result.back().m_Software = Version;
    }
    return Result;
  };
  SoftwareHistory History;
  const TimePoint Begin{};
  const auto Sole = [&](Duration After) {
    return History.soleVersionOf("s", Begin + After);
  };
  BOOST_TEST(!Sole(0s).has_value());
  History.setRegister({{"s", {"v2"}}}, Begin);
  History.record(ListOf({Old, New}), Begin);
  BOOST_TEST(!Sole(1h).has_value());
  History.record(ListOf({New}), Begin + 1h);
  History.record(ListOf({New}), Begin + 1h + 1s);
  BOOST_TEST(!Sole(1h + SoftwareHistory::Memory - 1s).has_value());
  BOOST_REQUIRE(Sole(1h + SoftwareHistory::Memory).has_value());
  BOOST_TEST(Sole(1h + SoftwareHistory::Memory)->matches(New));
}

// Guards against plain calls that wait for the origin of a stream.
BOOST_AUTO_TEST_CASE(APlainCallIsNoResumedStream) {
  TestEnv Env(Idempotent, 3, resumesAfter(3, "first"));
  BOOST_TEST(Env.m_Origins.m_Asked.empty());
  BOOST_TEST(Env.calls() == 1U);
}

// Guards against callers that learn of other workspaces' streams.
BOOST_AUTO_TEST_CASE(WorkspacesDoNotShareStreams) {
  BOOST_TEST(
      (resume::streamKeyOf("w1", "a") != resume::streamKeyOf("w2", "a")));
  BOOST_TEST(
      (resume::streamKeyOf("w1", "a") != resume::streamKeyOf("w", "1a")));
  BOOST_TEST(
      (resume::streamKeyOf("w1", "a") == resume::streamKeyOf("w1", "a")));
}

// Guards against records that stay for good, or that end too early.
BOOST_AUTO_TEST_CASE(OriginsExpire) {
  StreamOrigins Origins;
  const resume::StreamKey Key = resume::streamKeyOf("w", "a");
  const TimePoint Begin{};
  Origins.record({Key, {"s", Old}, 10s}, Begin);
  Origins.record({Key, {"s", Old}, 5s}, Begin);
  BOOST_REQUIRE(Origins.find(Key, Begin + 9s) != nullptr);
  BOOST_TEST(Origins.find(Key, Begin + 10s) == nullptr);
  Origins.record({Key, {"s", Old}, 10s}, Begin + 5s);
  Origins.record({Key, {"s", New}, 0s}, Begin + 5s);
  Origins.expire(Begin + 12s);
  BOOST_TEST(Origins.find(Key, Begin + 14s) != nullptr);
  Origins.expire(Begin + 15s);
  BOOST_TEST(Origins.size() == 0U);
  // What has expired doesn't contradict.
  Origins.record({Key, {"s", Old}, 1s}, Begin);
  Origins.record({Key, {"s", New}, 1s}, Begin + 2s);
  BOOST_TEST(Origins.find(Key, Begin + 2s) != nullptr);
  Origins.expire(Begin + 3s);
  Origins.record({Key, {"s", Old}, 1000h}, Begin);
  Origins.expire(Begin + StreamOrigins::MaxLifetime);
  BOOST_TEST(Origins.size() == 0U);
}

// Guards against memory that grows with what callers send.
BOOST_AUTO_TEST_CASE(OriginsAreBounded) {
  StreamOrigins Origins;
  const TimePoint Begin{};
  const auto KeyOf = [](std::size_t I) {
    return resume::streamKeyOf("w", std::to_string(I));
  };
  for (std::size_t I = 0; I <= StreamOrigins::MaxStreams; ++I)
    Origins.record({KeyOf(I), {"s", Old}, 10s}, Begin + Duration(I));
  BOOST_TEST(Origins.size() == StreamOrigins::MaxStreams);
  BOOST_TEST(Origins.find(KeyOf(0), Begin + 1s) == nullptr);
  BOOST_TEST(Origins.find(KeyOf(StreamOrigins::MaxStreams), Begin + 1s) !=
             nullptr);
  const std::string Long(StreamOrigins::MaxNameBytes + 1, 'x');
  Origins.record(
      {resume::streamKeyOf("w", "long"), {"s", SoftwareVersion(Long)}, 10s},
      Begin + 1s);
  Origins.record({resume::streamKeyOf("w", "long"), {Long, Old}, 10s},
                 Begin + 1s);
  BOOST_TEST(Origins.find(resume::streamKeyOf("w", "long"), Begin + 1s) ==
             nullptr);
}

// Guards against an origin that says only half of what differs.
BOOST_AUTO_TEST_CASE(OriginsOfTwoServicesAreUnknown) {
  StreamOrigins Origins;
  const resume::StreamKey Key = resume::streamKeyOf("w", "a");
  const TimePoint Begin{};
  Origins.record({Key, {"s", Old}, 10s}, Begin);
  Origins.record({Key, {"t", Old}, 10s}, Begin);
  BOOST_TEST(Origins.find(Key, Begin + 1s) == nullptr);
  BOOST_TEST(Origins.findUnproven(Key, Begin + 1s) != nullptr);
  BOOST_TEST(Origins.findUnproven(Key, Begin + 10s) == nullptr);
}

// Guards against a version that is picked from two that were recorded.
BOOST_AUTO_TEST_CASE(ContradictoryOriginsAreUnknown) {
  StreamOrigins Origins;
  const resume::StreamKey Key = resume::streamKeyOf("w", "a");
  const TimePoint Begin{};
  Origins.record({Key, {"s", Old}, 10s}, Begin);
  Origins.record({Key, {"s", New}, 10s}, Begin);
  Origins.record({Key, {"s", Old}, 10s}, Begin);
  BOOST_TEST(Origins.find(Key, Begin + 1s) == nullptr);
  const resume::StreamKey Unproven = resume::streamKeyOf("w", "b");
  Origins.record({Unproven, {"s", Old}, 10s}, Begin);
  Origins.record({Unproven, {"s", SoftwareVersion()}, 10s}, Begin);
  BOOST_TEST(Origins.findUnproven(Unproven, Begin + 1s) != nullptr);
}

// Guards against an archive of all streams of a service for one process that
// can't prove its version, and against a guess about the streams it began.
BOOST_AUTO_TEST_CASE(AnUnprovenProcessIsNoFurtherVersion) {
  SoftwareHistory History;
  const TimePoint Now{1h};
  Upstream Listed;
  Listed.m_Service = "s";
  Listed.m_Software = SoftwareVersion("v1");
  History.record({Listed}, Now);
  History.setRegister({{"s", {"v1"}}}, Now);
  BOOST_TEST(History.soleVersionOf("s", Now).has_value());
  History.recordUnproven("s", Now);
  BOOST_TEST(History.mixedServices(Now).empty());
  BOOST_TEST(!History.soleVersionOf("s", Now).has_value());
  Listed.m_Software = SoftwareVersion("v2");
  History.record({Listed}, Now);
  BOOST_TEST(History.mixedServices(Now).contains("s"));
}
