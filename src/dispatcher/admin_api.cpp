/// Handlers of the administration API.
#include "dispatcher/admin_api.h"

#include "contract/contract_error.h"
#include "contract/contract_func.h"
#include "core/log.h"

#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>

namespace crowstep::dispatcher {

using nlohmann::json;

namespace {

constexpr const char *JsonType = "application/json";
constexpr const char *VersionHeader = "Crowstep-Table-Version";
constexpr const char *DrainsPath = "/v1/drains/";
constexpr const char *OrdersPath = "/v1/orders/";
constexpr const char *BearerPrefix = "Bearer ";

/// A table of 10,000 rows takes about 1 MB.
constexpr HttpLimits Limits = {
    .m_Connections = 64, .m_BodyBytes = 4 << 20, .m_TotalBodyBytes = 8 << 20};

void respondJson(SoupServerMessage *Message, unsigned Status,
                 const json &Body) {
  respond(Message, Status, JsonType, Body.dump(2) + "\n");
}

void respondError(SoupServerMessage *Message, unsigned Status,
                  const std::string &Code, const std::string &Text) {
  respondJson(
      Message, Status,
      {{"error", {{"type", "admin"}, {"code", Code}, {"message", Text}}}});
}

/// Keeps a message paused while its answer is computed asynchronously, after
/// the handler has returned. The last owner resumes it.
class DeferredAnswer {
public:
  explicit DeferredAnswer(SoupServerMessage *Message)
      : m_Message(SOUP_SERVER_MESSAGE(g_object_ref(Message))) {
    soup_server_message_pause(m_Message);
  }
  ~DeferredAnswer() {
    soup_server_message_unpause(m_Message);
    g_object_unref(m_Message);
  }
  DeferredAnswer(const DeferredAnswer &) = delete;
  DeferredAnswer &operator=(const DeferredAnswer &) = delete;

  [[nodiscard]] SoupServerMessage *message() const { return m_Message; }

private:
  SoupServerMessage *m_Message; ///< Holds a reference.
};

/// Returns the name of the outcome of a change of the table, in the log and in
/// answers.
const char *nameOf(const contract::ChangeOutcome &Outcome) {
  struct Visitor {
    const char *operator()(const contract::ChangeAccepted &) const {
      return "accepted";
    }
    const char *operator()(const contract::ChangePending &) const {
      return "pending";
    }
    const char *operator()(const contract::ChangeConflict &) const {
      return "conflict";
    }
    const char *operator()(const contract::ChangeUnavailable &) const {
      return "unavailable";
    }
  };
  return std::visit(Visitor(), Outcome);
}

/// Answers an operator with the outcome of a change of the table.
class ChangeOutcomeVisitor {
public:
  explicit ChangeOutcomeVisitor(SoupServerMessage *Message)
      : m_Message(Message) {}

  void operator()(const contract::ChangeAccepted &Outcome) const {
    respondJson(
        m_Message, 200,
        {{"outcome", nameOf(Outcome)}, {"version", Outcome.m_Version.value()}});
  }
  void operator()(const contract::ChangePending &Outcome) const {
    respondJson(m_Message, 202,
                {{"outcome", nameOf(Outcome)},
                 {"version", Outcome.m_Version.value()},
                 {"unconfirmed", Outcome.m_Unconfirmed}});
  }
  void operator()(const contract::ChangeConflict &Outcome) const {
    respondJson(m_Message, 409,
                {{"outcome", nameOf(Outcome)},
                 {"version", Outcome.m_PresentVersion.value()},
                 {"difference", Outcome.m_Difference}});
  }
  void operator()(const contract::ChangeUnavailable &Outcome) const {
    respondJson(m_Message, 503,
                {{"outcome", nameOf(Outcome)},
                 {"may_have_committed", Outcome.m_MayHaveCommitted}});
  }

private:
  SoupServerMessage *m_Message; ///< To answer.
};

const char *nameOf(membership::MemberState State) {
  switch (State) {
  case membership::MemberState::Alive:
    return "alive";
  case membership::MemberState::Suspect:
    return "suspect";
  case membership::MemberState::Dead:
    return "dead";
  case membership::MemberState::Left:
    return "left";
  }
  return "unknown";
}

const char *nameOf(lease::OrderOutcome Outcome) {
  switch (Outcome) {
  case lease::OrderOutcome::Done:
    return "done";
  case lease::OrderOutcome::Refused:
    return "refused";
  case lease::OrderOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

unsigned statusOf(lease::OrderOutcome Outcome) {
  switch (Outcome) {
  case lease::OrderOutcome::Done:
    return 200;
  case lease::OrderOutcome::Refused:
    return 409;
  case lease::OrderOutcome::Unknown:
    return 503;
  }
  return 503;
}

json memberRow(const membership::Member &Member) {
  return {{"name", Member.m_Name},
          {"zone", Member.m_Zone.m_Name},
          {"link", toString(Member.m_Address)},
          {"state", nameOf(Member.m_State)},
          {"table_version", Member.m_TableVersion.value()}};
}

json poolRow(const PoolRunner &Runner) {
  const decision::DeciderStats Stats = Runner.stats();
  json Ejected = json::array();
  for (const auto &[Id, Name] : Runner.ejected())
    Ejected.push_back(Name);
  return {{"service", Runner.service()},    {"waiting", Stats.m_Waiting},
          {"running", Stats.m_Running},     {"granted", Stats.m_Granted},
          {"preempted", Stats.m_Preempted}, {"ejected", Ejected}};
}

json upstreamRow(const Upstream &Info) {
  return {{"name", Info.m_Name},
          {"service", Info.m_Service},
          {"address", toString(Info.m_Address)},
          {"zone", Info.m_Zone.m_Name},
          {"leaving", Info.m_Draining}};
}

std::string bearerKeyOf(SoupServerMessage *Message) {
  const std::string Header = requestHeader(Message, "Authorization");
  if (!Header.starts_with(BearerPrefix))
    return {};
  return Header.substr(std::string(BearerPrefix).size());
}

/// Returns the version in If-Match, with or without quotes, or nothing.
std::optional<TableVersion> ifMatchVersion(SoupServerMessage *Message) {
  std::string Text = requestHeader(Message, "If-Match");
  std::erase(Text, '"');
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return TableVersion(Number);
}

} // namespace

AdminApi::AdminApi(const AdminContext &Parts)
    : m_Context(Parts),
      m_RefusedCalls(Parts.m_Stats.counter("crowstep_admin_refused_total")) {}

void AdminApi::listen(const Address &ListenAddress) {
  m_Server.setLimits(Limits, m_Context.m_Stats);
  m_Server.listen(ListenAddress,
                  [this](SoupServerMessage *Message, const char *Path) {
                    handle(Message, Path);
                  });
}

void AdminApi::handle(SoupServerMessage *Message, const std::string &Path) {
  if (Path == "/healthz") {
    const bool HasRight = m_Context.m_Table.rightToServe();
    respond(Message, HasRight ? 200 : 503, "text/plain",
            HasRight ? "ok\n" : "no\n");
    return;
  }
  if (Path == "/metrics") {
    respond(Message, 200, "text/plain; version=0.0.4",
            m_Context.m_Stats.text());
    return;
  }
  const Workspace *Operator =
      m_Context.m_Workspaces.findOperator(bearerKeyOf(Message));
  if (Operator == nullptr) {
    m_RefusedCalls.add();
    logEvent(LogEvent::AdminRefused, {{"path", Path}});
    respondError(Message, 401, "unknown_key", "an operator's key is needed");
    return;
  }
  try {
    handleOperator(Message, Path, *Operator);
  } catch (const contract::TableCellError &Failure) {
    respondError(Message, 422, "table_cell", Failure.what());
  } catch (const contract::TableFormatError &Failure) {
    respondError(Message, 422, "table_format", Failure.what());
  }
}

void AdminApi::handleOperator(SoupServerMessage *Message,
                              const std::string &Path,
                              const Workspace &Operator) {
  const std::string Method = soup_server_message_get_method(Message);
  if (Path == "/v1/table" && Method == "GET")
    return getTable(Message);
  if (Path == "/v1/table" && Method == "PUT")
    return putTable(Message, Operator);
  if (Path == "/v1/table/check" && Method == "POST")
    return checkTable(Message);
  if (Path == "/v1/table/history" && Method == "GET")
    return getHistory(Message);
  if (Path == "/v1/status" && Method == "GET")
    return getStatus(Message);
  if (Path.starts_with(DrainsPath) && (Method == "PUT" || Method == "DELETE"))
    return changeDrain(Message, Path.substr(std::string(DrainsPath).size()),
                       Operator);
  if (Path.starts_with(OrdersPath) && Method == "POST")
    return postOrder(Message, Path.substr(std::string(OrdersPath).size()),
                     Operator);
  respondError(Message, 404, "unknown_path", Method + " " + Path);
}

void AdminApi::getTable(SoupServerMessage *Message) const {
  const ContractTable &Table = m_Context.m_Table.table();
  soup_message_headers_replace(
      soup_server_message_get_response_headers(Message), VersionHeader,
      std::to_string(Table.m_Version.value()).c_str());
  respond(Message, 200, "text/csv", contract::writeCsv(Table));
}

void AdminApi::checkTable(SoupServerMessage *Message) const {
  const ContractTable NewTable = contract::readCsv(requestBody(Message));
  respondJson(Message, 200,
              {{"version", m_Context.m_Table.table().m_Version.value()},
               {"difference", m_Context.m_Table.tryChange(NewTable)}});
}

void AdminApi::putTable(SoupServerMessage *Message, const Workspace &Operator) {
  const std::optional<TableVersion> BaseVersion = ifMatchVersion(Message);
  if (!BaseVersion)
    return respondError(Message, 428, "version_needed",
                        "If-Match must give the version that was read");
  const ContractTable NewTable = contract::readCsv(requestBody(Message));
  const auto Answer = std::make_shared<DeferredAnswer>(Message);
  m_Context.m_Table.change(
      NewTable, *BaseVersion, Operator.m_Name,
      [Answer,
       OperatorName = Operator.m_Name](const contract::ChangeOutcome &Outcome) {
        logEvent(LogEvent::AdminChanged, {{"operator", OperatorName},
                                          {"what", "table"},
                                          {"outcome", nameOf(Outcome)}});
        std::visit(ChangeOutcomeVisitor(Answer->message()), Outcome);
      });
}

void AdminApi::getHistory(SoupServerMessage *Message) {
  const auto Answer = std::make_shared<DeferredAnswer>(Message);
  m_Context.m_Table.history(
      [Answer](const std::vector<contract::HistoryEntry> &Entries) {
        json Rows = json::array();
        for (const contract::HistoryEntry &Entry : Entries)
          Rows.push_back({{"version", Entry.m_Version.value()},
                          {"operator", Entry.m_Operator},
                          {"time", Entry.m_Time}});
        respondJson(Answer->message(), 200, {{"history", Rows}});
      });
}

void AdminApi::getStatus(SoupServerMessage *Message) const {
  json Members = json::array();
  for (const membership::Member &Member : m_Context.m_Membership.members())
    Members.push_back(memberRow(Member));
  json Pools = json::array();
  for (const auto &[Id, Runner] : m_Context.m_Pools.pools())
    Pools.push_back(poolRow(*Runner));
  json Upstreams = json::array();
  for (const Upstream &Info : m_Context.m_Upstreams.upstreams())
    Upstreams.push_back(upstreamRow(Info));
  respondJson(Message, 200,
              {{"table_version", m_Context.m_Table.table().m_Version.value()},
               {"right_to_serve", m_Context.m_Table.rightToServe()},
               {"instances", Members},
               {"pools", Pools},
               {"upstreams", Upstreams}});
}

void AdminApi::changeDrain(SoupServerMessage *Message,
                           const std::string &DrainKey,
                           const Workspace &Operator) {
  if (!DrainKey.starts_with("upstream/") && !DrainKey.starts_with("instance/"))
    return respondError(Message, 404, "unknown_path",
                        "drains/upstream/NAME or drains/instance/NAME");
  const bool Drained =
      std::string(soup_server_message_get_method(Message)) == "PUT";
  const auto Answer = std::make_shared<DeferredAnswer>(Message);
  m_Context.m_Upstreams.setDrained(
      DrainKey, Drained,
      [Answer, DrainKey, Drained,
       OperatorName = Operator.m_Name](bool Written) {
        logEvent(LogEvent::AdminChanged,
                 {{"operator", OperatorName},
                  {"what", DrainKey},
                  {"outcome", Written ? "written" : "unknown"}});
        if (Written)
          return respondJson(Answer->message(), 200,
                             {{"what", DrainKey}, {"drained", Drained}});
        respondError(Answer->message(), 503, "table_service",
                     "not known to be written; read the status and try again");
      });
}

void AdminApi::postOrder(SoupServerMessage *Message,
                         const std::string &Upstream,
                         const Workspace &Operator) {
  const json Body = json::parse(requestBody(Message), nullptr, false);
  const bool IsValid = Body.is_object() && Body.contains("order") &&
                       Body.contains("name") && Body["order"].is_string() &&
                       Body["name"].is_string();
  const auto Kind =
      IsValid ? orderKindOf(Body["order"].get<std::string>()) : std::nullopt;
  if (!Kind)
    return respondError(Message, 422, "bad_order",
                        "order: load_model, load_adapter, unload_model or "
                        "set_role; name: a text");
  const auto Answer = std::make_shared<DeferredAnswer>(Message);
  const bool Known = m_Context.m_Orders.order(
      Upstream, *Kind, Body["name"].get<std::string>(),
      [Answer, Upstream,
       OperatorName = Operator.m_Name](lease::OrderOutcome Outcome) {
        logEvent(LogEvent::AdminChanged, {{"operator", OperatorName},
                                          {"what", "order " + Upstream},
                                          {"outcome", nameOf(Outcome)}});
        respondJson(Answer->message(), statusOf(Outcome),
                    {{"outcome", nameOf(Outcome)}});
      });
  if (!Known)
    respondError(Message, 404, "unknown_engine", Upstream);
}

} // namespace crowstep::dispatcher
