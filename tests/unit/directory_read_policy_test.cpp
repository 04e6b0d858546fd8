/// Which instances of a zone call the directory, and how often.
#define BOOST_TEST_MODULE directory_read_policy
#include "gateway/directory_read_policy.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::gateway;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};

DirectoryReadPolicy policy(ReadingRole Role) {
  DirectoryReadPolicy Result;
  Result.setFreshness(2s, 1800ms);
  Result.setRole(Role);
  Result.recordUpdate(Now);
  return Result;
}

} // namespace

// Guards against a zone in which all instances call the directory when its
// reader has failed: the deputy calls before the followers.
BOOST_AUTO_TEST_CASE(TheDeputyCallsBeforeFollowers) {
  BOOST_TEST((policy(ReadingRole::Alone).freshnessLeft(Now) == 0s));
  BOOST_TEST((policy(ReadingRole::Reader).freshnessLeft(Now) == 0s));
  BOOST_TEST((policy(ReadingRole::Deputy).freshnessLeft(Now) == 1500ms));
  BOOST_TEST((policy(ReadingRole::Follower).freshnessLeft(Now) == 2s));
  BOOST_TEST((policy(ReadingRole::Follower).freshnessLeft(Now + 3s) == 0s));
}

// Guards against updates that arrive out of order and make newer ones look old.
BOOST_AUTO_TEST_CASE(TheNewestUpdateCounts) {
  DirectoryReadPolicy Policy = policy(ReadingRole::Follower);
  Policy.recordUpdate(Now - 1s);
  BOOST_TEST((Policy.freshnessLeft(Now) == 2s));
  BOOST_TEST((Policy.age(Now + 500ms) == 500ms));
}

// Guards against a reader whose calls are answered too rarely for one answer to
// be lost, and against followers that overload a directory after an outage.
BOOST_AUTO_TEST_CASE(ReadersCallOftenAndFollowersBackOffLonger) {
  for (const ReadingRole Role : {ReadingRole::Reader, ReadingRole::Deputy})
    BOOST_TEST((policy(Role).callWait() == 1s));
  for (const ReadingRole Role : {ReadingRole::Alone, ReadingRole::Follower})
    BOOST_TEST((policy(Role).callWait() == 2s));
  const DirectoryReadPolicy Follower = policy(ReadingRole::Follower);
  for (const ReadingRole Role :
       {ReadingRole::Alone, ReadingRole::Reader, ReadingRole::Deputy}) {
    BOOST_TEST((policy(Role).firstBackoff() < Follower.firstBackoff()));
    BOOST_TEST((policy(Role).maxBackoff() < Follower.maxBackoff()));
  }
  BOOST_TEST((Follower.maxBackoff() == 1800ms));
}
