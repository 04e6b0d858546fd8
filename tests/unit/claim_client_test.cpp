/// The entries' side of claims, with lost and late replies.
#define BOOST_TEST_MODULE claim_client
#include "claim/claim_client.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::claim;
using namespace std::chrono_literals;

namespace {

/// Keeps what is sent.
class FakeLinks final : public link::Links {
public:
  void dial(const Address &) override {}
  void disconnect(const Address &) override {}
  void stopDialling(const Address &) override {}
  wire::FrameT &outbox(link::LinkId) override { return m_Sent; }
  void flush(link::LinkId) override {}
  void close(link::LinkId) override {}

  wire::FrameT m_Sent; ///< All that was sent.
};

struct Fixture {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  FakeLinks m_Links;
  bool m_HomeKnown = true;
  ClaimClient m_Client{m_Clock, m_Timers, m_Links,
                       [this](std::uint64_t) -> std::optional<link::LinkId> {
                         if (!m_HomeKnown)
                           return std::nullopt;
                         return link::LinkId(1);
                       }};
  std::optional<ClaimStatus> m_Status;

  void claim(Duration Limit) {
    m_Client.claim("key", 7, "attempt", Limit, [this](ClaimOutcome Outcome) {
      m_Status = Outcome.m_Status;
    });
  }

  /// Returns how many requests for \p Operation were sent.
  [[nodiscard]] std::ptrdiff_t sent(wire::ClaimOp Operation) const {
    return std::count_if(
        m_Links.m_Sent.claim_requests.begin(),
        m_Links.m_Sent.claim_requests.end(),
        [&](const auto &Request) { return Request->op == Operation; });
  }
};

} // namespace

// Guards against a caller who is told that nothing was written, and a key that
// stays claimed for a day, where a claim was sent and its reply never came.
BOOST_AUTO_TEST_CASE(AClaimWithoutReplyIsUncertainAndReleased) {
  for (const Duration Limit : {300ms, 950ms, 1000ms, 1050ms, 2500ms}) {
    Fixture Test;
    Test.claim(Limit);
    Test.m_Timers.advance(Limit + 100ms);
    BOOST_REQUIRE(Test.m_Status.has_value());
    BOOST_TEST((Test.m_Status == ClaimStatus::Uncertain));
    BOOST_TEST(Test.sent(wire::ClaimOp::NotRun) >= 1);
  }
}

// Guards against releases, and doubts, where no claim was ever sent.
BOOST_AUTO_TEST_CASE(AClaimThatWasNotSentIsNotReleased) {
  Fixture Test;
  Test.m_HomeKnown = false;
  Test.claim(500ms);
  Test.m_Timers.advance(600ms);
  BOOST_TEST((Test.m_Status == ClaimStatus::Unavailable));
  BOOST_TEST(Test.sent(wire::ClaimOp::NotRun) == 0);
}
