/// Speeds of upstreams as a fleet learns them, in virtual time.
#define BOOST_TEST_MODULE speed_fleet
#include "digest_fleet.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <numeric>
#include <random>

using namespace crowstep;
using namespace crowstep::speed;
using namespace crowstep::test;

namespace {

constexpr const char *Service = "writer";
constexpr int EngineCount = 90;
constexpr int CallsPerSecond = 480;
constexpr int SamplesPerCall = 4;
constexpr Duration Tick = 10ms;
constexpr double StepUs = 3700;

PoolId pool() { return poolIdOf(Service, 0); }

std::vector<Upstream> engines() {
  std::vector<Upstream> Result;
  for (int I = 0; I < EngineCount; ++I) {
    const std::string Name = "e" + std::to_string(I);
    Result.push_back(
        {upstreamIdOf(Name), Name, Service, {1, 1}, {"a"}, Engine{64}, false});
  }
  return Result;
}

/// A call at an engine that gives one sample in each 80 ms.
struct Stream {
  int m_Instance;
  int m_Engine;
  int m_Left;
  TimePoint m_Next;
};

/// Instances that call engines at random, and what the engines' speeds truly
/// are.
struct SpeedFleet {
  SpeedFleet(int Zones, int InZone) : m_Fleet(Zones, InZone) {
    // Digests are never empty where there are calls.
    m_Fleet.placeOneEach();
    for (const auto &Member : m_Fleet.m_Instances) {
      speedsOf(*Member).setMode(LearnSpeed::Always);
      std::vector<Upstream> List = m_Engines;
      List.push_back(*Member->m_Balancer.findUpstream(upstreamIdOf("u")));
      Member->m_Balancer.setUpstreams(List);
    }
    m_True.assign(EngineCount, 1);
    m_Share.assign(EngineCount, 0.3);
    m_Fleet.run(2s);
  }

  static UpstreamSpeeds &speedsOf(Instance &Member) {
    return Member.m_Balancer.speeds();
  }
  UpstreamSpeeds &speedsOf(std::size_t Member) {
    return speedsOf(*m_Fleet.m_Instances[Member]);
  }

  int random(std::size_t Count) { return static_cast<int>(m_Random() % Count); }

  void addSample(const Stream &Call) {
    const double Share = m_Share[Call.m_Engine];
    const bool IsPrefilling = random(2) == 0;
    double Us = StepUs * (1 + Share) * (IsPrefilling ? 1.3 : 1) /
                m_True[Call.m_Engine] *
                std::uniform_real_distribution<>(0.9, 1.15)(m_Random);
    if (m_Falsify)
      Us = m_Falsify(Call, Us);
    speedsOf(Call.m_Instance)
        .addSample({m_Engines[Call.m_Engine].m_Id, pool(),
                    Duration(std::llround(Us)), Share, IsPrefilling},
                   m_Fleet.m_Clock.now());
  }

  void run(Duration Span) {
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += Tick) {
      const TimePoint Now = m_Fleet.m_Clock.now();
      if (m_OnTick)
        m_OnTick(Now);
      m_Due += std::chrono::duration<double>(Tick).count() * CallsPerSecond;
      for (; m_Due >= 1; --m_Due)
        if (const int Engine = random(EngineCount); m_True[Engine] > 0)
          m_Streams.push_back({random(m_Fleet.m_Instances.size()), Engine,
                               SamplesPerCall, Now + 80ms});
      for (Stream &Call : m_Streams)
        if (Now >= Call.m_Next) {
          addSample(Call);
          Call.m_Next += 80ms;
          --Call.m_Left;
        }
      std::erase_if(m_Streams,
                    [](const Stream &Call) { return Call.m_Left == 0; });
      m_Fleet.run(Tick);
    }
  }

  /// Returns the share of the estimates, at all instances and of all engines,
  /// that are within \p Factor of the truth.
  double accurateShare(double Factor) {
    const double Mean =
        std::accumulate(m_True.begin(), m_True.end(), 0.0) / EngineCount;
    int Accurate = 0;
    for (const auto &Member : m_Fleet.m_Instances)
      for (int I = 0; I < EngineCount; ++I)
        if (std::abs(std::log(speedOf(*Member, I) * Mean / m_True[I])) <=
            std::log(Factor))
          ++Accurate;
    return Accurate / (1.0 * EngineCount *
                       static_cast<double>(m_Fleet.m_Instances.size()));
  }

  double speedOf(Instance &Member, int Engine) {
    return speedsOf(Member).speedOf(m_Engines[Engine].m_Id,
                                    m_Fleet.m_Clock.now());
  }

  /// Returns the class of an engine if all instances agree.
  std::optional<int> classOf(int Engine) {
    const auto At = [&](auto &Member) {
      return speedsOf(*Member).speedClassOf(m_Engines[Engine].m_Id);
    };
    const int Result = At(m_Fleet.m_Instances.front());
    for (const auto &Member : m_Fleet.m_Instances)
      if (At(Member) != Result)
        return std::nullopt;
    return Result;
  }

  /// Returns the changes of classes since the last call, for each instance.
  double classChanges() {
    std::size_t Result = 0;
    for (const auto &Member : m_Fleet.m_Instances)
      Result += speedsOf(*Member).takeClassChanges().size();
    return static_cast<double>(Result) /
           static_cast<double>(m_Fleet.m_Instances.size());
  }

  Fleet m_Fleet;
  std::vector<Upstream> m_Engines = engines();
  std::vector<double> m_True;  ///< Speeds; 0: gets no calls.
  std::vector<double> m_Share; ///< Of the slots that are taken.
  std::function<double(const Stream &, double)> m_Falsify; ///< Of a time in us.
  std::function<void(TimePoint)> m_OnTick;                 ///< May be empty.
  std::vector<Stream> m_Streams;
  std::mt19937 m_Random{11}; // NOLINT
  double m_Due = 0;          ///< Calls to begin.
};

/// Fleets of 9, 88 and 300 instances.
const std::vector<std::pair<int, int>> Sizes = {{3, 3}, {4, 22}, {6, 50}};

} // namespace

/// Guards against estimates that don't converge where each instance calls an
/// engine every few seconds only.
BOOST_AUTO_TEST_CASE(speeds_are_known_everywhere_after_5_s) {
  for (const auto &[Zones, InZone] : Sizes) {
    SpeedFleet Test(Zones, InZone);
    for (int I = 0; I < EngineCount; ++I)
      Test.m_True[I] = I % 4 == 0 ? 1 / 0.55 : 1 / 1.2;
    Test.run(5s);
    const double Share = Test.accurateShare(1.2);
    BOOST_TEST_MESSAGE(Zones * InZone << " instances: " << Share);
    BOOST_TEST(Share > 0.98);
    int Agreed = 0;
    for (int I = 0; I < EngineCount; ++I)
      Agreed += Test.classOf(I) == (I % 4 == 0 ? 1 : 0) ? 1 : 0;
    BOOST_TEST(Agreed >= EngineCount - 3);
  }
}

/// Guards against a change that instances follow too late, and a recovery that
/// they don't see.
BOOST_AUTO_TEST_CASE(changes_by_two_and_recoveries_are_followed) {
  for (const auto &[Zones, InZone] : Sizes) {
    SpeedFleet Test(Zones, InZone);
    Test.run(5s);
    for (int I = 0; I < 9; ++I)
      Test.m_True[I] = I < 5 ? 0.5 : 2;
    Test.run(3s);
    BOOST_TEST_MESSAGE(Zones * InZone << " instances, 3 s after a change: "
                                      << Test.accurateShare(1.4));
    // Of a change by two, more than half is covered in the mean of the engines.
    for (const auto &Member : Test.m_Fleet.m_Instances) {
      double Left = 0;
      for (int I = 0; I < 9; ++I)
        Left +=
            std::abs(std::log2(Test.speedOf(*Member, I) / Test.m_True[I])) / 9;
      BOOST_TEST(Left < 0.45);
    }
    Test.run(2s);
    for (int I = 0; I < 9; ++I)
      BOOST_TEST(Test.classOf(I).value_or(0) * (I < 5 ? -1 : 1) > 0);
    for (int I = 0; I < 9; ++I)
      Test.m_True[I] = 1;
    Test.run(5s);
    // These get no calls any more.
    for (int I = 0; I < 3; ++I)
      Test.m_True[I] = 0;
    Test.run(5s);
    for (int I = 0; I < 9; ++I)
      BOOST_TEST(Test.classOf(I).value_or(-99) == 0);
  }
}

/// Guards against an engine that is slow, then gets no calls, and is avoided
/// for good.
BOOST_AUTO_TEST_CASE(a_slow_one_without_calls_is_equal_after_10_s) {
  SpeedFleet Test(4, 22);
  Test.m_True[0] = 0.25;
  Test.run(6s);
  for (const auto &Member : Test.m_Fleet.m_Instances)
    BOOST_TEST(SpeedFleet::speedsOf(*Member).speedClassOf(
                   Test.m_Engines[0].m_Id) < -1);
  Test.m_True[0] = 0;
  Test.run(10s);
  BOOST_TEST(Test.classOf(0).value_or(-99) == 0);
}

/// Guards against classes that follow noise, or the exchange.
BOOST_AUTO_TEST_CASE(equal_engines_stay_equal) {
  for (const auto &[Zones, InZone] : Sizes) {
    SpeedFleet Test(Zones, InZone);
    Test.run(10s);
    BOOST_TEST_MESSAGE(Zones * InZone << " instances: "
                                      << Test.accurateShare(1.1));
    BOOST_TEST(Test.classChanges() == 0);
    BOOST_TEST(Test.accurateShare(1.15) == 1);
  }
}

/// Guards against classes that change with machines that are slow for 600 ms.
BOOST_AUTO_TEST_CASE(short_slowness_changes_few_classes) {
  SpeedFleet Test(4, 22);
  std::vector<TimePoint> Until(EngineCount);
  Test.m_OnTick = [&](TimePoint Now) {
    for (int I = 0; I < EngineCount; ++I) {
      if (Now >= Until[I])
        Test.m_True[I] = 1;
      // 0.15 of the machines at any moment.
      if (Now >= Until[I] && Test.random(10000) < 29) {
        Until[I] = Now + 600ms;
        Test.m_True[I] = 1 / 2.5;
      }
    }
  };
  Test.run(20s);
  const double Changes = Test.classChanges() / EngineCount / 20;
  BOOST_TEST_MESSAGE("changes of an engine's class a second: " << Changes);
  BOOST_TEST(Changes < 0.05);
}

/// Guards against digests without which speeds are wrong.
BOOST_AUTO_TEST_CASE(lost_digests_delay_estimates_only) {
  SpeedFleet Test(4, 22);
  Test.m_Fleet.m_Net.m_Loses = [&] { return Test.random(10) < 3; };
  for (int I = 0; I < EngineCount; ++I)
    Test.m_True[I] = I % 4 == 0 ? 1 / 0.55 : 1 / 1.2;
  Test.run(6s);
  BOOST_TEST(Test.accurateShare(1.25) > 0.97);
}

/// Guards against a zone that learns nothing after the loss of its hub.
BOOST_AUTO_TEST_CASE(a_stalled_hub_is_replaced) {
  SpeedFleet Test(4, 22);
  Test.run(3s);
  for (const auto &Member : Test.m_Fleet.m_Instances)
    if (Member->m_Self.m_Zone.m_Name == "z0" && Member->m_Self.m_Weight > 1)
      Test.m_Fleet.m_Net.m_Stalled = Member->m_Links;
  BOOST_TEST_REQUIRE(Test.m_Fleet.m_Net.m_Stalled != nullptr);
  for (int I = 0; I < EngineCount; ++I)
    Test.m_True[I] = I % 4 == 0 ? 1 / 0.55 : 1 / 1.2;
  Test.run(6s);
  BOOST_TEST(Test.accurateShare(1.25) > 0.97);
}

/// Guards against an instance whose samples are wrong, as its clock or its
/// network is, and that spoils all others' estimates.
BOOST_AUTO_TEST_CASE(an_instance_with_false_samples_changes_little) {
  SpeedFleet Test(4, 22);
  Test.m_Falsify = [&](const Stream &Call, double Us) {
    return Call.m_Instance == 5 ? Us * (Test.random(2) == 0 ? 1000 : 0.01) : Us;
  };
  for (int I = 0; I < EngineCount; ++I)
    Test.m_True[I] = I % 4 == 0 ? 1 / 0.55 : 1 / 1.2;
  Test.run(10s);
  BOOST_TEST(Test.accurateShare(1.3) > 0.97);
}

/// Guards against an upstream that delays its events and makes others look
/// fast.
BOOST_AUTO_TEST_CASE(an_absurd_upstream_changes_itself_only) {
  SpeedFleet Test(4, 22);
  Test.m_Falsify = [](const Stream &Call, double Us) {
    return Call.m_Engine == 7 ? Us * 1e5 : Us;
  };
  Test.run(6s);
  BOOST_TEST(Test.classOf(7).value_or(0) <= -2);
  Test.m_True[7] = 0.25;
  BOOST_TEST(Test.accurateShare(1.2) > 0.98);
}

/// Guards against engines that slow down from half of their slots on and are
/// not noticed.
BOOST_AUTO_TEST_CASE(engines_that_slow_down_from_half_of_their_slots) {
  SpeedFleet Test(4, 22);
  const auto Crowd = [&] {
    for (double &Share : Test.m_Share)
      Share = Test.random(2) == 0 ? 0.3 : 0.8;
  };
  Test.m_Falsify = [&](const Stream &Call, double Us) {
    return Call.m_Engine < 10 && Test.m_Share[Call.m_Engine] > 0.5 ? 2 * Us
                                                                   : Us;
  };
  for (int I = 0; I < 24; ++I) {
    Crowd();
    Test.run(250ms);
  }
  // By whether the engine slows down.
  std::array<int, 2> Right{};
  std::array<int, 2> All{};
  for (const auto &Member : Test.m_Fleet.m_Instances)
    for (int I = 0; I < EngineCount; ++I) {
      const double Usable = SpeedFleet::speedsOf(*Member).usableShareOf(
          Test.m_Engines[I].m_Id, Test.m_Fleet.m_Clock.now());
      const bool SlowsDown = I < 10;
      ++All.at(SlowsDown ? 1 : 0);
      Right.at(SlowsDown ? 1 : 0) +=
          (SlowsDown ? Usable < 0.75 : Usable > 0.9) ? 1 : 0;
    }
  BOOST_TEST_MESSAGE("right usable shares: " << Right[0] << " of " << All[0]
                                             << ", of those that slow down "
                                             << Right[1] << " of " << All[1]);
  BOOST_TEST(Right[0] > 0.99 * All[0]);
  BOOST_TEST(Right[1] > 0.7 * All[1]);
}

/// Guards against traffic that grows with the fleet: bytes a second on a link.
BOOST_AUTO_TEST_CASE(a_link_carries_less_than_1_kb_a_second) {
  for (const auto &[Zones, InZone] : Sizes) {
    SpeedFleet Test(Zones, InZone);
    const auto Size = [&] {
      std::map<link::LinkId, std::uint64_t> Result;
      for (const auto &[Id, End] : Test.m_Fleet.m_Net.m_LinkEnds)
        Result[Id] = End.m_Bytes;
      return Result;
    };
    Test.m_Fleet.run(5s);
    const auto Idle = Size();
    Test.m_Fleet.run(5s);
    const auto Before = Size();
    Test.run(5s);
    std::uint64_t Max = 0;
    for (const auto &[Id, Bytes] : Size())
      Max = std::max(Max,
                     (Bytes - Before.at(Id)) - (Before.at(Id) - Idle.at(Id)));
    BOOST_TEST_MESSAGE(Zones * InZone << " instances: " << Max / 5
                                      << " bytes a second");
    BOOST_TEST(Max / 5 < 1024U);
  }
}
