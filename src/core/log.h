/// Numbered, structured log events over log4cplus.
///
/// Every event has a row in src/table/*_events.inc: number, level, name. The
/// numbers are stable and docs/EVENTS.md lists them all. No prompt, answer or
/// key is ever passed as a field.
#ifndef CROWSTEP_CORE_LOG_H
#define CROWSTEP_CORE_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace crowstep {

/// Every log event; the value is its number in the catalogue.
enum class LogEvent : std::uint16_t {
#define CROWSTEP_EVENT(Number, Level, Name, Text) Name = Number,
#include "table/all_events.inc"
#undef CROWSTEP_EVENT
};

/// A field of a structured log line.
using LogField = std::pair<std::string_view, std::string>;

/// Where log lines go.
enum class LogTarget : std::uint8_t {
  StandardOutput, ///< Daemons.
  StandardError,  ///< Commands, whose output is what they print.
};

/// Sets up logging, one JSON object a line. \p Level is one of "debug",
/// "info", "warn", "error" and "off". \throws LogLevelError for others.
void startLogging(const std::string &Level, const std::string &Process,
                  LogTarget Target = LogTarget::StandardOutput);

/// Writes one event; cheap when its level is switched off.
void logEvent(LogEvent Event, std::initializer_list<LogField> Fields = {});

} // namespace crowstep

#endif // CROWSTEP_CORE_LOG_H
