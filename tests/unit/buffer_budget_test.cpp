/// Memory for bytes that wait for slow peers.
#define BOOST_TEST_MODULE buffer_budget
#include "core/buffer_budget.h"
#include "http/output_queue.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>
#include <rapidcheck.h>

using namespace crowstep;

namespace {

constexpr std::size_t Total = 1'000'000;
constexpr std::size_t Piece = 100;

/// Connections that buffer pieces while they have room.
struct Fixture {
  BufferBudget m_Budget{Total};
  std::deque<BufferBudget::Part> m_Parts;
  std::vector<int> m_Notified; ///< In order.

  explicit Fixture(int Count) {
    for (int I = 0; I < Count; ++I)
      m_Parts.emplace_back(m_Budget, [this, I] { m_Notified.push_back(I); });
  }
  /// Buffers as much as there is room for; returns how much that is.
  std::size_t fill(std::size_t Number) {
    BufferBudget::Part &Part = m_Parts.at(Number);
    while (Part.hasRoom())
      Part.resize(Part.bytes() + Piece);
    return Part.bytes();
  }
};

} // namespace

// Guards against a single slow caller that is paused while there is room, and
// against one that leaves others none.
BOOST_AUTO_TEST_CASE(OneMayBufferMuchAndLeavesRoom) {
  Fixture Test(2);
  BOOST_TEST(Test.fill(0) > Total * 8 / 10);
  BOOST_TEST(Test.fill(1) > Total / 20);
  BOOST_TEST(Test.m_Budget.usedBytes() <= Total);
}

// Guards against a total that grows with the number of slow connections.
BOOST_AUTO_TEST_CASE(ManyTogetherStayWithinTheTotal) {
  for (const int Count : {2, 10, 100, 1000, 5000}) {
    Fixture Test(Count);
    for (int Round = 0; Round < 3; ++Round)
      for (int I = 0; I < Count; ++I)
        Test.fill(static_cast<std::size_t>(I));
    BOOST_TEST(Test.m_Budget.usedBytes() <=
               Total + static_cast<std::size_t>(Count) * Piece);
  }
}

// Guards against streams with little buffered that are paused before those that
// have buffered most.
BOOST_AUTO_TEST_CASE(ThoseThatHoldMostFindNoRoomFirst) {
  Fixture Test(3);
  Test.m_Parts[0].resize(600'000);
  Test.m_Parts[1].resize(360'000);
  Test.m_Parts[2].resize(10'000);
  BOOST_TEST(!Test.m_Parts[0].hasRoom());
  BOOST_TEST(!Test.m_Parts[1].hasRoom());
  BOOST_TEST(Test.m_Parts[2].hasRoom());
}

// Guards against a paused stream that is never read again because its own
// caller reads nothing, though others have freed the room.
BOOST_AUTO_TEST_CASE(FreedRoomIsGivenToThoseThatHoldLeast) {
  Fixture Test(3);
  Test.m_Parts[0].resize(500'000);
  Test.m_Parts[1].resize(300'000);
  Test.m_Parts[2].resize(190'000);
  BOOST_TEST(!Test.m_Parts[1].hasRoom());
  BOOST_TEST(!Test.m_Parts[2].hasRoom());
  Test.m_Parts[0].resize(450'000);
  BOOST_TEST((Test.m_Notified == std::vector<int>{2}));
  Test.m_Parts[0].resize(0);
  BOOST_TEST((Test.m_Notified == std::vector<int>{2, 1}));
}

// Guards against a stream that is paused a second time and never read again.
BOOST_AUTO_TEST_CASE(APartMayWaitAgain) {
  Fixture Test(2);
  for (int Times = 1; Times <= 2; ++Times) {
    Test.m_Parts[0].resize(900'000);
    Test.m_Parts[1].resize(90'000);
    BOOST_TEST(!Test.m_Parts[1].hasRoom());
    Test.m_Parts[0].resize(0);
    BOOST_TEST((Test.m_Notified ==
                std::vector<int>(static_cast<std::size_t>(Times), 1)));
  }
}

// Guards against a waiting connection that is called after its end, as it was
// listed with what it held before.
BOOST_AUTO_TEST_CASE(AWaitingPartIsListedWithWhatItHolds) {
  Fixture Test(3);
  Test.m_Parts[0].resize(500'000);
  Test.m_Parts[1].resize(300'000);
  Test.m_Parts[2].resize(190'000);
  BOOST_TEST(!Test.m_Parts[1].hasRoom());
  BOOST_TEST(!Test.m_Parts[2].hasRoom());
  Test.m_Parts[1].resize(100'000);
  BOOST_TEST((Test.m_Notified == std::vector<int>{1, 2}));
}

// Guards against a connection without bytes that waits for others' room: it
// would never be read.
BOOST_AUTO_TEST_CASE(AnEmptyPartHasRoom) {
  Fixture Test(2);
  Test.m_Parts[0].resize(Total + Piece);
  BOOST_TEST(Test.m_Budget.freeBytes() == 0U);
  BOOST_TEST(Test.m_Parts[1].hasRoom());
  Test.m_Parts[1].resize(Piece);
  BOOST_TEST(!Test.m_Parts[1].hasRoom());
}

// Guards against a call within another one, when a connection that may go on
// ends others.
BOOST_AUTO_TEST_CASE(CallsAreNotNested) {
  BufferBudget Budget(Total);
  std::optional<BufferBudget::Part> Ended;
  int Depth = 0;
  int Calls = 0;
  BufferBudget::Part Large(Budget, [] {});
  BufferBudget::Part First(Budget, [&] {
    ++Depth;
    Ended.reset();
    --Depth;
  });
  BufferBudget::Part Second(Budget, [&] {
    BOOST_TEST(Depth == 0);
    ++Calls;
  });
  Ended.emplace(Budget, [] {});
  Ended->resize(100'000);
  Large.resize(800'000);
  First.resize(40'000);
  Second.resize(50'000);
  Large.resize(809'000);
  BOOST_TEST(!First.hasRoom());
  BOOST_TEST(!Second.hasRoom());
  Large.resize(0);
  BOOST_TEST(Calls == 1);
}

// Guards against a request that is begun though it can't be held, and against
// one that nobody else keeps from the room.
BOOST_AUTO_TEST_CASE(APartGrowsOnlyIntoWhatIsFree) {
  Fixture Test(2);
  BOOST_TEST(Test.m_Parts[0].tryResize(2 * Total));
  BOOST_TEST(!Test.m_Parts[1].tryResize(Piece));
  BOOST_TEST(Test.m_Parts[1].isWaiting());
  BOOST_TEST(Test.m_Parts[1].bytes() == 0U);
  BOOST_TEST(Test.m_Parts[0].tryResize(Total / 2));
  BOOST_TEST((Test.m_Notified == std::vector<int>{1}));
  BOOST_TEST(Test.m_Parts[1].tryResize(Total / 3));
  BOOST_TEST(!Test.m_Parts[1].tryResize(Total / 2));
  BOOST_TEST(Test.m_Parts[1].tryResize(Piece));
}

// Guards against bytes that stay counted, and against a call to a connection
// that is gone.
BOOST_AUTO_TEST_CASE(ADestroyedPartHoldsNothing) {
  Fixture Test(1);
  Test.m_Parts[0].resize(700'000);
  int Calls = 0;
  {
    std::optional<BufferBudget::Part> Gone;
    Gone.emplace(Test.m_Budget, [&] { ++Calls; });
    Gone->resize(299'999);
    BOOST_TEST(!Gone->hasRoom());
  }
  Test.m_Parts[0].resize(0);
  BOOST_TEST(Calls == 0);
  BOOST_TEST(Test.m_Budget.usedBytes() == 0U);
}

// Guards against bytes that are lost, repeated or reordered, and against a
// queue that keeps what was written.
BOOST_AUTO_TEST_CASE(AQueueReturnsWhatWasAppended) {
  BOOST_TEST(rc::check([] {
    OutputQueue Queue;
    std::string Appended;
    std::string Written;
    for (int Step = 0; Step < 200; ++Step) {
      const auto Size = *rc::gen::inRange<std::size_t>(0, 40'000);
      std::string Bytes(Size, static_cast<char>('a' + Step % 26));
      Appended += Bytes;
      Queue.append(Bytes);
      for (int I = 0; I < 2 && !Queue.empty(); ++I) {
        const std::string_view Next = Queue.front();
        RC_ASSERT(!Next.empty());
        const auto Count = *rc::gen::inRange<std::size_t>(0, Next.size() + 1);
        Written += Next.substr(0, Count);
        Queue.recordWritten(Count);
      }
      RC_ASSERT(Queue.size() == Appended.size() - Written.size());
    }
    while (!Queue.empty()) {
      Written += Queue.front();
      Queue.recordWritten(Queue.front().size());
    }
    RC_ASSERT(Queue.front().empty());
    RC_ASSERT(Written == Appended);
  }));
}
