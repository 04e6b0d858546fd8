/// Settings of an entry, read and checked once at start.
#ifndef CROWSTEP_ENTRY_ENTRY_SETTINGS_H
#define CROWSTEP_ENTRY_ENTRY_SETTINGS_H

#include "core/settings.h"
#include "link/link_tcp.h"

#include <vector>

namespace crowstep::entry {

/// Who decides which upstream serves a request.
enum class PlacementKind : std::uint8_t {
  Dispatcher,    ///< The owner of the pool.
  RoundRobin,    ///< This entry, in turn; a baseline.
  LeastInFlight, ///< This entry, by its own calls; a baseline.
};

/// Limits on one request.
struct RequestLimits {
  std::size_t m_MaxBodyBytes = 0;      ///< Of the body, in bytes.
  std::size_t m_MaxHeaderBytes = 0;    ///< Of one header's value, in bytes.
  Duration m_ReceiveTimeout{};         ///< From the first byte to the last.
  Duration m_UpstreamSilenceTimeout{}; ///< Longest wait for the upstream's next
                                       ///< byte.
  std::size_t m_MaxCallerBacklogBytes =
      0;                         ///< Unsent bytes at which reading pauses.
  unsigned m_MaxAttempts = 0;    ///< Limit on calls to upstreams.
  std::size_t m_MemoryBytes = 0; ///< Of the process; 0: not stated.
};

struct EntrySettings {
  link::LinkConfig m_Link; ///< Own name and zone; only dials.
  Address m_ListenAddress; ///< For callers.
  std::vector<Address>
      m_HomeAddresses; ///< First: the dispatcher of this instance.
  PlacementKind m_Placement = PlacementKind::Dispatcher;
  RequestLimits m_Limits;
};

/// Reads the settings of an entry. \throws SettingError if one is not valid.
EntrySettings readEntrySettings(Settings &File);

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_ENTRY_SETTINGS_H
