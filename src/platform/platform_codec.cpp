/// JSON bodies of the platform's calls.
#include "platform/platform_codec.h"

#include "core/log.h"
#include "instance_error.h"
#include "platform/platform_error.h"

#include <nlohmann/json.hpp>

namespace crowstep::platform {

namespace {

using nlohmann::json;

constexpr std::uint32_t MaxSlots = 100000; ///< More is taken for an error.

/// Runs \p Job and converts the JSON library's exceptions.
template <typename Function> auto decoded(const Function &Job) {
  try {
    return Job();
  } catch (const json::exception &Failure) {
    throw PlatformAnswerError(Failure.what());
  }
}

Row rowOf(const json &Value) {
  return {Value.at("key").get<std::string>(),
          RowVersion(Value.at("version").get<std::uint64_t>()),
          Value.at("value").get<std::string>()};
}

RowOutcome outcomeOf(const json &Value) {
  RowOutcome Result;
  Result.m_Written = Value.at("written").get<bool>();
  const json &Present = Value.at("row");
  if (!Present.is_null())
    Result.m_CurrentRow = rowOf(Present);
  return Result;
}

std::uint32_t slotsOf(const json &Value, std::uint32_t Default) {
  const auto Slots = Value.value("slots", std::int64_t{Default});
  if (Slots < 1 || Slots > MaxSlots)
    throw PlatformAnswerError("slots " + std::to_string(Slots));
  return static_cast<std::uint32_t>(Slots);
}

UpstreamKind kindOf(const json &Value) {
  const auto Kind = Value.at("kind").get<std::string>();
  if (Kind == "service")
    return PlainService{slotsOf(Value, PlainService().m_Slots)};
  if (Kind != "engine")
    throw PlatformAnswerError("kind '" + Kind + "'");
  Engine Result;
  Result.m_Slots = slotsOf(Value, Result.m_Slots);
  Result.m_Models = Value.value("models", Result.m_Models);
  Result.m_CanResume = Value.value("can_resume", Result.m_CanResume);
  Result.m_ChecksFencing =
      Value.value("checks_fencing", Result.m_ChecksFencing);
  return Result;
}

Upstream upstreamOf(const json &Value) {
  Upstream Result;
  Result.m_Name = Value.at("name").get<std::string>();
  Result.m_Id = upstreamIdOf(Result.m_Name);
  Result.m_Service = Value.at("service").get<std::string>();
  Result.m_Address = parseAddress(Value.at("address").get<std::string>());
  Result.m_Zone.m_Name = Value.at("zone").get<std::string>();
  Result.m_Kind = kindOf(Value);
  Result.m_Draining = Value.value("leaving", false);
  return Result;
}

ListedInstance instanceOf(const json &Value) {
  return {Value.at("name").get<std::string>(),
          parseAddress(Value.at("link").get<std::string>()),
          {Value.at("zone").get<std::string>()},
          Value.value("leaving", false)};
}

void ignoreEntry(const json &Entry, const std::string &Reason) {
  // An entry may nest deeper than the stack allows to serialise.
  const bool IsNamed =
      Entry.is_object() && Entry.contains("name") && Entry["name"].is_string();
  const std::string Name = IsNamed ? Entry["name"].get<std::string>() : "";
  logEvent(LogEvent::PlatformEntryIgnored, {{"name", Name}, {"why", Reason}});
}

template <typename Item, typename Reader>
std::vector<Item> readEntries(const json &List, const Reader &Read) {
  std::vector<Item> Result;
  for (const json &Entry : List) {
    try {
      Result.push_back(Read(Entry));
    } catch (const json::exception &Failure) {
      ignoreEntry(Entry, Failure.what());
    } catch (const Error &Failure) {
      ignoreEntry(Entry, Failure.what());
    }
  }
  return Result;
}

} // namespace

std::string encodeWrites(const std::vector<RowWrite> &Writes) {
  json List = json::array();
  for (const RowWrite &Write : Writes) {
    const json Value =
        Write.m_Value.empty() ? json(nullptr) : json(Write.m_Value);
    List.push_back({{"key", Write.m_Key},
                    {"expected", Write.m_Expected.value()},
                    {"value", Value}});
  }
  return json{{"writes", std::move(List)}}.dump();
}

std::vector<RowOutcome> decodeOutcomes(const std::string &Body,
                                       std::size_t Expected) {
  return decoded([&] {
    std::vector<RowOutcome> Result;
    const json Answer = json::parse(Body);
    for (const json &Value : Answer.at("outcomes"))
      Result.push_back(outcomeOf(Value));
    if (Result.size() != Expected)
      throw PlatformAnswerError(std::to_string(Result.size()) +
                                " outcomes of " + std::to_string(Expected) +
                                " writes");
    return Result;
  });
}

std::vector<Row> decodeRows(const std::string &Body) {
  return decoded([&] {
    std::vector<Row> Result;
    const json Answer = json::parse(Body);
    for (const json &Value : Answer.at("rows"))
      Result.push_back(rowOf(Value));
    return Result;
  });
}

InstanceListing decodeInstances(const std::string &Body) {
  return decoded([&] {
    const json Answer = json::parse(Body);
    return InstanceListing{
        readEntries<ListedInstance>(Answer.at("instances"), instanceOf),
        readEntries<Upstream>(Answer.at("upstreams"), upstreamOf)};
  });
}

} // namespace crowstep::platform
