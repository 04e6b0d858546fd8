/// Reads queries and writes reports.
#include "gateway/placement_report.h"

#include <nlohmann/json.hpp>

namespace crowstep::gateway {

namespace {

using Json = nlohmann::ordered_json;

double milliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

Json milliseconds(std::optional<Duration> Value) {
  return Value ? Json(milliseconds(*Value)) : Json();
}

Json candidateOf(const balance::CandidateView &Shown, bool IsEngine) {
  Json Result = {{"name", Shown.m_Name},
                 {"zone", Shown.m_Zone.m_Name},
                 {"verdict", balance::nameOf(Shown.m_Verdict)},
                 {"calls", Shown.m_Calls},
                 {"slots", Shown.m_Slots}};
  if (IsEngine) {
    Result["queued_prefill_tokens"] = Shown.m_QueuedPrefillTokens;
    Result["uncached_tokens"] = Shown.m_UncachedTokens;
    Result["predicted_wait_ms"] = milliseconds(Shown.m_PredictedWait);
  }
  Result["cost"] = Shown.m_Cost ? Json(*Shown.m_Cost) : Json();
  Result["speed_class"] = Shown.m_SpeedClass;
  Result["slowdown"] = Shown.m_Slowdown;
  return Result;
}

const balance::PlacementInputs &
inputsOf(const balance::PlacementResult &Result) {
  return std::visit(
      [](const auto &Found) -> const balance::PlacementInputs & {
        return Found.m_Inputs;
      },
      Result);
}

Json serviceOf(const ServiceExplanation &At) {
  const balance::PlacementExplanation &Placement = At.m_Placement;
  Json Candidates = Json::array();
  for (const balance::CandidateView &Shown : Placement.m_Candidates)
    Candidates.push_back(candidateOf(Shown, Placement.m_IsModelCall));
  Json Result = {
      {"name", At.m_Service},
      {"share", At.m_Share},
      {"outcome", nameOf(At.m_Outcome)},
      {"reason", At.m_Reason},
      {"retry_after_ms", milliseconds(At.m_RetryAfter)},
      {"upstream", Placement.m_Upstream},
      {"latency_sensitive", Placement.m_LatencySensitive},
      {"left_saturated", inputsOf(Placement.m_Result).m_LeftSaturated},
      {"origin", nameOf(At.m_Origin)}};
  if (At.m_HeldBy)
    Result["held_by"] = toString(*At.m_HeldBy);
  Result["candidate_count"] = Placement.m_UpstreamCount;
  Result["candidates"] = std::move(Candidates);
  return Result;
}

bool isHeaderPair(const Json &Entry) {
  return Entry.is_array() && Entry.size() == 2 && Entry[0].is_string() &&
         Entry[1].is_string();
}

/// Upstreams' names come from other programs and may be no UTF-8.
std::string textOf(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace

std::variant<IncomingRequest, std::string>
readPlacementQuery(const std::string &Body) {
  const Json Query = Json::parse(Body, nullptr, false);
  if (!Query.is_object())
    return "not a JSON object";
  IncomingRequest Result;
  for (const auto &[Name, Target] : {std::pair("method", &Result.m_Method),
                                     std::pair("path", &Result.m_Target),
                                     std::pair("body", &Result.m_Body)}) {
    const auto Found = Query.find(Name);
    if (Found == Query.end() || !Found->is_string())
      return std::string("\"") + Name + "\" is not a string";
    *Target = Found->get<std::string>();
  }
  const auto Headers = Query.find("headers");
  if (Headers == Query.end() || !Headers->is_array())
    return "\"headers\" is not a list";
  for (const Json &Entry : *Headers) {
    if (!isHeaderPair(Entry))
      return "\"headers\" has an entry that is not a pair of strings";
    Result.m_Headers.push_back(
        {Entry[0].get<std::string>(), Entry[1].get<std::string>()});
  }
  return Result;
}

std::string writePlacementReport(const RequestExplanation &Explained,
                                 std::optional<Duration> ListAge) {
  Json Services = Json::array();
  for (const ServiceExplanation &At : Explained.m_Services)
    Services.push_back(serviceOf(At));
  return textOf(
      {{"outcome", Explained.m_Reason ? "refused" : "admitted"},
       {"reason",
        Explained.m_Reason ? nameOf(*Explained.m_Reason) : std::string_view()},
       {"route", Explained.m_Route},
       {"workspace", Explained.m_Workspace},
       {"digests", Explained.m_Basis.m_PeerCount},
       {"oldest_digest_ms", milliseconds(Explained.m_Basis.m_OldestAge)},
       {"upstreams_age_ms", milliseconds(ListAge)},
       {"services", std::move(Services)}});
}

std::string writePlacementError(const std::string &Text) {
  return textOf({{"error", Text}});
}

} // namespace crowstep::gateway
