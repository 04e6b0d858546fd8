/// Table, upstreams and ordinary callers of a gateway beside crowds.
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

namespace crowstep::test {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr const char *Answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"
                               "X-Server-Signature: s\r\nConnection: close\r\n"
                               "Content-Type: text/event-stream\r\n"
                               "Content-Length: 64\r\n\r\n";
constexpr const char *Event = "data: 9\n\n"
                              "data: 9\n\n"
                              "data: 9\n\n"
                              "data: 9\n\n"
                              "data: 9\n\n"
                              "data: 9\n\n"
                              "data: 99\n\n";
constexpr std::size_t AnswerBytes = 64;
constexpr unsigned Slots = 1000;
constexpr int LongMs = 600'000;

Json routeJson(const std::string &Name, const std::string &Kind,
               const std::string &Service) {
  return {
      {"name", Name},      {"host", "h.example"}, {"prefix", "/" + Name + "/"},
      {"routeKind", Kind}, {"timeoutMs", LongMs}, {"targetLatencyMs", LongMs},
      {"priority", 0},     {"service", Service},  {"maxAttempts", 1}};
}

std::string tableText(const CrowdLimits &Limits) {
  Json Stream = routeJson("streaming", "streaming", "s");
  Stream["resumable"] = true;
  Stream["gapAimMs"] = LongMs;
  return Json{{"version", 2},
              {"routes",
               {routeJson("plain", "non_idempotent", "s"),
                routeJson("held", "non_idempotent", "silent"), Stream}},
              {"services", {{{"name", "s"}}, {{"name", "silent"}}}},
              {"limits",
               {{"maxHeaderBytes", Limits.m_MaxHeaderBytes},
                {"maxBodyBytes", Limits.m_MaxBodyBytes},
                {"headerTimeoutMs", LongMs},
                {"idleTimeoutMs", LongMs}}},
              {"tenants", {{{"name", "w"}, {"apiKeys", {"key-1"}}}}}}
      .dump();
}

std::string rowOf(const Address &Upstream, const std::string &Service) {
  Json Row = Json::parse(upstreamRow(Upstream, Slots, "ready"));
  Row["service"] = Service;
  return Row.dump();
}

} // namespace

CrowdedGateway::CrowdedGateway(const CrowdLimits &Limits)
    : m_Answering(Answer, Event, {AnswerBytes, 0ms}) {
  const auto [Listening, Where] = listenOnLoopback(Slots);
  m_Silent = Listening;
  m_Fleet.m_Store.put("op", "config", tableText(Limits));
  m_Fleet.m_Store.put("servers", "u", rowOf(m_Answering.address(), "s"));
  m_Fleet.m_Store.put("servers", "h", rowOf(Where, "silent"));
  m_Fleet.setLimits(SmallMachine);
  BOOST_REQUIRE(m_Fleet.startAll());
  BOOST_REQUIRE(isServed());
  m_Usage.emplace(m_Fleet.process(0).pid(),
                  std::set{callerAddress().m_Port, probeAddress().m_Port,
                           linkAddress().m_Port, relayAddress().m_Port});
  m_Usage->sample();
  BOOST_TEST_MESSAGE("began with " << (m_Usage->mostBytes() >> 10U) << " KiB");
}

CrowdedGateway::~CrowdedGateway() { close(m_Silent); }

std::string CrowdedGateway::headOf(const std::string &Path,
                                   const std::string &Id) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\nX-Attempt-Id: " + Id +
         "\r\n";
}

std::string CrowdedGateway::requestText(const std::string &Path,
                                        const std::string &Id,
                                        std::size_t BodyBytes) {
  return headOf(Path, Id) + "Content-Length: " + std::to_string(BodyBytes) +
         "\r\n\r\n" + std::string(BodyBytes, 'b');
}

bool CrowdedGateway::runSampled(const std::function<bool()> &Done,
                                Duration Limit) {
  return m_Usage ? m_Usage->watchUntil(Done, Limit) : runUntil(Done, Limit);
}

void CrowdedGateway::watchUntilSettled(const Crowd &Senders) {
  BOOST_TEST(runSampled([&] { return Senders.hasSettled(); }, 60s));
}

unsigned CrowdedGateway::statusOf(const std::string &Request) {
  const auto Caller = Peer::connect(callerAddress());
  std::size_t Sent = 0;
  const auto HasAnswer = [&] {
    const ssize_t Size = send(Caller->fd(), Request.data() + Sent,
                              Request.size() - Sent, MSG_NOSIGNAL);
    Sent += Size > 0 ? static_cast<std::size_t>(Size) : 0;
    return Caller->received().find("\r\n\r\n") != std::string::npos ||
           Caller->isClosed();
  };
  runSampled(HasAnswer, 20s);
  const std::string Begin = "HTTP/1.1 ";
  constexpr std::size_t StatusDigits = 3;
  const std::string &Text = Caller->received();
  return Text.starts_with(Begin) && Text.size() > Begin.size() + StatusDigits
             ? static_cast<unsigned>(
                   std::stoul(Text.substr(Begin.size(), StatusDigits)))
             : 0;
}

bool CrowdedGateway::isServed(const std::string &Request) {
  constexpr unsigned HttpOk = 200;
  constexpr int MaxTries = 3;
  for (int Try = 0; Try < MaxTries; ++Try)
    if (statusOf(Request) == HttpOk)
      return true;
  return false;
}

void CrowdedGateway::checkUsage() {
  BOOST_TEST(m_Fleet.process(0).isRunning());
  m_Usage->check();
}

} // namespace crowstep::test
