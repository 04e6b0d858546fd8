/// Conditional writes with an outcome for each row, and call counts.
#include "standin/platform_store.h"

using nlohmann::json;

namespace crowstep::standin {

namespace {

json rowJson(const std::string &Key, std::uint64_t Version,
             const std::string &Value) {
  return {{"key", Key}, {"version", Version}, {"value", Value}};
}

} // namespace

void RateCounter::recordCall(TimePoint Now) {
  const std::int64_t Second =
      std::chrono::floor<std::chrono::seconds>(Now.time_since_epoch()).count();
  if (Second != m_CurrentSecond) {
    m_CurrentSecond = Second;
    m_CurrentCount = 0;
  }
  ++m_Total;
  m_Peak = std::max(m_Peak, ++m_CurrentCount);
}

json PlatformStore::writeRow(Table &Target, const json &Write) {
  const auto Key = Write.at("key").get<std::string>();
  const auto Expected = Write.value("expected", std::uint64_t{0});
  auto Found = Target.m_Rows.find(Key);
  const std::uint64_t Version =
      Found == Target.m_Rows.end() ? 0 : Found->second.m_Version;
  const bool Written = Version == Expected;
  const json &Value = Write.at("value");
  if (Written && Value.is_null() && Found != Target.m_Rows.end())
    Target.m_Rows.erase(Found);
  else if (Written && !Value.is_null())
    Target.m_Rows[Key] = {++Target.m_LastVersion, Value.get<std::string>()};
  Found = Target.m_Rows.find(Key);
  json Row = nullptr;
  if (Found != Target.m_Rows.end())
    Row = rowJson(Key, Found->second.m_Version, Found->second.m_Value);
  return {{"written", Written}, {"row", std::move(Row)}};
}

json PlatformStore::write(const std::string &TableName, const json &Body,
                          TimePoint Now) {
  Table &Target = m_Tables[TableName];
  m_Writes.recordCall(Now);
  Target.m_Writes.recordCall(Now);
  json Outcomes = json::array();
  for (const json &Write : Body.at("writes"))
    Outcomes.push_back(writeRow(Target, Write));
  return {{"outcomes", std::move(Outcomes)}};
}

json PlatformStore::read(const std::string &TableName, const std::string &Key,
                         TimePoint Now) {
  Table &Source = m_Tables[TableName];
  m_Reads.recordCall(Now);
  Source.m_Reads.recordCall(Now);
  json Rows = json::array();
  const auto Found = Source.m_Rows.find(Key);
  if (Found != Source.m_Rows.end())
    Rows.push_back(
        rowJson(Key, Found->second.m_Version, Found->second.m_Value));
  return {{"rows", std::move(Rows)}};
}

json PlatformStore::list(const std::string &TableName,
                         const std::string &Prefix, TimePoint Now) {
  Table &Source = m_Tables[TableName];
  m_Reads.recordCall(Now);
  Source.m_Reads.recordCall(Now);
  json Rows = json::array();
  for (auto Row = Source.m_Rows.lower_bound(Prefix);
       Row != Source.m_Rows.end() && Row->first.starts_with(Prefix); ++Row)
    Rows.push_back(
        rowJson(Row->first, Row->second.m_Version, Row->second.m_Value));
  return {{"rows", std::move(Rows)}};
}

void PlatformStore::seed(const json &Tables) {
  for (const auto &[Name, Rows] : Tables.items())
    for (const json &Row : Rows)
      writeRow(m_Tables[Name], Row);
}

json PlatformStore::stats() const {
  const auto Counts = [](const RateCounter &Reads, const RateCounter &Writes) {
    return json{{"reads", Reads.total()},
                {"writes", Writes.total()},
                {"peak_reads_per_s", Reads.peak()},
                {"peak_writes_per_s", Writes.peak()}};
  };
  json Result = Counts(m_Reads, m_Writes);
  Result["tables"] = json::object();
  for (const auto &[Name, Source] : m_Tables)
    Result["tables"][Name] = Counts(Source.m_Reads, Source.m_Writes);
  return Result;
}

void LaggingListing::set(json Listing, TimePoint Now) {
  m_History.emplace_back(Now, std::move(Listing));
}

json LaggingListing::visible(TimePoint Now) {
  while (m_History.size() > 1 && m_History[1].first + m_Lag <= Now)
    m_History.pop_front();
  if (m_History.empty())
    return {{"instances", json::array()}, {"upstreams", json::array()}};
  return m_History.front().second;
}

} // namespace crowstep::standin
