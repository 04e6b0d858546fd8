/// Rows of origins, grouped by service and version.
#include "resume/origin_row.h"

#include "core/base64.h"
#include "resume/stream_origins.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace crowstep::resume {

namespace {

using Json = nlohmann::json;

constexpr int FormatVersion = 1;

/// Bytes of a stream: its key, and its lifetime in milliseconds.
constexpr std::size_t WordBytes = 8;
constexpr std::size_t LifetimeBytes = 4;
constexpr std::size_t StreamBytes = 2 * WordBytes + LifetimeBytes;
constexpr unsigned BitsPerByte = 8;

void appendNumber(std::string &To, std::uint64_t Value, std::size_t Bytes) {
  for (std::size_t I = 0; I < Bytes; ++I)
    To += static_cast<char>(
        static_cast<unsigned char>(Value >> (BitsPerByte * I)));
}

std::uint64_t numberAt(const std::string &From, std::size_t Begin,
                       std::size_t Bytes) {
  std::uint64_t Result = 0;
  for (std::size_t I = 0; I < Bytes; ++I)
    Result |=
        static_cast<std::uint64_t>(static_cast<unsigned char>(From[Begin + I]))
        << (BitsPerByte * I);
  return Result;
}

std::uint64_t millisecondsOf(Duration Lifetime) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(
          std::clamp(Lifetime, Duration::zero(), StreamOrigins::MaxLifetime))
          .count());
}

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::size_t rowBytesOf(const StreamOrigin &Origin) {
  return dump({{"service", Origin.m_Service},
               {"version", Origin.m_Software.text()},
               {"streams", ""}})
             .size() +
         4; // A comma, and what Base64 is filled up with.
}

std::string originRowValue(const std::string &Writer,
                           const std::vector<StreamRecord> &Records) {
  std::map<std::pair<std::string, std::string>, std::string> Groups;
  for (const StreamRecord &Record : Records) {
    std::string &Streams =
        Groups[{Record.m_Origin.m_Service, Record.m_Origin.m_Software.text()}];
    appendNumber(Streams, Record.m_Key.m_High, WordBytes);
    appendNumber(Streams, Record.m_Key.m_Low, WordBytes);
    appendNumber(Streams, millisecondsOf(Record.m_Lifetime), LifetimeBytes);
  }
  Json Origins = Json::array();
  for (const auto &[Names, Streams] : Groups)
    Origins.push_back({{"service", Names.first},
                       {"version", Names.second},
                       {"streams", base64Encoded(Streams)}});
  return dump(
      {{"format", FormatVersion}, {"writer", Writer}, {"origins", Origins}});
}

std::optional<std::vector<StreamRecord>>
readOriginRow(const std::string &Key, const std::string &Value) {
  constexpr std::size_t MaxValueBytes = 65536;
  if (Value.size() > MaxValueBytes)
    return std::nullopt;
  try {
    const Json Row = Json::parse(Value);
    if (Row.at("format").get<int>() != FormatVersion ||
        Row.at("writer").get<std::string>() !=
            Key.substr(0, Key.find_last_of('/')))
      return std::nullopt;
    std::vector<StreamRecord> Result;
    for (const Json &Origin : Row.at("origins")) {
      const StreamOrigin Read{
          Origin.at("service").get<std::string>(),
          SoftwareVersion(Origin.at("version").get<std::string>())};
      const std::string Streams =
          base64Decoded(Origin.at("streams").get<std::string>());
      if (Read.m_Service.empty() || Streams.size() % StreamBytes != 0)
        return std::nullopt;
      for (std::size_t I = 0; I < Streams.size(); I += StreamBytes)
        Result.push_back({{numberAt(Streams, I, WordBytes),
                           numberAt(Streams, I + WordBytes, WordBytes)},
                          Read,
                          std::chrono::milliseconds(numberAt(
                              Streams, I + 2 * WordBytes, LifetimeBytes))});
    }
    return Result;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace crowstep::resume
