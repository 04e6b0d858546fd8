/// Streams that begin at a gateway after its SIGTERM, while the platform still
/// sends it channels, and that their callers take up elsewhere after it has cut
/// them. Servers of two software versions serve.
#include "engine.h"

using namespace lab;

namespace {

constexpr int Servers = 12;
constexpr double StreamsPerSecond = 20,
                 QuickPerSecond = 6; ///< Of 44 on the sheet.
constexpr unsigned ClientsInZone =
    10; ///< Of these, 7 are given the first gateway.
constexpr int Events = 17;
constexpr auto Interval = 480ms;
constexpr double Deadline = 10;
constexpr int Stops = 6;
constexpr double FirstStop = 6, StopInterval = 14.3; ///< Seconds of traffic.
constexpr double GraceS = 8, RestartDelay = 1;

Json routeJson(const char *Name, const char *Prefix, int Target, int Pause) {
  return {{"name", Name},       {"host", "ficu95.example"},
          {"prefix", Prefix},   {"routeKind", "streaming"},
          {"timeoutMs", 10000}, {"targetLatencyMs", Target},
          {"priority", 1},      {"service", "huvo11a"},
          {"maxAttempts", 2},   {"anonymous", false},
          {"sticky", true},     {"resumable", true},
          {"gapAimMs", Pause}};
}

Json manifest() {
  return {{"version", 7},
          {"routes", Json::array({routeJson("r-1", "/lohu930/", 2000, 800),
                                  routeJson("r-2", "/pufi791/", 300, 200)})},
          {"services", Json::array({engineServiceJson("huvo11a")})},
          {"limits", limitsJson()},
          {"tenants",
           Json::array({{{"name", "hule930"}, {"apiKeys", {"key-1"}}}})}};
}

/// The platform's choice of a gateway for a new channel: two misses in a row
/// take one out until it answers 200 again.
class Rotation {
public:
  explicit Rotation(Deployment &Fleet)
      : m_Fleet(Fleet), m_Misses(Fleet.m_Gateways.size()) {
    for (auto &Count : m_Misses)
      Count = 0;
    for (std::size_t I = 0; I < m_Misses.size(); ++I)
      std::thread([this, I] {
        while (true) {
          if (m_Fleet.m_Gateways[I]->isReady())
            m_Misses[I] = 0;
          else
            ++m_Misses[I];
          sleepFor(1s);
        }
      }).detach();
  }
  bool isIn(std::size_t Number) const { return m_Misses[Number] < 2; }
  /// Returns a gateway that is in, other than \p Except.
  std::size_t choose(std::mt19937 &Random, std::size_t Except) const {
    std::vector<std::size_t> In;
    for (std::size_t I = 0; I < m_Misses.size(); ++I)
      if (isIn(I) && I != Except)
        In.push_back(I);
    return In[Random() % In.size()];
  }

  /// Returns the gateway of a client: of its zone, by a hash of the client, so
  /// that the share of each is uneven.
  std::size_t chooseFor(std::mt19937 &Random) const {
    const std::size_t Zones = m_Fleet.m_Sheet.m_Zones.size();
    const std::size_t Zone = Random() % Zones;
    const std::size_t Own = Random() % ClientsInZone < 7 ? Zone : Zone + Zones;
    const std::size_t Other = Own == Zone ? Zone + Zones : Zone;
    return isIn(Own) ? Own : Other;
  }

private:
  Deployment &m_Fleet;
  std::vector<std::atomic<int>> m_Misses;
};

struct Counts {
  std::atomic<int> m_New = 0, m_Begun = 0, m_Complete = 0;
  std::atomic<int> m_TakenUp = 0, m_WentOn = 0, m_Mixed = 0;
};

struct Attempt {
  int m_Status = 0;
  int m_LastEvent = 0; ///< 0: none.
  std::set<std::string> m_Versions;
  bool m_Whole = false;
  std::string m_Failure;
};

/// Sends one attempt. \p CloseAt: the caller closes its channel then.
Attempt send(const Gateway &To, const std::string &Id,
             const std::string &Resumes, int LastEvent, double Until,
             double CloseAt) {
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
               const std::size_t Data = Event.find("data: ");
               Result.m_LastEvent = std::atoi(Event.c_str() + 4);
               Result.m_Versions.insert(Event.substr(Data + 6));
             }
             return now() < CloseAt;
           });
  Result.m_Status = Got.m_Status;
  Result.m_Whole = Got.m_Whole && Got.m_Status == 200;
  Result.m_Failure = Got.m_Failure;
  return Result;
}

} // namespace

int main() {
  Record::get().open("record.txt");
  Deployment Fleet{Sheet()};
  Store &Rows = *Fleet.m_Store;
  Rows.put("op", "config", manifest());
  std::vector<std::unique_ptr<EngineServer>> Started;
  for (int I = 0; I < Servers; ++I) {
    EngineFigures Figures;
    Figures.m_Name = "i-" + std::to_string(100 + I);
    Figures.m_Service = "huvo11a";
    Figures.m_Version = I % 2 == 0 ? "v1" : "v2";
    Figures.m_Zone = Fleet.m_Sheet.m_Zones[static_cast<std::size_t>(I) % 4];
    Figures.m_Events = Events;
    Figures.m_Interval = Interval;
    Figures.m_QuickPath = "/pufi791/";
    const std::string Ip = "127.0.42." + std::to_string(I + 1);
    Started.push_back(std::make_unique<EngineServer>(
        Figures, Address{Ip, freePort({Ip})}, Rows));
    Started.back()->m_Log = false;
  }
  if (!Fleet.startAll())
    finish(Fleet, CouldNotRun, "the gateways did not get ready");
  sleepFor(8s); // Until the gateways are linked.

  const bool Trouble = hasTrouble();
  const Rotation In(Fleet);
  Counts Seen;
  const double Begin = now();
  const double End = Begin + FirstStop + (Stops - 1) * StopInterval + 10;
  std::atomic<double> StoppedAt = -1000;
  Gateway &Stopped = *Fleet.m_Gateways[0];

  // The planned work: SIGTERM, and a start once the process has ended.
  std::thread Operator([&] {
    for (int I = 0; I < Stops; ++I) {
      const double At = Begin + FirstStop + I * StopInterval;
      sleepFor(std::chrono::duration<double>(At - now()));
      StoppedAt = now();
      if (!Trouble)
        continue;
      Stopped.signal(SIGTERM);
      if (!waitUntil([&] { return !Stopped.isRunning(); },
                     std::chrono::duration<double>(GraceS)))
        Stopped.kill(SIGKILL);
      sleepFor(std::chrono::duration<double>(RestartDelay));
      Stopped.start();
    }
    sleepFor(std::chrono::duration<double>(End - now() + 20));
  });

  std::atomic<int> Open = 0;
  const auto RunStream = [&](unsigned Seed) {
    std::mt19937 Random(Seed);
    const std::size_t First = In.chooseFor(Random);
    const double SentAt = now(), Until = SentAt + Deadline;
    const std::string Id = newId();
    // Without the stop, the caller closes its channel at the same time instead.
    const double CloseAt =
        !Trouble && First == 0 && SentAt > StoppedAt && SentAt < StoppedAt + 2
            ? StoppedAt + 7.8
            : 1e9;
    const Attempt Got =
        send(*Fleet.m_Gateways[First], Id, "", 0, Until, CloseAt);
    ++Seen.m_New;
    if (Got.m_LastEvent > 0)
      ++Seen.m_Begun;
    // A stream with all of its events needs no other attempt.
    if (Got.m_Whole || Got.m_LastEvent == 0 || Got.m_LastEvent == Events) {
      Seen.m_Complete += Got.m_Whole ? 1 : 0;
      if (Got.m_LastEvent == 0)
        LAB_RECORD("%s at %s: status %d %s, no event", Id.c_str(),
                   Fleet.m_Gateways[First]->m_Name.c_str(), Got.m_Status,
                   Got.m_Failure.c_str());
      return;
    }
    // The channel broke: the caller takes the stream up at another gateway.
    const std::size_t Next = In.choose(Random, First);
    const std::string NextId = newId();
    LAB_RECORD(
        "%s at %s, sent %.3f s after the stop: broken after event %d of %s "
        "(%s); taken up as %s at %s",
        Id.c_str(), Fleet.m_Gateways[First]->m_Name.c_str(), SentAt - StoppedAt,
        Got.m_LastEvent, Got.m_Versions.begin()->c_str(), Got.m_Failure.c_str(),
        NextId.c_str(), Fleet.m_Gateways[Next]->m_Name.c_str());
    const Attempt Second =
        send(*Fleet.m_Gateways[Next], NextId, Id, Got.m_LastEvent, Until, 1e9);
    ++Seen.m_TakenUp;
    if (Second.m_LastEvent > Got.m_LastEvent || Second.m_Whole)
      ++Seen.m_WentOn;
    std::set<std::string> Versions = Got.m_Versions;
    Versions.insert(Second.m_Versions.begin(), Second.m_Versions.end());
    if (Versions.size() > 1)
      ++Seen.m_Mixed;
    LAB_RECORD("%s: status %d %s, last event %d%s", NextId.c_str(),
               Second.m_Status, Second.m_Failure.c_str(), Second.m_LastEvent,
               Versions.size() > 1 ? ", of two versions" : "");
  };
  // Short streams with a smaller pause, as another kind of request.
  std::thread([&] {
    std::mt19937 Random(std::random_device{}());
    for (int I = 0; now() < End; ++I) {
      sleepFor(
          std::chrono::duration<double>(Begin + I / QuickPerSecond - now()));
      const std::size_t At = In.choose(Random, Fleet.m_Gateways.size());
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
  std::mt19937 Random(std::random_device{}());
  for (int I = 0; now() < End; ++I) {
    const double At = Begin + I / StreamsPerSecond;
    if (At > now())
      sleepFor(std::chrono::duration<double>(At - now()));
    ++Open;
    std::thread([&, Seed = Random()] {
      RunStream(static_cast<unsigned>(Seed));
      --Open;
    }).detach();
  }
  waitUntil([&] { return Open == 0; }, 12s);

  // LOST: of 12 or more streams that callers take up again, the share that goes
  // on is under half of the share of new streams that begin.
  LAB_RECORD(
      "new streams: %d, begun %d, complete %d; taken up: %d, went on %d; "
      "of two versions: %d",
      Seen.m_New.load(), Seen.m_Begun.load(), Seen.m_Complete.load(),
      Seen.m_TakenUp.load(), Seen.m_WentOn.load(), Seen.m_Mixed.load());
  const std::string Text =
      std::to_string(Seen.m_WentOn) + " of " + std::to_string(Seen.m_TakenUp) +
      " streams went on, " + std::to_string(Seen.m_Begun) + " of " +
      std::to_string(Seen.m_New) + " new ones began";
  if (Seen.m_TakenUp < 12)
    finish(Fleet, Trouble ? Held : CouldNotRun, Text.c_str());
  const bool IsBroken = Seen.m_WentOn / double(Seen.m_TakenUp) <
                        0.5 * Seen.m_Begun / double(Seen.m_New);
  finish(Fleet, IsBroken ? Broken : Held, Text.c_str());
}
