/// A request that crashes the servers that run it comes again and again, while
/// the servers of its service say that they are brittle.
#include "engine.h"

using namespace lab;

namespace {

constexpr int Servers = 12;
constexpr double StreamsPerSecond = 20;
constexpr double PoisonInterval = 1;
constexpr double CalmTime = 8, Length = 60; ///< Seconds of traffic.
const std::string PoisonBody = "a request that crashes servers";

Json manifest() {
  return {{"version", 7},
          {"routes", Json::array({{{"name", "r-1"},
                                   {"host", "ficu95.example"},
                                   {"prefix", "/lohu930/"},
                                   {"routeKind", "streaming"},
                                   {"timeoutMs", 10000},
                                   {"targetLatencyMs", 2000},
                                   {"priority", 1},
                                   {"service", "huvo11a"},
                                   {"maxAttempts", 2},
                                   {"anonymous", false},
                                   {"sticky", true},
                                   {"resumable", true},
                                   {"gapAimMs", 800}}})},
          {"services", Json::array({engineServiceJson("huvo11a")})},
          {"limits", limitsJson()},
          {"tenants",
           Json::array({{{"name", "hule930"}, {"apiKeys", {"key-1"}}}})}};
}

Answer send(const Gateway &To, const std::string &Id, const std::string &Body) {
  return call(To.m_Frontend, "POST", "/lohu930/2f",
              {{"Host", "ficu95.example"},
               {"X-Attempt-Id", Id},
               {"X-Key", "key-1"},
               {"X-Model", "m"},
               {"X-Token-Usage", "1460,80"},
               {"X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410," +
                                     Id.substr(Id.size() - 8) + ":250"},
               {"X-Deadline-Ms", "10000"},
               {"Connection", "close"}},
              Body, 10s);
}

} // namespace

int main() {
  Record::get().open("record.txt");
  Deployment Fleet{Sheet()};
  Store &Rows = *Fleet.m_Store;
  Rows.put("op", "config", manifest());
  const bool Trouble = hasTrouble();
  std::mutex Mutex;
  std::vector<double> Arrivals;
  std::vector<std::unique_ptr<EngineServer>> Started;
  for (int I = 0; I < Servers; ++I) {
    EngineFigures Figures;
    Figures.m_Name = "i-" + std::to_string(100 + I);
    Figures.m_Service = "huvo11a";
    Figures.m_Zone = Fleet.m_Sheet.m_Zones[static_cast<std::size_t>(I) % 4];
    Figures.m_Events = 20;
    Figures.m_Interval = 60ms;
    const std::string Ip = "127.0.42." + std::to_string(I + 1);
    Started.push_back(std::make_unique<EngineServer>(
        Figures, Address{Ip, freePort({Ip})}, Rows));
    Started.back()->m_Log = false;
    Started.back()->setPoison([&](const Request &R) {
      if (R.m_Body != PoisonBody)
        return false;
      const std::lock_guard Lock(Mutex);
      Arrivals.push_back(now());
      return true;
    });
    if (Trouble)
      Started.back()->setExtra({{"Server-Brittle", "3"}});
  }
  if (!Fleet.startAll())
    finish(Fleet, CouldNotRun, "the gateways did not get ready");
  sleepFor(5s);

  const double Begin = now(), End = Begin + Length;
  std::atomic<int> Sent = 0, Served = 0, Cut = 0, Open = 0;
  LAB_RECORD("servers %s; 20 sound streams a second, and one request that "
             "crashes servers each second from %.0f s on",
             Trouble ? "say Server-Brittle: 3" : "say nothing",
             Begin + CalmTime);
  std::thread Poison([&] {
    std::mt19937 Random(std::random_device{}());
    for (double At = Begin + CalmTime; At < End; At += PoisonInterval) {
      sleepFor(std::chrono::duration<double>(At - now()));
      const Gateway &To = *Fleet.m_Gateways[Random() % Fleet.m_Gateways.size()];
      std::thread([&] {
        const std::string Id = newId();
        const Answer Got = send(To, Id, PoisonBody);
        LAB_RECORD("%s, which crashes servers, at %s: status %d %s", Id.c_str(),
                   To.m_Name.c_str(), Got.m_Status, Got.m_Failure.c_str());
      }).detach();
    }
  });
  std::mt19937 Random(std::random_device{}());
  for (int I = 0; now() < End; ++I) {
    sleepFor(
        std::chrono::duration<double>(Begin + I / StreamsPerSecond - now()));
    const Gateway &To = *Fleet.m_Gateways[Random() % Fleet.m_Gateways.size()];
    ++Open;
    std::thread([&] {
      const std::string Id = newId();
      const Answer Got = send(To, Id, "sound " + Id);
      ++Sent;
      if (Got.m_Whole && Got.m_Status == 200) {
        ++Served;
      } else if (Got.m_Status == 502 || Got.m_Status == 200 ||
                 Got.m_Status == 0) {
        ++Cut;
        LAB_RECORD("sound %s at %s: status %d %s", Id.c_str(),
                   To.m_Name.c_str(), Got.m_Status, Got.m_Failure.c_str());
      }
      --Open;
    }).detach();
  }
  Poison.join();
  waitUntil([&] { return Open == 0; }, 11s);

  // BUDGET: a request that crashes the servers that run it reaches servers in
  // more than three retries later than contactMs after it has crashed the
  // third.
  int Crashes = 0;
  for (const auto &Server : Started)
    Crashes += Server->m_Crashes;
  const std::lock_guard Lock(Mutex);
  std::sort(Arrivals.begin(), Arrivals.end());
  int Late = 0;
  for (const double At : Arrivals)
    if (Arrivals.size() >= 3 &&
        At > Arrivals[2] + Fleet.m_Sheet.m_ContactMs / 1000.0)
      ++Late;
  LAB_RECORD("%d crashes; %d runs later than contactMs after the third; sound "
             "streams: sent %d, served %d, cut or failed %d",
             Crashes, Late, Sent.load(), Served.load(), Cut.load());
  const std::string Text =
      std::to_string(Crashes) + " crashes, " + std::to_string(Late) +
      " runs later than contactMs after the third; " + std::to_string(Cut) +
      " of " + std::to_string(Sent) + " sound streams cut or failed";
  if (Arrivals.size() < 3)
    finish(Fleet, CouldNotRun, Text.c_str());
  finish(Fleet, Late > 3 ? Broken : Held, Text.c_str());
}
