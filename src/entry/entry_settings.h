/// The entry's settings, read and checked once at start.
#ifndef CROWSTEP_ENTRY_ENTRY_SETTINGS_H
#define CROWSTEP_ENTRY_ENTRY_SETTINGS_H

#include "core/settings.h"
#include "link/link_tcp.h"

#include <vector>

namespace crowstep::entry {

/// Who decides which upstream serves a request.
enum class PlacementKind : std::uint8_t {
  Dispatcher,    ///< The pool's owner: crowstep's own way.
  RoundRobin,    ///< This entry alone, in turn; a baseline.
  LeastInFlight, ///< This entry alone, by its own calls; a baseline.
};

/// Limits on one request.
struct RequestLimits {
  std::size_t m_MaxBody = 0;       ///< Bytes.
  std::size_t m_MaxHeader = 0;     ///< Bytes of one header's value.
  Duration m_ReceiveLimit{};       ///< From the first byte to the last.
  Duration m_UpstreamSilence{};    ///< Longest wait for the next byte.
  std::size_t m_CallerBacklog = 0; ///< Bytes; then reading stops.
  unsigned m_MaxAttempts = 0;      ///< Calls to upstreams.
};

struct EntrySettings {
  link::LinkConfig m_Link;      ///< Own name and zone; dials only.
  Address m_Listen;             ///< For callers.
  std::vector<Address> m_Homes; ///< First: the own instance's dispatcher.
  PlacementKind m_Placement = PlacementKind::Dispatcher; ///< See above.
  RequestLimits m_Limits;                                ///< See above.
};

/// Reads the settings of an entry. \throws SettingError.
EntrySettings readEntrySettings(Settings &File);

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_ENTRY_SETTINGS_H
