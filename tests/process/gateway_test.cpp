/// The gateway as a real process, with stand-ins for the platform's store and
/// for upstreams that run in the test's own main loop.
#define BOOST_TEST_MODULE gateway
#include "ctl/explain.h"
#include "process/gateway_config.h"
#include "process/process.h"
#include "standin/deferred_answer.h"
#include "standin/store_server.h"
#include "unit/loopback_peer.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;
using standin::StoreServer;

namespace {

using Json = nlohmann::json;

Address local(std::uint16_t Port) { return {INADDR_LOOPBACK, Port}; }

/// An upstream that signs its answers. Paths below /stream/ get an event every
/// 100 ms: ten in all, without end if the path contains "endless", and a closed
/// connection after the fourth if it contains "break". A path with "crash" gets
/// its connection closed without an answer; others are answered at once.
class SigningUpstream {
public:
  explicit SigningUpstream(std::string Name) : m_Name(std::move(Name)) {
    m_ListenAddress = local(freePort());
    m_Server.listen(m_ListenAddress,
                    [this](SoupServerMessage *Message, const char *Path) {
                      handle(Message, Path);
                    });
  }

  std::string m_Name;      ///< Key of its store row.
  Address m_ListenAddress; ///< Listening address.
  int m_Calls = 0;         ///< Number of calls so far.
  std::string m_Workspace; ///< X-Tenant of the last call.

private:
  struct Stream {
    DeferredAnswer m_Held; ///< Answer to the gateway.
    std::string m_Path;    ///< Selects the behaviour.
    int m_SentEvents = 0;  ///< Number of events sent.
  };

  void handle(SoupServerMessage *Message, const std::string &Path) {
    ++m_Calls;
    m_Workspace = requestHeader(Message, "X-Tenant");
    SoupMessageHeaders *Headers =
        soup_server_message_get_response_headers(Message);
    for (const char *Name : {"X-Attempt-Id", "X-Tenant"})
      soup_message_headers_replace(Headers, Name,
                                   requestHeader(Message, Name).c_str());
    soup_message_headers_replace(Headers, "X-Server-Signature", "s");
    if (Path.find("crash") != std::string::npos) {
      DeferredAnswer(Message).closeConnection();
      return;
    }
    if (Path.find("/stream/") == std::string::npos) {
      respond(Message, 200, "text/plain", "from " + m_Name);
      return;
    }
    auto *NewStream = new Stream{DeferredAnswer(Message), Path};
    NewStream->m_Held.beginStream(200, "text/event-stream");
    g_timeout_add(100, onTick, NewStream);
  }

  static int onTick(void *Data) {
    auto *Current = static_cast<Stream *>(Data);
    Current->m_Held.append("id: " + std::to_string(++Current->m_SentEvents) +
                           "\ndata: x\n\n");
    const auto PathHas = [&](const char *Word) {
      return Current->m_Path.find(Word) != std::string::npos;
    };
    const bool Breaks = Current->m_SentEvents == 4 && PathHas("break");
    const bool Last =
        (Current->m_SentEvents == 10 && !PathHas("endless")) || Breaks;
    if (Breaks)
      Current->m_Held.closeConnection();
    else if (Last)
      Current->m_Held.endStream();
    if (Current->m_Held.isOpen())
      return G_SOURCE_CONTINUE;
    delete Current;
    return G_SOURCE_REMOVE;
  }

  HttpServer m_Server; ///< For gateways.
};

struct GatewayFixture {
  TemporaryFolder m_Folder;
  StoreServer m_Store;
  Address m_StoreAddress = local(freePort());
  GatewayConfig m_Config = makeGatewayConfig("edge-1", m_StoreAddress);
  SigningUpstream m_First{"u-1"};
  SigningUpstream m_Second{"u-2"};
  Caller m_Caller;
  std::unique_ptr<Process> m_Gateway;

  GatewayFixture() {
    m_Store.listen(m_StoreAddress);
    m_Config.m_DrainTime = 1200ms;
  }

  void start() {
    m_Gateway = std::make_unique<Process>(
        m_Folder, "crowstep-gateway", "gateway", gatewaySettingsText(m_Config));
  }
  void putManifest(int Version, const std::string &Key = "key-1") {
    const Json Manifest = {{"version", Version},
                           {"routes",
                            {{{"name", "plain"},
                              {"host", "h.example"},
                              {"prefix", "/plain/"},
                              {"routeKind", "non_idempotent"},
                              {"timeoutMs", 2000},
                              {"targetLatencyMs", 100},
                              {"priority", 0},
                              {"service", "s"},
                              {"maxAttempts", 1}},
                             {{"name", "stream"},
                              {"host", "h.example"},
                              {"prefix", "/stream/"},
                              {"routeKind", "streaming"},
                              {"timeoutMs", 9000},
                              {"targetLatencyMs", 1000},
                              {"priority", 1},
                              {"service", "s"},
                              {"maxAttempts", 1},
                              {"gapAimMs", 500}}}},
                           {"services", {{{"name", "s"}}}},
                           {"tenants", {{{"name", "w"}, {"apiKeys", {Key}}}}}};
    m_Store.put("op", "config", Manifest.dump());
  }
  void putUpstream(const SigningUpstream &Upstream, const std::string &State) {
    m_Store.put("servers", Upstream.m_Name,
                upstreamRow(Upstream.m_ListenAddress, 4, State));
  }
  Call request(const std::string &Path, const std::string &Key = "key-1") {
    static int Number = 0;
    Call Result;
    Result.m_Address = m_Config.m_ListenAddress;
    Result.m_Path = Path;
    Result.m_Body = "b";
    Result.m_Headers = {{"Host", "h.example"},
                        {"X-Attempt-Id", "a" + std::to_string(++Number)},
                        {"X-Key", Key}};
    return Result;
  }
  unsigned readiness() {
    return m_Caller.call(readinessCall(m_Config)).m_Status;
  }
  bool waitUntilReady() {
    return runUntil([&] { return readiness() == 200; }, 10s);
  }
  void startServing() {
    putManifest(1);
    putUpstream(m_First, "ready");
    start();
    BOOST_TEST(waitUntilReady());
  }
};

} // namespace

// A gateway starts while the store is unavailable. It refuses requests as
// "not-run" with a Retry-After, never with 404 for an unknown route; as soon as
// the store answers, it serves.
BOOST_AUTO_TEST_CASE(AStartWithoutTheStoreRefusesUntilItKnows) {
  GatewayFixture Fixture;
  Fixture.m_Store.setMode(StoreServer::Mode::Busy);
  Fixture.putManifest(1);
  Fixture.putUpstream(Fixture.m_First, "ready");
  Fixture.start();
  BOOST_TEST(runUntil([&] { return Fixture.readiness() == 503; }, 10s));
  const CallResult Early = Fixture.m_Caller.call(Fixture.request("/plain/x"));
  BOOST_TEST(Early.m_Status == 503U);
  BOOST_TEST(Early.m_Run == "not-run");
  BOOST_TEST(!Early.m_RetryAfter.empty());
  Fixture.m_Store.setMode(StoreServer::Mode::Up);
  BOOST_TEST(Fixture.waitUntilReady());
  const CallResult Served = Fixture.m_Caller.call(Fixture.request("/plain/x"));
  BOOST_TEST(Served.m_Status == 200U);
  BOOST_TEST(Served.m_Body == "from u-1");
  BOOST_TEST(Fixture.m_First.m_Workspace == "w");
}

// Requests with an unknown route or key are refused with the reason. A new
// version of the table that removes a key takes effect; a version that can't be
// parsed or that is older than the current one changes nothing.
BOOST_AUTO_TEST_CASE(TheTableInForceDecides) {
  GatewayFixture Fixture;
  Fixture.startServing();
  BOOST_TEST(Fixture.m_Caller.call(Fixture.request("/none/x")).m_Status ==
             404U);
  BOOST_TEST(
      Fixture.m_Caller.call(Fixture.request("/plain/x", "other")).m_Status ==
      401U);
  Fixture.m_Store.put("op", "config", "{no manifest");
  BOOST_TEST(Fixture.m_Caller.call(Fixture.request("/plain/x")).m_Status ==
             200U);
  Fixture.putManifest(2, "key-2");
  BOOST_TEST(runUntil(
      [&] {
        return Fixture.m_Caller.call(Fixture.request("/plain/x")).m_Status ==
               401;
      },
      5s));
  BOOST_TEST(
      Fixture.m_Caller.call(Fixture.request("/plain/x", "key-2")).m_Status ==
      200U);
  Fixture.putManifest(1); // An older version is ignored.
  runFor(300ms);
  BOOST_TEST(Fixture.m_Caller.call(Fixture.request("/plain/x")).m_Status ==
             401U);
}

// An upstream is marked as draining in the store: it gets no new calls. This
// still holds after the store dropped its history of changes and another writer
// added a row that can't be parsed.
BOOST_AUTO_TEST_CASE(ALeavingUpstreamGetsNothingNew) {
  GatewayFixture Fixture;
  Fixture.startServing();
  Fixture.putUpstream(Fixture.m_Second, "ready");
  Fixture.putUpstream(Fixture.m_First, "draining");
  runFor(500ms);
  const int Before = Fixture.m_First.m_Calls;
  for (int I = 0; I < 5; ++I)
    BOOST_TEST(Fixture.m_Caller.call(Fixture.request("/plain/x")).m_Body ==
               "from u-2");
  Fixture.m_Store.put("servers", "u-3", "\xff\xfe");
  Fixture.m_Store.dropHistory();
  runFor(1500ms);
  BOOST_TEST(Fixture.m_Caller.call(Fixture.request("/plain/x")).m_Body ==
             "from u-2");
  BOOST_TEST(Fixture.m_First.m_Calls == Before);
}

// Guards against an entry of another writer that ends the gateway, or after
// which it no longer follows the list, when it starts and while it runs.
BOOST_AUTO_TEST_CASE(OddEntriesStopNeitherTheGatewayNorItsReading) {
  constexpr std::size_t Depth = 24'000;
  const std::string Deep = std::string(Depth, '[') + std::string(Depth, ']');
  const std::string WrongPort =
      R"({"service":"s","zone":"z","state":"ready","slots":4,)"
      R"("address":"127.0.0.1:65536"})";
  const std::vector<std::string> Values = {
      Deep,
      R"({"service":)" + Deep + "}",
      R"({"service":"s","slots":1e400})",
      R"({"service":"s","slots":-1,"address":"127.0.0.1:80"})",
      WrongPort,
      "\xff\xfe"};
  GatewayFixture Fixture;
  const auto PutOdd = [&](const std::string &Prefix) {
    for (std::size_t I = 0; I < Values.size(); ++I) {
      const std::string Key = Prefix + std::to_string(I);
      Fixture.m_Store.put("servers", Key, Values[I]);
      Fixture.m_Store.put("crowstep_instances", Key, Values[I]);
    }
  };
  PutOdd("a-");
  Fixture.startServing();
  PutOdd("z-");
  Fixture.m_Store.put("op", "config", Deep);
  Fixture.m_Store.put("op", "config",
                      R"({"version":-1,"routes":[],)"
                      R"("services":[]})");
  runFor(1500ms);
  BOOST_TEST(Fixture.m_Caller.call(Fixture.request("/plain/x")).m_Body ==
             "from u-1");
  Fixture.putUpstream(Fixture.m_Second, "ready");
  Fixture.putUpstream(Fixture.m_First, "draining");
  Fixture.putManifest(2, "key-2");
  BOOST_TEST(runUntil(
      [&] {
        return Fixture.m_Caller.call(Fixture.request("/plain/x", "key-2"))
                   .m_Body == "from u-2";
      },
      5s));
  BOOST_TEST(Fixture.m_Gateway->isRunning());
}

// SIGTERM arrives in the middle of streams. Each stream runs to its end, each
// event once; a request that arrives shortly after the signal is still served.
// The gateway exits by itself within its grace period.
BOOST_AUTO_TEST_CASE(AStopCutsNothing) {
  GatewayFixture Fixture;
  Fixture.startServing();
  std::vector<std::shared_ptr<const CallResult>> Streams;
  Streams.reserve(5);
  for (int I = 0; I < 5; ++I)
    Streams.push_back(Fixture.m_Caller.start(Fixture.request("/stream/x")));
  BOOST_TEST(runUntil(
      [&] {
        return std::all_of(
            Streams.begin(), Streams.end(),
            [](const auto &Stream) { return !Stream->m_Body.empty(); });
      },
      10s));
  Fixture.m_Gateway->signal(SIGTERM);
  BOOST_TEST(runUntil([&] { return Fixture.readiness() == 503; }, 2s));
  BOOST_TEST(Fixture.m_Caller.call(Fixture.request("/plain/x")).m_Status ==
             200U);
  BOOST_TEST(runUntil(
      [&] {
        return std::all_of(Streams.begin(), Streams.end(),
                           [](const auto &Stream) { return Stream->m_Ended; });
      },
      10s));
  for (const auto &Stream : Streams) {
    BOOST_TEST(!Stream->m_ConnectionBroken);
    for (int Id = 1; Id <= 10; ++Id)
      BOOST_TEST(countOf("id: " + std::to_string(Id) + "\n", Stream->m_Body) ==
                 1U);
  }
  BOOST_TEST((Fixture.m_Gateway->wait(8s) == 0));
}

// A stream does not end after SIGTERM. The gateway waits for it as long as its
// grace period allows and accepts no connections when callers know of the stop,
// then exits by itself and logs GatewayCut with the number of requests that it
// aborted, which a SIGKILL would not leave in the log.
BOOST_AUTO_TEST_CASE(AStopEndsAtItsLimit) {
  GatewayFixture Fixture;
  Fixture.m_Config.m_GracePeriod = 4s;
  Fixture.startServing();
  const auto Stream =
      Fixture.m_Caller.start(Fixture.request("/stream/endless"));
  BOOST_TEST(runUntil([&] { return !Stream->m_Body.empty(); }, 5s));
  Fixture.m_Gateway->signal(SIGTERM);
  runFor(3s);
  BOOST_TEST(!Stream->m_Ended);
  BOOST_TEST(Fixture.m_Caller.call(Fixture.request("/plain/x")).m_Status == 0U);
  BOOST_TEST((Fixture.m_Gateway->wait(2s) == 0));
  BOOST_TEST(Fixture.m_Gateway->log().find(
                 R"("name":"GatewayCut","requests":"1")") != std::string::npos);
}

// Three requests fail: one is refused because no upstream is available, the
// stream of one breaks and can't be resumed elsewhere, and the outcome of one
// is unknown after its upstream crashed. The attempt id and the log are enough
// to explain each cause, and the log contains no API key or body.
BOOST_AUTO_TEST_CASE(TheLogTellsWhyARequestFailed) {
  GatewayFixture Fixture;
  Fixture.putManifest(1);
  Fixture.start();
  BOOST_TEST(runUntil([&] { return Fixture.readiness() == 200; }, 10s));
  const auto ExplainFailure = [&](const std::string &Path) {
    Call Request = Fixture.request(Path);
    Request.m_Body = "private text";
    Fixture.m_Caller.call(Request);
    // The caller may see the end shortly before the log line is written.
    std::string Explanation;
    runUntil(
        [&] {
          Explanation = ctl::explain(Request.m_Headers.at("X-Attempt-Id"),
                                     {Fixture.m_Gateway->log()});
          return Explanation.find("GatewayRequestFailed") != std::string::npos;
        },
        2s);
    return Explanation;
  };
  const auto Has = [](const std::string &Explanation, const std::string &Text) {
    return Explanation.find(Text) != std::string::npos;
  };
  const std::string Refused = ExplainFailure("/plain/x");
  BOOST_TEST(Has(Refused, "outcome=no_upstream"));
  BOOST_TEST(Has(Refused, "sends=0"));
  Fixture.putUpstream(Fixture.m_First, "ready");
  runFor(300ms);
  const std::string Broken = ExplainFailure("/stream/break");
  BOOST_TEST(Has(Broken, "GatewayCallEnded"));
  BOOST_TEST(Has(Broken, "events=3"));
  BOOST_TEST(Has(Broken, "outcome=upstream_failed"));
  BOOST_TEST(Has(Broken, "GatewayUpstreamListed"));
  const std::string Unknown = ExplainFailure("/plain/crash");
  BOOST_TEST(Has(Unknown, "may_have_run=1"));
  BOOST_TEST(Has(Unknown, "upstream=u-1"));
  BOOST_TEST(!Has(Fixture.m_Gateway->log(), "key-1"));
  BOOST_TEST(!Has(Fixture.m_Gateway->log(), "private text"));
}

// A missing setting makes the program exit with 2 and name the setting. A file
// that becomes invalid while the gateway runs changes nothing; once it is valid
// again, it is reloaded.
BOOST_AUTO_TEST_CASE(BadSettingsAreNamed) {
  GatewayFixture Fixture;
  std::string Broken = gatewaySettingsText(Fixture.m_Config);
  Broken.erase(Broken.find("grace_s=8\n"), 10);
  Process Failing(Fixture.m_Folder, "crowstep-gateway", "broken", Broken);
  BOOST_TEST((Failing.wait(10s) == 2));
  BOOST_TEST(Failing.log().find("grace_s") != std::string::npos);
  Fixture.startServing();
  Fixture.m_Folder.write("gateway.ini", "no settings");
  BOOST_TEST(runUntil(
      [&] {
        return Fixture.m_Gateway->log().find("ProgramReloadFailed") !=
               std::string::npos;
      },
      10s));
  BOOST_TEST(Fixture.m_Caller.call(Fixture.request("/plain/x")).m_Status ==
             200U);
  Fixture.m_Folder.write("gateway.ini", gatewaySettingsText(Fixture.m_Config));
  Fixture.m_Gateway->signal(SIGHUP);
  BOOST_TEST(runUntil(
      [&] {
        return Fixture.m_Gateway->log().find("\"ProgramReloaded\"") !=
               std::string::npos;
      },
      10s));
}
