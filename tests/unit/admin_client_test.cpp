/// The client of the administration API and incomplete answers.
#define BOOST_TEST_MODULE admin_client
#include "ctl/admin_client.h"
#include "unit/broken_upstream.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::ctl;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

AdminAnswer answerTo(const std::string &Text) {
  const BrokenUpstream Api(Text, 1, 0us);
  AdminClient Client(Api.m_Address, "key");
  return Client.call({"PUT", "/table", "body", ""});
}

} // namespace

/// Guards against a truncated table that is taken for a complete one: written
/// back after an edit, it would delete the missing rows.
BOOST_AUTO_TEST_CASE(AnAnswerThatBreaksOffIsNone) {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  BOOST_TEST(answerTo(Ok + "Content-Length: 4\r\n\r\nrows").m_Body == "rows");
  BOOST_TEST(answerTo(Ok + "Content-Length: 0\r\n\r\n").m_Body.empty());
  for (const char *Cut :
       {"Content-Length: 9\r\n\r\nrows",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nrows\r\n", "\r\nrows",
        "Content-Length : 2\r\n\r\nrows", "Content Length: 2\r\n\r\nrows",
        "Transfer-Encoding: x\r\n\r\nrows"})
    BOOST_CHECK_THROW(answerTo(Ok + Cut), AdminUnreachable);
}

// Guards against an answer whose status is none.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutStatusIsNone) {
  for (const char *Line : {"HTTP/1.1 000 Text\r\n", "HTTP/1.1 042 Text\r\n",
                           "HTTP/1.1 20 Text\r\n", "HTTP/1.1 0200 Text\r\n",
                           "HTTP/1.1 1000 Text\r\n", "okay\r\n"})
    BOOST_CHECK_THROW(
        answerTo(Line + std::string("Content-Length: 4\r\n\r\nrows")),
        AdminUnreachable);
}
