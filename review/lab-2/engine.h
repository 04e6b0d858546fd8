/// A stand-in for an upstream server: a model engine or a plain service.
#ifndef CROWSTEP_REVIEW_LAB2_ENGINE_H
#define CROWSTEP_REVIEW_LAB2_ENGINE_H

#include "lab.h"

namespace lab {

struct EngineFigures {
  std::string m_Name, m_Service, m_Zone = "surrey-hall", m_Version = "v1";
  int m_Slots = 64;
  bool m_IsModel = true;
  int m_Events = 20;                        ///< Of a stream.
  std::chrono::milliseconds m_Interval{50}; ///< Between two events.
  std::chrono::milliseconds m_First{30};    ///< Until the first event.
  std::chrono::milliseconds m_Work{30};     ///< Of a plain answer.
  std::string m_QuickPath;                  ///< Streams below it are quick.
};

class EngineServer {
public:
  EngineServer(EngineFigures Figures, const Address &At, Store &Rows)
      : m_Figures(std::move(Figures)), m_BaseName(m_Figures.m_Name),
        m_Address(At), m_Store(Rows) {
    listen();
    list("ready");
  }

  void list(const std::string &State) {
    Json Row = {
        {"service", m_Figures.m_Service}, {"address", m_Address.text()},
        {"zone", m_Figures.m_Zone},       {"version", m_Figures.m_Version},
        {"slots", m_Figures.m_Slots},     {"state", State},
        {"coldRemainingMs", 0},           {"sequence", ++m_Sequence}};
    if (m_Figures.m_IsModel) {
      Row["phase"] = "colocated";
      Row["models"] = Json::array(
          {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}});
    }
    m_Store.put("servers", name(), Row);
  }
  /// Headers that all answers bear from now on.
  void setExtra(Headers Extra) {
    const std::lock_guard Lock(m_Mutex);
    m_Extra = std::move(Extra);
  }
  /// A request for which this holds crashes the server as it begins to answer.
  void setPoison(std::function<bool(const Request &)> IsPoison) {
    const std::lock_guard Lock(m_Mutex);
    m_IsPoison = std::move(IsPoison);
  }
  /// The process ends, which resets all its channels. Another one starts at the
  /// same address, under a new name, after \p Delay; the entry of the old one
  /// is removed then.
  void crash(std::chrono::duration<double> Delay, const std::string &Why) {
    bool IsDown = false;
    if (!m_IsDown.compare_exchange_strong(IsDown, true))
      return;
    ++m_Crashes;
    LAB_RECORD("server %s crashes: %s", name().c_str(), Why.c_str());
    m_Servers.back()->end();
    std::thread([this, Delay] {
      sleepFor(Delay);
      m_Store.remove("servers", name());
      {
        const std::lock_guard Lock(m_Mutex);
        m_Figures.m_Name = m_BaseName + "-" + std::to_string(++m_Lifetime);
      }
      m_Active = 0;
      m_IsDown = false;
      listen();
      list("ready");
      LAB_RECORD("server %s is back", name().c_str());
    }).detach();
  }
  std::string name() {
    const std::lock_guard Lock(m_Mutex);
    return m_Figures.m_Name;
  }
  [[nodiscard]] bool isDown() const { return m_IsDown; }

  std::atomic<int> m_Runs = 0;
  std::atomic<int> m_Active = 0;
  std::atomic<int> m_Crashes = 0;
  bool m_Log = true; ///< Each run is recorded.

private:
  void listen() {
    // Ended servers stay, as their threads may still run.
    m_Servers.push_back(std::make_unique<Server>(
        m_Address,
        [this](const Request &R, Connection &C) { return handle(R, C); }));
  }
  Headers baseHeaders(const Request &R) {
    Headers Result = {{"X-Attempt-Id", R.header("X-Attempt-Id")},
                      {"X-Server-Signature", "3e1b." + name()},
                      {"X-Instance-Id", name()},
                      {"X-Weight-Versions", "1"},
                      {"X-Server-Load", std::to_string(m_Active.load()) +
                                            ",0," +
                                            std::to_string(m_Figures.m_Slots)}};
    const Headers Extra = extra();
    Result.insert(Result.end(), Extra.begin(), Extra.end());
    return Result;
  }
  Headers extra() {
    const std::lock_guard Lock(m_Mutex);
    return m_Extra;
  }
  Headers refusal() {
    Headers Result = extra();
    Result.emplace_back("X-Not-Executed", "1");
    return Result;
  }
  bool isPoison(const Request &R) {
    const std::lock_guard Lock(m_Mutex);
    return m_IsPoison && m_IsPoison(R);
  }
  bool handle(const Request &R, Connection &C) {
    if (m_IsDown)
      return false;
    if (R.m_Path == "/health")
      return C.write(answerText(200, {{"X-Instance-Id", name()}}, ""));
    if (R.m_Path == "/report")
      return C.write(answerText(
          200, {{"Content-Type", "application/json"}},
          Json{{"phase", "colocated"}, {"active", m_Active.load()}}.dump()));
    const std::string Expected = R.header("X-Expect-Instance");
    if (!Expected.empty() && Expected != name())
      return C.write(answerText(421, {{"X-Instance-Id", name()}}, ""));
    if (R.header("X-Attempt-Id").empty())
      return C.write(answerText(400, refusal(), ""));
    if (m_Active >= m_Figures.m_Slots)
      return C.write(answerText(503, refusal(), ""));
    ++m_Active;
    ++m_Runs;
    const bool Kept = m_Figures.m_IsModel ? stream(R, C) : plain(R, C);
    --m_Active;
    return Kept;
  }
  bool plain(const Request &R, Connection &C) {
    if (m_Log)
      LAB_RECORD("server %s runs %s", name().c_str(),
                 R.header("X-Attempt-Id").c_str());
    sleepFor(m_Figures.m_Work);
    if (crashesOn(R) || C.isClosed())
      return false;
    return C.write(answerText(200, baseHeaders(R), "answer of " + name()));
  }
  /// Returns whether the request has ended this process.
  bool crashesOn(const Request &R) {
    if (!m_IsDown && isPoison(R))
      crash(m_RestartTime, "it runs " + R.header("X-Attempt-Id"));
    return m_IsDown;
  }
  bool stream(const Request &R, Connection &C) {
    const std::string Last = R.header("Last-Event-Id");
    const bool IsQuick = !m_Figures.m_QuickPath.empty() &&
                         R.m_Path.starts_with(m_Figures.m_QuickPath);
    const auto Interval = IsQuick ? 40ms : m_Figures.m_Interval;
    int Next = Last.empty() ? 1 : std::stoi(Last) + 1;
    if (m_Log)
      LAB_RECORD("server %s (%s) runs %s from event %d", name().c_str(),
                 m_Figures.m_Version.c_str(), R.header("X-Attempt-Id").c_str(),
                 Next);
    sleepFor(m_Figures.m_First);
    if (crashesOn(R))
      return false;
    std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    for (const auto &[Name, Value] : baseHeaders(R))
      Head += Name + ": " + Value + "\r\n";
    if (!C.write(Head + "Transfer-Encoding: chunked\r\n\r\n"))
      return false;
    for (; Next <= m_Figures.m_Events; ++Next) {
      const std::string Event = "id: " + std::to_string(Next) +
                                "\ndata: " + m_Figures.m_Version + "\n\n";
      char Size[16];
      snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      if (C.isClosed() || !C.write(Size + Event + "\r\n"))
        return false;
      if (Next < m_Figures.m_Events)
        sleepFor(Interval);
    }
    return C.write("0\r\n\r\n");
  }

public:
  std::chrono::duration<double> m_RestartTime = 3s; ///< After a poisoned run.

private:
  EngineFigures m_Figures;
  std::string m_BaseName;
  Address m_Address;
  Store &m_Store;
  std::mutex m_Mutex;
  Headers m_Extra;
  std::function<bool(const Request &)> m_IsPoison;
  int m_Sequence = 0, m_Lifetime = 0;
  std::atomic<bool> m_IsDown = false;
  std::vector<std::unique_ptr<Server>> m_Servers; ///< The last one serves.
};

} // namespace lab

#endif // CROWSTEP_REVIEW_LAB2_ENGINE_H
