/// Reading of the settings of an entry.
#include "entry/entry_settings.h"

#include "core/error.h"
#include "core/memory_plan.h"
#include "membership/member_func.h"

namespace crowstep::entry {

using namespace std::chrono_literals;

namespace {

constexpr std::int64_t MaxBodyLimit = 64 << 20;
constexpr std::size_t MinLinkKey = 8;

PlacementKind placementOf(const std::string &Name) {
  if (Name == "dispatcher")
    return PlacementKind::Dispatcher;
  if (Name == "round_robin")
    return PlacementKind::RoundRobin;
  if (Name == "least_in_flight")
    return PlacementKind::LeastInFlight;
  throw SettingError("settings", "entry", "placement", Name,
                     "dispatcher, round_robin, least_in_flight");
}

std::size_t size(Settings &File, const std::string &Key, std::int64_t Min,
                 std::int64_t Max, std::int64_t Default) {
  return static_cast<std::size_t>(
      File.integer("entry", Key, Min, Max, Default));
}

RequestLimits readLimits(Settings &File) {
  RequestLimits Result;
  Result.m_MaxBodyBytes =
      size(File, "max_body_bytes", 1024, MaxBodyLimit, 4 << 20);
  Result.m_MaxHeaderBytes = size(File, "max_header_bytes", 256, 65536, 4096);
  Result.m_ReceiveTimeout =
      File.milliseconds("entry", "receive_limit_ms", 100ms, 10min, 10s);
  Result.m_UpstreamSilenceTimeout =
      File.milliseconds("entry", "upstream_silence_ms", 100ms, 10min, 15s);
  Result.m_MaxCallerBacklogBytes =
      size(File, "caller_backlog_bytes", 4096, MaxBodyLimit, 256 << 10);
  Result.m_MaxAttempts =
      static_cast<unsigned>(File.integer("entry", "max_attempts", 1, 16, 4));
  Result.m_MemoryBytes = readMemory(File, "entry");
  return Result;
}

} // namespace

EntrySettings readEntrySettings(Settings &File) {
  EntrySettings Result;
  Result.m_Link.m_Role = wire::Role::Entry;
  Result.m_Link.m_Name = File.text("instance", "name");
  Result.m_Link.m_Zone.m_Name = File.text("instance", "zone");
  Result.m_Link.m_Incarnation = membership::freshIncarnation();
  Result.m_Link.m_Key = File.text("link", "key");
  if (Result.m_Link.m_Key.size() < MinLinkKey)
    throw SettingError("settings", "link", "key", "(hidden)",
                       "at least 8 characters");
  Result.m_ListenAddress = File.address("entry", "listen");
  Result.m_HomeAddresses = File.addresses("entry", "home");
  if (Result.m_HomeAddresses.empty())
    throw SettingError("settings", "entry", "home", "",
                       "addresses of dispatchers, the own instance's first");
  Result.m_Placement =
      placementOf(File.text("entry", "placement", "dispatcher"));
  Result.m_Limits = readLimits(File);
  return Result;
}

} // namespace crowstep::entry
