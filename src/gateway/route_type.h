/// Plain types of the table that a gateway serves by.
#ifndef CROWSTEP_GATEWAY_ROUTE_TYPE_H
#define CROWSTEP_GATEWAY_ROUTE_TYPE_H

#include "core/clock.h"
#include "core/strong_id.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crowstep::gateway {

/// Version of a route table; a later one has a higher number.
using RouteTableVersion = StrongId<struct RouteTableVersionTag, std::uint64_t>;

/// One answer a call.
struct PlainCall {
  bool m_Idempotent = false; ///< May run more than once.
};

/// An answer that is a stream of events.
struct EventStream {
  bool m_Resumable = false;  ///< May go on at another upstream.
  Duration m_LongestPause{}; ///< Between events, for a good answer; 0: any.
};

/// How a route's calls are answered, and with it what may be sent again.
using RouteKind = std::variant<PlainCall, EventStream>;

/// Returns whether a call of this kind may run more than once.
bool mayRunAgain(const RouteKind &Kind);

/// A service's share of a route's calls.
struct ServiceShare {
  std::string m_Service; ///< Its name.
  double m_Weight = 1;   ///< Against the other shares; > 0.
};

/// A class of request: which calls it takes and what it promises them.
struct Route {
  std::string m_Name;                   ///< For logs and counters.
  std::string m_Host;                   ///< Lower case, without a port.
  std::string m_Prefix;                 ///< Begins and ends with a slash.
  RouteKind m_Kind;                     ///< See RouteKind.
  Duration m_Timeout{};                 ///< Longest time to the final answer.
  Duration m_Target{};                  ///< Latency for a good answer.
  unsigned m_Priority = 0;              ///< 0 is the most urgent.
  std::vector<ServiceShare> m_Services; ///< At least one.
  unsigned m_MaxAttempts = 1;           ///< Upstreams a call may be sent to.
  bool m_NeedsKey = true;               ///< Callers must bear a key.
};

/// What is known of a service beside its upstreams.
struct Service {
  std::string m_Name;              ///< As routes and upstreams name it.
  std::uint64_t m_CacheTokens = 0; ///< Memory of an engine; 0: unknown.
};

/// A customer as the table names it.
struct KeyHolder {
  std::string m_Name;                 ///< Passed on to upstreams.
  std::vector<std::string> m_Keys;    ///< Any of them will do.
  std::optional<unsigned> m_Priority; ///< Goes before the route's.
};

/// What callers must keep to.
struct CallerLimits {
  std::size_t m_MaxHeader = 16384; ///< Bytes of one header.
  std::size_t m_MaxBody = 4194304; ///< Bytes.
  Duration m_HeaderTimeout{};      ///< For headers and body to arrive.
  Duration m_IdleTimeout{};        ///< Of a connection without a request.
};

/// A whole table.
struct RouteTableData {
  RouteTableVersion m_Version;         ///< Higher replaces lower.
  std::vector<Route> m_Routes;         ///< In any order.
  std::vector<Service> m_Services;     ///< Those that routes name.
  std::vector<KeyHolder> m_Workspaces; ///< Empty: nobody needs a key.
  CallerLimits m_Limits;               ///< For all routes.
};

/// Returns the shortest pause between events that a route allows, by service;
/// services without such a route are left out.
std::map<std::string, Duration> tightestPauses(const RouteTableData &Table);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_ROUTE_TYPE_H
