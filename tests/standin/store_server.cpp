/// Requests, long polls and transactions of the stand-in store.
#include "standin/store_server.h"

#include "core/base64.h"

#include <algorithm>
#include <cstdlib>
#include <glib.h>

namespace crowstep::standin {

namespace {

using Json = nlohmann::json;

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpGone = 410;
constexpr unsigned HttpPreconditionFailed = 412;
constexpr unsigned HttpUnavailable = 503;

std::string queryValue(SoupServerMessage *Message, const char *Name) {
  const char *Query = g_uri_get_query(soup_server_message_get_uri(Message));
  if (Query == nullptr)
    return {};
  GHashTable *Values = soup_form_decode(Query);
  const auto *Found =
      static_cast<const char *>(g_hash_table_lookup(Values, Name));
  std::string Result = Found == nullptr ? "" : Found;
  g_hash_table_unref(Values);
  return Result;
}

} // namespace

void StoreServer::listen(const Address &Endpoint) {
  m_Server.listen(Endpoint,
                  [this](SoupServerMessage *Message, const char *Path) {
                    handle(Message, Path);
                  });
}

void StoreServer::put(const std::string &Table, const std::string &Key,
                      const std::string &Value) {
  m_Tables[Table][Key] = {Value, ++m_Version};
  answerLongPolls();
}

void StoreServer::dropHistory() {
  // The version grows as by a change of another table, so that every long poll
  // is behind the oldest version.
  m_OldestVersion = ++m_Version;
  if (m_Mode == Mode::Silent)
    m_LongPolls.clear(); // Their messages are freed at process exit.
  answerLongPolls();
}

void StoreServer::takeCopy() {
  m_Copy = m_Tables;
  m_CopyVersion = m_Version;
}

void StoreServer::restoreCopy() {
  m_Tables = m_Copy;
  m_Version = m_CopyVersion;
  m_OldestVersion = std::min(m_OldestVersion, m_Version);
  ++m_Era;
  for (const LongPoll &Poll : m_LongPolls) {
    if (GSocket *Socket = soup_server_message_get_socket(Poll.m_Message))
      g_socket_close(Socket, nullptr);
    soup_server_message_unpause(Poll.m_Message);
    g_object_unref(Poll.m_Message);
  }
  m_LongPolls.clear();
}

std::string StoreServer::value(const std::string &Table,
                               const std::string &Key) const {
  const auto Found = m_Tables.find(Table);
  if (Found == m_Tables.end() || !Found->second.contains(Key))
    return {};
  return Found->second.at(Key).m_Value;
}

void StoreServer::setMode(Mode NewMode) {
  m_Mode = NewMode;
  answerLongPolls();
}

void StoreServer::serveStaleCopy(bool Enabled) {
  m_StaleCopy = Enabled ? m_Tables : std::map<std::string, Table>();
  m_StaleVersion = Enabled ? m_Version : 0;
  m_StaleEra = m_Era;
}

void StoreServer::stateEra(SoupServerMessage *Message,
                           std::uint64_t Era) const {
  if (m_StatesEra)
    soup_message_headers_replace(
        soup_server_message_get_response_headers(Message), "Store-Era",
        std::to_string(Era).c_str());
}

void StoreServer::handle(SoupServerMessage *Message, const std::string &Path) {
  stateEra(Message, m_Era);
  if (m_Mode == Mode::Busy) {
    respond(Message, HttpUnavailable, "text/plain", "");
    return;
  }
  if (m_Mode == Mode::Silent) {
    g_object_ref(Message); // Never answered; freed at process exit.
    soup_server_message_pause(Message);
    return;
  }
  const std::string Name = queryValue(Message, "table");
  if (Path == "/rows-get")
    handleRead(Message, Name);
  else if (Path == "/rows-feed")
    handleFeed(Message, Name,
               std::strtoull(queryValue(Message, "after").c_str(), nullptr, 10),
               std::chrono::milliseconds(std::strtoull(
                   queryValue(Message, "waitMs").c_str(), nullptr, 10)));
  else
    handleTransaction(Message);
}

void StoreServer::answer(SoupServerMessage *Message, Json Body,
                         std::uint64_t Version) const {
  Body["schemaVersion"] = Version;
  Body["nowMs"] = g_get_monotonic_time() / 1000;
  respond(Message, HttpOk, "application/json", Body.dump());
}

void StoreServer::handleRead(SoupServerMessage *Message,
                             const std::string &Name) {
  const bool Stale = m_StaleVersion != 0;
  if (Stale)
    stateEra(Message, m_StaleEra);
  Json Rows = Json::array();
  for (const auto &[Key, Row] : Stale ? m_StaleCopy[Name] : m_Tables[Name])
    if (!Row.m_Value.empty())
      Rows.push_back({{"table", Name},
                      {"part", ""},
                      {"key", Key},
                      {"value", base64Encoded(Row.m_Value)},
                      {"schemaVersion", Row.m_Version}});
  answer(Message, {{"rows", Rows}, {"hasMore", false}},
         Stale ? m_StaleVersion : m_Version);
}

Json StoreServer::changes(const std::string &Name, std::uint64_t After) {
  std::map<std::uint64_t, Json> Ordered;
  for (const auto &[Key, Row] : m_Tables[Name]) {
    if (Row.m_Version <= After)
      continue;
    Json &Change = Ordered[Row.m_Version];
    Change = {{"table", Name},
              {"part", ""},
              {"key", Key},
              {"schemaVersion", Row.m_Version}};
    if (Row.m_Value.empty())
      Change["deleted"] = true;
    else
      Change["value"] = base64Encoded(Row.m_Value);
  }
  Json Rows = Json::array();
  for (const auto &[Version, Change] : Ordered)
    Rows.push_back(Change);
  return Rows;
}

void StoreServer::handleFeed(SoupServerMessage *Message,
                             const std::string &Name, std::uint64_t After,
                             Duration Wait) {
  if (After < m_OldestVersion || After > m_Version) {
    respond(Message, HttpGone, "text/plain", "");
    return;
  }
  const Json Rows = changes(Name, After);
  if (!Rows.empty() || Wait == Duration::zero()) {
    answer(Message, {{"rows", Rows}}, m_Version);
    return;
  }
  soup_server_message_pause(Message);
  m_LongPolls.push_back(
      {SOUP_SERVER_MESSAGE(g_object_ref(Message)), Name, After, ++m_LastPoll});
  m_Timers.runAfter(Wait, [this, Number = m_LastPoll] { endLongPoll(Number); });
}

/// Answers a request that has waited for as long as it asked for.
void StoreServer::endLongPoll(std::uint64_t Number) {
  const auto Found = std::find_if(
      m_LongPolls.begin(), m_LongPolls.end(),
      [Number](const LongPoll &Poll) { return Poll.m_Number == Number; });
  if (Found == m_LongPolls.end() || m_Mode == Mode::Silent)
    return;
  const LongPoll Ended = *Found;
  m_LongPolls.erase(Found);
  if (soup_server_message_get_socket(Ended.m_Message) != nullptr) {
    answer(Ended.m_Message, {{"rows", Json::array()}}, m_Version);
    soup_server_message_unpause(Ended.m_Message);
  }
  g_object_unref(Ended.m_Message);
}

void StoreServer::answerLongPolls() {
  if (m_Mode == Mode::Silent)
    return;
  std::vector<LongPoll> Remaining;
  for (const LongPoll &Poll : m_LongPolls) {
    const Json Rows = changes(Poll.m_Table, Poll.m_AfterVersion);
    if (Rows.empty() && Poll.m_AfterVersion >= m_OldestVersion) {
      Remaining.push_back(Poll);
      continue;
    }
    if (soup_server_message_get_socket(Poll.m_Message) != nullptr) {
      if (Poll.m_AfterVersion < m_OldestVersion)
        respond(Poll.m_Message, HttpGone, "text/plain", "");
      else
        answer(Poll.m_Message, {{"rows", Rows}}, m_Version);
      soup_server_message_unpause(Poll.m_Message);
    }
    g_object_unref(Poll.m_Message);
  }
  m_LongPolls = std::move(Remaining);
}

void StoreServer::handleTransaction(SoupServerMessage *Message) {
  const Json Body = Json::parse(requestBody(Message));
  for (const Json &Expected : Body.at("expectedRevision")) {
    const Row &Current = m_Tables[Expected.at("table")][Expected.at("key")];
    const std::uint64_t Version =
        Current.m_Value.empty() ? 0 : Current.m_Version;
    if (Version != Expected.at("schemaVersion").get<std::uint64_t>()) {
      Json Found = Json::array();
      if (Version != 0)
        Found.push_back({{"table", Expected.at("table")},
                         {"part", ""},
                         {"key", Expected.at("key")},
                         {"value", base64Encoded(Current.m_Value)},
                         {"schemaVersion", Version}});
      respond(Message, HttpPreconditionFailed, "application/json",
              Json{{"rows", Found}}.dump());
      return;
    }
  }
  for (const Json &Put : Body.at("puts"))
    put(Put.at("table"), Put.at("key"), base64Decoded(Put.at("value")));
  for (const Json &Removed : Body.at("remove"))
    put(Removed.at("table"), Removed.at("key"), "");
  answer(Message, Json::object(), m_Version);
}

} // namespace crowstep::standin
