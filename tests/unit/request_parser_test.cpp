/// Requests as they arrive on callers' connections: cut anywhere, and damaged.
#define BOOST_TEST_MODULE request_parser
#include "http/request_parser.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace crowstep;

namespace {

/// What a parser has made of some bytes.
struct Outcome {
  RequestParseState m_State = RequestParseState::NotStarted;
  bool m_InvalidFraming = false;
  std::size_t m_Consumed = 0;
  std::string m_Method;
  std::string m_Target;
  HeaderList m_Headers;
  std::string m_Body;

  bool operator==(const Outcome &) const = default;
};

bool isOver(RequestParseState State) {
  return State == RequestParseState::Complete ||
         State == RequestParseState::Invalid;
}

/// Feeds \p Text in pieces of at most \p Step bytes until the request is over.
Outcome parse(const std::string &Text, std::size_t Step) {
  RequestParser Parser;
  Outcome Result;
  while (Result.m_Consumed < Text.size() && !isOver(Parser.state()))
    Result.m_Consumed +=
        Parser.feed(std::string_view(Text).substr(Result.m_Consumed, Step));
  Result.m_State = Parser.state();
  Result.m_InvalidFraming = Parser.hasInvalidFraming();
  if (Result.m_State == RequestParseState::Invalid) {
    Result.m_Consumed = 0; // Up to the piece with the fault.
    return Result;
  }
  const IncomingRequest &Request = Parser.request();
  Result.m_Method = Request.m_Method;
  Result.m_Target = Request.m_Target;
  Result.m_Headers = Request.m_Headers;
  Result.m_Body = Request.m_Body;
  return Result;
}

std::string randomRequest() {
  const std::string Head =
      *rc::gen::element(std::string("POST"), std::string("GET")) +
      " /a/b?c=d HTTP/1." + *rc::gen::element(std::string("0"), "1") +
      "\r\nHost: api.example\r\n";
  const std::string Body = *rc::gen::element(
      std::string("Content-Length: 5\r\n\r\nhello"),
      "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
      "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
      "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab", "\r\n");
  return Head + Body +
         *rc::gen::element(std::string(), "GET / HTTP/1.1\r\n\r\n");
}

} // namespace

// Guards against requests that are read differently, depending on how their
// bytes are split: the bytes of one could be taken for another.
RC_BOOST_PROP(ARequestIsReadAlikeHoweverItIsSplit, ()) {
  std::string Text = randomRequest();
  for (int I = *rc::gen::inRange(0, 4); I > 0; --I)
    Text[*rc::gen::inRange<std::size_t>(0, Text.size())] =
        *rc::gen::element('\r', '\n', ' ', ':', '0', '9', 'a', '\0', '\xff');
  const auto Step = *rc::gen::inRange<std::size_t>(1, 40);
  RC_ASSERT(parse(Text, Step) == parse(Text, Text.size()));
}

// Guards against bytes that make the parser neither accept nor reject a request
// but loop, or read beyond its input.
RC_BOOST_PROP(AnyBytesEnd, (const std::string &Noise)) {
  const Outcome Result = parse(randomRequest() + Noise, 7);
  RC_ASSERT(Result.m_State != RequestParseState::NotStarted);
}

// Guards against a header that the upstream may read differently.
BOOST_AUTO_TEST_CASE(AnInvalidHeaderNameIsNoRequest) {
  for (const std::string Name : {"X A", "X-A ", "X-A\t", " X-A", "",
                                 "X\x01"
                                 "A",
                                 "X\x7f"
                                 "A",
                                 "X\xe9"
                                 "A",
                                 "X(A", "X\"A", "X/A", "Content-Length "})
    for (const std::size_t Step : {1, 7, 1000})
      BOOST_TEST_CONTEXT(Name << Step) {
        const Outcome Result =
            parse("POST / HTTP/1.1\r\n" + Name + ": 5\r\n\r\nhello", Step);
        BOOST_TEST((Result.m_State == RequestParseState::Invalid));
      }
}
