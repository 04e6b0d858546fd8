/// Plain types of the route table.
#ifndef CROWSTEP_GATEWAY_ROUTE_TYPE_H
#define CROWSTEP_GATEWAY_ROUTE_TYPE_H

#include "core/clock.h"
#include "core/strong_id.h"
#include "duty/capacity_type.h"
#include "instance_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace crowstep::gateway {

/// Version of a route table; a later one has a higher number.
using RouteTableVersion = StrongId<struct RouteTableVersionTag, std::uint64_t>;

/// A call with a single answer.
struct PlainCall {
  bool m_Idempotent = false; ///< May run more than once.
};

/// An answer that is a stream of events.
struct EventStream {
  bool m_Resumable = false; ///< May resume at another upstream.
  Duration m_MaxPause{};    ///< Target between events; 0: none.
};

/// How a route's calls are answered, and thus which may be retried.
using RouteKind = std::variant<PlainCall, EventStream>;

/// Returns whether a call of this kind may run more than once.
bool mayRunAgain(const RouteKind &Kind);

/// A service's share of a route's calls.
struct ServiceShare {
  std::string m_Service; ///< Its name.
  double m_Weight = 1;   ///< Relative to other shares; > 0.
};

/// A class of requests: which calls match it, their limits and targets.
struct Route {
  std::string m_Name;                   ///< For logs and metrics.
  std::string m_Host;                   ///< Lower case, without a port.
  std::string m_Prefix;                 ///< Begins and ends with a slash.
  RouteKind m_Kind;                     ///< See RouteKind.
  Duration m_Timeout{};                 ///< Longest time to the final answer.
  Duration m_Target{};                  ///< Latency target.
  unsigned m_Priority = 0;              ///< 0 is the most urgent.
  std::vector<ServiceShare> m_Services; ///< At least one.
  unsigned m_MaxAttempts = 1;           ///< Upstreams a call may be sent to.
  bool m_NeedsKey = true;               ///< Callers must present a key.
};

/// How engines of a service can be ordered.
struct Scaling {
  duty::CapacityLimits m_Limits; ///< In each zone.

  /// Price of an engine by zone, relative to one another.
  std::map<AvailabilityZone, double> m_Prices;
};

/// Data of a service apart from its upstreams.
struct Service {
  std::string m_Name;               ///< As routes and upstreams name it.
  std::uint64_t m_CacheTokens = 0;  ///< KV cache of an engine; 0: unknown.
  std::optional<Scaling> m_Scaling; ///< None: its engines are not ordered.
};

/// A workspace in the table.
struct WorkspaceEntry {
  std::string m_Name;                 ///< Passed on to upstreams.
  std::vector<std::string> m_Keys;    ///< Any of them is accepted.
  std::optional<unsigned> m_Priority; ///< Overrides the route's in the queue.
};

/// Limits for callers.
struct CallerLimits {
  std::size_t m_MaxHeaderBytes = 16384; ///< Bytes of one header.
  std::size_t m_MaxBodyBytes = 4194304; ///< Bytes.
  Duration m_HeaderTimeout{};           ///< For headers and body to arrive.
  Duration m_IdleTimeout{};             ///< Of a connection without a request.
};

/// A whole table.
struct RouteTableData {
  RouteTableVersion m_Version;              ///< Higher replaces lower.
  std::vector<Route> m_Routes;              ///< In any order.
  std::vector<Service> m_Services;          ///< Those that routes name.
  std::vector<WorkspaceEntry> m_Workspaces; ///< Empty: keys are not checked.
  CallerLimits m_Limits;                    ///< For all routes.
};

/// Returns the services of routes whose streams may be resumed.
std::set<std::string> resumableServices(const RouteTableData &Table);

/// Returns the shortest target of a pause between events among a service's
/// routes, by service; services without such a route are left out.
std::map<std::string, Duration> minPausesByService(const RouteTableData &Table);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_ROUTE_TYPE_H
