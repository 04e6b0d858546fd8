/// Starts the processes of a fleet, injects faults and reads records.
#include "process/fleet.h"

#include "contract/contract_func.h"
#include "core/digest.h"

#include <sstream>

namespace crowstep::test {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr const char *DefaultTable =
    "id,class,service,model,tier,weight,first_token_ms,token_ms,total_ms,"
    "max_tokens,repeatable,preemptible,retry_percent\n"
    "1,check,desk,,1,40,500,0,5000,0,yes,no,50\n"
    "2,hold,desk,,1,40,500,0,5000,0,no,no,50\n"
    "3,urgent,writer,m,1,40,1000,100,20000,2000,yes,no,50\n"
    "4,guide,writer,m,5,10,10000,200,60000,2000,yes,yes,50\n";
constexpr const char *LinkKey = "link-key-of-tests";
constexpr const char *WorkspaceKey = "workspace-key";
constexpr const char *OtherWorkspaceKey = "other-workspace-key";
constexpr const char *OperatorKey = "operator-key";
constexpr std::uint32_t Loopback = 0x7f000001;

Address freeAddress() { return {Loopback, freePort()}; }

json workspaceRow(int Id, const std::string &Name, const std::string &Key,
                  bool Operator) {
  const json Value = {{"id", Id},
                      {"name", Name},
                      {"key_hash", sha256Hex(Key)},
                      {"operator", Operator}};
  return {{"key", std::to_string(Id)}, {"value", Value.dump()}};
}

std::string section(const std::string &Name) { return "[" + Name + "]\n"; }

std::string setting(const std::string &Key, const std::string &Value) {
  return Key + " = " + Value + "\n";
}

} // namespace

Fleet::Fleet(FleetPlan Plan)
    : m_Plan(std::move(Plan)), m_PlatformAddress(freeAddress()) {
  planUpstreams();
  for (std::size_t Index = 1; Index <= m_Plan.m_InstanceCount; ++Index) {
    TestInstance Instance;
    Instance.m_Name = "crowstep-" + std::to_string(Index);
    Instance.m_LinkAddress = freeAddress();
    Instance.m_AdminAddress = freeAddress();
    Instance.m_CallerAddress = freeAddress();
    m_Instances.push_back(std::move(Instance));
  }
}

Fleet::~Fleet() = default;

void Fleet::planUpstreams() {
  const auto Add = [this](const std::string &Service, std::size_t Count) {
    for (std::size_t Index = 1; Index <= Count; ++Index) {
      const Address Listen = freeAddress();
      m_UpstreamList.push_back(
          {Service + "-" + std::to_string(Index), Service, Listen,
           m_Plan.m_RelayUpstreams ? std::make_unique<Relay>(Listen)
                                   : nullptr});
    }
  };
  Add("writer", m_Plan.m_EngineCount);
  Add("desk", m_Plan.m_ServiceCount);
}

std::string Fleet::platformSeed() const {
  ContractTable Table = contract::readCsv(
      m_Plan.m_TableCsv.empty() ? DefaultTable : m_Plan.m_TableCsv);
  Table.m_Version = TableVersion(1);
  json Instances = json::array();
  for (const TestInstance &Instance : m_Instances)
    Instances.push_back({{"name", Instance.m_Name},
                         {"link", toString(Instance.m_LinkAddress)},
                         {"zone", "njiro"},
                         {"leaving", false}});
  json Upstreams = json::array();
  for (const TestUpstream &Upstream : m_UpstreamList) {
    const bool IsEngine = Upstream.m_Service == "writer";
    json Row = {
        {"name", Upstream.m_Name},
        {"service", Upstream.m_Service},
        {"address", toString(Upstream.m_Relay ? Upstream.m_Relay->address()
                                              : Upstream.m_Address)},
        {"zone", "njiro"},
        {"leaving", false},
        {"kind", IsEngine ? "engine" : "service"},
        {"slots", IsEngine ? m_Plan.m_SlotsPerEngine : 32}};
    if (IsEngine)
      Row.update(
          {{"models", {"m"}}, {"can_resume", true}, {"checks_fencing", true}});
    Upstreams.push_back(Row);
  }
  // Seeds the voters that a fleet has after its first seconds. Without them an
  // outage of the table service in those seconds ends every right to serve.
  json Document = json::parse(contract::writeJson(Table));
  for (const TestInstance &Instance : m_Instances)
    Document["voters"].push_back(Instance.m_Name);
  const json Workspaces = {workspaceRow(1, "first", WorkspaceKey, false),
                           workspaceRow(2, "second", OtherWorkspaceKey, false),
                           workspaceRow(1000, "operator", OperatorKey, true)};
  const json Seed = {
      {"tables",
       {{"contracts", {{{"key", "current"}, {"value", Document.dump()}}}},
        {"workspaces", Workspaces}}},
      {"instances", {{"instances", Instances}, {"upstreams", Upstreams}}}};
  return Seed.dump();
}

void Fleet::startPlatform() {
  const std::string Seed = m_Folder.write("seed.json", platformSeed());
  m_Platform = std::make_unique<Process>(
      m_Folder, "tests/standin-platform", "platform",
      section("platform") + setting("listen", toString(m_PlatformAddress)) +
          setting("seed", Seed));
}

void Fleet::startUpstreams() {
  std::string Text;
  std::size_t Number = 0;
  for (const TestUpstream &Upstream : m_UpstreamList) {
    const bool IsEngine = Upstream.m_Service == "writer";
    Text +=
        section((IsEngine ? "engine-" : "service-") + std::to_string(++Number));
    Text += setting("name", Upstream.m_Name);
    Text += setting("listen", toString(Upstream.m_Address));
    Text += setting("service", Upstream.m_Service);
    if (IsEngine)
      Text += setting("slots", std::to_string(m_Plan.m_SlotsPerEngine)) +
              m_Plan.m_EngineSettings;
    else
      Text += m_Plan.m_ServiceSettings;
  }
  m_Upstreams = std::make_unique<Process>(m_Folder, "tests/standin-engine",
                                          "upstreams", Text);
}

void Fleet::startInstance(std::size_t Index) {
  TestInstance &Instance = m_Instances.at(Index);
  const std::string StartSuffix = "-" + std::to_string(++m_StartCount);
  const std::string InstanceSection = section("instance") +
                                      setting("name", Instance.m_Name) +
                                      setting("zone", "njiro");
  const std::string LinkSection = section("link") + setting("key", LinkKey);
  std::string Dispatchers = toString(Instance.m_LinkAddress);
  for (const TestInstance &Other : m_Instances)
    if (Other.m_Name != Instance.m_Name)
      Dispatchers += ";" + toString(Other.m_LinkAddress);
  Instance.m_Dispatcher = std::make_unique<Process>(
      m_Folder, "crowstep-dispatcher",
      "dispatcher-" + Instance.m_Name + StartSuffix,
      InstanceSection + section("dispatcher") +
          setting("link_listen", toString(Instance.m_LinkAddress)) +
          setting("admin_listen", toString(Instance.m_AdminAddress)) +
          LinkSection + setting("seeds", Dispatchers) + section("platform") +
          setting("address", toString(m_PlatformAddress)),
      m_Plan.m_Limits);
  Instance.m_Entry = std::make_unique<Process>(
      m_Folder, "crowstep-entry", "entry-" + Instance.m_Name + StartSuffix,
      InstanceSection + section("entry") +
          setting("listen", toString(Instance.m_CallerAddress)) +
          setting("home", Dispatchers) + LinkSection,
      m_Plan.m_Limits);
}

/// Waits until the platform listens: an instance that starts earlier retries
/// only after its polling interval, and knows no upstream until then.
void Fleet::waitForPlatform() {
  Call Probe;
  Probe.m_Method = "GET";
  Probe.m_Address = m_PlatformAddress;
  Probe.m_Path = "/";
  std::shared_ptr<const CallResult> Answer;
  const bool Listens = runUntil(
      [&] {
        if (Answer == nullptr || (Answer->m_Ended && Answer->m_Status == 0))
          Answer = m_Caller.start(Probe);
        return Answer->m_Ended && Answer->m_Status != 0;
      },
      20s);
  if (!Listens)
    throw FleetNotReady("platform stand-in did not answer within 20 s:\n" +
                        logs());
}

void Fleet::start() {
  startPlatform();
  waitForPlatform();
  startUpstreams();
  for (std::size_t Index = 0; Index < m_Instances.size(); ++Index)
    startInstance(Index);
  for (std::size_t Index = 0; Index < m_Instances.size(); ++Index)
    if (!waitUntilReady(Index, 20s))
      throw FleetNotReady("instance " + std::to_string(Index + 1) +
                          " did not become ready within 20 s:\n" + logs());
}

bool Fleet::waitUntilReady(std::size_t Index, Duration Limit) {
  Call Probe;
  Probe.m_Method = "GET";
  Probe.m_Address = m_Instances.at(Index).m_CallerAddress;
  Probe.m_Path = "/readyz";
  std::shared_ptr<const CallResult> Answer;
  return runUntil(
      [&] {
        if (Answer == nullptr || (Answer->m_Ended && Answer->m_Status != 200))
          Answer = m_Caller.start(Probe);
        return Answer->m_Ended && Answer->m_Status == 200;
      },
      Limit);
}

const Address &Fleet::upstreamAddress(const std::string &Name) const {
  for (const TestUpstream &Upstream : m_UpstreamList)
    if (Upstream.m_Name == Name)
      return Upstream.m_Address;
  throw FleetNotReady("unknown upstream " + Name);
}

Call Fleet::chatCall(std::size_t Index, const std::string &Class,
                     std::size_t Tokens, bool Streamed,
                     const std::string &Prompt) const {
  Call Request;
  Request.m_Address = m_Instances.at(Index).m_CallerAddress;
  Request.m_Path = "/v1/chat/completions";
  const std::string Content = Prompt + " [len=" + std::to_string(Tokens) + "]";
  const json Message = {{"role", "user"}, {"content", Content}};
  Request.m_Body = json{
      {"messages", json::array({Message})},
      {"max_tokens", Tokens},
      {"stream",
       Streamed}}.dump();
  Request.m_Headers = {{"Authorization", std::string("Bearer ") + WorkspaceKey},
                       {"Crowstep-Class", Class}};
  return Request;
}

Call Fleet::deskCall(std::size_t Index, const std::string &Class,
                     const std::string &Key, const std::string &Body) const {
  Call Request;
  Request.m_Address = m_Instances.at(Index).m_CallerAddress;
  Request.m_Path = "/v1/services/desk/" + Class;
  Request.m_Body = Body;
  Request.m_Headers = {{"Authorization", std::string("Bearer ") + WorkspaceKey},
                       {"Crowstep-Class", Class}};
  if (!Key.empty())
    Request.m_Headers["Idempotency-Key"] = Key;
  return Request;
}

void Fleet::setPlatformFault(const std::string &Target, const std::string &Mode,
                             int DelayMs, int Count) {
  m_Caller.json("POST", m_PlatformAddress, "/faults",
                {{"target", Target},
                 {"mode", Mode},
                 {"delay_ms", DelayMs},
                 {"count", Count}});
}

void Fleet::setUpstreamBlocked(const std::string &Name, bool Cut) {
  for (const TestUpstream &Upstream : m_UpstreamList)
    if (Upstream.m_Name == Name && Cut)
      Upstream.m_Relay->block();
    else if (Upstream.m_Name == Name)
      Upstream.m_Relay->unblock();
}

void Fleet::setUpstreamFault(const std::string &Name, const json &Fault) {
  m_Caller.json("POST", upstreamAddress(Name), "/faults", Fault);
}

std::vector<RecordedCall> Fleet::recordedCalls(const std::string &Service) {
  std::vector<RecordedCall> Result;
  for (const TestUpstream &Upstream : m_UpstreamList) {
    if (Upstream.m_Service != Service)
      continue;
    const json Record = m_Caller.json("GET", Upstream.m_Address, "/record");
    for (const json &Row : Record.value("calls", json::array()))
      Result.push_back({Upstream.m_Name, Row.value("key", ""),
                        Row.value("finished", false),
                        Row.value("generated", std::uint64_t(0))});
  }
  return Result;
}

double Fleet::readMetric(const Address &Server, const std::string &Series) {
  Call Probe;
  Probe.m_Method = "GET";
  Probe.m_Address = Server;
  Probe.m_Path = "/metrics";
  std::istringstream Lines(m_Caller.call(Probe).m_Body);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Series + " "))
      return std::stod(Line.substr(Series.size() + 1));
  return 0;
}

std::string Fleet::ownerOf(const std::string &Service) {
  for (const TestInstance &Instance : m_Instances) {
    if (Instance.m_Dispatcher == nullptr || !Instance.m_Dispatcher->isRunning())
      continue;
    const json Status = m_Caller.json("GET", Instance.m_AdminAddress,
                                      "/v1/status", nullptr, OperatorKey);
    for (const json &Pool : Status.value("pools", json::array()))
      if (Pool.value("service", "") == Service)
        return Instance.m_Name;
  }
  return {};
}

std::string Fleet::logs() const {
  std::string Result;
  const auto Add = [&](const char *Title, const Process *Source) {
    if (Source != nullptr)
      Result += std::string("---- ") + Title + "\n" + Source->log();
  };
  Add("platform", m_Platform.get());
  Add("upstreams", m_Upstreams.get());
  for (const TestInstance &Instance : m_Instances) {
    Add((Instance.m_Name + " dispatcher").c_str(), Instance.m_Dispatcher.get());
    Add((Instance.m_Name + " entry").c_str(), Instance.m_Entry.get());
  }
  return Result;
}

bool isCompleteAnswer(const std::string &Text, std::size_t Tokens) {
  std::istringstream Words(Text);
  std::string Word;
  std::string Prompt;
  std::size_t Next = 0;
  for (; Words >> Word; ++Next) {
    const std::size_t Dot = Word.find('.');
    if (Dot == std::string::npos ||
        Word.substr(0, Dot) != "t" + std::to_string(Next))
      return false;
    const std::string Hash = Word.substr(Dot + 1);
    if (Next == 0)
      Prompt = Hash;
    if (Hash != Prompt)
      return false;
  }
  return Next == Tokens;
}

} // namespace crowstep::test
