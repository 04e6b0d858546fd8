/// Tests that complete and truncated answers are told apart, however their
/// bytes are split over packets.
#define BOOST_TEST_MODULE answer_end
#include "http/answer_parser.h"
#include "http/upstream_call.h"
#include "unit/broken_upstream.h"
#include "unit/recording_listener.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr int Runs = 300;

const std::string Chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string ChunkedAndCloses = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n";

/// How the runs of one answer ended.
struct EndCounts {
  int m_Whole = 0;
  int m_Broken = 0;
  int m_Other = 0;       ///< Other ends, and runs without an end.
  int m_WrongBodies = 0; ///< Complete, but with a wrong body.
};

EndCounts countEnds(const std::string &Answer, const std::string &Body,
                    unsigned Pieces, std::chrono::microseconds MaxGap,
                    int RunCount = Runs) {
  BrokenUpstream Upstream(Answer, Pieces, MaxGap);
  LoopClock Clock;
  LoopScheduler Timers;
  HttpUpstreamClient Caller(Clock, Timers);
  EndCounts Result;
  for (int Run = 0; Run < RunCount; ++Run) {
    RecordingListener CallListener;
    UpstreamRequest Request;
    Request.m_Address = Upstream.m_Address;
    Request.m_Path = "/x";
    Request.m_Body = "b";
    Request.m_SendDeadline = Clock.readNow() + 10s;
    const auto Call = Caller.send(Request, CallListener);
    pumpUntil([&] { return CallListener.m_End.has_value(); });
    if (CallListener.m_End == TransportEnd::Complete) {
      ++Result.m_Whole;
      if (CallListener.m_Body != Body)
        ++Result.m_WrongBodies;
    } else if (CallListener.m_End == TransportEnd::Broken) {
      ++Result.m_Broken;
    } else {
      ++Result.m_Other;
    }
  }
  return Result;
}

void checkWhole(const std::string &Answer, const std::string &Body,
                unsigned Pieces, std::chrono::microseconds MaxGap,
                int RunCount = Runs) {
  const EndCounts Result = countEnds(Answer, Body, Pieces, MaxGap, RunCount);
  BOOST_TEST(Result.m_Whole == RunCount);
  BOOST_TEST(Result.m_Broken == 0);
  BOOST_TEST(Result.m_WrongBodies == 0);
}

void checkBroken(const std::string &Answer, unsigned Pieces,
                 std::chrono::microseconds MaxGap, int RunCount = Runs) {
  const EndCounts Result = countEnds(Answer, "", Pieces, MaxGap, RunCount);
  BOOST_TEST(Result.m_Broken == RunCount);
  BOOST_TEST(Result.m_Whole == 0);
}

} // namespace

/// Guards against a complete answer that is taken for a truncated one: the
/// caller would get "outcome unknown", or the work would be done again.
BOOST_AUTO_TEST_CASE(AWholeAnswerIsWholeHoweverItsBytesArrive) {
  const std::string Body = "5\r\nwhole\r\n0\r\n\r\n";
  checkWhole(ChunkedAndCloses + Body, "whole", 1, 0us);
  checkWhole(ChunkedAndCloses + Body, "whole", 4, 60us, 2 * Runs);
  checkWhole(ChunkedAndCloses + Body, "whole", 4, 300us);
  checkWhole(Chunked + Body, "whole", 4, 60us, 2 * Runs);
}

/// Guards against the same for other valid forms of the last chunk.
BOOST_AUTO_TEST_CASE(EverySpellingOfALastChunkIsAnEnd) {
  for (const char *LastChunk :
       {"000\r\n\r\n", "0;ext=1\r\n\r\n", "0\r\nX-Trailer: a\r\n\r\n"})
    for (const std::string &Head : {Chunked, ChunkedAndCloses}) {
      BOOST_TEST_CONTEXT(LastChunk) {
        checkWhole(Head + "5\r\nwhole\r\n" + LastChunk, "whole", 2, 60us,
                   Runs / 3);
      }
    }
}

/// Guards against a truncated answer that is taken for a complete one.
BOOST_AUTO_TEST_CASE(ACutAnswerIsBrokenHoweverItsBytesArrive) {
  for (const std::string &Head : {Chunked, ChunkedAndCloses}) {
    checkBroken(Head + "4\r\nhalf\r\n0\r\n", 4, 60us);
    checkBroken(Head + "4\r\nhalf\r\n0", 4, 60us);
    checkBroken(Head + "4\r\nhalf\r\n", 4, 60us);
    // Data that ends like a last chunk, without the CRLF of its own chunk.
    checkBroken(Head + "7\r\n\r\n0\r\n\r\n", 1, 0us, Runs / 3);
    checkBroken(Head + "7\r\n\r\n0\r\n\r\n", 4, 60us, Runs / 3);
  }
}

/// Guards against results that depend on the number or size of chunks.
BOOST_AUTO_TEST_CASE(ManyAndLargeChunksEndAsFewDo) {
  std::string Many;
  std::string Body;
  for (int Chunk = 0; Chunk < 200; ++Chunk) {
    Many += "a\r\n0123456789\r\n";
    Body += "0123456789";
  }
  const std::string Data(40000, 'x');
  const std::string Large = "9c40\r\n" + Data + "\r\n";
  for (const std::string &Head : {Chunked, ChunkedAndCloses}) {
    checkWhole(Head + Many + "0\r\n\r\n", Body, 8, 60us, Runs / 3);
    checkBroken(Head + Many, 8, 60us, Runs / 3);
    checkWhole(Head + Large + "0\r\n\r\n", Data, 8, 60us, Runs / 3);
    checkBroken(Head + Large, 8, 60us, Runs / 3);
  }
}

/// Guards against a wrong end of answers without chunked encoding.
BOOST_AUTO_TEST_CASE(AnswersWithoutChunksEndByLengthOrClose) {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  checkWhole(Ok + "Content-Length: 5\r\n\r\nwhole", "whole", 3, 60us);
  checkWhole(Ok + "Connection: close\r\nContent-Length: 5\r\n\r\nwhole",
             "whole", 3, 60us);
  checkWhole(Ok + "Content-Length: 0\r\n\r\n", "", 3, 60us);
  checkWhole(Ok + "Connection: close\r\n\r\nwhole", "whole", 3, 60us);
  checkWhole("HTTP/1.1 204 No Content\r\n\r\n", "", 3, 60us);
  checkWhole("HTTP/1.1 100 Continue\r\n\r\n" + Chunked +
                 "5\r\nwhole\r\n0\r\n\r\n",
             "whole", 3, 60us);
  checkBroken(Ok + "Content-Length: 5\r\n\r\nhalf", 3, 60us);
  checkBroken(Ok + "Content-Le", 3, 60us);
  checkBroken("HTTP/1.1 100 Continue\r\n\r\n", 3, 60us);
  checkBroken("no answer\r\n\r\n", 3, 60us);
}

// Guards against memory that grows with an answer that never begins or ends.
BOOST_AUTO_TEST_CASE(BytesWithoutEndMakeAnAnswerInvalid) {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";
  struct Case {
    std::string m_Begin;  ///< Sent once.
    std::string m_Repeat; ///< Sent without end.
  };
  constexpr std::size_t MaxBytes = 1 << 20;
  for (const Case &Tried :
       {Case{"", "HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n"},
        Case{Head + "X-A: ", std::string(100, 'a')}, Case{Head, "X-A: b\r\n"},
        Case{Head + "X", std::string(100, 'X')},
        Case{ChunkedHead + "0\r\n", "X-A: b\r\n"},
        Case{ChunkedHead + "0\r\nX-A: ", std::string(100, 'a')},
        Case{ChunkedHead + "1;", std::string(100, 'a')}}) {
    AnswerParser Parser(false);
    Parser.feed(Tried.m_Begin);
    std::size_t Sent = 0;
    for (; Parser.state() == AnswerState::Reading && Sent < MaxBytes;
         Sent += Tried.m_Repeat.size())
      Parser.feed(Tried.m_Repeat);
    BOOST_TEST((Parser.state() == AnswerState::Invalid), Tried.m_Begin);
  }
}

// Guards against a process that uses up the memory with the statement of which
// process it is.
BOOST_AUTO_TEST_CASE(AStatementWithoutEndProvesNothing) {
  FakeUpstream Upstream;
  LoopClock Clock;
  LoopScheduler Timers;
  HttpUpstreamClient Caller(Clock, Timers);
  RecordingListener CallListener;
  UpstreamRequest Request;
  Request.m_Address = Upstream.m_Address;
  Request.m_Path = "/x";
  Request.m_SendDeadline = Clock.readNow() + 10s;
  Request.m_ProcessCheck = ProcessCheck{"/report", 1, [](std::string_view) {
                                          return ProcessStatement::Expected;
                                        }};
  const auto Call = Caller.send(Request, CallListener);
  Upstream.waitForRequest()->send("HTTP/1.1 200 OK\r\n\r\n" +
                                  std::string(100000, 'a'));
  pumpUntil([&] { return CallListener.m_End.has_value(); });
  BOOST_TEST((CallListener.m_End == TransportEnd::Unproven));
}
