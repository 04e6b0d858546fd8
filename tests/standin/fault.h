/// Fault switches of the stand-ins, set by POST /faults.
#ifndef CROWSTEP_STANDIN_FAULT_H
#define CROWSTEP_STANDIN_FAULT_H

#include "core/clock.h"
#include "core/error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace crowstep::standin {

/// A fault's body is not understood.
class FaultError : public Error {
public:
  explicit FaultError(const std::string &Mode)
      : Error("unknown fault mode '" + Mode + "'") {}
};

/// What goes wrong.
enum class FaultMode : std::uint8_t {
  None,
  Refuse,          ///< Answered at once that nothing took effect.
  Delay,           ///< Handled only after a delay.
  DropAnswer,      ///< Takes effect; then closed without an answer.
  Hang,            ///< Never answered and without effect.
  Slow,            ///< Tokens take `factor` times as long.
  CrashMidStream,  ///< A stream is closed after `after_tokens` tokens.
  Crash,           ///< All streams are cut; calls are closed at once.
  Freeze,          ///< Nothing moves and nothing is answered.
  CloseBeforeByte, ///< Closed at arrival, without effect.
};

/// A switch with the number of calls that it still applies to.
struct Fault {
  FaultMode m_Mode = FaultMode::None; ///< None: all is well.
  Duration m_Delay{};                 ///< Of mode Delay.
  double m_Factor = 10;               ///< Of mode Slow.
  std::uint64_t m_AfterTokens = 1;    ///< Of mode CrashMidStream.
  std::uint64_t m_Left = 0;           ///< Calls left; 0: until changed.

  /// Reads the body of POST /faults. \throws FaultError.
  static Fault parse(const nlohmann::json &Body);

  /// Returns the fault of one call, and counts the call.
  Fault take();
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_FAULT_H
