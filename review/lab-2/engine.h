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
      : m_Figures(std::move(Figures)), m_Store(Rows),
        m_Server(std::make_unique<Server>(
            At,
            [this](const Request &R, Connection &C) { return handle(R, C); })) {
    list("ready");
  }

  void list(const std::string &State) {
    Json Row = {{"service", m_Figures.m_Service},
                {"address", m_Server->m_Address.text()},
                {"zone", m_Figures.m_Zone},
                {"version", m_Figures.m_Version},
                {"slots", m_Figures.m_Slots},
                {"state", State},
                {"coldRemainingMs", 0},
                {"sequence", ++m_Sequence}};
    if (m_Figures.m_IsModel) {
      Row["phase"] = "colocated";
      Row["models"] = Json::array(
          {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}});
    }
    m_Store.put("servers", m_Figures.m_Name, Row);
  }
  void unlist() { m_Store.remove("servers", m_Figures.m_Name); }
  /// The process ends: all its channels are closed.
  void crash() {
    LAB_RECORD("server %s crashes", m_Figures.m_Name.c_str());
    m_Server->end();
  }
  const EngineFigures &figures() const { return m_Figures; }
  std::atomic<int> m_Runs = 0;
  std::atomic<int> m_Active = 0;

private:
  Headers baseHeaders(const Request &R) const {
    return {{"X-Attempt-Id", R.header("X-Attempt-Id")},
            {"X-Server-Signature", "3e1b." + m_Figures.m_Name},
            {"X-Instance-Id", m_Figures.m_Name},
            {"X-Weight-Versions", "1"},
            {"X-Server-Load", std::to_string(m_Active.load()) + ",0," +
                                  std::to_string(m_Figures.m_Slots)}};
  }
  bool handle(const Request &R, Connection &C) {
    if (R.m_Path == "/health")
      return C.write(
          answerText(200, {{"X-Instance-Id", m_Figures.m_Name}}, ""));
    if (R.m_Path == "/report")
      return C.write(answerText(
          200, {{"Content-Type", "application/json"}},
          Json{{"phase", "colocated"}, {"active", m_Active.load()}}.dump()));
    const std::string Expected = R.header("X-Expect-Instance");
    if (!Expected.empty() && Expected != m_Figures.m_Name)
      return C.write(
          answerText(421, {{"X-Instance-Id", m_Figures.m_Name}}, ""));
    if (R.header("X-Attempt-Id").empty())
      return C.write(answerText(400, {{"X-Not-Executed", "1"}}, ""));
    if (m_Active >= m_Figures.m_Slots)
      return C.write(answerText(503, {{"X-Not-Executed", "1"}}, ""));
    ++m_Active;
    ++m_Runs;
    const bool Kept = m_Figures.m_IsModel ? stream(R, C) : plain(R, C);
    --m_Active;
    return Kept;
  }
  bool plain(const Request &R, Connection &C) {
    LAB_RECORD("server %s runs %s", m_Figures.m_Name.c_str(),
               R.header("X-Attempt-Id").c_str());
    sleepFor(m_Figures.m_Work);
    if (C.isClosed())
      return false;
    return C.write(
        answerText(200, baseHeaders(R), "answer of " + m_Figures.m_Name));
  }
  bool stream(const Request &R, Connection &C) {
    const std::string Last = R.header("Last-Event-Id");
    const bool IsQuick = !m_Figures.m_QuickPath.empty() &&
                         R.m_Path.starts_with(m_Figures.m_QuickPath);
    const auto Interval = IsQuick ? 40ms : m_Figures.m_Interval;
    int Next = Last.empty() ? 1 : std::stoi(Last) + 1;
    if (m_Log)
      LAB_RECORD("server %s (%s) runs %s from event %d",
                 m_Figures.m_Name.c_str(), m_Figures.m_Version.c_str(),
                 R.header("X-Attempt-Id").c_str(), Next);
    std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    for (const auto &[Name, Value] : baseHeaders(R))
      Head += Name + ": " + Value + "\r\n";
    sleepFor(m_Figures.m_First);
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
  bool m_Log = true; ///< Each run is recorded.

private:
  EngineFigures m_Figures;
  Store &m_Store;
  int m_Sequence = 0;
  std::unique_ptr<Server> m_Server;
};

} // namespace lab

#endif // CROWSTEP_REVIEW_LAB2_ENGINE_H
