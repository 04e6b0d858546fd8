/// The row of the table service that holds the usage reports under way.
#include "duty/usage_row.h"

#include "core/untrusted_json.h"
#include "duty/duty_error.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace crowstep::duty {

namespace {

using nlohmann::json;

constexpr std::int64_t UsageFormat = 1;

/// The numbers of the windows after it must not overflow.
constexpr std::uint64_t MaxWindow = std::uint64_t{1} << 62U;

UsageWindow windowOf(const json &Value, const char *Name) {
  return UsageWindow(wholeNumberOf(Value.at(Name), Name, MaxWindow));
}

UsageReport reportOf(const json &Value) {
  UsageReport Result{windowOf(Value, "window"), {}};
  const auto &Counts = Value.at("counts").get_ref<const json::object_t &>();
  for (const auto &[Workspace, Count] : Counts)
    Result.m_Counts[Workspace] = wholeNumberOf(
        Count, "counts", std::numeric_limits<std::uint64_t>::max());
  return Result;
}

} // namespace

std::string encodeUsageRow(const UsageRow &Row) {
  json Pending = json::array();
  for (const UsageReport &Report : Row.m_Pending)
    Pending.push_back(
        {{"window", Report.m_Window.value()}, {"counts", Report.m_Counts}});
  return json{{"format", UsageFormat},
              {"next", Row.m_Next.value()},
              {"pending", Pending}}
      .dump();
}

UsageRow decodeUsageRow(const std::string &Text) {
  try {
    const json Value = parseUntrustedJson(Text);
    if (Value.at("format").get<std::int64_t>() != UsageFormat)
      throw DutyRowError("unsupported format " + Value.at("format").dump());
    UsageRow Result;
    Result.m_Next = windowOf(Value, "next");
    for (const json &Report : Value.at("pending"))
      Result.m_Pending.push_back(reportOf(Report));
    for (const UsageReport &Report : Result.m_Pending)
      if (Report.m_Window >= Result.m_Next)
        throw DutyRowError("a pending report of a later window than next");
    return Result;
  } catch (const json::exception &Failure) {
    throw DutyRowError(Failure.what());
  }
}

} // namespace crowstep::duty
