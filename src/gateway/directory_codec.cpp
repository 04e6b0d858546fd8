/// Encoding of directory updates on links.
#include "gateway/directory_codec.h"

#include <array>

namespace crowstep::gateway {

namespace {

constexpr std::int64_t NoTime = -1;

std::optional<DirectoryRow> unpacked(const wire::DirectoryRow &From) {
  if (From.key() == nullptr)
    return std::nullopt;
  DirectoryRow Result;
  Result.m_Key = From.key()->str();
  Result.m_Version = DirectoryVersion(From.version());
  Result.m_Gone = From.gone();
  if (From.value() != nullptr)
    Result.m_Value.assign(From.value()->begin(), From.value()->end());
  return Result;
}

} // namespace

std::string_view nameOf(ReadingRole Role) {
  static constexpr std::array<std::string_view, 4> Names = {
      "alone", "reader", "deputy", "follower"};
  return Names.at(static_cast<std::size_t>(Role));
}

std::unique_ptr<wire::DirectoryUpdateT> packed(const DirectoryUpdate &What) {
  auto Result = std::make_unique<wire::DirectoryUpdateT>();
  Result->table = What.m_Table;
  Result->after = What.m_After.value();
  Result->version = What.m_Version.value();
  Result->read_at_ms = What.m_ReadAt ? What.m_ReadAt->count() : NoTime;
  for (const DirectoryRow &Each : What.m_Rows) {
    auto Row = std::make_unique<wire::DirectoryRowT>();
    Row->key = Each.m_Key;
    Row->value.assign(Each.m_Value.begin(), Each.m_Value.end());
    Row->version = Each.m_Version.value();
    Row->gone = Each.m_Gone;
    Result->rows.push_back(std::move(Row));
  }
  return Result;
}

std::optional<DirectoryUpdate> unpacked(const wire::DirectoryUpdate &From) {
  if (From.table() == nullptr || From.version() < From.after())
    return std::nullopt;
  DirectoryUpdate Result;
  Result.m_Table = From.table()->str();
  Result.m_After = DirectoryVersion(From.after());
  Result.m_Version = DirectoryVersion(From.version());
  if (From.read_at_ms() >= 0)
    Result.m_ReadAt = std::chrono::milliseconds(From.read_at_ms());
  if (From.rows() == nullptr)
    return Result;
  for (const wire::DirectoryRow *Each : *From.rows()) {
    auto Row = unpacked(*Each);
    if (!Row || Row->m_Version > Result.m_Version)
      return std::nullopt;
    Result.m_Rows.push_back(std::move(*Row));
  }
  return Result;
}

} // namespace crowstep::gateway
