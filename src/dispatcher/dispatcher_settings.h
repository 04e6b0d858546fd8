/// The dispatcher's settings, read and checked once at start.
#ifndef CROWSTEP_DISPATCHER_DISPATCHER_SETTINGS_H
#define CROWSTEP_DISPATCHER_DISPATCHER_SETTINGS_H

#include "contract/table_keeper.h"
#include "core/settings.h"
#include "decision/decider.h"
#include "link/link_tcp.h"
#include "membership/membership.h"

#include <vector>

namespace crowstep::dispatcher {

struct DispatcherSettings {
  link::LinkConfig m_Link;                   ///< Own name, zone, address.
  Address m_AdminAddress;                    ///< Of the administration API.
  std::vector<Address> m_SeedAddresses;      ///< Of other dispatchers, hints.
  Address m_PlatformAddress;                 ///< The platform's server.
  Duration m_PlatformTimeout{};              ///< Of each call, > 0.
  Duration m_ListInterval{};                 ///< Between list readings, > 0.
  Duration m_LoadInterval{};                 ///< Between load polls, > 0.
  membership::MembershipConfig m_Membership; ///< Failure detection.
  contract::TableKeeperConfig m_Table;       ///< Table protocol.
  decision::DeciderConfig m_Decider;         ///< For each pool owned.
};

/// Reads and checks the settings of a dispatcher. \throws SettingError.
DispatcherSettings readDispatcherSettings(Settings &File);

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_DISPATCHER_SETTINGS_H
