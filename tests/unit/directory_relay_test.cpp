/// Instances of a zone that receive the directory from one of them.
#define BOOST_TEST_MODULE directory_relay
#include "unit/directory_zone.h"

using namespace crowstep;
using namespace crowstep::test;

// Guards against calls to the store in proportion to instances times changes.
BOOST_AUTO_TEST_CASE(FollowersDoNotCallTheStore) {
  const auto CallsIn = [](std::size_t Count) {
    Zone Z(Count);
    Z.m_Timers.advance(LongPollsEnd);
    const std::uint64_t Before = Z.m_Store.calls();
    for (int I = 0; I < 30; ++I) {
      Z.list("e" + std::to_string(I));
      if (I % 5 == 0)
        Z.m_Store.put("op", "config", Zone::manifest(10 + I));
      Z.m_Timers.advance(1s);
    }
    Z.m_Timers.advance(1s);
    BOOST_TEST(Z.allMembers([](const Instance &Member) {
      return Member.m_Names.contains("e29") && Member.m_Version == 35;
    }));
    return Z.m_Store.calls() - Before;
  };
  const std::uint64_t OfFive = CallsIn(5);
  BOOST_TEST(OfFive < 150U);
  BOOST_TEST(CallsIn(50) <= OfFive);
}

// Guards against a follower that receives late what the reader has read.
BOOST_AUTO_TEST_CASE(ChangesReachFollowersAtOnce) {
  Zone Z(5);
  Z.unlist("a");
  BOOST_TEST((Z.timeUntilDropped("a", RemovalLimit) < 100ms));
  Z.m_Store.put("op", "config", Zone::manifest(3));
  BOOST_TEST(
      (Z.timeUntil([](const Instance &Member) { return Member.m_Version == 3; },
                   RemovalLimit) < 100ms));
}

// Guards against followers that rely on a reader which can't reach the store,
// is frozen, or whose updates are lost.
BOOST_AUTO_TEST_CASE(AnUpstreamIsRemovedWhileTheReaderFails) {
  for (const StoreAccess Access :
       {StoreAccess::Cut, StoreAccess::Refused, StoreAccess::Held})
    atVariousMoments([Access](Zone &Z) {
      Z.m_Members[0]->m_Access = Access;
      Z.m_Members[0]->m_LinksCut = Access == StoreAccess::Held;
      Z.m_Timers.advance(200ms);
      Z.unlist("a");
      Z.m_Store.put("op", "config", Zone::manifest(3));
      BOOST_TEST((Z.timeUntilDropped("a", 10s) < RemovalLimit));
      BOOST_TEST(
          (Z.timeUntil(
               [](const Instance &Member) { return Member.m_Version == 3; },
               10s) < RemovalLimit));
    });
}

// Guards against a zone in which reader and deputy fail together.
BOOST_AUTO_TEST_CASE(AnUpstreamIsRemovedWhileReaderAndDeputyFail) {
  atVariousMoments([](Zone &Z) {
    for (const std::size_t Number : {0, 1}) {
      Z.m_Members[Number]->m_Access = StoreAccess::Cut;
      Z.m_Members[Number]->m_LinksCut = true;
    }
    Z.unlist("a");
    BOOST_TEST((Z.timeUntilDropped("a", 10s) < RemovalLimit));
  });
}

// Guards against updates that were delayed on the way and count as fresh when
// they arrive.
BOOST_AUTO_TEST_CASE(DelayedUpdatesAreOld) {
  atVariousMoments([](Zone &Z) {
    for (const std::size_t Number : {0, 1})
      Z.m_Members[Number]->m_Delay = 5s;
    Z.m_Timers.advance(10s);
    Z.unlist("a");
    BOOST_TEST((Z.timeUntilDropped("a", 10s) < RemovalLimit));
  });
}

// Guards against a removed upstream or old table that is restored by an old
// update, from a reader that was frozen.
BOOST_AUTO_TEST_CASE(ALateUpdateRevertsNothing) {
  Zone Z(5);
  Z.m_Members[0]->m_Access = StoreAccess::Held;
  Z.m_Members[0]->m_Delay = 6s;
  Z.list("e");
  Z.m_Timers.advance(500ms);
  Z.unlist("e");
  Z.m_Store.put("op", "config", Zone::manifest(3));
  Z.m_Timers.advance(3s);
  Z.m_Members[0]->m_Access = StoreAccess::Open;
  for (Duration Elapsed{}; Elapsed < 12s; Elapsed += Step) {
    Z.m_Timers.advance(Step);
    for (const auto &Member : Z.m_Members) {
      if (Member->m_Number == 0)
        continue;
      BOOST_TEST(!Member->m_Names.contains("e"));
      BOOST_TEST(Member->m_Version == 3U);
    }
  }
}

// Guards against a follower that misses an update without noticing it.
BOOST_AUTO_TEST_CASE(AMissedUpdateIsReadFromTheStore) {
  Zone Z(5);
  Z.m_Members[0]->m_LinksCut = true;
  Z.m_Members[1]->m_LinksCut = true; // Else the deputy sends it.
  Z.unlist("a");
  Z.m_Timers.advance(100ms);
  Z.m_Members[0]->m_LinksCut = false;
  Z.m_Timers.advance(1500ms);
  Z.unlist("b");
  BOOST_TEST((Z.timeUntilDropped("a", RemovalLimit) < 2s));
  BOOST_TEST((Z.timeUntilDropped("b", RemovalLimit) < 2s));
}

// Guards against callers that are refused for lack of upstreams after an outage
// in which all entries expired, and against an upstream that stays in use
// although it was removed then.
BOOST_AUTO_TEST_CASE(EntriesExpireInAnOutage) {
  atVariousMoments([](Zone &Z) {
    Z.m_Store.setMode(SimulatedStore::Mode::Refusing);
    Z.m_Timers.advance(4s);
    for (const char *Name : {"a", "b", "c", "d"})
      Z.unlist(Name);
    Z.m_Timers.advance(2s);
    Z.m_Store.setMode(SimulatedStore::Mode::Up);
    for (Duration Elapsed{}; Elapsed < 1900ms; Elapsed += Step) {
      Z.m_Timers.advance(Step);
      BOOST_TEST(Z.allMembers(
          [](const Instance &Member) { return Member.m_Names.contains("b"); }));
    }
    for (const char *Name : {"b", "c", "d"})
      Z.list(Name);
    Z.m_Timers.advance(RecoveryLimit - 1900ms);
    BOOST_TEST(Z.allMembers([](const Instance &Member) {
      return Member.m_Names == std::set<std::string>{"b", "c", "d"};
    }));
  });
}

// Guards against overload of the store by retries during an outage: an instance
// makes fewer than two calls a second.
BOOST_AUTO_TEST_CASE(FewCallsInAnOutage) {
  Zone Z(50);
  Z.m_Timers.advance(LongPollsEnd);
  const std::uint64_t Before = Z.m_Store.calls();
  Z.m_Store.setMode(SimulatedStore::Mode::Refusing);
  Z.m_Timers.advance(10s);
  Z.m_Store.setMode(SimulatedStore::Mode::Up);
  Z.m_Timers.advance(10s);
  BOOST_TEST(Z.m_Store.calls() - Before < 50 * 10 * 2U);
}

// Guards against a table that counts as current although it was read from an
// old copy: the reader sends what it has read, but no time at which it was
// current.
BOOST_AUTO_TEST_CASE(HistoryIsLostAtTheReader) {
  atVariousMoments([](Zone &Z) {
    Z.m_Store.dropHistory();
    Z.unlist("a");
    BOOST_TEST((Z.timeUntilDropped("a", 10s) < RemovalLimit));
  });
}
