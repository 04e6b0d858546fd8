/// The row of the table service that holds the orders for engines in force.
#include "duty/capacity_row.h"

#include "core/untrusted_json.h"
#include "duty/duty_error.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace crowstep::duty {

namespace {

using nlohmann::json;

constexpr std::int64_t CapacityFormat = 1;

json encodeState(const CapacityState &State) {
  json Zones = json::object();
  for (const auto &[Zone, Orders] : State.m_Zones) {
    json &Entry = Zones[Zone.m_Name] = json::object();
    if (Orders.m_Regular)
      Entry["regular"] = *Orders.m_Regular;
    if (Orders.m_Spot)
      Entry["spot"] = *Orders.m_Spot;
  }
  return {{"target", State.m_Target}, {"zones", Zones}};
}

unsigned countOf(const json &Value, const char *Name) {
  return static_cast<unsigned>(
      wholeNumberOf(Value, Name, std::numeric_limits<unsigned>::max()));
}

std::optional<unsigned> countIn(const json &Value, const char *Name) {
  const auto Found = Value.find(Name);
  return Found == Value.end() ? std::nullopt
                              : std::optional(countOf(*Found, Name));
}

CapacityState decodeState(const json &Value) {
  CapacityState Result;
  Result.m_Target = countOf(Value.at("target"), "target");
  for (const auto &[Zone, Orders] : Value.at("zones").items())
    Result.m_Zones[AvailabilityZone{Zone}] = {countIn(Orders, "regular"),
                                              countIn(Orders, "spot")};
  return Result;
}

} // namespace

std::string encodeCapacityRow(const CapacityRow &Row) {
  json Services = json::object();
  for (const auto &[Service, State] : Row)
    Services[Service] = encodeState(State);
  return json{{"format", CapacityFormat}, {"services", Services}}.dump();
}

CapacityRow decodeCapacityRow(const std::string &Text) {
  try {
    const json Value = parseUntrustedJson(Text);
    if (Value.at("format").get<std::int64_t>() != CapacityFormat)
      throw DutyRowError("unsupported format " + Value.at("format").dump());
    CapacityRow Result;
    for (const auto &[Service, State] : Value.at("services").items())
      Result[Service] = decodeState(State);
    return Result;
  } catch (const json::exception &Failure) {
    throw DutyRowError(Failure.what());
  }
}

} // namespace crowstep::duty
