/// Polls of upstreams for their load.
#define BOOST_TEST_MODULE load_monitor
#include "dispatcher/load_monitor.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::dispatcher;
using namespace std::chrono_literals;

namespace {

/// Keeps the callback of the last call.
class FakeClient final : public HttpClientInterface {
public:
  void call(const HttpCall &, Done OnDone) override {
    m_OnDone = std::move(OnDone);
  }
  void answer(const std::string &Body) {
    HttpAnswer Answer;
    Answer.m_Status = 200;
    Answer.m_Body = Body;
    m_OnDone(Answer);
  }

  Done m_OnDone; ///< Of the last call.
};

struct Fixture {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  FakeClient m_Http;
  std::vector<decision::Event> m_Events;
  std::function<void()> m_OnEvent = [] {};
  LoadMonitor m_Monitor{m_Http, m_Timers, 1s,
                        [this](const decision::Event &Event) {
                          m_Events.push_back(Event);
                          m_OnEvent();
                        }};

  Fixture() {
    m_Monitor.watch({{upstreamIdOf("e"), "e", "writer", {1, 1}, {"a"}}});
  }
};

constexpr const char *Report = R"({"sequence":1,"running":2,"waiting":0})";

} // namespace

// Guards against a fault of the decider that is taken for an unreadable report.
BOOST_AUTO_TEST_CASE(AFaultOfTheReceiverIsNotHidden) {
  Fixture Test;
  Test.m_OnEvent = [] { throw std::out_of_range("decider"); };
  BOOST_CHECK_THROW(Test.m_Http.answer(Report), std::out_of_range);
}

// Guards against polls that end with an unreadable answer.
BOOST_AUTO_TEST_CASE(AnUnreadableReportIsSkipped) {
  for (const char *Text :
       {"", "{", "[]", R"({"sequence":"x"})",
        R"({"sequence":1,"running":2,"waiting":0,"cache_events":[
            {"sequence":1,"prefix":"zz","added":true}]})"}) {
    Fixture Test;
    Test.m_Http.answer(Text);
    const std::size_t Read = Test.m_Events.size();
    BOOST_TEST(Read <= 1U);
    Test.m_Timers.advance(1s);
    Test.m_Http.answer(Report);
    BOOST_TEST(Test.m_Events.size() == Read + 1);
  }
}
