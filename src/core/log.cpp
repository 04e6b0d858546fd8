/// Structured log lines over log4cplus.
#include "core/log.h"

#include "core/log_error.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>
#include <map>
#include <memory>

namespace crowstep {

namespace {

struct EventRow {
  log4cplus::LogLevel m_Level; ///< Level at which it is written.
  std::string_view m_Name;     ///< Stable name.
};

constexpr log4cplus::LogLevel Debug = log4cplus::DEBUG_LOG_LEVEL;
constexpr log4cplus::LogLevel Info = log4cplus::INFO_LOG_LEVEL;
constexpr log4cplus::LogLevel Warn = log4cplus::WARN_LOG_LEVEL;
constexpr log4cplus::LogLevel Error = log4cplus::ERROR_LOG_LEVEL;

const std::map<LogEvent, EventRow> &eventRows() {
  static const std::map<LogEvent, EventRow> Rows = {
#define CROWSTEP_EVENT(Number, Level, Name, Text)                              \
  {LogEvent::Name, {Level, #Name}},
#include "table/all_events.inc"
#undef CROWSTEP_EVENT
  };
  return Rows;
}

log4cplus::LogLevel levelOf(const std::string &Name) {
  static const std::map<std::string, log4cplus::LogLevel> Levels = {
      {"debug", Debug},
      {"info", Info},
      {"warn", Warn},
      {"error", Error},
      {"off", log4cplus::OFF_LOG_LEVEL}};
  const auto Found = Levels.find(Name);
  if (Found == Levels.end())
    throw LogLevelError(Name);
  return Found->second;
}

/// Quotes a value that would otherwise break the line's key=value form.
std::string quoted(const std::string &Value) {
  if (!Value.empty() && Value.find_first_of(" \"=\n\r\t") == std::string::npos)
    return Value;
  std::string Result = "\"";
  for (const char Ch : Value) {
    if (Ch == '"' || Ch == '\\')
      Result += '\\';
    Result += (Ch == '\n' || Ch == '\r') ? ' ' : Ch;
  }
  return Result + "\"";
}

log4cplus::Logger &logger() {
  static log4cplus::Logger Instance =
      log4cplus::Logger::getInstance("crowstep");
  return Instance;
}

} // namespace

void startLogging(const std::string &Level, const std::string &Process) {
  const log4cplus::LogLevel Threshold = levelOf(Level);
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p " + Process + " %m%n"));
  logger().removeAllAppenders();
  logger().addAppender(Appender);
  logger().setAdditivity(false);
  logger().setLogLevel(Threshold);
}

void logEvent(LogEvent What, std::initializer_list<LogField> Fields) {
  const EventRow &Row = eventRows().at(What);
  if (!logger().isEnabledFor(Row.m_Level))
    return;
  std::string Line = "E" + std::to_string(static_cast<unsigned>(What)) + " ";
  Line += Row.m_Name;
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.first;
    Line += '=';
    Line += quoted(Field.second);
  }
  logger().log(Row.m_Level, Line);
}

} // namespace crowstep
