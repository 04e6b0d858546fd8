/// Encoding of directory updates on links.
#include "gateway/directory_codec.h"

#include <array>

namespace crowstep::gateway {

namespace {

constexpr std::int64_t NoTime = -1;
constexpr std::int64_t NoEra = -1;

std::optional<DirectoryRow> unpackRow(const wire::DirectoryRow &From) {
  if (From.key() == nullptr)
    return std::nullopt;
  DirectoryRow Result;
  Result.m_Key = From.key()->str();
  Result.m_Version = DirectoryVersion(From.version());
  Result.m_Removed = From.gone();
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

std::unique_ptr<wire::DirectoryUpdateT>
packUpdate(const DirectoryUpdate &Update) {
  auto Result = std::make_unique<wire::DirectoryUpdateT>();
  Result->table = Update.m_Table;
  Result->after = Update.m_After.value();
  Result->version = Update.m_Version.value();
  Result->read_at_ms = Update.m_ReadAt ? Update.m_ReadAt->count() : NoTime;
  Result->era =
      Update.m_Era ? static_cast<std::int64_t>(Update.m_Era->value()) : NoEra;
  for (const DirectoryRow &Row : Update.m_Rows) {
    auto Encoded = std::make_unique<wire::DirectoryRowT>();
    Encoded->key = Row.m_Key;
    Encoded->value.assign(Row.m_Value.begin(), Row.m_Value.end());
    Encoded->version = Row.m_Version.value();
    Encoded->gone = Row.m_Removed;
    Result->rows.push_back(std::move(Encoded));
  }
  return Result;
}

std::optional<DirectoryUpdate> unpack(const wire::DirectoryUpdate &From) {
  if (From.table() == nullptr || From.version() < From.after())
    return std::nullopt;
  DirectoryUpdate Result;
  Result.m_Table = From.table()->str();
  Result.m_After = DirectoryVersion(From.after());
  Result.m_Version = DirectoryVersion(From.version());
  if (From.read_at_ms() >= 0)
    Result.m_ReadAt = std::chrono::milliseconds(From.read_at_ms());
  if (From.era() >= 0)
    Result.m_Era = DirectoryEra(static_cast<std::uint64_t>(From.era()));
  if (From.rows() == nullptr)
    return Result;
  for (const wire::DirectoryRow *Encoded : *From.rows()) {
    auto Row = unpackRow(*Encoded);
    if (!Row || Row->m_Version > Result.m_Version)
      return std::nullopt;
    Result.m_Rows.push_back(std::move(*Row));
  }
  return Result;
}

} // namespace crowstep::gateway
