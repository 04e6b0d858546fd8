/// Starting, faulting and asking of a whole fleet.
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

Address freshAddress() { return {Loopback, freePort()}; }

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
    : m_Plan(std::move(Plan)), m_PlatformAddress(freshAddress()) {
  planUpstreams();
  for (std::size_t Index = 1; Index <= m_Plan.m_Instances; ++Index) {
    TestInstance Each;
    Each.m_Name = "crowstep-" + std::to_string(Index);
    Each.m_Link = freshAddress();
    Each.m_Admin = freshAddress();
    Each.m_Callers = freshAddress();
    m_Instances.push_back(std::move(Each));
  }
}

Fleet::~Fleet() = default;

void Fleet::planUpstreams() {
  const auto Add = [this](const std::string &Service, std::size_t Count) {
    for (std::size_t Index = 1; Index <= Count; ++Index) {
      const Address Where = freshAddress();
      m_UpstreamList.push_back(
          {Service + "-" + std::to_string(Index), Service, Where,
           m_Plan.m_CanCutUpstreams ? std::make_unique<Relay>(Where)
                                    : nullptr});
    }
  };
  Add("writer", m_Plan.m_Engines);
  Add("desk", m_Plan.m_Services);
}

std::string Fleet::platformSeed() const {
  ContractTable Table =
      contract::readCsv(m_Plan.m_Table.empty() ? DefaultTable : m_Plan.m_Table);
  Table.m_Version = TableVersion(1);
  json Instances = json::array();
  for (const TestInstance &Each : m_Instances)
    Instances.push_back({{"name", Each.m_Name},
                         {"link", toString(Each.m_Link)},
                         {"zone", "njiro"},
                         {"leaving", false}});
  json Upstreams = json::array();
  for (const TestUpstream &Each : m_UpstreamList) {
    const bool IsEngine = Each.m_Service == "writer";
    json Row = {{"name", Each.m_Name},
                {"service", Each.m_Service},
                {"address", toString(Each.m_Relay ? Each.m_Relay->address()
                                                  : Each.m_Address)},
                {"zone", "njiro"},
                {"leaving", false},
                {"kind", IsEngine ? "engine" : "service"},
                {"slots", IsEngine ? m_Plan.m_Slots : 32}};
    if (IsEngine)
      Row.update(
          {{"models", {"m"}}, {"can_resume", true}, {"checks_fencing", true}});
    Upstreams.push_back(Row);
  }
  // Voters as after the first seconds of a fleet; without them an outage of the
  // table service in those seconds ends every right to serve.
  json Document = json::parse(contract::writeJson(Table));
  for (const TestInstance &Each : m_Instances)
    Document["voters"].push_back(Each.m_Name);
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
  for (const TestUpstream &Each : m_UpstreamList) {
    const bool IsEngine = Each.m_Service == "writer";
    Text +=
        section((IsEngine ? "engine-" : "service-") + std::to_string(++Number));
    Text += setting("name", Each.m_Name);
    Text += setting("listen", toString(Each.m_Address));
    Text += setting("service", Each.m_Service);
    if (IsEngine)
      Text += setting("slots", std::to_string(m_Plan.m_Slots)) +
              m_Plan.m_EngineSettings;
    else
      Text += m_Plan.m_ServiceSettings;
  }
  m_Upstreams = std::make_unique<Process>(m_Folder, "tests/standin-engine",
                                          "upstreams", Text);
}

void Fleet::startInstance(std::size_t Index) {
  TestInstance &Each = m_Instances.at(Index);
  const std::string Run = "-" + std::to_string(++m_Starts);
  const std::string Who = section("instance") + setting("name", Each.m_Name) +
                          setting("zone", "njiro");
  const std::string Key = section("link") + setting("key", LinkKey);
  std::string Homes = toString(Each.m_Link);
  for (const TestInstance &Other : m_Instances)
    if (Other.m_Name != Each.m_Name)
      Homes += ";" + toString(Other.m_Link);
  Each.m_Dispatcher = std::make_unique<Process>(
      m_Folder, "crowstep-dispatcher", "dispatcher-" + Each.m_Name + Run,
      Who + section("dispatcher") +
          setting("link_listen", toString(Each.m_Link)) +
          setting("admin_listen", toString(Each.m_Admin)) + Key +
          setting("seeds", Homes) + section("platform") +
          setting("address", toString(m_PlatformAddress)));
  Each.m_Entry = std::make_unique<Process>(
      m_Folder, "crowstep-entry", "entry-" + Each.m_Name + Run,
      Who + section("entry") + setting("listen", toString(Each.m_Callers)) +
          setting("home", Homes) + Key);
}

/// Instances that start before the platform listens ask it again only after
/// their interval, and know no upstream until then.
void Fleet::waitForPlatform() {
  Call Ask;
  Ask.m_Method = "GET";
  Ask.m_Where = m_PlatformAddress;
  Ask.m_Path = "/";
  std::shared_ptr<const Told> Answer;
  const bool Listens = runUntil(
      [&] {
        if (Answer == nullptr || (Answer->m_Ended && Answer->m_Status == 0))
          Answer = m_Caller.start(Ask);
        return Answer->m_Ended && Answer->m_Status != 0;
      },
      20s);
  if (!Listens)
    throw FleetNotReady("the platform does not listen:\n" + logs());
}

void Fleet::start() {
  startPlatform();
  waitForPlatform();
  startUpstreams();
  for (std::size_t Index = 0; Index < m_Instances.size(); ++Index)
    startInstance(Index);
  for (std::size_t Index = 0; Index < m_Instances.size(); ++Index)
    if (!waitReady(Index, 20s))
      throw FleetNotReady("instance " + std::to_string(Index + 1) +
                          " is not ready:\n" + logs());
}

bool Fleet::waitReady(std::size_t Index, Duration Limit) {
  Call Ask;
  Ask.m_Method = "GET";
  Ask.m_Where = m_Instances.at(Index).m_Callers;
  Ask.m_Path = "/readyz";
  std::shared_ptr<const Told> Answer;
  return runUntil(
      [&] {
        if (Answer == nullptr || (Answer->m_Ended && Answer->m_Status != 200))
          Answer = m_Caller.start(Ask);
        return Answer->m_Ended && Answer->m_Status == 200;
      },
      Limit);
}

const Address &Fleet::upstreamAddress(const std::string &Name) const {
  for (const TestUpstream &Each : m_UpstreamList)
    if (Each.m_Name == Name)
      return Each.m_Address;
  throw FleetNotReady("no upstream " + Name);
}

Call Fleet::chat(std::size_t Index, const std::string &Class,
                 std::size_t Tokens, bool Streamed,
                 const std::string &Prompt) const {
  Call What;
  What.m_Where = m_Instances.at(Index).m_Callers;
  What.m_Path = "/v1/chat/completions";
  const std::string Content = Prompt + " [len=" + std::to_string(Tokens) + "]";
  const json Message = {{"role", "user"}, {"content", Content}};
  What.m_Body = json{
      {"messages", json::array({Message})},
      {"max_tokens", Tokens},
      {"stream",
       Streamed}}.dump();
  What.m_Headers = {{"Authorization", std::string("Bearer ") + WorkspaceKey},
                    {"Crowstep-Class", Class}};
  return What;
}

Call Fleet::desk(std::size_t Index, const std::string &Class,
                 const std::string &Key, const std::string &Body) const {
  Call What;
  What.m_Where = m_Instances.at(Index).m_Callers;
  What.m_Path = "/v1/services/desk/" + Class;
  What.m_Body = Body;
  What.m_Headers = {{"Authorization", std::string("Bearer ") + WorkspaceKey},
                    {"Crowstep-Class", Class}};
  if (!Key.empty())
    What.m_Headers["Idempotency-Key"] = Key;
  return What;
}

void Fleet::platformFault(const std::string &Target, const std::string &Mode,
                          int DelayMs, int Count) {
  m_Caller.json("POST", m_PlatformAddress, "/faults",
                {{"target", Target},
                 {"mode", Mode},
                 {"delay_ms", DelayMs},
                 {"count", Count}});
}

void Fleet::cutUpstream(const std::string &Name, bool Cut) {
  for (const TestUpstream &Each : m_UpstreamList)
    if (Each.m_Name == Name && Cut)
      Each.m_Relay->cut();
    else if (Each.m_Name == Name)
      Each.m_Relay->mend();
}

void Fleet::upstreamFault(const std::string &Name, const json &Fault) {
  m_Caller.json("POST", upstreamAddress(Name), "/faults", Fault);
}

std::vector<RanCall> Fleet::ran(const std::string &Service) {
  std::vector<RanCall> Result;
  for (const TestUpstream &Each : m_UpstreamList) {
    if (Each.m_Service != Service)
      continue;
    const json Record = m_Caller.json("GET", Each.m_Address, "/record");
    for (const json &Row : Record.value("calls", json::array()))
      Result.push_back({Each.m_Name, Row.value("key", ""),
                        Row.value("finished", false),
                        Row.value("generated", std::uint64_t(0))});
  }
  return Result;
}

double Fleet::metric(const Address &Where, const std::string &Series) {
  Call Ask;
  Ask.m_Method = "GET";
  Ask.m_Where = Where;
  Ask.m_Path = "/metrics";
  std::istringstream Lines(m_Caller.call(Ask).m_Body);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Series + " "))
      return std::stod(Line.substr(Series.size() + 1));
  return 0;
}

std::string Fleet::ownerOf(const std::string &Service) {
  for (const TestInstance &Each : m_Instances) {
    if (Each.m_Dispatcher == nullptr || !Each.m_Dispatcher->running())
      continue;
    const json Status =
        m_Caller.json("GET", Each.m_Admin, "/v1/status", nullptr, OperatorKey);
    for (const json &Pool : Status.value("pools", json::array()))
      if (Pool.value("service", "") == Service)
        return Each.m_Name;
  }
  return {};
}

std::string Fleet::logs() const {
  std::string Result;
  const auto Add = [&](const char *What, const Process *From) {
    if (From != nullptr)
      Result += std::string("---- ") + What + "\n" + From->log();
  };
  Add("platform", m_Platform.get());
  Add("upstreams", m_Upstreams.get());
  for (const TestInstance &Each : m_Instances) {
    Add((Each.m_Name + " dispatcher").c_str(), Each.m_Dispatcher.get());
    Add((Each.m_Name + " entry").c_str(), Each.m_Entry.get());
  }
  return Result;
}

bool isWholeAnswer(const std::string &Text, std::size_t Tokens) {
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
