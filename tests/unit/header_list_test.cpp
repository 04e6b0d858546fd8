/// Headers that an intermediary forwards, and those that concern one
/// connection.
#define BOOST_TEST_MODULE header_list
#include "http/header_list.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;

// Guards against a header that concerns one connection and is forwarded.
BOOST_AUTO_TEST_CASE(HeadersOfOneConnectionAreNotForwarded) {
  const HeaderList Received = {
      {"Host", "h"},          {"connection", "close, X-First ,,x-SECOND"},
      {"x-first", "1"},       {"X-Second", "2"},
      {"X-Third", "3"},       {"Content-Length", "5"},
      {"Keep-Alive", "9"},    {"Connection", "X-Fourth"},
      {"TE", "trailers"},     {"x-fourth", "4"},
      {"X-Third", "3 again"}, {"Transfer-Encoding", "chunked"},
  };
  const HeaderList Forwarded = {
      {"Host", "h"}, {"X-Third", "3"}, {"X-Third", "3 again"}};
  BOOST_TEST((endToEndHeaders(Received) == Forwarded));
}

// Guards against work that grows with the square of what a caller sends.
BOOST_AUTO_TEST_CASE(ManyHeadersAndListedNamesAreSeparated) {
  constexpr std::size_t Count = 300'000;
  HeaderList Received;
  std::string Listed;
  for (std::size_t I = 0; I < Count; ++I) {
    Received.push_back({"a" + std::to_string(I), ""});
    if (I % 2 == 0)
      Listed += "A" + std::to_string(I) + ",";
  }
  Received.push_back({"Connection", Listed});
  const HeaderList Forwarded = endToEndHeaders(Received);
  BOOST_TEST(Forwarded.size() == Count / 2);
  BOOST_TEST(Forwarded.front().m_Name == "a1");
}
