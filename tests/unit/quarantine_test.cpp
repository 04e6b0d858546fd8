/// Requests that crash upstreams: what counts against them, in one instance and
/// in fleets in virtual time.
#define BOOST_TEST_MODULE quarantine
#include "balance/quarantine.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace crowstep;
using namespace crowstep::balance;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{100s};

ContentHash request(std::uint64_t Number) { return {Number, Number}; }
UpstreamId upstream(std::uint64_t Number) { return UpstreamId(Number); }

/// An upstream crashes under a request at \p At.
void crash(Quarantine &At, const ContentHash &Request, std::uint64_t Upstream,
           TimePoint Now) {
  At.callBroken(Request, upstream(Upstream), Now);
  At.upstreamDown(upstream(Upstream), Now);
}

/// Instances that tell one another with delays. Each is reached at another
/// time, and not at all while it is away.
class Fleet {
public:
  Fleet(std::size_t Count, std::uint64_t Seed) : m_Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      m_All.emplace_back(m_Random());
  }

  Quarantine &at(std::size_t Which) { return m_All.at(Which); }
  [[nodiscard]] std::size_t size() const { return m_All.size(); }
  std::size_t any() { return m_Random() % m_All.size(); }
  std::uint64_t below(std::uint64_t Limit) { return m_Random() % Limit; }

  /// Delivers what is due and sends what is new.
  void exchange(TimePoint Now) {
    for (auto Each = m_OnTheWay.begin();
         Each != m_OnTheWay.end() && Each->first <= Now;
         Each = m_OnTheWay.erase(Each))
      deliver(Each->second, Now);
    for (std::size_t I = 0; I < m_All.size(); ++I)
      if (const auto News = m_All[I].takeNews(); !News.empty())
        send(News, Now);
  }

  /// The instance starts anew and knows what the list has.
  void restart(std::size_t Which, const std::set<ContentHash> &Listed,
               TimePoint Now) {
    m_All[Which] = Quarantine(m_Random());
    m_All[Which].setListed(Listed, Now);
  }

private:
  void send(const std::vector<CrashNews> &News, TimePoint Now) {
    // Two groups hear at other times, as zones behind hubs do.
    for (int Group = 0; Group < 2; ++Group)
      m_OnTheWay.emplace(Now + std::chrono::milliseconds(below(700)),
                         std::pair(Group, News));
  }

  void deliver(const std::pair<int, std::vector<CrashNews>> &What,
               TimePoint Now) {
    for (std::size_t I = 0; I < m_All.size(); ++I)
      if (static_cast<int>(I % 2) == What.first)
        m_All[I].take(What.second, Now);
  }

  std::mt19937_64 m_Random;      ///< Seeded.
  std::vector<Quarantine> m_All; ///< Instances.
  std::multimap<TimePoint, std::pair<int, std::vector<CrashNews>>>
      m_OnTheWay; ///< By arrival.
};

} // namespace

// Guards against a connection that is reset and taken for a crash.
BOOST_AUTO_TEST_CASE(ABrokenConnectionAloneIsNoCrash) {
  Quarantine It(1);
  for (std::uint64_t I = 0; I < 10; ++I)
    It.callBroken(request(1), upstream(I), Begin);
  BOOST_TEST((It.heldFor(request(1), Begin) == 0s));
  // An upstream that ends long after has not crashed under these calls.
  for (std::uint64_t I = 0; I < 10; ++I)
    It.upstreamDown(upstream(I), Begin + Quarantine::BrokenLife + 1s);
  BOOST_TEST(It.crashesOf(request(1)) == 0U);
}

// Guards against news that count twice, in another order or by several ways.
BOOST_AUTO_TEST_CASE(NewsMergeTheSameInAnyOrder) {
  rc::check("news merge", [] {
    std::vector<CrashNews> News;
    const auto Count = *rc::gen::inRange<std::size_t>(0, 12);
    News.reserve(Count);
    for (std::size_t I = 0; I < Count; ++I)
      News.push_back({request(*rc::gen::inRange<std::uint64_t>(1, 4)),
                      upstream(*rc::gen::inRange<std::uint64_t>(1, 5))});
    Quarantine First(1);
    First.take(News, Begin);
    auto Mixed = News;
    Mixed.insert(Mixed.end(), News.begin(), News.end());
    std::mt19937_64 Random(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(Mixed.begin(), Mixed.end(), Random);
    Quarantine Second(1);
    for (const CrashNews &Each : Mixed)
      Second.take({Each}, Begin);
    for (std::uint64_t I = 1; I < 4; ++I) {
      RC_ASSERT(First.crashesOf(request(I)) == Second.crashesOf(request(I)));
      RC_ASSERT(First.heldFor(request(I), Begin) ==
                Second.heldFor(request(I), Begin));
    }
  });
}

// Guards against a request that is served and still counted among crashes.
BOOST_AUTO_TEST_CASE(ACallThatEndsClearsItsRequest) {
  Quarantine It(1);
  Quarantine Other(2);
  crash(It, request(1), 1, Begin);
  crash(It, request(1), 2, Begin);
  Other.take(It.takeNews(), Begin);
  BOOST_TEST(Other.crashesOf(request(1)) == 2U);
  It.served(request(1));
  Other.take(It.takeNews(), Begin);
  BOOST_TEST(Other.crashesOf(request(1)) == 0U);
  crash(It, request(1), 3, Begin);
  BOOST_TEST((It.heldFor(request(1), Begin) == 0s));
}

// Guards against a fleet of any size that lets a request go on crashing
// upstreams, while instances restart and news are late.
BOOST_AUTO_TEST_CASE(ARequestThatCrashesUpstreamsStopsInAFleet) {
  constexpr Duration Contact = 3s;
  for (const std::size_t Count : {4, 9, 30, 300, 1000})
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      Fleet It(Count, Seed);
      std::uint64_t Crashes = 0;
      std::set<ContentHash> Listed;
      TimePoint Third{};
      std::uint64_t Late = 0;
      for (TimePoint Now = Begin; Now < Begin + 30s; Now += 20ms) {
        It.exchange(Now);
        const std::size_t Where = It.any();
        // The list is written a second after an instance knows.
        if (Third != TimePoint() && Now > Third + 1200ms)
          Listed.insert(request(1));
        if (It.below(50) == 0)
          It.restart(It.any(), Listed, Now);
        if (It.below(5) > 0 || It.at(Where).heldFor(request(1), Now) > 0s)
          continue;
        crash(It.at(Where), request(1), ++Crashes, Now);
        if (Crashes == 3)
          Third = Now;
        if (Third != TimePoint() && Now > Third + Contact)
          ++Late;
      }
      BOOST_TEST_CONTEXT(Count << " instances, seed " << Seed) {
        BOOST_TEST(Crashes >= 3U);
        BOOST_TEST(Late <= 3U);
      }
    }
}

// Guards against proper requests that are held for crashes of others: a tenth
// of the upstreams goes down each second, whatever their number.
BOOST_AUTO_TEST_CASE(ProperRequestsRunWhileUpstreamsCrash) {
  constexpr Duration CallTime = 30ms;
  constexpr std::uint64_t CrashesInThousandCalls = 3;
  constexpr std::uint64_t Polls = 20;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    std::mt19937_64 Random(Seed);
    Quarantine It(Seed);
    for (TimePoint Now = Begin; Now < Begin + 60s; Now += CallTime)
      for (std::uint64_t Poll = 1; Poll <= Polls; ++Poll) {
        BOOST_TEST_REQUIRE((It.heldFor(request(Poll), Now) == 0s));
        if (Random() % 1000 < CrashesInThousandCalls)
          crash(It, request(Poll), Random(), Now);
        else
          It.served(request(Poll));
      }
  }
}

// Guards against long requests that are held because they ran beside one that
// crashes upstreams.
BOOST_AUTO_TEST_CASE(FewRequestsAreHeldForTheirNeighbour) {
  std::uint64_t Neighbours = 0;
  std::uint64_t Held = 0;
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937_64 Random(Seed);
    Quarantine It(Seed);
    constexpr std::uint64_t Upstreams = 12;
    // Long requests, spread over the upstreams; a broken one goes elsewhere
    // once, and its caller sends it once more.
    std::vector<std::uint64_t> Where(200);
    std::vector<unsigned> Runs(Where.size(), 1);
    for (std::uint64_t &Each : Where)
      Each = Random() % Upstreams;
    std::uint64_t Lifetime = 1000;
    for (int Crash = 0; It.heldFor(request(9999), Begin) == 0s && Crash < 9;
         ++Crash) {
      const std::uint64_t Target = Random() % Upstreams;
      ++Lifetime;
      It.callBroken(request(9999), upstream(Lifetime), Begin);
      for (std::size_t I = 0; I < Where.size(); ++I)
        if (Where[I] == Target && Runs[I] < 4) {
          It.callBroken(request(I + 1), upstream(Lifetime), Begin);
          ++Runs[I];
          Where[I] = Random() % Upstreams;
        }
      It.upstreamDown(upstream(Lifetime), Begin);
    }
    BOOST_TEST((It.heldFor(request(9999), Begin) > 0s));
    Neighbours += Where.size();
    Held += It.size() - 1;
  }
  BOOST_TEST(Held * 500 < Neighbours);
}

// Guards against a lapse that each of many instances tries out by itself.
BOOST_AUTO_TEST_CASE(AfterALapseOneCrashHoldsEverywhere) {
  for (const std::size_t Count : {4, 30, 300}) {
    Fleet It(Count, Count);
    for (std::uint64_t I = 1; I <= 3; ++I)
      crash(It.at(0), request(1), I, Begin);
    std::uint64_t Crashes = 3;
    for (TimePoint Now = Begin; Now < Begin + 2h; Now += 250ms) {
      It.exchange(Now);
      const std::size_t Where = It.any();
      if (It.at(Where).heldFor(request(1), Now) == 0s && Now > Begin + 3s)
        crash(It.at(Where), request(1), ++Crashes, Now);
    }
    BOOST_TEST(Crashes > 3U);
    BOOST_TEST(Crashes <= 6U);
  }
}

// Guards against a list that brings back a request which has been cleared, or
// misses one that an operator took off.
BOOST_AUTO_TEST_CASE(TheListHoldsAndClears) {
  Quarantine It(1);
  It.setListed({request(1)}, Begin);
  BOOST_TEST((It.heldFor(request(1), Begin) > 0s));
  BOOST_TEST(It.unlisted().empty());
  It.take({{request(1), std::nullopt}}, Begin);
  BOOST_TEST((It.heldFor(request(1), Begin) == 0s));
  It.setListed({request(1), request(2)}, Begin);
  BOOST_TEST((It.heldFor(request(1), Begin) == 0s));
  BOOST_TEST((It.heldFor(request(2), Begin) > 0s));
  It.setListed({request(1)}, Begin);
  BOOST_TEST((It.heldFor(request(2), Begin) == 0s));
  for (std::uint64_t I = 1; I <= 3; ++I)
    crash(It, request(3), I, Begin);
  BOOST_TEST((It.unlisted() == std::vector{request(3)}));
  It.setListed({request(1), request(3)}, Begin);
  BOOST_TEST(It.unlisted().empty());
  It.served(request(3));
  BOOST_TEST((It.wronglyListed() == std::set{request(3)}));
  It.setListed({request(1)}, Begin);
  BOOST_TEST(It.wronglyListed().empty());
}

// Guards against memory that grows with the requests that were ever suspected.
BOOST_AUTO_TEST_CASE(SuspectsGoBeforeQuarantinedRequests) {
  Quarantine It(1);
  for (std::uint64_t I = 1; I <= 3; ++I)
    crash(It, request(1), I, Begin);
  for (std::uint64_t I = 2; I < 2 * Quarantine::MostRequests; ++I)
    crash(It, request(I), I + 10, Begin + std::chrono::milliseconds(I));
  BOOST_TEST((It.heldFor(request(1), Begin + 10s) > 0s));
  BOOST_TEST(It.crashesOf(request(2)) == 0U);
  BOOST_TEST(It.all().size() <= Quarantine::MostNews);
  BOOST_TEST(It.takeNews().size() <= Quarantine::MostNews);
}

// Guards against content that differs and counts as one request, or is the same
// and counts as two.
BOOST_AUTO_TEST_CASE(ContentIsMethodHostTargetWorkspaceAndBody) {
  const RequestContent One = {"POST", "h", "/p?q=1", "w", "body"};
  const ContentHash Hash = contentHashOf(One);
  BOOST_TEST((contentHashOf(One) == Hash));
  const std::vector<RequestContent> Others = {
      {"GET", "h", "/p?q=1", "w", "body"},
      {"POST", "i", "/p?q=1", "w", "body"},
      {"POST", "h", "/p?q=2", "w", "body"},
      {"POST", "h", "/p?q=1", "", "body"},
      {"POST", "h", "/p?q=1", "w", ""},
      {"POST", "h", "/p?q=1w", "", "body"},
      {"POSTh", "", "/p?q=1", "w", "body"},
      {"POST", "h", "/p?q=1", "w", "bodx"}};
  for (const RequestContent &Each : Others)
    BOOST_TEST((contentHashOf(Each) != Hash));
  BOOST_TEST((parseContentHash(toString(Hash)) == Hash));
  for (const char *Text : {"", "1", "0123456789abcdef0123456789abcdeg"})
    BOOST_TEST(!parseContentHash(Text));
}
