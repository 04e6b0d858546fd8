/// Structured log lines over log4cplus.
#include "core/log.h"

#include "core/log_error.h"

#include <climits>
#include <glib.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>
#include <map>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace crowstep {

namespace {

struct EventRow {
  log4cplus::LogLevel m_Level; ///< Level at which the event is logged.
  std::string_view m_Name;     ///< Does not change between versions.
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

log4cplus::Logger &logger() {
  static log4cplus::Logger Instance =
      log4cplus::Logger::getInstance("crowstep");
  return Instance;
}

/// Writes lines without ever blocking.
///
/// If the reader of a pipe stops, the pipe fills and a plain write would block
/// the one thread that serves callers. A line is written only if poll() reports
/// room, which for a pipe means room for PIPE_BUF bytes. Other lines are
/// dropped and counted, not queued, so that memory does not grow.
class NonBlockingAppender final : public log4cplus::Appender {
public:
  explicit NonBlockingAppender(LogTarget Target)
      : m_Fd(Target == LogTarget::StandardOutput ? STDOUT_FILENO
                                                 : STDERR_FILENO) {}
  ~NonBlockingAppender() override { destructorImpl(); }
  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    pollfd Descriptor = {m_Fd, POLLOUT, 0};
    const std::string Line = Event.getMessage() + "\n";
    if (poll(&Descriptor, 1, 0) <= 0 || (Descriptor.revents & POLLOUT) == 0 ||
        Line.size() > PIPE_BUF || write(m_Fd, Line.data(), Line.size()) < 0) {
      ++m_Dropped;
      return;
    }
    if (m_Dropped > 0)
      logEvent(LogEvent::LogLinesDropped,
               {{"count", std::to_string(std::exchange(m_Dropped, 0))}});
  }

private:
  int m_Fd;                    ///< Not owned.
  std::uint64_t m_Dropped = 0; ///< Since the last report of dropped lines.
};

/// Maximum number of lines of one event per second. One process serves ten
/// requests per second on a busy day; the rest is headroom for bursts of
/// errors, of which the first lines and the number of the others say enough.
constexpr unsigned MaxLinesPerSecond = 100;

/// Lines of one event in the current second.
struct EventBudget {
  std::int64_t m_Second = 0;      ///< Second of the monotonic clock.
  unsigned m_Written = 0;         ///< Lines written in that second.
  std::uint64_t m_Suppressed = 0; ///< Lines over the limit, not written.
};

std::string processName; // NOLINT(readability-identifier-naming)

/// Longest value of a field in a line that would exceed PIPE_BUF: a longer line
/// can't be written without blocking or being mixed with others.
constexpr std::size_t MaxShortenedField = 100;

/// Returns one line of JSON whose fields are cut after \p MaxField bytes.
std::string formatLine(LogEvent Event, const EventRow &Row,
                       std::initializer_list<LogField> Fields,
                       std::size_t MaxField) {
  nlohmann::ordered_json Line;
  Line["at_ms"] = g_get_real_time() / 1000;
  Line["level"] = log4cplus::getLogLevelManager().toString(Row.m_Level);
  Line["process"] = processName;
  Line["event"] = static_cast<unsigned>(Event);
  Line["name"] = Row.m_Name;
  for (const LogField &Field : Fields)
    Line[std::string(Field.first)] = Field.second.substr(0, MaxField);
  // Fields may hold bytes from callers that are not UTF-8; the default handler
  // would throw.
  return Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void writeLine(LogEvent Event, const EventRow &Row,
               std::initializer_list<LogField> Fields) {
  std::string Line = formatLine(Event, Row, Fields, std::string::npos);
  if (Line.size() >= PIPE_BUF)
    Line = formatLine(Event, Row, Fields, MaxShortenedField);
  logger().log(Row.m_Level, Line);
}

/// Counts a line and returns whether it is within the event's budget.
bool withinBudget(LogEvent Event) {
  static std::map<LogEvent, EventBudget> Budgets;
  EventBudget &Used = Budgets[Event];
  const std::int64_t Second = g_get_monotonic_time() / G_USEC_PER_SEC;
  if (Second != Used.m_Second) {
    const std::uint64_t Suppressed = std::exchange(Used.m_Suppressed, 0);
    Used = {Second, 0, 0};
    if (Suppressed > 0)
      logEvent(LogEvent::LogLinesLeftOut,
               {{"of_event", std::to_string(static_cast<unsigned>(Event))},
                {"count", std::to_string(Suppressed)}});
  }
  if (++Used.m_Written <= MaxLinesPerSecond)
    return true;
  ++Used.m_Suppressed;
  return false;
}

} // namespace

void startLogging(const std::string &Level, const std::string &Process,
                  LogTarget Target) {
  const log4cplus::LogLevel Threshold = levelOf(Level);
  processName = Process;
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr Appender(new NonBlockingAppender(Target));
  logger().removeAllAppenders();
  logger().addAppender(Appender);
  logger().setAdditivity(false);
  logger().setLogLevel(Threshold);
}

void logEvent(LogEvent Event, std::initializer_list<LogField> Fields) {
  const EventRow &Row = eventRows().at(Event);
  if (logger().isEnabledFor(Row.m_Level) && withinBudget(Event))
    writeLine(Event, Row, Fields);
}

} // namespace crowstep
