/// The caller side of HTTP on loopback: framing, closes and idle connections.
#define BOOST_TEST_MODULE front
#include "http/caller.h"
#include "http/front.h"
#include "http/sse_splitter.h"
#include "unit/loopback_peer.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

struct World {
  LoopScheduler m_Timers;
  std::vector<RefusalReason> m_Refused;
  Front m_Front{{1000, 4096, 10s, 1s},
                [this](RefusalReason Reason) { m_Refused.push_back(Reason); },
                m_Timers};
  std::vector<std::unique_ptr<HttpServerCaller>> m_Callers;
  int m_Gone = 0;
  Address m_Where{INADDR_LOOPBACK, 0};

  World() {
    FakeUpstream Free; // Only for a port that is free.
    m_Where = Free.m_Address;
    Free.stopListening();
    m_Front.listen(m_Where, [this](SoupServerMessage *Message) {
      m_Callers.push_back(std::make_unique<HttpServerCaller>(Message));
      m_Callers.back()->onGone([this] { ++m_Gone; });
    });
  }
  ~World() { m_Callers.clear(); }
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  std::unique_ptr<Peer> sent(const std::string &Text) const {
    auto Result = Peer::connect(m_Where);
    Result->send(Text);
    return Result;
  }
  void answerLast() {
    CallerAnswer Answer;
    Answer.m_Body = "ok";
    m_Callers.back()->answer(Answer);
  }
};

const std::string Get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

/// One reader goes by the length, another by the chunks: the rest of the body
/// would be a second request, with whatever key its sender chose.
BOOST_AUTO_TEST_CASE(AmbiguousFramingIsRefused) {
  World It;
  for (const char *Framing :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 7\r\n", "Content-Length: +5\r\n",
        "Transfer-Encoding: gzip, chunked\r\n"}) {
    const std::size_t Before = It.m_Callers.size();
    const auto Caller = It.sent("POST /x HTTP/1.1\r\nHost: h\r\n" +
                                std::string(Framing) + "\r\n0\r\n\r\n" + Get);
    BOOST_TEST(pumpUntil([&] { return Caller->closed(); }));
    BOOST_TEST(It.m_Callers.size() == Before);
    BOOST_TEST(!Caller->has("200 OK"));
  }
}

/// The caller closes its sending side while it waits, also behind bytes of a
/// further request that nobody has read: its work must stop.
BOOST_AUTO_TEST_CASE(AHalfClosedCallerIsGone) {
  for (const std::string &Text : {Get, Get + Get}) {
    World It;
    const auto Caller = It.sent(Text);
    BOOST_TEST(pumpUntil([&] { return It.m_Callers.size() == 1; }));
    BOOST_TEST(!It.m_Callers[0]->hasLeft());
    shutdown(Caller->fd(), SHUT_WR);
    BOOST_TEST(pumpUntil([&] { return It.m_Gone == 1; }));
    BOOST_TEST(It.m_Callers[0]->hasLeft());
  }
}

/// A kept connection that lies idle is closed by its limit, or at shutdown; one
/// whose request is being answered is not.
BOOST_AUTO_TEST_CASE(IdleConnectionsAreClosed) {
  World It;
  const auto Idle = It.sent(Get);
  BOOST_TEST(pumpUntil([&] { return It.m_Callers.size() == 1; }));
  It.answerLast();
  BOOST_TEST(pumpUntil([&] { return Idle->has("ok"); }));
  const auto Busy = It.sent(Get);
  BOOST_TEST(pumpUntil([&] { return It.m_Callers.size() == 2; }));
  BOOST_TEST(!Idle->closed());
  It.m_Front.closeIdle();
  BOOST_TEST(pumpUntil([&] { return Idle->closed(); }));
  BOOST_TEST(!Busy->closed());
  It.answerLast();
  BOOST_TEST(pumpUntil([&] { return Busy->has("ok"); }));
  BOOST_TEST(pumpUntil([&] { return Busy->closed(); })); // After its limit.
}

/// Events are handed out whole, however the bytes come.
BOOST_AUTO_TEST_CASE(EventsAreSplitWhole) {
  const std::string Text = "id: 4\ndata: a\n\nx: 1\nid:5\r\ndata: b\r\n\r\n";
  for (std::size_t Step = 1; Step < Text.size(); ++Step) {
    SseSplitter Splitter;
    std::vector<SseEvent> All;
    for (std::size_t At = 0; At < Text.size(); At += Step)
      for (SseEvent &Each : Splitter.feed(Text.substr(At, Step)))
        All.push_back(std::move(Each));
    BOOST_REQUIRE(All.size() == 2U);
    BOOST_TEST(*All[0].m_Id == 4U);
    BOOST_TEST(*All[1].m_Id == 5U);
    BOOST_TEST(All[0].m_Bytes + All[1].m_Bytes == Text);
    BOOST_TEST(!Splitter.midEvent());
  }
}
