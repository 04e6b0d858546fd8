/// Reads the dispatcher's settings.
#include "dispatcher/dispatcher_settings.h"

#include "attachment_type.h"
#include "core/error.h"
#include "membership/member_func.h"

namespace crowstep::dispatcher {

using namespace std::chrono_literals;

namespace {

decision::PolicyKind parsePolicy(const std::string &Name) {
  if (Name == "crowstep")
    return decision::PolicyKind::Crowstep;
  if (Name == "round_robin")
    return decision::PolicyKind::RoundRobin;
  if (Name == "least_in_flight")
    return decision::PolicyKind::LeastInFlight;
  throw SettingError("settings", "policy", "kind", Name,
                     "crowstep, round_robin, least_in_flight");
}

void readLink(Settings &File, link::LinkConfig &Link) {
  Link.m_Role = wire::Role::Dispatcher;
  Link.m_Name = File.text("instance", "name");
  Link.m_Zone.m_Name = File.text("instance", "zone");
  Link.m_Incarnation = membership::freshIncarnation();
  Link.m_Listen = File.address("dispatcher", "link_listen");
  Link.m_Key = File.text("link", "key");
  if (Link.m_Key.size() < 8)
    throw SettingError("settings", "link", "key", "(hidden)",
                       "at least 8 characters");
}

void readMembership(Settings &File, membership::MembershipConfig &Config) {
  Config.m_HeartbeatInterval = File.milliseconds(
      "membership", "heartbeat_ms", 50ms, 10s, Config.m_HeartbeatInterval);
  Config.m_SuspectAfter = File.milliseconds("membership", "suspect_ms", 100ms,
                                            60s, Config.m_SuspectAfter);
  Config.m_DeadAfter = File.milliseconds("membership", "dead_ms", 100ms, 60s,
                                         Config.m_DeadAfter);
  Config.m_Degree = static_cast<std::size_t>(
      File.integer("membership", "degree", 2, 16,
                   static_cast<std::int64_t>(Config.m_Degree)));
}

} // namespace

DispatcherSettings readDispatcherSettings(Settings &File) {
  DispatcherSettings Result;
  readLink(File, Result.m_Link);
  Result.m_AdminAddress = File.address("dispatcher", "admin_listen");
  Result.m_SeedAddresses = File.addresses("link", "seeds");
  Result.m_PlatformAddress = File.address("platform", "address");
  Result.m_PlatformTimeout =
      File.milliseconds("platform", "timeout_ms", 10ms, 60s, 1s);
  Result.m_ListInterval =
      File.milliseconds("platform", "list_interval_ms", 100ms, 60s, 2s);
  Result.m_LoadInterval =
      File.milliseconds("dispatcher", "load_interval_ms", 50ms, 60s, 500ms);
  Result.m_Table.m_PollInterval =
      File.milliseconds("platform", "table_interval_ms", 100ms, 60s,
                        Result.m_Table.m_PollInterval);
  Result.m_Table.m_Name = Result.m_Link.m_Name;
  Result.m_Table.m_Incarnation = Result.m_Link.m_Incarnation;
  Result.m_Table.m_EntryRightDuration = EntryRightToServe;
  readMembership(File, Result.m_Membership);
  Result.m_Decider.m_Policy =
      parsePolicy(File.text("policy", "kind", "crowstep"));
  Result.m_Decider.m_Seed = static_cast<std::uint64_t>(
      File.integer("policy", "seed", 0, INT64_MAX, 1));
  Result.m_Decider.m_MaxEjectedShare =
      File.number("policy", "max_ejected_share", 0, 0.5,
                  Result.m_Decider.m_MaxEjectedShare);
  return Result;
}

} // namespace crowstep::dispatcher
