/// Request routing and faults of the platform's services.
#include "standin/platform_server.h"

#include <fstream>

using nlohmann::json;

namespace crowstep::standin {

namespace {

constexpr std::int64_t DefaultWeightReads = 10;

/// Returns the service's name: the path segment after /v1/.
std::string serviceOf(const std::string &Path) {
  if (!Path.starts_with("/v1/"))
    return "";
  return Path.substr(4, Path.find('/', 4) - 4);
}

std::string queryValue(SoupServerMessage *Message, const char *Name) {
  const char *Query = g_uri_get_query(soup_server_message_get_uri(Message));
  if (Query == nullptr)
    return "";
  GHashTable *Form = soup_form_decode(Query);
  const auto *Value =
      static_cast<const char *>(g_hash_table_lookup(Form, Name));
  std::string Result = Value == nullptr ? "" : Value;
  g_hash_table_unref(Form);
  return Result;
}

} // namespace

PlatformServer::PlatformServer(Settings &File) {
  m_Settings.m_Listen = File.address("platform", "listen");
  m_Settings.m_SeedFile = File.text("platform", "seed", "");
  m_Settings.m_MaxWeightReads = File.integer("platform", "weight_reads_per_s",
                                             1, 1000000, DefaultWeightReads);
}

void PlatformServer::start() {
  if (!m_Settings.m_SeedFile.empty()) {
    std::ifstream File(m_Settings.m_SeedFile);
    if (!File)
      throw SettingsFileError(m_Settings.m_SeedFile, "can't be read");
    const json Seed = json::parse(File);
    m_Store.seed(Seed.value("tables", json::object()));
    if (Seed.contains("instances"))
      m_Listing.set(Seed["instances"], m_Clock.now());
  }
  m_Server.listen(m_Settings.m_Listen,
                  [this](SoupServerMessage *Message, const char *Path) {
                    handle(Message, Path);
                  });
}

void PlatformServer::stop(std::function<void()> Done) { Done(); }

void PlatformServer::handle(SoupServerMessage *Message,
                            const std::string &Path) {
  const Call Request{soup_server_message_get_method(Message), Path,
                     queryValue(Message, "prefix"), requestBody(Message)};
  const auto Answer = std::make_shared<Exchange>(Message);
  Fault Active = m_Faults[serviceOf(Path)].takeForCall();
  // A fault of writes only, so that a test can drop the answer to a commit.
  if (Active.m_Mode == FaultMode::None && Path.ends_with("/write"))
    Active = m_Faults["table_writes"].takeForCall();
  switch (Active.m_Mode) {
  case FaultMode::Hang:
  case FaultMode::Freeze:
    m_UnansweredCalls.push_back(Answer);
    return;
  case FaultMode::Refuse:
    Answer->answer(503, R"({"error":"refused"})");
    return;
  case FaultMode::CloseBeforeByte:
    Answer->closeConnection();
    return;
  case FaultMode::Delay:
    m_Scheduler.runAfter(Active.m_Delay, [this, Request, Answer] {
      sendReply(Request, Answer, FaultMode::None);
    });
    return;
  default:
    sendReply(Request, Answer, Active.m_Mode);
  }
}

void PlatformServer::sendReply(const Call &Request, const ExchangePtr &Answer,
                               FaultMode Mode) {
  Reply Result;
  try {
    Result = serve(Request);
  } catch (const std::exception &Failure) {
    Result = {400, json{{"error", Failure.what()}}.dump()};
  }
  if (Mode == FaultMode::DropAnswer)
    Answer->closeConnection();
  else
    Answer->answer(Result.m_Status, Result.m_Body, Result.m_RetryAfter);
}

PlatformServer::Reply PlatformServer::serve(const Call &Request) {
  const std::string Service = serviceOf(Request.m_Path);
  if (Service == "tables")
    return handleTables(Request);
  if (Service == "objects")
    return handleObjects(Request);
  if (Service == "instances")
    return handleInstances(Request);
  if (Service == "weights")
    return handleWeights();
  return handleControl(Request);
}

PlatformServer::Reply PlatformServer::handleControl(const Call &Request) {
  if (Request.m_Path == "/stats")
    return {200, m_Store.stats().dump()};
  if (Request.m_Path != "/faults")
    return {404, R"({"error":"no such path"})"};
  const json Body = json::parse(Request.m_Body);
  const auto Target = Body.at("target").get<std::string>();
  m_Faults[Target] = Fault::parse(Body);
  m_UnansweredCalls.clear();
  return {200, "{}"};
}

PlatformServer::Reply PlatformServer::handleTables(const Call &Request) {
  // /v1/tables/T/write, /v1/tables/T/rows and /v1/tables/T/rows/KEY
  const std::size_t NameStart = std::string("/v1/tables/").size();
  const std::size_t NameEnd = Request.m_Path.find('/', NameStart);
  if (NameEnd == std::string::npos)
    return {404, R"({"error":"no such path"})"};
  const std::string Table =
      Request.m_Path.substr(NameStart, NameEnd - NameStart);
  const std::string Suffix = Request.m_Path.substr(NameEnd);
  const TimePoint Now = m_Clock.now();
  if (Suffix == "/write" && Request.m_Method == "POST")
    return {200, m_Store.write(Table, json::parse(Request.m_Body), Now).dump()};
  if (Suffix == "/rows" && Request.m_Method == "GET")
    return {200, m_Store.list(Table, Request.m_Prefix, Now).dump()};
  if (Suffix.starts_with("/rows/") && Request.m_Method == "GET")
    return {200, m_Store.read(Table, Suffix.substr(6), Now).dump()};
  return {404, R"({"error":"no such path"})"};
}

PlatformServer::Reply PlatformServer::handleObjects(const Call &Request) {
  const std::string Name =
      Request.m_Path.substr(std::string("/v1/objects/").size());
  if (Request.m_Method == "PUT") {
    m_Objects[Name] = Request.m_Body;
    return {200, "{}"};
  }
  const auto Found = m_Objects.find(Name);
  if (Found == m_Objects.end())
    return {404, R"({"error":"no such object"})"};
  return {200, Found->second};
}

PlatformServer::Reply PlatformServer::handleInstances(const Call &Request) {
  if (Request.m_Method == "GET")
    return {200, m_Listing.visible(m_Clock.now()).dump()};
  const json Body = json::parse(Request.m_Body);
  if (Request.m_Path == "/v1/instances/lag")
    m_Listing.setLag(std::chrono::milliseconds(Body.at("ms").get<int>()));
  else
    m_Listing.set(Body, m_Clock.now());
  return {200, "{}"};
}

PlatformServer::Reply PlatformServer::handleWeights() {
  const std::int64_t Second =
      std::chrono::floor<std::chrono::seconds>(m_Clock.now().time_since_epoch())
          .count();
  if (Second != m_WeightSecond) {
    m_WeightSecond = Second;
    m_WeightCount = 0;
  }
  if (++m_WeightCount > m_Settings.m_MaxWeightReads)
    return {429, R"({"error":"rate limited"})", std::chrono::seconds(1)};
  return {200, R"({"size":1024})"};
}

} // namespace crowstep::standin
