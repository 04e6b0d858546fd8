/// Numbered, structured log events over log4cplus.
///
/// Every event has a row in src/table/*_events.inc: number, level, name. The
/// numbers are stable; docs/EVENTS.md lists them all. Prompts, answers and keys
/// are never passed as fields.
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
  StandardError,  ///< Commands, which print their results to
                  ///< standard output.
};

/// Sets up logging, with one JSON object per line. \p Level is one of "debug",
/// "info", "warn", "error" and "off". \throws LogLevelError for others.
void startLogging(const std::string &Level, const std::string &Process,
                  LogTarget Target = LogTarget::StandardOutput);

/// Writes one event; cheap if its level is disabled. Lines of one event beyond
/// a budget per second are counted but not written.
void logEvent(LogEvent Event, std::initializer_list<LogField> Fields = {});

} // namespace crowstep

#endif // CROWSTEP_CORE_LOG_H
