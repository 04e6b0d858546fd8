/// Answers of engines, and what the operator and clients write.
#include "engine.h"

namespace lab {

Engine::Engine(std::string Id, std::string Version, Work Takes, Record &Log)
    : m_Id(std::move(Id)), m_Version(std::move(Version)), m_Work(Takes),
      m_Record(Log),
      m_Born(std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      m_Server(std::make_unique<Server>(
          [this](const Message &Request, Connection &Peer) {
            return handle(Request, Peer);
          })) {}

void Engine::list(Store &Where) const {
  const Json Entry = {{"service", "s"},       {"address", m_Server->address()},
                      {"zone", "suva-a"},     {"version", m_Version},
                      {"slots", 64},          {"state", "ready"},
                      {"coldRemainingMs", 0}, {"sequence", 1},
                      {"born", m_Born}};
  Where.put("servers", m_Id, Entry.dump());
  m_Record.line("engine " + m_Id + " of version " + m_Version +
                " writes its entry");
}

bool Engine::hasBegun(const std::string &Attempt) {
  const std::lock_guard Lock(m_Mutex);
  return m_Begun.contains(Attempt);
}

bool Engine::handle(const Message &Request, Connection &Peer) {
  if (Request.target() == "/report")
    return Peer.write(answerText(200, "Content-Type: application/json\r\n",
                                 Json{{"born", m_Born}}.dump()));
  const std::string Expected = Request.header("x-expect-instance");
  if (!Expected.empty() && Expected != m_Id)
    return Peer.write(answerText(421, "X-Instance-Id: " + m_Id + "\r\n", ""));
  const std::string Attempt = Request.header("x-attempt-id");
  {
    const std::lock_guard Lock(m_Mutex);
    m_Begun.insert(Attempt);
  }
  if (Request.target().starts_with("/stream/"))
    return stream(Request, Peer);
  sleepFor(m_Work.m_Plain);
  return Peer.write(answerText(200,
                               "X-Attempt-Id: " + Attempt +
                                   "\r\nX-Server-Signature: " + m_Id + "\r\n",
                               "answer to " + Attempt));
}

bool Engine::stream(const Message &Request, Connection &Peer) const {
  const auto First =
      std::strtoul(Request.header("last-event-id").c_str(), nullptr, 10) + 1;
  m_Record.line("engine " + m_Id + " begins " + Request.header("x-attempt-id") +
                " at event " + std::to_string(First));
  if (!Peer.write(
          "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Request.header("x-attempt-id") +
          "\r\nX-Server-Signature: " + m_Id +
          "\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (auto I = First; I <= m_Work.m_EventCount; ++I) {
    const std::string Event =
        "id: " + std::to_string(I) + "\ndata: " + m_Version + "\n\n";
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
    if (!Peer.write(Size + Event + "\r\n"))
      return false;
    sleepFor(m_Work.m_EventGap);
  }
  return Peer.write("0\r\n\r\n");
}

Json manifest() {
  const auto Route = [](const char *Name, const char *Kind, int Timeout) {
    return Json{{"name", Name},
                {"host", "h.example"},
                {"prefix", std::string("/") + Name + "/"},
                {"routeKind", Kind},
                {"timeoutMs", Timeout},
                {"targetLatencyMs", 1000},
                {"priority", 0},
                {"service", "s"},
                {"maxAttempts", 2}};
  };
  Json Stream = Route("stream", "streaming", 15000);
  Stream["resumable"] = true;
  Stream["gapAimMs"] = 500;
  return {{"version", 1},
          {"routes",
           {Route("plain", "idempotent", 4000),
            Route("once", "non_idempotent", 4000), Stream}},
          {"services", {{{"name", "s"}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 5000},
            {"idleTimeoutMs", 30000}}},
          {"tenants", {{{"name", "t"}, {"apiKeys", {"key-1"}}}}}};
}

std::string requestText(const std::string &Method, const std::string &Target,
                        const std::string &Attempt, const std::string &More) {
  return Method + " " + Target + " HTTP/1.1\r\nHost: h.example\r\n" +
         "X-Attempt-Id: " + Attempt + "\r\nX-Key: key-1\r\n" + More + "\r\n";
}

} // namespace lab
