/// Log lines: their form, their bound, and a reader that has stopped.
#define BOOST_TEST_MODULE log
#include "core/log.h"
#include "ctl/explain.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <glib.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace crowstep;

namespace {

/// Standard error as a pipe that the test reads, or doesn't.
class Pipe {
public:
  Pipe() : m_Saved(dup(STDERR_FILENO)) {
    std::array<int, 2> Ends{};
    BOOST_REQUIRE(pipe(Ends.data()) == 0);
    m_Read = Ends[0];
    fcntl(m_Read, F_SETFL, O_NONBLOCK);
    dup2(Ends[1], STDERR_FILENO);
    close(Ends[1]);
    startLogging("info", "test", LogTarget::StandardError);
  }
  ~Pipe() {
    dup2(m_Saved, STDERR_FILENO);
    close(m_Saved);
    close(m_Read);
  }
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;

  std::string read() const {
    std::string Result;
    std::array<char, 4096> Buffer{};
    for (;;) {
      const ssize_t Size = ::read(m_Read, Buffer.data(), Buffer.size());
      if (Size <= 0)
        return Result;
      Result.append(Buffer.data(), static_cast<std::size_t>(Size));
    }
  }

private:
  int m_Saved;     ///< The real standard error.
  int m_Read = -1; ///< The test's end.
};

std::size_t count(const std::string &Text, const std::string &Pattern) {
  std::size_t Result = 0;
  for (std::size_t At = Text.find(Pattern); At != std::string::npos;
       At = Text.find(Pattern, At + 1))
    ++Result;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(ALineIsOneJsonObject) {
  const Pipe Reader;
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

/// The reader of the log has stopped and the pipe is full. The one thread that
/// serves callers must not wait for it; what was dropped is counted and told
/// when the reader goes on.
BOOST_AUTO_TEST_CASE(AFullPipeBlocksNothing) {
  const Pipe Reader;
  const std::string Long(3000, 'x');
  const gint64 Begin = g_get_monotonic_time();
  // Many events, so that no budget ends the lines before the pipe is full.
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

/// A storm of one event leaves room for all others and is told as a number.
BOOST_AUTO_TEST_CASE(AStormIsBounded) {
  const Pipe Reader;
  for (int I = 0; I < 5000; ++I)
    logEvent(LogEvent::EntryUpstreamFailed, {{"n", std::to_string(I)}});
  BOOST_TEST(count(Reader.read(), "EntryUpstreamFailed") <= 200U);
  g_usleep(1100000);
  logEvent(LogEvent::EntryUpstreamFailed);
  BOOST_TEST(count(Reader.read(), "LogLinesLeftOut") == 1U);
}

/// A story comes in the order of its times, over several logs, with what was
/// believed of the upstream, past lines of other programs.
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
