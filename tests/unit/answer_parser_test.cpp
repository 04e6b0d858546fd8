/// Answers that are not valid HTTP/1.1, and valid ones that look alike.
#define BOOST_TEST_MODULE answer_parser
#include "http/answer_parser.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace crowstep;

namespace {

const std::string SoundAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nokay";
const std::string EarlyHints = "HTTP/1.1 103 Early Hints\r\n\r\n";

/// Returns what a parser makes of \p Text and then the end of the connection,
/// if the bytes arrive in pieces of at most \p Step.
AnswerState stateOf(const std::string &Text, std::size_t Step) {
  AnswerParser Parser(false);
  for (std::size_t At = 0; At < Text.size(); At += Step)
    Parser.feed(std::string_view(Text).substr(At, Step));
  Parser.peerClosed();
  return Parser.state();
}

void checkState(const std::string &Text, AnswerState Expected) {
  BOOST_TEST_CONTEXT(Text)
  for (const std::size_t Step : {Text.size(), std::size_t(1), std::size_t(7)})
    BOOST_TEST((stateOf(Text, Step) == Expected), "in pieces of " << Step);
}

void checkInvalid(const std::string &Text) {
  checkState(Text, AnswerState::Invalid);
}

void checkWhole(const std::string &Text) {
  checkState(Text, AnswerState::Complete);
}

/// Checks that answers with this status line are invalid.
void checkInvalidLine(const std::string &Line) {
  checkInvalid(Line + "Content-Length: 4\r\n\r\nokay");
  checkInvalid(Line + "\r\nokay");
  checkInvalid(Line + "\r\n" + SoundAnswer);
  checkInvalid(Line + "Content-Length: " + std::to_string(SoundAnswer.size()) +
               "\r\n\r\n" + SoundAnswer);
  checkInvalid(EarlyHints + Line + "\r\n" + SoundAnswer);
}

/// Checks that answers with this status line are whole.
void checkWholeLine(const std::string &Line) {
  checkWhole(Line + "Content-Length: 0\r\n\r\n");
  checkWhole(EarlyHints + Line + "Content-Length: 0\r\n\r\n");
}

/// Checks that such interim answers are skipped.
void checkInterimLine(const std::string &Line) {
  checkWhole(Line + "\r\n" + SoundAnswer);
}

} // namespace

// Guards against a status that is none: its answer passed for one, or for an
// interim one before whatever followed.
BOOST_AUTO_TEST_CASE(AnInvalidStatusIsNoAnswer) {
  for (const std::string Status :
       {"000",  "00",   "0",     "001",  "042",  "099", "2",   "20",
        "99",   "0200", "00200", "0100", "0404", "600", "799", "999",
        "1000", "2000", "+200",  "-20",  "2 0",  "2x0", "",    "101"}) {
    checkInvalidLine("HTTP/1.1 " + Status + " Text\r\n");
    checkInvalidLine("HTTP/1.1 " + Status + "\r\n");
    checkInvalidLine("HTTP/1.0 " + Status + " 0\r\n");
  }
  for (const std::string Status : {"200", "299", "304", "404", "500", "599"}) {
    checkWholeLine("HTTP/1.1 " + Status + " Text\r\n");
    checkWholeLine("HTTP/1.1 " + Status + "\r\n");
    checkWholeLine("HTTP/1.0 " + Status + " 0\r\n");
  }
  for (const std::string Status : {"100", "102", "103", "199"})
    checkInterimLine("HTTP/1.1 " + Status + " Text\r\n");
}

// Guards against an answer of another protocol that passes for HTTP/1.1.
BOOST_AUTO_TEST_CASE(OnlyVersionsOneAreAnswers) {
  for (const std::string Version : {"1.0", "1.1", "1.2"})
    checkWholeLine("HTTP/" + Version + " 200 OK\r\n");
  for (const std::string Version :
       {"HTTP/0.9", "HTTP/2.0", "HTTP/3.1", "HTTP/11.1", "HTTP/1", "HTTP/",
        "http/1.1", "ICY"})
    checkInvalidLine(Version + " 200 OK\r\n");
}
