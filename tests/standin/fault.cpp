/// Parses faults and counts the calls they apply to.
#include "standin/fault.h"

#include <map>

namespace crowstep::standin {

namespace {

const std::map<std::string, FaultMode> &modes() {
  static const std::map<std::string, FaultMode> Table = {
      {"none", FaultMode::None},
      {"refuse", FaultMode::Refuse},
      {"delay", FaultMode::Delay},
      {"drop_answer", FaultMode::DropAnswer},
      {"hang", FaultMode::Hang},
      {"slow", FaultMode::Slow},
      {"crash_mid_stream", FaultMode::CrashMidStream},
      {"crash", FaultMode::Crash},
      {"freeze", FaultMode::Freeze},
      {"close_before_byte", FaultMode::CloseBeforeByte}};
  return Table;
}

} // namespace

Fault Fault::parse(const nlohmann::json &Body) {
  const std::string Mode = Body.value("mode", "none");
  const auto Found = modes().find(Mode);
  if (Found == modes().end())
    throw FaultError(Mode);
  Fault Result;
  Result.m_Mode = Found->second;
  Result.m_Delay = std::chrono::milliseconds(Body.value("delay_ms", 0));
  Result.m_Slowdown = Body.value("factor", 10.0);
  Result.m_AfterTokens = Body.value("after_tokens", 1U);
  Result.m_CallsLeft = Body.value("count", 0U);
  return Result;
}

Fault Fault::takeForCall() {
  const Fault Current = *this;
  if (m_CallsLeft > 0 && --m_CallsLeft == 0)
    *this = Fault();
  return Current;
}

} // namespace crowstep::standin
