/// The queue of encoded frames of a link.
#define BOOST_TEST_MODULE send_queue
#include "link/send_queue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace crowstep::link;

// Guards against a queue that grows without bound because its reader never
// catches up, and against bytes that are lost, repeated or reordered.
BOOST_AUTO_TEST_CASE(WrittenBytesAreFreedWhileOthersWait) {
  BOOST_TEST(rc::check([] {
    SendQueue Queue;
    std::vector<std::uint8_t> Appended;
    std::vector<std::uint8_t> Read;
    for (int Step = 0; Step < 300; ++Step) {
      const auto Size = *rc::gen::inRange<std::size_t>(1, 100);
      for (std::size_t I = 0; I < Size; ++I) {
        Appended.push_back(static_cast<std::uint8_t>(Appended.size() * 31));
        Queue.buffer().push_back(Appended.back());
      }
      // At least one byte always waits.
      const auto Count =
          *rc::gen::inRange<std::size_t>(0, Queue.unwritten().size());
      const Bytes Next = Queue.unwritten().first(Count);
      Read.insert(Read.end(), Next.begin(), Next.end());
      Queue.recordWritten(Count);
      RC_ASSERT(Queue.buffer().size() <= 2 * Queue.unwritten().size());
    }
    const Bytes Rest = Queue.unwritten();
    Read.insert(Read.end(), Rest.begin(), Rest.end());
    RC_ASSERT(Read == Appended);
  }));
}

// Guards against a queue that keeps what was written once it is empty.
BOOST_AUTO_TEST_CASE(AnEmptyQueueHoldsNothing) {
  SendQueue Queue;
  Queue.buffer().assign(1000, 7);
  Queue.recordWritten(1000);
  BOOST_TEST(Queue.unwritten().empty());
  BOOST_TEST(Queue.buffer().empty());
}

// Guards against links that keep the memory of their longest queue.
BOOST_AUTO_TEST_CASE(ADrainedQueueFreesItsMemory) {
  SendQueue Queue;
  Queue.buffer().assign(16 << 20, 7);
  while (!Queue.unwritten().empty())
    Queue.recordWritten(
        std::min<std::size_t>(Queue.unwritten().size(), 50'000));
  BOOST_TEST(Queue.buffer().capacity() <= 64U << 10U);
}
