/// Answers of upstreams in trouble, at a real gateway.
#define BOOST_TEST_MODULE raw_answer
#include "process/raw_caller.h"
#include "process/raw_upstream.h"
#include "process/watched_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr int RequestCount = 10;

/// More than the sockets' buffers hold, and less than a request may have.
constexpr std::size_t LongUpload = std::size_t(3) << 20U;
constexpr std::size_t ShortUpload = 100;

/// What every answer of an upstream states.
const std::string Stated = "X-Attempt-Id: {id}\r\nX-Server-Signature: s\r\n";
const std::string Head = "HTTP/1.1 200 OK\r\n" + Stated;
const std::string Sized = "Content-Length: 4\r\n\r\nokay";

/// What callers got from a gateway whose only upstream sends such answers.
struct Received {
  int m_Whole = 0;       ///< Complete and not the gateway's own refusal.
  int m_Failed = 0;      ///< Stated as failed, the outcome unknown.
  int m_Other = 0;       ///< Anything else.
  std::string m_Body;    ///< Of the last whole one.
  int m_AnswerCount = 0; ///< Answers of the upstream.
};

Received receive(const std::string &Answer, RawEnd End,
                 std::size_t UploadBytes) {
  const RawUpstream Upstream(Answer, End);
  WatchedGateway Gateway(Upstream.address(), RequestCount);
  RawCaller Caller;
  Received Result;
  for (int I = 0; I < RequestCount; ++I) {
    const auto Answered = Caller.start(Gateway.m_Fleet.request(
        0, "/non_idempotent/x", std::string(UploadBytes, 'u')));
    BOOST_TEST(runUntil([&] { return Answered->m_Ended; }, 10s));
    if (Answered->m_Status == 502 && !Answered->m_ConnectionBroken) {
      ++Result.m_Failed;
    } else if (Answered->m_Status < 500 && !Answered->m_ConnectionBroken) {
      ++Result.m_Whole;
      Result.m_Body = Answered->m_Body;
    } else {
      ++Result.m_Other;
    }
  }
  BOOST_TEST(Gateway.isRunning());
  Result.m_AnswerCount = Upstream.answered();
  return Result;
}

void checkFailed(const std::string &Answer, RawEnd End,
                 std::size_t UploadBytes) {
  const Received Result = receive(Answer, End, UploadBytes);
  BOOST_TEST(Result.m_Failed == RequestCount, Answer);
  BOOST_TEST(Result.m_Whole == 0);
  BOOST_TEST(Result.m_AnswerCount == RequestCount);
}

void checkWhole(const std::string &Answer, RawEnd End,
                std::size_t UploadBytes) {
  const Received Result = receive(Answer, End, UploadBytes);
  BOOST_TEST(Result.m_Whole == RequestCount, Answer);
  BOOST_TEST(Result.m_Body == "okay");
}

/// Checks that answers with this status line fail.
void checkInvalidLine(const std::string &Line) {
  checkFailed(Line + Stated + Sized, RawEnd::KeepOpen, ShortUpload);
  checkFailed(Line + "\r\n" + Head + Sized, RawEnd::KeepOpen, ShortUpload);
}

/// Checks that answers with this header fail.
void checkInvalidHeader(const std::string &Line) {
  checkFailed(Head + Line + Sized, RawEnd::KeepOpen, ShortUpload);
  checkFailed(Head + Line + "\r\nokay", RawEnd::InOrder, ShortUpload);
  checkFailed("HTTP/1.1 103 Early Hints\r\n" + Line + "\r\n" + Head + Sized,
              RawEnd::KeepOpen, ShortUpload);
}

} // namespace

// Guards against a caller who gets a part of an answer as a whole one, as its
// upstream reset the connection during the upload.
BOOST_AUTO_TEST_CASE(APartOfAnAnswerIsNoAnswer) {
  checkFailed(Head + "\r\nokay", RawEnd::Reset, LongUpload);
  checkFailed(Head + "\r\n" + std::string(9000, 'a'), RawEnd::Reset,
              LongUpload);
}

// Guards against a status that is none, and that a caller gets as an answer or
// that is skipped as an interim one.
BOOST_AUTO_TEST_CASE(AnInvalidStatusIsNoAnswer) {
  for (const std::string Status : {"000", "042", "20", "0200", "600"})
    checkInvalidLine("HTTP/1.1 " + Status + " Text\r\n");
}

// Guards against a line whose name is none, and that a caller gets, or that
// changes where the body ends.
BOOST_AUTO_TEST_CASE(AnInvalidHeaderNameIsNoAnswer) {
  for (const std::string Line :
       {"X A: b", "X-A : b", "X-A\t: b", "X\x01-A: b", "Content-Length : 2"})
    checkInvalidHeader(Line + "\r\n");
}

// Guards against a control byte that a caller gets at the start of a value.
BOOST_AUTO_TEST_CASE(AnInvalidHeaderValueIsNoAnswer) {
  checkInvalidHeader(std::string("X-A: \0b\r\n", 9));
}

// Guards against a body of an unknown coding that passes for a whole one.
BOOST_AUTO_TEST_CASE(AnUnknownTransferCodingIsNoAnswer) {
  checkFailed(Head + "Transfer-Encoding: x\r\n\r\nokay", RawEnd::InOrder,
              ShortUpload);
}

// Guards against a chunk whose size is wrong, so that bytes behind it are lost.
BOOST_AUTO_TEST_CASE(AChunkWithAnotherEndIsNoAnswer) {
  checkFailed(Head + "Transfer-Encoding: chunked\r\n\r\n4\r\nokayXY0\r\n\r\n",
              RawEnd::KeepOpen, ShortUpload);
}

// Guards against sound answers that are lost with the broken ones.
BOOST_AUTO_TEST_CASE(ASoundAnswerIsWhole) {
  checkWhole(Head + Sized, RawEnd::KeepOpen, ShortUpload);
  checkWhole(Head + Sized, RawEnd::Reset, LongUpload);
  checkWhole(Head + "\r\nokay", RawEnd::InOrder, ShortUpload);
  checkWhole(Head + "\r\nokay", RawEnd::InOrder, LongUpload);
}

// Guards against a part of a stream that a caller without chunks takes for a
// whole one, as its gateway was killed.
BOOST_AUTO_TEST_CASE(AStreamOfAKilledGatewayHasNoEnd) {
  const RawUpstream Upstream(
      Head + "Content-Type: text/event-stream\r\n\r\ndata: 1\n\n",
      RawEnd::KeepOpen);
  WatchedGateway Gateway(Upstream.address(), RequestCount);
  std::vector<std::unique_ptr<Peer>> Callers;
  for (int I = 0; I < RequestCount; ++I) {
    const Call Request = Gateway.m_Fleet.request(0, "/streaming/x", "b");
    Callers.push_back(Peer::connect(Request.m_Address));
    std::string Text = "POST " + Request.m_Path + " HTTP/1.0\r\n";
    for (const auto &[Name, Value] : Request.m_Headers)
      Text.append(Name).append(": ").append(Value).append("\r\n");
    Callers.back()->send(Text + "Content-Length: 1\r\n\r\nb");
    BOOST_TEST(runUntil(
        [&] { return Callers.back()->hasReceived("data: 1\n\n"); }, 10s));
  }
  Gateway.m_Fleet.process(0).kill();
  for (const auto &Caller : Callers) {
    BOOST_TEST(runUntil([&] { return Caller->isClosed(); }, 10s));
    BOOST_TEST(Caller->wasReset());
  }
}
