/// Log lines: their format, the limit per event and a reader that stops.
#define BOOST_TEST_MODULE log
#include "ctl/explain.h"
#include "unit/captured_log.h"

#include <glib.h>
#include <nlohmann/json.hpp>

using namespace crowstep;
using namespace crowstep::test;

namespace {

std::size_t count(const std::string &Text, const std::string &Pattern) {
  std::size_t Result = 0;
  for (std::size_t At = Text.find(Pattern); At != std::string::npos;
       At = Text.find(Pattern, At + 1))
    ++Result;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(ALineIsOneJsonObject) {
  const CapturedLog Reader;
  logEvent(LogEvent::GatewayNotAdmitted,
           {{"request", "a\"b\nc\xff"}, {"reason", "unknown_key"}});
  const std::string Text = Reader.read();
  BOOST_TEST(count(Text, "\n") == 1U);
  const auto Line = nlohmann::json::parse(Text);
  BOOST_TEST(Line.at("event") == 2001);
  BOOST_TEST(Line.at("name") == "GatewayNotAdmitted");
  BOOST_TEST(Line.at("process") == "test");
  BOOST_TEST(Line.at("at_ms").is_number_integer());
}

// Guards against an event that is not logged because a caller's text is long.
BOOST_AUTO_TEST_CASE(ALongLineIsShortened) {
  const CapturedLog Reader;
  logEvent(LogEvent::GatewayNotAdmitted,
           {{"request", std::string(10000, 'x')}, {"reason", "unknown_key"}});
  const auto Line = nlohmann::json::parse(Reader.read());
  BOOST_TEST(Line.at("reason") == "unknown_key");
  BOOST_TEST(Line.at("request").get<std::string>().starts_with("xxx"));
  logEvent(LogEvent::GatewayDrained);
  BOOST_TEST(count(Reader.read(), "LogLinesDropped") == 0U);
}

/// Guards against a stopped reader of the log that blocks the one thread that
/// serves callers: when the pipe is full, lines are dropped, and their number
/// is logged once there is room again.
BOOST_AUTO_TEST_CASE(AFullPipeBlocksNothing) {
  const CapturedLog Reader;
  const std::string Long(3000, 'x');
  const gint64 Begin = g_get_monotonic_time();
  // Two events of 60 lines stay within their budgets, so that only the full
  // pipe drops lines.
  for (int I = 0; I < 60; ++I)
    for (const LogEvent Event :
         {LogEvent::GatewayNotAdmitted, LogEvent::GatewayRequestFailed})
      logEvent(Event, {{"request", Long}});
  BOOST_TEST(g_get_monotonic_time() - Begin < G_USEC_PER_SEC);
  Reader.read();
  logEvent(LogEvent::GatewayDrained);
  const std::string Text = Reader.read();
  BOOST_TEST(count(Text, "LogLinesDropped") == 1U);
  BOOST_TEST(count(Text, "GatewayDrained") == 1U);
}

/// The lines of one event are limited per second, and the number of those left
/// out is logged.
BOOST_AUTO_TEST_CASE(AStormIsBounded) {
  const CapturedLog Reader;
  for (int I = 0; I < 5000; ++I)
    logEvent(LogEvent::EntryUpstreamFailed, {{"n", std::to_string(I)}});
  BOOST_TEST(count(Reader.read(), "EntryUpstreamFailed") <= 200U);
  g_usleep(1100000);
  logEvent(LogEvent::EntryUpstreamFailed);
  BOOST_TEST(count(Reader.read(), "LogLinesLeftOut") == 1U);
}

/// explain() lists a request's events from several logs in the order of their
/// times, with events of its upstream or content before them, and skips lines
/// of other programs.
BOOST_AUTO_TEST_CASE(AStoryCrossesLogs) {
  const std::string First =
      "collector says {\"at_ms\":5,\"name\":\"B\",\"request\":\"r\","
      "\"upstream\":\"u\"}\nnoise {\n";
  const std::string Second = "{\"at_ms\":3,\"name\":\"A\",\"upstream\":\"u\"}\n"
                             "{\"at_ms\":4,\"name\":\"X\",\"request\":\"s\"}\n"
                             "{\"at_ms\":9,\"name\":\"C\",\"request\":\"r\"}\n";
  BOOST_TEST(ctl::explain("r", {First, Second}) ==
             "3 A upstream=u\n5 B request=r upstream=u\n9 C request=r\n");
  BOOST_TEST(ctl::explain("t", {First, Second}).empty());
  const std::string Held =
      "{\"at_ms\":1,\"name\":\"Q\",\"content\":\"c\"}\n"
      "{\"at_ms\":2,\"name\":\"Q\",\"content\":\"d\"}\n"
      "{\"at_ms\":3,\"name\":\"F\",\"request\":\"q\",\"content\":\"c\"}\n";
  BOOST_TEST(ctl::explain("q", {Held}) ==
             "1 Q content=c\n3 F request=q content=c\n");
}
