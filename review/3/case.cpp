/// Usage reports after a drill in which the store comes back from a copy that
/// is older than the last report. Machines were added before, as planned work.
#include "engine.h"

#include <algorithm>

using namespace lab;

namespace {

constexpr std::size_t FirstGateways = 3;
constexpr std::size_t AddedGateways = 3;
constexpr double AddedCpuShare = 0.5;

/// Time after the drill in which windows that ended before it are reported.
constexpr milliseconds TimeAfterDrill(20000);

/// The platform's side of the usage reports. It accepts each of them.
class Platform {
public:
  explicit Platform(Record &Log)
      : m_Record(Log),
        m_Server([this](const Message &Request, Connection &Peer) {
          return handle(Request, Peer);
        }) {}

  [[nodiscard]] std::string address() const { return m_Server.address(); }

  /// Returns the number of accepted reports that count any request.
  int reportsWithRequests() {
    const std::lock_guard Lock(m_Mutex);
    return static_cast<int>(
        std::ranges::count_if(m_Reports, [](const auto &Entry) {
          return !Entry.second.begin()->empty();
        }));
  }

  /// Returns the windows for which different counts were accepted.
  std::vector<std::uint64_t> contradictedWindows() {
    const std::lock_guard Lock(m_Mutex);
    std::vector<std::uint64_t> Result;
    for (const auto &[Window, Counts] : m_Reports)
      if (Counts.size() > 1)
        Result.push_back(Window);
    return Result;
  }

private:
  bool handle(const Message &Request, Connection &Peer) {
    const Json Body = Json::parse(Request.m_Body);
    m_Record.line(Request.m_Start + " of " + Request.header("x-duty-holder") +
                  " with number " + Request.header("x-fencing-token") + ": " +
                  Body.dump());
    if (Request.target() == "/usage") {
      const std::lock_guard Lock(m_Mutex);
      m_Reports[Body.at("windowNumber").get<std::uint64_t>()].insert(
          Body.at("counts"));
    }
    return Peer.write(answerText(200, "", ""));
  }

  Record &m_Record;                                  ///< Outlives the platform.
  std::mutex m_Mutex;                                ///< Guards m_Reports.
  std::map<std::uint64_t, std::set<Json>> m_Reports; ///< Counts by window.
  Server m_Server;                                   ///< For the gateways.
};

class Case {
public:
  explicit Case(const std::string &RecordFile) : m_Record(RecordFile) {}
  int play();
  [[noreturn]] void end(int Code) { endScript(Code, m_Gateways, m_Folder); }

private:
  bool addGateways(std::size_t Count, double CpuShare);
  bool waitForReports(int Count);
  void sendRequests(std::size_t Number);
  void restoreStore();

  Record m_Record;
  TemporaryFolder m_Folder;
  Store m_Store;
  Platform m_Platform{m_Record};
  Engine m_Engine{"i-1", "v1", {milliseconds(20)}, m_Record};
  std::vector<std::unique_ptr<Gateway>> m_Gateways;
  std::vector<std::thread> m_Clients;
  std::atomic<bool> m_IsOver = false;
};

bool Case::addGateways(std::size_t Count, double CpuShare) {
  const std::size_t Before = m_Gateways.size();
  for (std::size_t I = 1; I <= Count; ++I) {
    m_Gateways.push_back(std::make_unique<Gateway>(
        GatewaySettings{"edge-" + std::to_string(Before + I), m_Store.address(),
                        m_Platform.address(), CpuShare},
        m_Folder.path()));
    m_Gateways.back()->start();
    m_Record.line(m_Gateways.back()->name() + " starts, with a cpuShare of " +
                  std::to_string(CpuShare));
  }
  return areAllReady(m_Gateways, milliseconds(10000));
}

/// Waits until \p Count more windows with requests are reported.
bool Case::waitForReports(int Count) {
  const int Last = m_Platform.reportsWithRequests() + Count;
  return waitFor([&] { return m_Platform.reportsWithRequests() >= Last; },
                 milliseconds(5000) * Count + milliseconds(15000));
}

/// A client that sends some requests a second, each on a new channel.
void Case::sendRequests(std::size_t Number) {
  int Answered = 0;
  for (int I = 0; !m_IsOver; ++I) {
    sleepFor(milliseconds(100));
    const auto Channel = Connection::open(m_Gateways[Number]->port());
    if (Channel == nullptr)
      continue;
    Channel->write(
        requestText("GET", "/plain/x",
                    "c" + std::to_string(Number) + "-" + std::to_string(I),
                    "X-Deadline-Ms: 4000\r\nConnection: close\r\n"));
    const auto Answer = Channel->readHead();
    Answered += Answer && Answer->status() == 200 ? 1 : 0;
  }
  m_Record.line("client " + std::to_string(Number) + " got " +
                std::to_string(Answered) + " answers");
}

/// The store is away for a moment and comes back from its copy; the engine
/// writes its entry again.
void Case::restoreStore() {
  m_Record.line("the store is away");
  m_Store.goAway();
  sleepFor(milliseconds(500));
  m_Store.comeBack();
  m_Record.line("the store is back from its copy");
  sleepFor(milliseconds(500));
  m_Engine.list(m_Store);
}

int Case::play() {
  m_Store.put("op", "config", manifest().dump());
  m_Engine.list(m_Store);
  if (!addGateways(FirstGateways, GatewaySettings().m_CpuShare))
    return CouldNotRun;
  for (std::size_t I = 0; I < FirstGateways; ++I)
    m_Clients.emplace_back([this, I] { sendRequests(I); });
  if (!waitForReports(1) || !addGateways(AddedGateways, AddedCpuShare) ||
      !waitForReports(4))
    return CouldNotRun;
  // Between two reports: the next one is written after the copy.
  sleepFor(milliseconds(1000));
  m_Store.takeCopy();
  m_Record.line("the store's copy is of this moment");
  if (!waitForReports(1))
    return CouldNotRun;
  sleepFor(milliseconds(1000));
  if (hasTrouble())
    restoreStore();
  sleepFor(TimeAfterDrill);
  m_IsOver = true;
  for (std::thread &Client : m_Clients)
    Client.join();
  const auto Windows = m_Platform.contradictedWindows();
  for (const std::uint64_t Window : Windows)
    m_Record.line(
        "two reports with different counts were accepted for window " +
        std::to_string(Window));
  m_Record.line(std::to_string(m_Platform.reportsWithRequests()) +
                " windows reported, " + std::to_string(Windows.size()) +
                " of them twice and differently");
  return Windows.empty() ? RuleHeld : RuleBroken;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2)
    return CouldNotRun;
  Case Played(Argv[1]);
  Played.end(Played.play());
}
