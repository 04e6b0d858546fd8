/// Prompts of long conversations: one part for each turn. One part that crashes
/// the servers that begin to answer on it stands behind the first 32.
#include "engine.h"

using namespace lab;

namespace {

constexpr int Servers = 12;
constexpr double StreamsPerSecond = 20;
constexpr double PoisonInterval = 1;
constexpr double CalmTime = 8, Length = 60; ///< Seconds of traffic.
constexpr int Turns = 40, TokensInTurn = 60;
constexpr int DefaultPlace = 36; ///< Parts before the one that crashes servers.
const std::string PoisonPart = "badbadbad";

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

/// Lists a conversation of which others share all turns but the last, and, at
/// \p Place, the part that crashes servers; below 0: without it.
std::string partsOf(unsigned Conversation, int Place) {
  std::string Result;
  char Text[64];
  for (int I = 0; I < Turns; ++I) {
    if (I == Place)
      Result += PoisonPart + ":60,";
    snprintf(Text, sizeof(Text), "%x%02x:%d,", 0xa000 + Conversation, I,
             TokensInTurn);
    Result += Text;
  }
  return Result + newId().substr(8) + ":60";
}

Answer send(const Gateway &To, const std::string &Id,
            const std::string &Parts) {
  const int Tokens = (Turns + 2) * TokensInTurn;
  return call(To.m_Frontend, "POST", "/lohu930/2f",
              {{"Host", "ficu95.example"},
               {"X-Attempt-Id", Id},
               {"X-Key", "key-1"},
               {"X-Model", "m"},
               {"X-Token-Usage", std::to_string(Tokens) + ",80"},
               {"X-Prefix-Hash", Parts},
               {"X-Deadline-Ms", "10000"},
               {"Connection", "close"}},
              "prompt " + Id, 10s);
}

} // namespace

int main() {
  Record::get().open("record.txt");
  Deployment Fleet{Sheet()};
  Store &Rows = *Fleet.m_Store;
  Rows.put("op", "config", manifest());
  const bool Trouble = hasTrouble();
  const char *Stated = getenv("PLACE");
  const int Place = Stated == nullptr ? DefaultPlace : std::atoi(Stated);
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
      if (R.header("X-Prefix-Hash").find(PoisonPart) == std::string::npos)
        return false;
      const std::lock_guard Lock(Mutex);
      Arrivals.push_back(now());
      return Trouble;
    });
  }
  if (!Fleet.startAll())
    finish(Fleet, CouldNotRun, "the gateways did not get ready");
  sleepFor(5s);

  const double Begin = now(), End = Begin + Length;
  std::atomic<int> Sent = 0, Served = 0, Cut = 0, Open = 0;
  LAB_RECORD(
      "20 sound streams a second; each second from %.0f s on, one with a "
      "part that %s, behind %d others",
      Begin + CalmTime, Trouble ? "crashes servers" : "is sound", Place);
  std::thread Poison([&] {
    std::mt19937 Random(std::random_device{}());
    for (double At = Begin + CalmTime; At < End; At += PoisonInterval) {
      sleepFor(std::chrono::duration<double>(At - now()));
      const Gateway &To = *Fleet.m_Gateways[Random() % Fleet.m_Gateways.size()];
      std::thread([&, Conversation = static_cast<unsigned>(Random() % 20)] {
        const std::string Id = newId();
        const Answer Got = send(To, Id, partsOf(Conversation, Place));
        LAB_RECORD("%s, with the part, at %s: status %d %s", Id.c_str(),
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
    std::thread([&, Conversation = static_cast<unsigned>(Random() % 20)] {
      const std::string Id = newId();
      const Answer Got = send(To, Id, partsOf(Conversation, -1));
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

  // BUDGET: more than three requests with a part that crashes servers reach
  // servers later than contactMs after the fifth crash.
  int Crashes = 0;
  for (const auto &Server : Started)
    Crashes += Server->m_Crashes;
  const std::lock_guard Lock(Mutex);
  std::sort(Arrivals.begin(), Arrivals.end());
  int Late = 0;
  for (const double At : Arrivals)
    if (Trouble && Arrivals.size() >= 5 &&
        At > Arrivals[4] + Fleet.m_Sheet.m_ContactMs / 1000.0)
      ++Late;
  LAB_RECORD("%d crashes; %d runs later than contactMs after the fifth; sound "
             "streams: sent %d, served %d, cut or failed %d",
             Crashes, Late, Sent.load(), Served.load(), Cut.load());
  const std::string Text =
      std::to_string(Crashes) + " crashes, " + std::to_string(Late) +
      " runs later than contactMs after the fifth; " + std::to_string(Cut) +
      " of " + std::to_string(Sent) + " sound streams cut or failed";
  if (Arrivals.size() < 5 || (Trouble && Crashes < 5))
    finish(Fleet, CouldNotRun, Text.c_str());
  finish(Fleet, Late > 3 ? Broken : Held, Text.c_str());
}
