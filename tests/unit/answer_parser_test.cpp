/// Answers that are not valid HTTP/1.1, and valid ones that look alike.
#define BOOST_TEST_MODULE answer_parser
#include "http/answer_parser.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace crowstep;

namespace {

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Length = "Content-Length: 4\r\n";
const std::string Chunks = "Transfer-Encoding: chunked\r\n";
const std::string ChunkedBody = "4\r\nokay\r\n0\r\n\r\n";
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

/// Checks that answers with this header are invalid.
void checkInvalidHeader(const std::string &Line) {
  checkInvalid(Ok + Line + "\r\nokay");
  checkInvalid(Ok + Line + Length + "\r\nokay");
  checkInvalid(Ok + Line + Chunks + "\r\n0\r\n\r\n");
  checkInvalid("HTTP/1.1 103 Early Hints\r\n" + Line + "\r\n" + SoundAnswer);
  checkInvalid(Ok + Chunks + "\r\n4\r\nokay\r\n0\r\n" + Line + "\r\n");
  // Behind another line, a leading blank continues its value.
  if (Line.starts_with(' ') || Line.starts_with('\t'))
    return;
  checkInvalid(Ok + Length + Line + "\r\nokay");
  checkInvalid(Ok + "X-B: c\r\n" + Line + "\r\nokay");
  checkInvalid(Ok + Chunks + Line + "\r\n0\r\n\r\n");
}

/// Checks that an answer with this header is whole.
void checkValidHeader(const std::string &Line) {
  checkWhole(Ok + Line + "Content-Length: 0\r\n\r\n");
}

/// Checks that answers with this end of a head are invalid.
void checkInvalidCoding(const std::string &HeadEnd) {
  checkInvalid(Ok + HeadEnd + ChunkedBody);
  checkInvalid(Ok + HeadEnd + "okay");
}

/// Checks that an answer with this end of a head is whole.
void checkWholeCoding(const std::string &HeadEnd) {
  checkWhole(Ok + HeadEnd + ChunkedBody);
}

/// Checks that answers with such bytes behind a chunk are invalid.
void checkInvalidChunkEnd(const std::string &Head, const std::string &End) {
  checkInvalid(Head + "4\r\nokay" + End + "0\r\n\r\n");
  checkInvalid(Head + "4\r\nokay\r\n2\r\nok" + End + "0\r\n\r\n");
}

/// Returns the fault of \p Text if the connection then fails.
std::optional<AnswerFault> faultOf(const std::string &Text) {
  AnswerParser Parser(false);
  Parser.feed(Text);
  Parser.connectionFailed();
  BOOST_TEST((Parser.state() == AnswerState::Invalid));
  return Parser.fault();
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
        "http/1.1", "ICY", "HXXX/1.1", "HTTPX1.1", "HTTP 1.1", "HtTP/1.1"})
    checkInvalidLine(Version + " 200 OK\r\n");
}

// Guards against a line whose name is none: it was passed on, or changed where
// the body ends.
BOOST_AUTO_TEST_CASE(AnInvalidHeaderNameIsNoAnswer) {
  std::vector<std::string> Lines = {"X A: b",
                                    "X-A : b",
                                    "X-A\t: b",
                                    "X-A  \t : b",
                                    " X-A: b",
                                    "\tX-A: b",
                                    " : b",
                                    ": b",
                                    "X-A",
                                    "X A",
                                    "Content-Length : 2",
                                    "Content-Length\t: 2",
                                    "Content Length: 2",
                                    "Transfer-Encoding : chunked",
                                    std::string("X\0A: b", 6)};
  for (const char Byte : std::string("\x01\x08\x0b\x0c\x1b\x1f\x7f\x80\xa0\xe9"
                                     "\"(),/;<=>?@[\\]{}"))
    Lines.push_back(std::string("X") + Byte + "A: b");
  for (const std::string &Text : Lines)
    checkInvalidHeader(Text + "\r\n");
}

// Guards against a control byte that is handed on at the start of a value.
BOOST_AUTO_TEST_CASE(AnInvalidHeaderValueIsNoAnswer) {
  for (const char Byte : std::string("\0\x01\x08\x0b\x0c\x1b\x1f\x7f", 8)) {
    checkInvalidHeader(std::string("X-A: ") + Byte + "b\r\n");
    checkInvalidHeader(std::string("X-A: b") + Byte + "c\r\n");
    checkInvalidHeader(std::string("X-A: b") + Byte + "\r\n");
    checkInvalidHeader(std::string("X-A: b\r\n ") + Byte + "c\r\n");
  }
  for (const std::string Value : {"b", "", "\tb\tc", "b\r\n c", "\x80\xe9\xff"})
    checkValidHeader("X-A: " + Value + "\r\n");
}

// Guards against sound answers that are lost with the broken ones.
BOOST_AUTO_TEST_CASE(EveryValidHeaderNameIsRead) {
  const std::string Name = "!#$%&'*+-.^_`|~059azAZ";
  AnswerParser Parser(false);
  Parser.feed("HTTP/1.1 200 OK\r\n" + Name + ": b\r\nX-Empty:\r\n" +
              "X-Folded: c\r\n d\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST((Parser.state() == AnswerState::Complete));
  BOOST_TEST(Parser.headers().size() == 4U);
  BOOST_TEST(Parser.headers().front().m_Name == Name);
  BOOST_TEST(Parser.headers().front().m_Value == "b");
  checkWhole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "4\r\nokay\r\n0\r\n" +
             Name + ": b\r\n\r\n");
}

// Guards against a body of an unknown coding that passes for a whole one once
// its connection ends.
BOOST_AUTO_TEST_CASE(AnUnknownTransferCodingIsNoAnswer) {
  for (const std::string Coding :
       {"x", "gzip", "identity", "", "gzip, chunked", "chunked, gzip",
        "chunked, chunked", "chunkedx", "chunked;a=b",
        "gzip\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding: gzip",
        "chunked\r\nTransfer-Encoding: chunked"})
    checkInvalidCoding("Transfer-Encoding: " + Coding + "\r\n\r\n");
  for (const std::string Coding : {"chunked", "Chunked", " CHUNKED "})
    checkWholeCoding("Transfer-Encoding: " + Coding + "\r\n\r\n");
  checkWhole("HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: x\r\n\r\n");
}

// Guards against a chunk whose size is wrong, so that bytes behind it are lost.
BOOST_AUTO_TEST_CASE(AChunkWithAnotherEndIsNoAnswer) {
  const std::string Head = Ok + Chunks + "\r\n";
  for (const std::string End :
       {"XY", "X\n", "\rX", "\n\n", "\n\r", "\r\r", "X\r\n"})
    checkInvalidChunkEnd(Head, End);
  checkWhole(Head + "4\r\n\r\n0\r\r\n0\r\n\r\n");
  checkWhole(Head + "4\r\nokay\r\n1\r\n\n\r\n0\r\n\r\n");
}

// Guards against a broken answer that is counted under a wrong reason.
BOOST_AUTO_TEST_CASE(EveryBrokenAnswerHasItsFault) {
  BOOST_TEST((faultOf("") == std::nullopt));
  for (const std::string &Text :
       {std::string("H"), Ok, Ok + "\r\nokay", Ok + Length + "\r\noka",
        Ok + Chunks + "\r\n4\r\nokay\r\n0\r\n", EarlyHints})
    BOOST_TEST((faultOf(Text) == AnswerFault::CutOff), Text);
  for (const std::string &Text :
       {std::string("x"), Ok + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n",
        Ok + Chunks + "\r\nx\r\n", Ok + "X: " + std::string(100000, 'a')})
    BOOST_TEST((faultOf(Text) == AnswerFault::Malformed), Text);
  for (const std::string Line :
       {"HTTP/1.1 000", "HTTP/1.1 0200", "HTTP/1.1 600", "HTTP/1.1 2x0",
        "HTTP/1.1 1000", "HTTP/1.1 101", "HTTP/2.0 200", "HTTP/x 200"})
    BOOST_TEST((faultOf(Line + " Text\r\n\r\n") == AnswerFault::StatusLine),
               Line);
  for (const std::string Line :
       {"X A: b", "X-A : b", "X\x01: b", ": b", "X: a\x01"})
    BOOST_TEST((faultOf(Ok + Line + "\r\n\r\n") == AnswerFault::Header), Line);
  BOOST_TEST((faultOf(Ok + "Transfer-Encoding: x\r\n\r\n") ==
              AnswerFault::TransferCoding));
}

// Guards against the fault of a sound answer whose connection then fails.
BOOST_AUTO_TEST_CASE(AWholeAnswerHasNoFault) {
  AnswerParser Parser(false);
  Parser.feed(SoundAnswer);
  Parser.connectionFailed();
  BOOST_TEST((Parser.state() == AnswerState::Complete));
  BOOST_TEST((Parser.fault() == std::nullopt));
  BOOST_TEST(!Parser.canReuseConnection());
}
