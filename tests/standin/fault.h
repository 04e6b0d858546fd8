/// Faults that tests inject into stand-ins by POST /faults.
#ifndef CROWSTEP_STANDIN_FAULT_H
#define CROWSTEP_STANDIN_FAULT_H

#include "core/clock.h"
#include "core/error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace crowstep::standin {

/// The fault mode in a request is unknown.
class FaultError : public Error {
public:
  explicit FaultError(const std::string &Mode)
      : Error("unknown fault mode '" + Mode + "'") {}
};

/// Kinds of faults. A plain service's running calls ignore Crash and Freeze.
enum class FaultMode : std::uint8_t {
  None,
  Refuse,          ///< Answered at once; nothing is executed.
  Delay,           ///< Handled after `delay_ms`.
  DropAnswer,      ///< Executed, then closed without an answer.
  Hang,            ///< Held without effect until the next POST /faults; an
                   ///< upstream then handles it, the platform closes it.
  Slow,            ///< Work takes `factor` times as long.
  CrashMidStream,  ///< Closed after `after_tokens` tokens.
  Crash,           ///< Open answers and new calls are closed at once.
  Freeze,          ///< An engine's steps stop; calls are held as by Hang.
  CloseBeforeByte, ///< Closed on arrival, without effect.
};

/// A fault and the number of calls that it still applies to.
struct Fault {
  FaultMode m_Mode = FaultMode::None; ///< None: no fault.
  Duration m_Delay{};                 ///< For mode Delay.
  double m_Slowdown = 10;             ///< For mode Slow.
  std::uint64_t m_AfterTokens = 1;    ///< For mode CrashMidStream.
  std::uint64_t m_CallsLeft = 0; ///< 0: applies until the fault is changed.

  /// Parses the body of POST /faults. \throws FaultError.
  static Fault parse(const nlohmann::json &Body);

  /// Returns the fault to apply to one call and counts that call.
  Fault takeForCall();
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_FAULT_H
