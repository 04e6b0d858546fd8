/// What "POST /placement" reads and writes, and explanations of requests
/// against the requests that follow them.
#define BOOST_TEST_MODULE placement_report
#include "ctl/place.h"
#include "gateway/placement_report.h"
#include "unit/captured_log.h"
#include "unit/forwarded_request_env.h"

#include <nlohmann/json.hpp>

using namespace crowstep;
using namespace crowstep::test;
using crowstep::ctl::placementCall;
using Json = nlohmann::json;

namespace {

IncomingRequest request(HeaderList More = {}) {
  IncomingRequest Result{
      "POST", "/p/x?y=1", {{"Host", "h"}, {"Call-Id", Id}}, "body"};
  Result.m_Headers.insert(Result.m_Headers.end(), More.begin(), More.end());
  return Result;
}

/// As that of TestEnv.
RouteTablePtr table(const RouteKind &Kind,
                    const std::vector<ServiceShare> &Services = {{"s", 1}},
                    const std::vector<WorkspaceEntry> &Workspaces = {}) {
  RouteTableData Data;
  Route Only;
  Only.m_Name = "r";
  Only.m_Host = "h";
  Only.m_Prefix = "/p/";
  Only.m_Kind = Kind;
  Only.m_Timeout = 6s;
  Only.m_Target = 600ms;
  Only.m_Services = Services;
  Data.m_Routes = {Only};
  Data.m_Workspaces = Workspaces;
  return std::make_shared<RouteTable>(std::move(Data));
}

Json report(TestEnv &Env, const IncomingRequest &Request,
            const RouteTablePtr &Table) {
  return Json::parse(writePlacementReport(
      PlacementExplainer(Env.m_Context).explain(Request, Table), 40ms));
}

/// Explains a request at a moment, starts it, and checks that its first attempt
/// is what was stated, and that the explanation changed no metric and wrote no
/// log line. Returns the explanation of its service.
Json explainAndRun(const RouteKind &Kind, const HeaderList &More,
                   const UpstreamKind &Upstreams,
                   const std::function<void(TestEnv &)> &Prepare) {
  Json Result;
  TestEnv Env(Kind, 2, More, Upstreams, {}, [&](TestEnv &Prepared) {
    Prepare(Prepared);
    const CapturedLog Log;
    const std::string Metrics = Prepared.m_Metrics.text();
    const RouteTablePtr Table = table(Kind);
    Result = report(Prepared, request(More), Table)["services"][0];
    BOOST_TEST(report(Prepared, request(More), Table)["services"][0] == Result);
    BOOST_TEST(Prepared.m_Metrics.text() == Metrics);
    BOOST_TEST(Log.read().empty());
    BOOST_TEST(Prepared.m_WaitQueue.size() == 0U);
  });
  const std::string Outcome = Result["outcome"];
  BOOST_TEST(Env.calls() == (Outcome == "placed" ? 1U : 0U));
  BOOST_TEST(Env.m_WaitQueue.size() == (Outcome == "waits" ? 1U : 0U));
  BOOST_TEST(Env.m_Record.m_Answers.size() == (Outcome == "refused" ? 1U : 0U));
  if (Outcome == "placed")
    BOOST_TEST(Env.upstreamOf(0) == Result["upstream"].get<std::string>());
  if (Outcome == "refused")
    BOOST_TEST(Env.answer().m_Body.find(Result["reason"].get<std::string>()) !=
               std::string::npos);
  return Result;
}

const UpstreamKind OneSlot = Engine{1, {}, true, true};

const HeaderList Prompt = {{"Call-Prompt", "5000"}};

} // namespace

/// Guards against an explanation that differs from the request's first attempt
/// because the request goes through more than the placement: its wait, a pause,
/// and waiting by prediction.
BOOST_AUTO_TEST_CASE(ARequestDoesWhatWasExplained) {
  const auto Nothing = [](TestEnv &) {};
  const auto Full = [](TestEnv &Env) { Env.takeAllSlots(); };
  const auto Predicting = [](TestEnv &Env) {
    Env.m_Context.m_WaitPolicy = &Env.m_WaitPolicy;
  };
  const auto PauseFor = [](Duration Span) {
    return [Span](TestEnv &Env) {
      balance::PlacementQuery Query;
      Query.m_Service = "s";
      for (int I = 0; I < 3; ++I) {
        const auto At = std::get<balance::Placed>(
            Env.m_Balancer.place(Query, Env.m_Clock.now()));
        Env.m_Balancer.recordPause(At.m_Ticket, Span, Env.m_Clock.now());
        Env.m_Balancer.recordCallEnd(At.m_Ticket, balance::CallOutcome::Dropped,
                                     Env.m_Clock.now());
      }
    };
  };
  BOOST_TEST(
      explainAndRun(AtMostOnce, {}, PlainService{4}, Nothing).at("outcome") ==
      "placed");
  BOOST_TEST(
      explainAndRun(Resumable, Prompt, Engine{4, {}, true, true}, Nothing)
          .at("outcome") == "placed");
  const Json Waits = explainAndRun(Resumable, Prompt, OneSlot, Full);
  BOOST_TEST(Waits.at("outcome") == "waits");
  BOOST_TEST(Waits.at("reason") == "no_slot");
  const Json Short =
      explainAndRun(AtMostOnce, {}, PlainService{4}, PauseFor(100ms));
  BOOST_TEST(Short.at("outcome") == "waits");
  BOOST_TEST(Short.at("reason") == "upstream_paused");
  const Json Long =
      explainAndRun(AtMostOnce, {}, PlainService{4}, PauseFor(3s));
  BOOST_TEST(Long.at("outcome") == "refused");
  BOOST_TEST(Long.at("retry_after_ms") >= 3000);
  const Json Queued =
      explainAndRun(Resumable, Prompt, Engine{4, {}, true, true},
                    [](TestEnv &Env) { Env.queuePrefill(); });
  BOOST_TEST(Queued.at("reason") == "target_unreachable");
  BOOST_TEST(Queued.at("candidates")[0].at("verdict") == "wait_too_long");
  BOOST_TEST(
      explainAndRun(Resumable, Prompt, OneSlot, Predicting).at("outcome") ==
      "placed");
  BOOST_TEST(explainAndRun(Resumable, Prompt, OneSlot, [&](TestEnv &Env) {
               Predicting(Env);
               Full(Env);
             }).contains("reason"));
}

/// Guards against explanations that count as arrivals of their workspace, or
/// that change when calls are expected to be placed.
BOOST_AUTO_TEST_CASE(ExplanationsDontChangePredictions) {
  const PoolId Pool = poolIdOf("s", 0);
  const auto WaitAfter = [&](int Explanations) {
    TestEnv Env(Resumable, 2, Prompt, OneSlot);
    Env.m_Context.m_WaitPolicy = &Env.m_WaitPolicy;
    waiting::Backlog &Backlog = Env.m_Balancer.backlog();
    const std::vector<waiting::WaitingCalls> Report = {
        {Pool, {waiting::CallGroup::InTime, 0}, 50, 5},
        {Pool, {waiting::CallGroup::AtOnce, 0}, 0, 30}};
    Backlog.recordPlaced(Pool, Report[0].m_Standing, Env.m_Clock.now());
    for (int I = 0; I < 4; ++I)
      Env.m_WaitPolicy.workspaces().recordArrival(Pool, "other",
                                                  Env.m_Clock.now());
    Env.m_Clock.advance(1200ms);
    for (int I = 0; I < Explanations; ++I)
      report(Env, request(Prompt), table(Resumable));
    BOOST_TEST(
        !Env.m_WaitPolicy.workspaces().isHeavy(Pool, "", Env.m_Clock.now()));
    Env.m_Clock.advance(500ms);
    Backlog.applyReport(InstanceId(2), Report, Env.m_Clock.now());
    return Backlog.predictedWait(Pool, {waiting::CallGroup::InTime, 0}, 10,
                                 Env.m_Clock.now());
  };
  BOOST_TEST((WaitAfter(0) > 0s && WaitAfter(0) < 60s));
  BOOST_TEST((WaitAfter(50) == WaitAfter(0)));
}

/// Guards against a stream that is explained as a new one: it needs the version
/// that began it.
BOOST_AUTO_TEST_CASE(ResumedStreamsNeedTheirVersion) {
  const HeaderList Resumes = {{"Call-After", "3"}, {"Call-Resumes", "first"}};
  TestEnv Env(Resumable);
  const RouteTablePtr Table = table(Resumable);
  Json At = report(Env, request(Resumes), Table)["services"][0];
  BOOST_TEST(At["origin"] == "sole_version");
  BOOST_TEST(At["outcome"] == "placed");
  Env.m_Origins.m_Known[resume::streamKeyOf("", "first")] = {
      "s", SoftwareVersion("0.9")};
  At = report(Env, request(Resumes), Table)["services"][0];
  BOOST_TEST(At["origin"] == "known_here");
  BOOST_TEST(At["reason"] == "software_gone");
  BOOST_TEST(At["candidates"][0]["verdict"] == "other_version");
  Env.m_Origins.m_Known.clear();
  const RouteTablePtr Two = table(Resumable, {{"s", 3}, {"t", 1}});
  At = report(Env, request(Resumes), Two)["services"][1];
  BOOST_TEST(At["origin"] == "unknown");
  BOOST_TEST(At["reason"] == "origin_unknown");
  BOOST_TEST(Env.m_Origins.m_Asked.empty());
}

/// Guards against reports without a part of the page's list: refusals before
/// placement, services without upstreams, and what the answer is based on.
BOOST_AUTO_TEST_CASE(ReportsStateWhatTheyAreBasedOn) {
  TestEnv Env(AtMostOnce);
  Env.m_Balancer.applyPeerDigest(InstanceId(4), {}, Env.m_Clock.now());
  Env.m_Balancer.applyPeerDigest(InstanceId(5), {}, Env.m_Clock.now());
  Env.m_Clock.advance(600ms);
  Env.m_Balancer.applyPeerDigest(InstanceId(5), {}, Env.m_Clock.now());
  const RouteTablePtr Table = table(AtMostOnce, {{"s", 3}, {"t", 1}});
  Json Found = report(Env, request(), Table);
  BOOST_TEST(Found["outcome"] == "admitted");
  BOOST_TEST(Found["route"] == "r");
  BOOST_TEST(Found["digests"] == 2);
  BOOST_TEST(Found["oldest_digest_ms"] == 600);
  BOOST_TEST(Found["upstreams_age_ms"] == 40);
  BOOST_TEST(Found["services"][0]["share"] == 0.75);
  BOOST_TEST(Found["services"][0]["candidate_count"] == 3);
  BOOST_TEST(Found["services"][1]["reason"] == "no_upstream");
  Env.m_Clock.advance(600ms);
  BOOST_TEST(report(Env, request(), Table)["digests"] == 1);
  const auto ReasonOf = [&](const IncomingRequest &Request,
                            const RouteTablePtr &At) {
    const Json Refused = report(Env, Request, At);
    BOOST_TEST(Refused["outcome"] == "refused");
    BOOST_TEST(Refused["services"].empty());
    return Refused["reason"].get<std::string>();
  };
  BOOST_TEST(ReasonOf(request(), nullptr) == "not_in_force");
  IncomingRequest Elsewhere = request();
  Elsewhere.m_Target = "/q/";
  BOOST_TEST(ReasonOf(Elsewhere, Table) == "unknown_path");
  const RouteTablePtr Keyed =
      table(AtMostOnce, {{"s", 1}}, {{"w", {"key"}, std::nullopt}});
  BOOST_TEST(ReasonOf(request(), Keyed) == "missing_key");
  BOOST_TEST(report(Env, request({{"Call-Key", "key"}}), Keyed)["workspace"] ==
             "w");
}

/// Guards against bodies that are taken for a query although a part is missing
/// or of another type.
BOOST_AUTO_TEST_CASE(MalformedQueriesAreRejected) {
  const Json Good = {{"method", "POST"},
                     {"path", "/p/"},
                     {"headers", Json::parse(R"([["Host","h"],["Host","i"]])")},
                     {"body", ""}};
  const auto Read = readPlacementQuery(Good.dump());
  BOOST_REQUIRE(std::holds_alternative<IncomingRequest>(Read));
  BOOST_TEST(std::get<IncomingRequest>(Read).m_Headers.size() == 2U);
  std::vector<std::string> Bad = {
      "", "{", "[]", "null", "\"x\"", Good.dump() + "x", "\xff"};
  for (const char *Name : {"method", "path", "headers", "body"}) {
    Json Without = Good;
    Without.erase(Name);
    Bad.push_back(Without.dump());
    for (const Json &Other : {Json(1), Json(), Json::object()}) {
      Json Changed = Good;
      Changed[Name] = Other;
      Bad.push_back(Changed.dump());
    }
  }
  for (const Json &Pair : {Json("x"), Json{"x"}, Json{"x", 1},
                           Json{"x", "y", "z"}, Json{{"x", "y"}}}) {
    Json Changed = Good;
    Changed["headers"] = Json::array({Pair});
    Bad.push_back(Changed.dump());
  }
  for (const std::string &Body : Bad)
    BOOST_TEST(std::holds_alternative<std::string>(readPlacementQuery(Body)),
               Body);
}

/// Guards against files that are sent though they hold no request, and against
/// a request that loses a header of two or a part of its body.
BOOST_AUTO_TEST_CASE(FilesAreReadAsRequests) {
  const std::string Head = "POST /p/x?y=1 HTTP/1.1\r\nHost: h\r\nA: 1\r\n";
  const Json Sent =
      Json::parse(placementCall(Head + "A: 2\r\n\r\nb\r\n\r\nc").m_Body);
  BOOST_TEST(Sent["method"] == "POST");
  BOOST_TEST(Sent["path"] == "/p/x?y=1");
  BOOST_TEST(Sent["headers"].dump() == R"([["Host","h"],["A","1"],["A","2"]])");
  BOOST_TEST(Sent["body"] == "b\r\n\r\nc");
  BOOST_TEST(Json::parse(placementCall("GET / HTTP/1.1\nHost: h\n\nb").m_Body)
                 .at("body") == "b");
  BOOST_TEST(
      Json::parse(placementCall(Head + "Content-Length: 2\r\n\r\nbc\n").m_Body)
          .at("body") == "bc");
  for (const std::string &Bad :
       {std::string(), std::string("text\n\n"), Head,
        std::string("GET /\r\n\r\n"), Head + "no header\r\n\r\n",
        Head + "\r\n\xff", Head + "Content-Length: 9\r\n\r\nb",
        Head + "Content-Length: x\r\n\r\nb",
        Head + "Transfer-Encoding: chunked\r\n\r\n9\r\nb"})
    BOOST_TEST_CONTEXT(Bad)
  BOOST_CHECK_THROW(placementCall(Bad), ctl::RequestFileError);
}

/// Guards against a table that leaves out the outcome or its reason, and
/// against an answer of something else that is printed as one.
BOOST_AUTO_TEST_CASE(AnswersArePrintedAsText) {
  TestEnv Env(AtMostOnce);
  const auto TextOf = [&](const RouteTablePtr &Table) {
    return ctl::placementText(report(Env, request(), Table).dump());
  };
  const auto Has = [](const std::string &Text, const std::string &Part) {
    BOOST_TEST(Text.find(Part) != std::string::npos, Part << " in " << Text);
  };
  const std::string Text = TextOf(table(AtMostOnce, {{"s", 3}, {"t", 1}}));
  Has(Text, "admitted: route r");
  Has(Text, "service s, 0.75 of the calls: placed at u2");
  Has(Text, "u2        a     chosen");
  Has(Text, "service t, 0.25 of the calls: refused: no_upstream, retry after "
            "500 ms");
  Has(TextOf(nullptr), "refused: not_in_force");
  for (const char *Other : {"", "[]", "{}", R"({"services":[{}]})"})
    BOOST_CHECK_THROW(ctl::placementText(Other), ctl::PlacementUnanswered);
}
