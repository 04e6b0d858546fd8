/// All gateways but one are killed at once. Callers take their streams up at
/// the one that is left, while servers of two software versions serve.
#include "engine.h"

using namespace lab;

namespace {

constexpr int Gateways = 13; ///< Those of kls-hopon with its spare ones.
constexpr int Servers = 12;
constexpr double StreamsPerSecond = 13, QuickPerSecond = 6;
constexpr int Events = 32;
constexpr auto Interval = 250ms;
constexpr double Deadline = 12;
constexpr double KillAt = 14, Length = 22; ///< Seconds of traffic.
constexpr double RestartDelay = 1;

Json routeJson(const char *Name, const char *Prefix, int Target, int Pause) {
  return {{"name", Name},       {"host", "ficu95.example"},
          {"prefix", Prefix},   {"routeKind", "streaming"},
          {"timeoutMs", 12000}, {"targetLatencyMs", Target},
          {"priority", 1},      {"service", "huvo11a"},
          {"maxAttempts", 2},   {"anonymous", false},
          {"sticky", true},     {"resumable", true},
          {"gapAimMs", Pause}};
}

Json manifest() {
  return {{"version", 7},
          {"routes", Json::array({routeJson("r-1", "/lohu930/", 2000, 600),
                                  routeJson("r-2", "/pufi791/", 400, 150)})},
          {"services", Json::array({engineServiceJson("huvo11a")})},
          {"limits", limitsJson()},
          {"tenants",
           Json::array({{{"name", "hule930"}, {"apiKeys", {"key-1"}}}})}};
}

struct Attempt {
  int m_Status = 0;
  int m_LastEvent = 0; ///< 0: none.
  std::set<std::string> m_Versions;
  bool m_Whole = false;
  std::string m_Failure;
};

/// Sends one attempt. The caller closes its channel once \p Leaves is set.
Attempt send(const Gateway &To, const std::string &Id,
             const std::string &Resumes, int LastEvent, double Until,
             const std::atomic<bool> *Leaves) {
  Headers Fields = {{"Host", "ficu95.example"},
                    {"X-Attempt-Id", Id},
                    {"X-Key", "key-1"},
                    {"X-Model", "m"},
                    {"X-Token-Usage", "1460,80"},
                    {"X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410," +
                                          Id.substr(Id.size() - 8) + ":250"},
                    {"X-Deadline-Ms",
                     std::to_string(static_cast<int>((Until - now()) * 1000))},
                    {"Connection", "close"}};
  if (!Resumes.empty()) {
    Fields.emplace_back("Last-Event-Id", std::to_string(LastEvent));
    Fields.emplace_back("Resumes", Resumes);
  }
  Attempt Result;
  Result.m_LastEvent = LastEvent;
  std::string Pending;
  const Answer Got =
      call(To.m_Frontend, "POST", "/lohu930/2f", Fields, "prompt",
           std::chrono::duration<double>(Until - now()),
           [&](const std::string &Bytes) {
             Pending += Bytes;
             for (std::size_t End = 0;
                  (End = Pending.find("\n\n")) != std::string::npos;) {
               const std::string Event = Pending.substr(0, End);
               Pending.erase(0, End + 2);
               Result.m_LastEvent = std::atoi(Event.c_str() + 4);
               Result.m_Versions.insert(Event.substr(Event.find("data: ") + 6));
             }
             return Leaves == nullptr || !*Leaves;
           });
  Result.m_Status = Got.m_Status;
  Result.m_Whole = Got.m_Whole && Got.m_Status == 200;
  Result.m_Failure = Got.m_Failure;
  return Result;
}

} // namespace

int main() {
  Record::get().open("record.txt");
  Sheet Figures;
  Figures.m_Gateways = Gateways;
  Figures.m_MemoryMb = 260;
  Figures.m_RetrySlack = 58;
  Figures.m_Zones = {"njiro", "sakina", "kijenge", "themi"};
  Deployment Fleet{Figures};
  Store &Rows = *Fleet.m_Store;
  Rows.put("op", "config", manifest());
  std::vector<std::unique_ptr<EngineServer>> Started;
  for (int I = 0; I < Servers; ++I) {
    EngineFigures Engine;
    Engine.m_Name = "i-" + std::to_string(100 + I);
    Engine.m_Service = "huvo11a";
    Engine.m_Version = I % 2 == 0 ? "v1" : "v2";
    Engine.m_Zone = Figures.m_Zones[static_cast<std::size_t>(I) % 4];
    Engine.m_Events = Events;
    Engine.m_Interval = Interval;
    Engine.m_QuickPath = "/pufi791/";
    const std::string Ip = "127.0.42." + std::to_string(I + 1);
    Started.push_back(std::make_unique<EngineServer>(
        Engine, Address{Ip, freePort({Ip})}, Rows));
    Started.back()->m_Log = false;
  }
  if (!Fleet.startAll())
    finish(Fleet, CouldNotRun, "the gateways did not get ready");
  sleepFor(8s); // Until the gateways are linked.

  const bool Trouble = hasTrouble();
  std::mt19937 Random(std::random_device{}());
  const std::size_t Left = Random() % Gateways;
  const double Begin = now(), End = Begin + Length;
  std::atomic<bool> Leaves = false, IsKilled = false;
  std::atomic<int> New = 0, Begun = 0, TakenUp = 0, WentOn = 0, Mixed = 0;
  std::atomic<int> Open = 0;
  std::map<int, int> Statuses;
  std::mutex Mutex;

  std::thread Platform([&] {
    sleepFor(std::chrono::duration<double>(Begin + KillAt - now()));
    LAB_RECORD("%s but %s",
               Trouble ? "all gateways are killed" : "all callers leave",
               Fleet.m_Gateways[Left]->m_Name.c_str());
    if (!Trouble) {
      Leaves = true;
      return;
    }
    IsKilled = true;
    for (std::size_t I = 0; I < Gateways; ++I)
      if (I != Left)
        ::kill(Fleet.m_Gateways[I]->m_Pid, SIGKILL);
    for (std::size_t I = 0; I < Gateways; ++I)
      if (I != Left)
        Fleet.m_Gateways[I]->kill(SIGKILL);
    sleepFor(std::chrono::duration<double>(RestartDelay));
    for (std::size_t I = 0; I < Gateways; ++I)
      if (I != Left)
        Fleet.m_Gateways[I]->start();
    sleepFor(60s);
  });

  const auto RunStream = [&](std::size_t First) {
    const double Until = now() + Deadline;
    const std::string Id = newId();
    const bool IsEarly = now() < Begin + KillAt;
    const Attempt Got = send(*Fleet.m_Gateways[First], Id, "", 0, Until,
                             First == Left ? nullptr : &Leaves);
    if (IsEarly && (Got.m_LastEvent > 0 || !IsKilled)) {
      ++New;
      Begun += Got.m_LastEvent > 0 ? 1 : 0;
    }
    // A stream with all of its events needs no other attempt.
    if (Got.m_Whole || Got.m_LastEvent == 0 || Got.m_LastEvent == Events)
      return;
    const std::string NextId = newId();
    const Attempt Second = send(*Fleet.m_Gateways[Left], NextId, Id,
                                Got.m_LastEvent, Until, nullptr);
    ++TakenUp;
    if (Second.m_LastEvent > Got.m_LastEvent || Second.m_Whole)
      ++WentOn;
    std::set<std::string> Versions = Got.m_Versions;
    Versions.insert(Second.m_Versions.begin(), Second.m_Versions.end());
    Mixed += Versions.size() > 1 ? 1 : 0;
    LAB_RECORD("%s at %s: broken after event %d of %s (%s); taken up as %s: "
               "status %d %s, last event %d%s",
               Id.c_str(), Fleet.m_Gateways[First]->m_Name.c_str(),
               Got.m_LastEvent, Got.m_Versions.begin()->c_str(),
               Got.m_Failure.c_str(), NextId.c_str(), Second.m_Status,
               Second.m_Failure.c_str(), Second.m_LastEvent,
               Versions.size() > 1 ? ", of two versions" : "");
    const std::lock_guard Lock(Mutex);
    ++Statuses[Second.m_Status];
  };
  // Short streams with a smaller pause, as another kind of request.
  std::thread([&] {
    std::mt19937 Own(std::random_device{}());
    for (int I = 0; now() < Begin + KillAt; ++I) {
      sleepFor(
          std::chrono::duration<double>(Begin + I / QuickPerSecond - now()));
      const std::size_t At = Own() % Gateways;
      std::thread([&, At] {
        call(Fleet.m_Gateways[At]->m_Frontend, "POST", "/pufi791/2f",
             {{"Host", "ficu95.example"},
              {"X-Attempt-Id", newId()},
              {"X-Key", "key-1"},
              {"X-Model", "m"},
              {"X-Token-Usage", "400,80"},
              {"X-Prefix-Hash", "7c1e07a2:200," + newId().substr(8) + ":200"},
              {"X-Deadline-Ms", "10000"},
              {"Connection", "close"}},
             "prompt", 10s);
      }).detach();
    }
  }).detach();
  for (int I = 0; now() < Begin + KillAt - 0.1; ++I) {
    sleepFor(
        std::chrono::duration<double>(Begin + I / StreamsPerSecond - now()));
    const std::size_t First = Random() % Gateways;
    ++Open;
    std::thread([&, First] {
      RunStream(First);
      --Open;
    }).detach();
  }
  waitUntil([&] { return Open == 0; },
            std::chrono::duration<double>(End - now() + Deadline));

  // LOST: of 12 or more streams that callers take up again, the share that goes
  // on is under half of the share of new streams that begin.
  std::string Text;
  for (const auto &[Status, Count] : Statuses)
    Text += " " + std::to_string(Count) + " x " + std::to_string(Status);
  LAB_RECORD("statuses of the streams taken up:%s; of two versions: %d",
             Text.c_str(), Mixed.load());
  Text = std::to_string(WentOn) + " of " + std::to_string(TakenUp) +
         " streams went on, " + std::to_string(Begun) + " of " +
         std::to_string(New) + " new ones began";
  if (TakenUp < 12)
    finish(Fleet, CouldNotRun, Text.c_str());
  const bool IsBroken =
      WentOn / double(TakenUp) < 0.5 * Begun / double(std::max(New.load(), 1));
  finish(Fleet, IsBroken ? Broken : Held, Text.c_str());
}
