/// Requests that crash upstreams, and their quarantine in one instance and in
/// fleets, in virtual time.
#define BOOST_TEST_MODULE quarantine
#include "quarantine/quarantine.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace crowstep;
using namespace crowstep::quarantine;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{100s};

ContentHash request(std::uint64_t Number) { return {Number, Number}; }
UpstreamId upstream(std::uint64_t Number) { return UpstreamId(Number); }
IncarnationId process(std::uint64_t Number) { return IncarnationId(Number); }

/// Returns a call of a request without segments that broke at an upstream.
BrokenCall brokenCall(const ContentHash &Request, std::uint64_t Upstream) {
  return {{Request, {}}, upstream(Upstream), process(Upstream)};
}

/// Records at \p Observer that an upstream crashed while it ran a request.
void crash(Quarantine &Observer, const ContentHash &Request,
           std::uint64_t Upstream, TimePoint Now) {
  Observer.recordBrokenCall(brokenCall(Request, Upstream), Now);
  Observer.recordUpstreamDown(upstream(Upstream), Now);
}

/// Instances that exchange updates with delays.
class Fleet {
public:
  Fleet(std::size_t Count, std::uint64_t Seed) : m_Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      m_Instances.emplace_back(m_Random());
  }

  Quarantine &at(std::size_t Index) { return m_Instances.at(Index); }
  [[nodiscard]] std::size_t size() const { return m_Instances.size(); }
  std::size_t randomIndex() { return m_Random() % m_Instances.size(); }
  std::uint64_t below(std::uint64_t Limit) { return m_Random() % Limit; }

  /// Delivers the updates that are due and sends new ones.
  void exchange(TimePoint Now) {
    for (auto Next = m_InFlight.begin();
         Next != m_InFlight.end() && Next->first <= Now;
         Next = m_InFlight.erase(Next))
      deliver(Next->second, Now);
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      if (const auto Updates = m_Instances[I].takeUpdates(); !Updates.empty())
        send(Updates, Now);
  }

  /// Restarts an instance, which then knows only the list.
  void restart(std::size_t Index, const std::set<ContentHash> &Listed,
               TimePoint Now) {
    m_Instances[Index] = Quarantine(m_Random());
    m_Instances[Index].setListed(Listed, Now);
  }

private:
  void send(const std::vector<CrashUpdate> &Updates, TimePoint Now) {
    // Two groups receive it at different times, as zones behind hubs do.
    for (int Group = 0; Group < 2; ++Group)
      m_InFlight.emplace(Now + std::chrono::milliseconds(below(700)),
                         std::pair(Group, Updates));
  }

  void deliver(const std::pair<int, std::vector<CrashUpdate>> &Message,
               TimePoint Now) {
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      if (static_cast<int>(I % 2) == Message.first)
        m_Instances[I].applyUpdates(Message.second, Now);
  }

  std::mt19937_64 m_Random;            ///< Seeded.
  std::vector<Quarantine> m_Instances; ///< By index.
  std::multimap<TimePoint, std::pair<int, std::vector<CrashUpdate>>>
      m_InFlight; ///< By arrival.
};

} // namespace

// Guards against a reset connection that is counted as a crash.
BOOST_AUTO_TEST_CASE(ABrokenConnectionAloneIsNoCrash) {
  Quarantine Local(1);
  for (std::uint64_t I = 0; I < 10; ++I)
    Local.recordBrokenCall(brokenCall(request(1), I), Begin);
  BOOST_TEST((Local.remainingHold(request(1), Begin) == 0s));
  // An upstream that goes down long after did not crash under these calls.
  for (std::uint64_t I = 0; I < 10; ++I)
    Local.recordUpstreamDown(upstream(I),
                             Begin + Quarantine::BrokenCallLifetime + 1s);
  BOOST_TEST(Local.crashCount(request(1)) == 0U);
}

// Guards against updates that are counted twice when they arrive in another
// order or by several paths.
BOOST_AUTO_TEST_CASE(NewsMergeTheSameInAnyOrder) {
  rc::check("news merge", [] {
    std::vector<CrashUpdate> Updates;
    const auto Count = *rc::gen::inRange<std::size_t>(0, 12);
    Updates.reserve(Count);
    for (std::size_t I = 0; I < Count; ++I)
      Updates.push_back({request(*rc::gen::inRange<std::uint64_t>(1, 4)),
                         process(*rc::gen::inRange<std::uint64_t>(1, 5))});
    Quarantine First(1);
    First.applyUpdates(Updates, Begin);
    auto Mixed = Updates;
    Mixed.insert(Mixed.end(), Updates.begin(), Updates.end());
    std::mt19937_64 Random(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(Mixed.begin(), Mixed.end(), Random);
    Quarantine Second(1);
    for (const CrashUpdate &Update : Mixed)
      Second.applyUpdates({Update}, Begin);
    for (std::uint64_t I = 1; I < 4; ++I) {
      RC_ASSERT(First.crashCount(request(I)) == Second.crashCount(request(I)));
      RC_ASSERT(First.remainingHold(request(I), Begin) ==
                Second.remainingHold(request(I), Begin));
    }
  });
}

// Guards against crashes that still count after the request was served.
BOOST_AUTO_TEST_CASE(ACallThatEndsClearsItsRequest) {
  Quarantine Local(1);
  Quarantine Other(2);
  crash(Local, request(1), 1, Begin);
  crash(Local, request(1), 2, Begin);
  Other.applyUpdates(Local.takeUpdates(), Begin);
  BOOST_TEST(Other.crashCount(request(1)) == 2U);
  Local.recordServed(request(1));
  Other.applyUpdates(Local.takeUpdates(), Begin);
  BOOST_TEST(Other.crashCount(request(1)) == 0U);
  crash(Local, request(1), 3, Begin);
  BOOST_TEST((Local.remainingHold(request(1), Begin) == 0s));
}

// Guards against a request that continues to crash upstreams in a fleet of any
// size, while instances restart and updates are late.
BOOST_AUTO_TEST_CASE(ARequestThatCrashesUpstreamsStopsInAFleet) {
  constexpr Duration SpreadTime = 3s;
  for (const std::size_t Count : {4, 9, 30, 300, 1000})
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      Fleet Instances(Count, Seed);
      std::uint64_t Crashes = 0;
      std::set<ContentHash> Listed;
      TimePoint ThirdCrashAt{};
      std::uint64_t LateCrashes = 0;
      for (TimePoint Now = Begin; Now < Begin + 30s; Now += 20ms) {
        Instances.exchange(Now);
        const std::size_t Index = Instances.randomIndex();
        // The list is written about a second after an instance quarantines it.
        if (ThirdCrashAt != TimePoint() && Now > ThirdCrashAt + 1200ms)
          Listed.insert(request(1));
        if (Instances.below(50) == 0)
          Instances.restart(Instances.randomIndex(), Listed, Now);
        if (Instances.below(5) > 0 ||
            Instances.at(Index).remainingHold(request(1), Now) > 0s)
          continue;
        crash(Instances.at(Index), request(1), ++Crashes, Now);
        if (Crashes == 3)
          ThirdCrashAt = Now;
        if (ThirdCrashAt != TimePoint() && Now > ThirdCrashAt + SpreadTime)
          ++LateCrashes;
      }
      BOOST_TEST_CONTEXT(Count << " instances, seed " << Seed) {
        BOOST_TEST(Crashes >= 3U);
        BOOST_TEST(LateCrashes <= 3U);
      }
    }
}

// Guards against a hold of harmless requests because of unrelated crashes: a
// tenth of the upstreams goes down each second, whatever their number.
BOOST_AUTO_TEST_CASE(ProperRequestsRunWhileUpstreamsCrash) {
  constexpr Duration CallTime = 30ms;
  constexpr std::uint64_t CrashesInThousandCalls = 3;
  constexpr std::uint64_t Requests = 20;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    std::mt19937_64 Random(Seed);
    Quarantine Local(Seed);
    for (TimePoint Now = Begin; Now < Begin + 60s; Now += CallTime)
      for (std::uint64_t Number = 1; Number <= Requests; ++Number) {
        BOOST_TEST_REQUIRE((Local.remainingHold(request(Number), Now) == 0s));
        if (Random() % 1000 < CrashesInThousandCalls)
          crash(Local, request(Number), Random(), Now);
        else
          Local.recordServed(request(Number));
      }
  }
}

// Guards against a hold of long requests because they ran beside one that
// crashes upstreams.
BOOST_AUTO_TEST_CASE(FewRequestsAreHeldForTheirNeighbour) {
  std::uint64_t NeighbourCount = 0;
  std::uint64_t HeldCount = 0;
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937_64 Random(Seed);
    Quarantine Local(Seed);
    constexpr std::uint64_t UpstreamCount = 12;
    // Long requests, spread over the upstreams; a broken one is retried
    // elsewhere once, and its caller sends it once more.
    std::vector<std::uint64_t> Upstreams(200);
    std::vector<unsigned> Runs(Upstreams.size(), 1);
    for (std::uint64_t &Target : Upstreams)
      Target = Random() % UpstreamCount;
    std::uint64_t Incarnation = 1000;
    for (int Crash = 0;
         Local.remainingHold(request(9999), Begin) == 0s && Crash < 9;
         ++Crash) {
      const std::uint64_t Target = Random() % UpstreamCount;
      ++Incarnation;
      Local.recordBrokenCall(brokenCall(request(9999), Incarnation), Begin);
      for (std::size_t I = 0; I < Upstreams.size(); ++I)
        if (Upstreams[I] == Target && Runs[I] < 4) {
          Local.recordBrokenCall(brokenCall(request(I + 1), Incarnation),
                                 Begin);
          ++Runs[I];
          Upstreams[I] = Random() % UpstreamCount;
        }
      Local.recordUpstreamDown(upstream(Incarnation), Begin);
    }
    BOOST_TEST((Local.remainingHold(request(9999), Begin) > 0s));
    NeighbourCount += Upstreams.size();
    HeldCount += Local.size() - 1;
  }
  BOOST_TEST(HeldCount * 500 < NeighbourCount);
}

// Guards against one more crash on each of many instances when a hold expires.
BOOST_AUTO_TEST_CASE(AfterALapseOneCrashHoldsEverywhere) {
  for (const std::size_t Count : {4, 30, 300}) {
    Fleet Instances(Count, Count);
    for (std::uint64_t I = 1; I <= 3; ++I)
      crash(Instances.at(0), request(1), I, Begin);
    std::uint64_t Crashes = 3;
    for (TimePoint Now = Begin; Now < Begin + 2h; Now += 250ms) {
      Instances.exchange(Now);
      const std::size_t Index = Instances.randomIndex();
      if (Instances.at(Index).remainingHold(request(1), Now) == 0s &&
          Now > Begin + 3s)
        crash(Instances.at(Index), request(1), ++Crashes, Now);
    }
    BOOST_TEST(Crashes > 3U);
    BOOST_TEST(Crashes <= 6U);
  }
}

// Guards against a list that quarantines a cleared request again, and against a
// request that stays quarantined after an operator has removed it from the
// list.
BOOST_AUTO_TEST_CASE(TheListHoldsAndClears) {
  Quarantine Local(1);
  Local.setListed({request(1)}, Begin);
  BOOST_TEST((Local.remainingHold(request(1), Begin) > 0s));
  BOOST_TEST(Local.unlistedSuspects().empty());
  Local.applyUpdates({{request(1), std::nullopt}}, Begin);
  BOOST_TEST((Local.remainingHold(request(1), Begin) == 0s));
  Local.setListed({request(1), request(2)}, Begin);
  BOOST_TEST((Local.remainingHold(request(1), Begin) == 0s));
  BOOST_TEST((Local.remainingHold(request(2), Begin) > 0s));
  Local.setListed({request(1)}, Begin);
  BOOST_TEST((Local.remainingHold(request(2), Begin) == 0s));
  for (std::uint64_t I = 1; I <= 3; ++I)
    crash(Local, request(3), I, Begin);
  BOOST_TEST((Local.unlistedSuspects() == std::vector{request(3)}));
  Local.setListed({request(1), request(3)}, Begin);
  BOOST_TEST(Local.unlistedSuspects().empty());
  Local.recordServed(request(3));
  BOOST_TEST((Local.staleListings() == std::set{request(3)}));
  Local.setListed({request(1)}, Begin);
  BOOST_TEST(Local.staleListings().empty());
}

// Guards against memory use that grows with the number of suspected requests.
BOOST_AUTO_TEST_CASE(SuspectsGoBeforeQuarantinedRequests) {
  Quarantine Local(1);
  for (std::uint64_t I = 1; I <= 3; ++I)
    crash(Local, request(1), I, Begin);
  for (std::uint64_t I = 2; I < 2 * Quarantine::MaxSuspects; ++I)
    crash(Local, request(I), I + 10, Begin + std::chrono::milliseconds(I));
  BOOST_TEST((Local.remainingHold(request(1), Begin + 10s) > 0s));
  BOOST_TEST(Local.crashCount(request(2)) == 0U);
  BOOST_TEST(Local.snapshot().size() <= Quarantine::MaxUpdates);
  BOOST_TEST(Local.takeUpdates().size() <= Quarantine::MaxUpdates);
}

// Guards against different contents with one hash, and against equal contents
// with different hashes.
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
  for (const RequestContent &Other : Others)
    BOOST_TEST((contentHashOf(Other) != Hash));
  BOOST_TEST((parseContentHash(toString(Hash)) == Hash));
  for (const char *Text : {"", "1", "0123456789abcdef0123456789abcdeg"})
    BOOST_TEST(!parseContentHash(Text));
}
