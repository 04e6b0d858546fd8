/// The command that explains placements, against a real gateway.
#define BOOST_TEST_MODULE placement
#include "process/gateway_fleet.h"
#include "unit/broken_upstream.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

/// What a run of the command has left.
struct CommandResult {
  int m_ExitCode = -1; ///< -1: it could not be run, or a signal ended it.
  std::string m_Output;
  std::string m_Error;
};

CommandResult runPlace(const Address &Admin, const std::string &File,
                       const std::string &Option = "--") {
  std::string Program = std::string(CROWSTEP_BINARY_DIR) + "/crowstepctl";
  std::vector<std::string> Words = {Program, "--admin", toString(Admin),
                                    Option,  "place",   File};
  std::vector<char *> Arguments;
  Arguments.reserve(Words.size() + 1);
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  char *Output = nullptr;
  char *Error = nullptr;
  int Status = 0;
  CommandResult Result;
  if (g_spawn_sync(nullptr, Arguments.data(), nullptr, G_SPAWN_DEFAULT, nullptr,
                   nullptr, &Output, &Error, &Status, nullptr) != 0) {
    Result.m_ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
    Result.m_Output = Output;
    Result.m_Error = Error;
  }
  g_free(Output);
  g_free(Error);
  return Result;
}

struct PlacementFixture {
  TemporaryFolder m_Folder;
  Address m_StoreAddress = freeAddress();
  standin::StoreServer m_Store;
  GatewayConfig m_Config = makeGatewayConfig("edge-1", m_StoreAddress);
  Caller m_Caller;
  std::unique_ptr<Process> m_Gateway;

  PlacementFixture() {
    m_Store.listen(m_StoreAddress);
    const Json Manifest = {{"version", 1},
                           {"routes",
                            {{{"name", "plain"},
                              {"host", "h.example"},
                              {"prefix", "/plain/"},
                              {"routeKind", "non_idempotent"},
                              {"timeoutMs", 2000},
                              {"targetLatencyMs", 100},
                              {"priority", 0},
                              {"service", "s"},
                              {"maxAttempts", 1}}}},
                           {"services", {{{"name", "s"}}}},
                           {"tenants", {{{"name", "w"}, {"apiKeys", {"k"}}}}}};
    m_Store.put("op", "config", Manifest.dump());
    for (const char *Name : {"u-1", "u-2"})
      m_Store.put("servers", Name, upstreamRow(freeAddress(), 4, "ready"));
    m_Store.put("servers", "u-3", upstreamRow(freeAddress(), 4, "draining"));
    m_Gateway = std::make_unique<Process>(
        m_Folder, "crowstep-gateway", "gateway", gatewaySettingsText(m_Config));
    BOOST_REQUIRE(runUntil(
        [&] { return m_Caller.call(readinessCall(m_Config)).m_Status == 200; },
        10s));
  }

  std::string requestFile(const std::string &Key = "k") {
    return m_Folder.write("request",
                          "POST /plain/x HTTP/1.1\r\nHost: h.example\r\n"
                          "X-Attempt-Id: a1\r\nX-Key: " +
                              Key + "\r\n\r\nsecret text");
  }

  /// Returns the status of a query with this body.
  unsigned query(const std::string &Body) {
    Call Query;
    Query.m_Address = m_Config.m_ProbeAddress;
    Query.m_Path = "/placement";
    Query.m_Body = Body;
    return m_Caller.call(Query).m_Status;
  }

  std::string metrics() {
    Call Query;
    Query.m_Method = "GET";
    Query.m_Address = m_Config.m_ProbeAddress;
    Query.m_Path = "/metrics";
    const std::string Text = m_Caller.call(Query).m_Body;
    return Text.substr(Text.find("crowstep_requests_total"), 60);
  }
};

} // namespace

/// Guards against a command that doesn't fit the gateway's answer, and against
/// an explanation that the gateway counts as a request or logs with its body.
BOOST_AUTO_TEST_CASE(TheCommandExplainsAPlacement) {
  PlacementFixture Fixture;
  const Address Probes = Fixture.m_Config.m_ProbeAddress;
  const std::string Before = Fixture.metrics();
  const CommandResult Text = runPlace(Probes, Fixture.requestFile());
  BOOST_TEST(Text.m_ExitCode == 0);
  BOOST_TEST_MESSAGE(Text.m_Output);
  BOOST_TEST(Text.m_Output.find("admitted: route plain, workspace w") == 0U);
  BOOST_TEST(Text.m_Output.find("placed at u-") != std::string::npos);
  const CommandResult Raw = runPlace(Probes, Fixture.requestFile(), "--json");
  BOOST_TEST(Raw.m_ExitCode == 0);
  const Json Answer = Json::parse(Raw.m_Output);
  const Json &At = Answer["services"][0];
  BOOST_TEST(At["outcome"] == "placed");
  BOOST_TEST(At["candidate_count"] == 3);
  BOOST_TEST(At["candidates"][2]["name"] == "u-3");
  BOOST_TEST(At["candidates"][2]["verdict"] == "draining");
  BOOST_TEST(Answer["upstreams_age_ms"] >= 0);
  BOOST_TEST(Answer["upstreams_age_ms"] < 5000);
  const CommandResult Refused = runPlace(Probes, Fixture.requestFile("other"));
  BOOST_TEST(Refused.m_ExitCode == 0);
  BOOST_TEST(Refused.m_Output.find("refused: unknown_key") == 0U);
  BOOST_TEST(Fixture.metrics() == Before);
  BOOST_TEST(Fixture.m_Gateway->log().find("secret text") == std::string::npos);
  BOOST_TEST(Fixture.m_Gateway->log().find("NotAdmitted") == std::string::npos);
}

/// Guards against malformed and long queries that are answered otherwise than
/// the page says, or held in memory.
BOOST_AUTO_TEST_CASE(TheListenerRejectsWhatIsNoQuery) {
  PlacementFixture Fixture;
  BOOST_TEST(Fixture.query("{") == 400U);
  BOOST_TEST(Fixture.query("[]") == 400U);
  const Json Good = {{"method", "GET"},
                     {"path", "/"},
                     {"headers", Json::array()},
                     {"body", ""}};
  BOOST_TEST(Fixture.query(Good.dump()) == 200U);
  Json Long = Good;
  Long["body"] = std::string(1 << 20, 'x');
  BOOST_TEST(Fixture.query(Long.dump()) == 413U);
  Long["body"] = std::string((1 << 20) - 200, 'x');
  BOOST_TEST(Fixture.query(Long.dump()) == 200U);
  const auto Chunked = Peer::connect(Fixture.m_Config.m_ProbeAddress);
  Chunked->send("POST /placement HTTP/1.1\r\nHost: h\r\n"
                "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
  BOOST_TEST(
      runUntil([&] { return Chunked->hasReceived("HTTP/1.1 400 "); }, 5s));
}

/// Guards against failures that look like an explanation: the instance can't be
/// reached, is of an older version, rejects the query, or the file holds no
/// request.
BOOST_AUTO_TEST_CASE(FailuresHaveTheirExitCodes) {
  const TemporaryFolder Folder;
  const std::string Request =
      Folder.write("request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  const CommandResult Unreachable = runPlace(freeAddress(), Request);
  BOOST_TEST(Unreachable.m_ExitCode == 1);
  BOOST_TEST(!Unreachable.m_Error.empty());
  BOOST_TEST(Unreachable.m_Output.empty());
  const auto AnsweredBy = [&](const std::string &Status) {
    const BrokenUpstream Instance(
        "HTTP/1.1 " + Status + "\r\nContent-Length: 0\r\n\r\n", 1, 0us);
    return runPlace(Instance.m_Address, Request);
  };
  const CommandResult Older = AnsweredBy("404 Not Found");
  BOOST_TEST(Older.m_ExitCode == 1);
  BOOST_TEST(Older.m_Error.find("can't explain placements") !=
             std::string::npos);
  BOOST_TEST(AnsweredBy("413 Too Large").m_ExitCode == 2);
  BOOST_TEST(AnsweredBy("400 Bad Request").m_ExitCode == 2);
  BOOST_TEST(AnsweredBy("500 Error").m_ExitCode == 1);
  BOOST_TEST(AnsweredBy("200 OK").m_ExitCode == 1);
  BOOST_TEST(
      runPlace(freeAddress(), Folder.write("none", "no request")).m_ExitCode ==
      2);
  BOOST_TEST(runPlace(freeAddress(), Folder.path() + "/absent").m_ExitCode ==
             2);
}
