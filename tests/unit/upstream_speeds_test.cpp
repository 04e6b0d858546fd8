/// Learning of upstreams' speeds at one instance.
#define BOOST_TEST_MODULE upstream_speeds
#include "balance/balancer.h"
#include "gateway/digest_codec.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace crowstep;
using namespace crowstep::speed;
using namespace std::chrono_literals;

namespace {

constexpr const char *Service = "writer";

PoolId pool() { return poolIdOf(Service, 0); }

std::string nameOf(int Number) { return "e" + std::to_string(Number); }

UpstreamId idOf(int Number) { return upstreamIdOf(nameOf(Number)); }

std::vector<Upstream> engines(int Count) {
  std::vector<Upstream> Result;
  Result.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Result.push_back(
        {idOf(I), nameOf(I), Service, {1, 1}, {"a"}, Engine{16}, false});
  return Result;
}

/// One instance that gets all samples of a service.
struct Learner {
  explicit Learner(int Count, LearnSpeed Mode = LearnSpeed::Always)
      : m_Count(Count) {
    m_Speeds.setMode(Mode);
    m_Speeds.setUpstreams(engines(Count));
  }

  /// Adds a sample whose time differs by up to a tenth.
  void add(int Engine, double Us, double LoadShare, bool IsPrefilling) {
    const double Noise =
        std::uniform_real_distribution<>(0.9, 1.1)(m_Random); // NOLINT
    m_Speeds.addSample({idOf(Engine), pool(),
                        Duration(std::llround(Us * Noise)), LoadShare,
                        IsPrefilling},
                       m_Now);
  }

  /// Adds 20 samples a second for each engine; \p Add gets the engine.
  template <typename Function> void run(Duration Span, Function Add) {
    for (const TimePoint End = m_Now + Span; m_Now < End; m_Now += 50ms)
      for (int I = 0; I < m_Count; ++I)
        Add(I);
  }

  [[nodiscard]] double speedOf(int Engine) const {
    return m_Speeds.speedOf(idOf(Engine), m_Now);
  }
  [[nodiscard]] double slowdownOf(int Engine) const {
    return m_Speeds.machineSlowdownOf(idOf(Engine), m_Now);
  }

  int m_Count;
  UpstreamSpeeds m_Speeds;
  TimePoint m_Now{1s};
  std::mt19937 m_Random{7}; // NOLINT
};

} // namespace

BOOST_AUTO_TEST_SUITE(speeds, *boost::unit_test::tolerance(0.15))

/// Guards against speeds that are learned where nobody asked for it.
BOOST_AUTO_TEST_CASE(nothing_is_learned_without_a_statement) {
  Learner At(4, LearnSpeed::Stated);
  At.run(5s, [&](int I) { At.add(I, I == 0 ? 9000 : 4000, 0.2, false); });
  BOOST_TEST(!At.m_Speeds.isActive(pool()));
  BOOST_TEST((At.speedOf(0) == 1));
  BOOST_TEST(At.m_Speeds.takeUpdates(At.m_Now).empty());
  At.m_Speeds.applyUpdates({UpstreamSpeedUpdate{idOf(0), false, 60, 60},
                            ServiceSpeedUpdate{pool(), 1, 60, 480},
                            MachinePaceUpdate{idOf(0), 250, 301ms}},
                           At.m_Now);
  BOOST_TEST(!At.m_Speeds.isActive(pool()));
  BOOST_TEST(At.m_Speeds.snapshot(At.m_Now).empty());
}

/// Guards against a setting that does not switch learning off.
BOOST_AUTO_TEST_CASE(never_means_never) {
  Learner At(4, LearnSpeed::Never);
  At.m_Speeds.recordMachinePace(idOf(0), pool(), 400, At.m_Now);
  At.m_Speeds.applyUpdates({MachinePaceUpdate{idOf(1), 400, 0ms}}, At.m_Now);
  BOOST_TEST(At.m_Speeds.takeUpdates(At.m_Now).empty());
  BOOST_TEST(At.m_Speeds.counts(At.m_Now).m_Updates == 0U);
  At.run(5s, [&](int I) { At.add(I, I == 0 ? 9000 : 4000, 0.2, false); });
  BOOST_TEST(!At.m_Speeds.isActive(pool()));
  BOOST_TEST((At.slowdownOf(0) == 1));
  BOOST_TEST(At.m_Speeds.takeUpdates(At.m_Now).empty());
}

/// Guards against a service in which learning waits for each instance's own
/// calls.
BOOST_AUTO_TEST_CASE(a_statement_that_another_instance_passed_on_counts) {
  Learner At(4, LearnSpeed::Stated);
  At.m_Speeds.applyUpdates({MachinePaceUpdate{idOf(1), 250, 100ms}}, At.m_Now);
  BOOST_TEST(At.m_Speeds.isActive(pool()));
  BOOST_TEST(At.slowdownOf(1) == 2.5);
  At.m_Now += 200ms;
  BOOST_TEST(At.slowdownOf(1) == 2.5);
  At.m_Now += 1ms;
  BOOST_TEST((At.slowdownOf(1) == 1));
}

/// Guards against a figure that is used after the machine has changed.
BOOST_AUTO_TEST_CASE(a_statement_holds_for_300_ms) {
  Learner At(4, LearnSpeed::Stated);
  At.m_Speeds.recordMachinePace(idOf(0), pool(), 250, At.m_Now);
  At.m_Now += 300ms;
  BOOST_TEST(At.slowdownOf(0) == 2.5);
  At.m_Now += 1ms;
  BOOST_TEST((At.slowdownOf(0) == 1));
}

/// Guards against figures that no machine has.
BOOST_AUTO_TEST_CASE(statements_out_of_range_are_ignored) {
  Learner At(4, LearnSpeed::Stated);
  for (const std::uint32_t Percent : {0U, 9U, 10'001U, 4'000'000'000U}) {
    At.m_Speeds.recordMachinePace(idOf(0), pool(), Percent, At.m_Now);
    At.m_Speeds.applyUpdates({MachinePaceUpdate{idOf(0), Percent, 0ms}},
                             At.m_Now);
  }
  BOOST_TEST(!At.m_Speeds.isActive(pool()));
  BOOST_TEST((At.slowdownOf(0) == 1));
}

/// Guards against statements that each are passed on, and against receivers
/// that count a machine as slow after it has recovered.
BOOST_AUTO_TEST_CASE(paces_are_passed_on_while_they_matter) {
  Learner At(4, LearnSpeed::Stated);
  const auto IsPassedOn = [&](std::uint32_t Percent, Duration Later) {
    At.m_Now += Later;
    At.m_Speeds.recordMachinePace(idOf(0), pool(), Percent, At.m_Now);
    const auto Updates = At.m_Speeds.takeUpdates(At.m_Now);
    return std::ranges::any_of(Updates, [&](const SpeedUpdate &Update) {
      const auto *Pace = std::get_if<MachinePaceUpdate>(&Update);
      return Pace != nullptr && Pace->m_Percent == Percent;
    });
  };
  BOOST_TEST(IsPassedOn(100, 0s)); // The first one starts learning.
  BOOST_TEST(!IsPassedOn(101, 1s));
  BOOST_TEST(IsPassedOn(250, 1s));
  BOOST_TEST(IsPassedOn(102, MachinePaces::Lifetime));
  BOOST_TEST(!IsPassedOn(103, 100ms));
  BOOST_TEST(IsPassedOn(251, 1s));
  BOOST_TEST(!IsPassedOn(104, 1s)); // Receivers have dropped it.
}

/// Guards against statements that are used after they are old, or out of order,
/// and against those about upstreams that are not listed.
BOOST_AUTO_TEST_CASE(old_paces_are_ignored) {
  Learner At(4);
  At.m_Now = TimePoint(100s);
  At.m_Speeds.recordMachinePace(idOf(0), pool(), 300, At.m_Now);
  At.m_Speeds.applyUpdates({MachinePaceUpdate{idOf(0), 100, 100ms},
                            MachinePaceUpdate{idOf(1), 300, 301ms},
                            MachinePaceUpdate{idOf(2), 300, -1s},
                            UpstreamSpeedUpdate{idOf(9), false, 60, 60},
                            MachinePaceUpdate{idOf(9), 300, 0ms}},
                           At.m_Now);
  BOOST_TEST((At.speedOf(9) == 1));
  BOOST_TEST(At.slowdownOf(0) == 3);
  BOOST_TEST((At.slowdownOf(1) == 1));
  BOOST_TEST((At.slowdownOf(2) == 1));
  At.m_Speeds.setUpstreams(engines(10));
  BOOST_TEST((At.slowdownOf(9) == 1));
  // A linked instance gets no statement that it would drop.
  At.m_Now += 301ms;
  for (const SpeedUpdate &Update : At.m_Speeds.snapshot(At.m_Now))
    BOOST_TEST(!std::holds_alternative<MachinePaceUpdate>(Update));
  // A pause in the statements counts as the usual pace.
  At.m_Now += 20s;
  At.m_Speeds.recordMachinePace(idOf(0), pool(), 300, At.m_Now);
  BOOST_TEST(At.slowdownOf(0) == 3);
}

/// Guards against what is kept of upstreams and services that were removed.
BOOST_AUTO_TEST_CASE(removed_upstreams_are_forgotten) {
  Learner At(9, LearnSpeed::Stated);
  At.m_Speeds.recordMachinePace(idOf(0), pool(), 300, At.m_Now);
  At.run(10s, [&](int I) { At.add(I, I == 0 ? 16000 : 4000, 0.3, false); });
  At.m_Speeds.recordMachinePace(idOf(0), pool(), 300, At.m_Now);
  auto Others = engines(9);
  Others.erase(Others.begin());
  At.m_Speeds.setUpstreams(Others);
  At.m_Speeds.setUpstreams(engines(9));
  BOOST_TEST((At.speedOf(0) > 0.7));
  BOOST_TEST((At.slowdownOf(0) == 1));
  At.m_Speeds.setUpstreams({});
  BOOST_TEST(!At.m_Speeds.isActive(pool()));
}

/// Guards against one sample that spoils a service, and against samples of
/// another service's upstreams.
BOOST_AUTO_TEST_CASE(impossible_samples_are_ignored_or_bounded) {
  Learner At(9);
  At.m_Speeds.addSample({idOf(0), pool(), 0us, 0.3, false}, At.m_Now);
  At.m_Speeds.addSample({idOf(0), pool(), -1s, 0.3, false}, At.m_Now);
  At.m_Speeds.addSample({idOf(0), poolIdOf("other", 0), 4ms, 0.3, false},
                        At.m_Now);
  BOOST_TEST(At.m_Speeds.counts(At.m_Now).m_Samples == 0U);
  At.run(5s, [&](int I) { At.add(I, 4000, 0.3, false); });
  At.m_Now += 1s;
  At.m_Speeds.takeUpdates(At.m_Now);
  At.m_Now += 1s;
  At.add(0, 4e9, 0.3, false);
  At.m_Now += 1s;
  for (const SpeedUpdate &Update : At.m_Speeds.takeUpdates(At.m_Now))
    if (const auto *Sum = std::get_if<UpstreamSpeedUpdate>(&Update))
      BOOST_TEST((Sum->m_LogSum <= Sum->m_Samples * 2.1)); // ln(8) and noise.
  // A load share outside of 0 to 1 is one of the four quarters.
  BOOST_TEST(stateOf({idOf(0), pool(), 4ms, 7, false}) == 3);
  BOOST_TEST(stateOf({idOf(0), pool(), 4ms, -7, true}) == 4);
}

/// Guards against speeds that leave an upstream without calls, or with all.
BOOST_AUTO_TEST_CASE(speeds_are_bounded) {
  Learner At(9);
  At.run(10s, [&](int I) {
    At.add(I, I == 0 ? 100'000 : (I == 1 ? 200 : 4000), 0.3, false);
  });
  BOOST_TEST((At.speedOf(0) == 0.25));
  BOOST_TEST((At.speedOf(1) == 4));
}

/// Guards against a machine that stays slow and counts in its speed and in its
/// slowdown.
BOOST_AUTO_TEST_CASE(a_machine_that_stays_slow_counts_once) {
  Learner At(8);
  At.run(10s, [&](int I) {
    At.m_Speeds.recordMachinePace(idOf(I), pool(), I == 0 ? 300 : 100,
                                  At.m_Now);
    At.add(I, I == 0 ? 12000 : 4000, 0.2, false);
  });
  BOOST_TEST(At.slowdownOf(0) / At.speedOf(0) * At.speedOf(1) == 3);
}

/// Guards against a class that follows noise.
BOOST_AUTO_TEST_CASE(equal_upstreams_stay_equal) {
  Learner At(9);
  At.run(60s, [&](int I) { At.add(I, 4000, 0.1 * I, I % 2 == 0); });
  for (int I = 0; I < 9; ++I)
    BOOST_TEST(At.speedOf(I) == 1);
  BOOST_TEST(At.m_Speeds.takeClassChanges().empty());
}

/// Guards against estimates that miss what the second deployment has: a quarter
/// of the engines takes 0.55 of the usual time, the others 1.2.
BOOST_AUTO_TEST_CASE(fast_and_slow_ones_are_told_apart) {
  Learner At(16);
  At.run(5s, [&](int I) { At.add(I, I % 4 == 0 ? 3085 : 6732, 0.3, true); });
  double Sum = 0;
  for (int I = 0; I < 16; ++I) {
    Sum += At.speedOf(I) / 16;
    BOOST_TEST(At.speedOf(I) == (I % 4 == 0 ? 1.72 : 0.79));
    BOOST_TEST(At.m_Speeds.speedClassOf(idOf(I)) == (I % 4 == 0 ? 1 : 0));
  }
  BOOST_TEST(Sum == 1);
}

/// Guards against a change that is followed too late: its class after 3 s.
BOOST_AUTO_TEST_CASE(a_change_by_two_is_followed_within_3_s) {
  for (const double Factor : {0.5, 2.0}) {
    Learner At(9);
    At.run(10s, [&](int I) { At.add(I, 4000, 0.3, false); });
    At.run(3s, [&](int I) {
      At.add(I, I == 0 ? 4000 / Factor : 4000, 0.3, false);
    });
    BOOST_TEST((std::abs(std::log(At.speedOf(0) / At.speedOf(1) / Factor)) <
                std::abs(std::log(Factor)) * 0.35));
    BOOST_TEST(At.m_Speeds.speedClassOf(idOf(0)) * (Factor - 1) > 0);
  }
}

/// Guards against an upstream that was slow once and gets no calls ever after.
BOOST_AUTO_TEST_CASE(one_without_calls_returns_to_the_mean_within_10_s) {
  Learner At(9);
  At.run(10s, [&](int I) { At.add(I, I == 0 ? 16000 : 4000, 0.3, false); });
  BOOST_TEST(At.m_Speeds.speedClassOf(idOf(0)) <= -2);
  At.run(10s, [&](int I) {
    if (I != 0)
      At.add(I, 4000, 0.3, false);
  });
  BOOST_TEST((At.speedOf(0) > 0.8));
  BOOST_TEST(At.m_Speeds.speedClassOf(idOf(0)) == 0);
}

/// Guards against one outlier that decides about an upstream with few calls.
BOOST_AUTO_TEST_CASE(few_samples_change_little) {
  Learner At(9);
  At.run(10s, [&](int I) {
    if (I != 0)
      At.add(I, 4000, 0.3, false);
  });
  At.add(0, 4e6, 0.3, false);
  BOOST_TEST((At.speedOf(0) > 0.6));
  BOOST_TEST(At.m_Speeds.counts(At.m_Now).m_Outliers == 1U);
}

/// Guards against fast upstreams that pass for equal ones because they all do
/// one kind of work, and only now and then the other.
BOOST_AUTO_TEST_CASE(kinds_of_work_are_not_taken_for_speeds) {
  Learner At(12);
  int Round = 0;
  // Work with prefill takes 3 times as long.
  At.run(30s, [&](int I) {
    const bool IsFast = I % 3 == 0;
    const bool IsPrefilling = (Round++ % 10 == 0) == IsFast;
    At.add(I, (IsPrefilling ? 12000 : 4000) / (IsFast ? 2.0 : 1.0),
           IsPrefilling ? 0.6 : 0.1, IsPrefilling);
  });
  BOOST_TEST(At.speedOf(0) / At.speedOf(1) == 2);
}

/// Guards against speeds that fade while the upstreams' kinds of work don't
/// overlap at all.
BOOST_AUTO_TEST_CASE(speeds_last_while_kinds_of_work_are_apart) {
  Learner At(12);
  const auto Add = [&](int I, bool IsPrefilling) {
    At.add(I, (IsPrefilling ? 12000 : 4000) / (I % 3 == 0 ? 2.0 : 1.0),
           IsPrefilling ? 0.6 : 0.1, IsPrefilling);
  };
  int Round = 0;
  At.run(10s, [&](int I) { Add(I, Round++ % 2 == 0); });
  At.run(60s, [&](int I) { Add(I, I % 3 != 0); });
  BOOST_TEST((At.speedOf(0) / At.speedOf(1) > 1.6));
}

/// Guards against a service in which all upstreams count as slow.
BOOST_AUTO_TEST_CASE(if_all_are_slow_none_is) {
  Learner At(9);
  At.run(10s, [&](int I) { At.add(I, 4000, 0.3, false); });
  At.run(10s, [&](int I) {
    At.add(I, 24000, 0.3, false);
    BOOST_TEST((At.speedOf(I) > 0.8 && At.speedOf(I) < 1.25));
  });
  BOOST_TEST(At.m_Speeds.takeClassChanges().empty());
}

/// Guards against an upstream that gets more calls than it can run at full
/// speed, and against others that get fewer.
BOOST_AUTO_TEST_CASE(slots_that_slow_an_upstream_down_are_not_usable) {
  Learner At(8);
  int Round = 0;
  At.run(10s, [&](int I) {
    const bool IsCrowded = Round++ % 3 == 0;
    At.add(I, 4000 * (IsCrowded ? 1.3 : 1) * (IsCrowded && I == 0 ? 2 : 1),
           IsCrowded ? 0.8 : 0.3, false);
  });
  BOOST_TEST((At.m_Speeds.usableShareOf(idOf(0), At.m_Now) < 0.65));
  BOOST_TEST((At.m_Speeds.usableShareOf(idOf(1), At.m_Now) == 1));
  // Half of the slots remain usable.
  At.run(10s, [&](int I) {
    const bool IsCrowded = Round++ % 3 == 0;
    At.add(I, 4000 * (IsCrowded && I == 0 ? 7 : 1), IsCrowded ? 0.8 : 0.3,
           false);
  });
  BOOST_TEST((At.m_Speeds.usableShareOf(idOf(0), At.m_Now) == 0.5));
  // Without calls in the upper half it is tried again.
  At.run(10s, [&](int I) { At.add(I, 4000, 0.3, false); });
  BOOST_TEST((At.m_Speeds.usableShareOf(idOf(0), At.m_Now) == 1));
}

/// Guards against a restarted upstream that is taken for its predecessor.
BOOST_AUTO_TEST_CASE(a_new_process_begins_at_the_mean) {
  Learner At(9);
  At.run(10s, [&](int I) { At.add(I, I == 0 ? 16000 : 4000, 0.3, false); });
  auto List = engines(9);
  At.m_Speeds.setUpstreams(List);
  BOOST_TEST((At.speedOf(0) < 0.4));
  List[0].m_StartTime = 5ms;
  At.m_Speeds.setUpstreams(List);
  BOOST_TEST((At.speedOf(0) > 0.7));
  At.run(10s, [&](int I) { At.add(I, I == 0 ? 16000 : 4000, 0.3, false); });
  List[0].m_Service = "other";
  At.m_Speeds.setUpstreams(List);
  BOOST_TEST((At.speedOf(0) > 0.7));
}

/// Guards against updates that are lost because the list is read later, and
/// against those about upstreams that never come.
BOOST_AUTO_TEST_CASE(updates_about_unlisted_upstreams_are_kept_for_3_s) {
  for (const Duration Delay : {1s, 4s}) {
    Learner At(9);
    At.m_Speeds.applyUpdates(
        {UpstreamSpeedUpdate{idOf(9), false, 60, 60 * std::log(4)}}, At.m_Now);
    At.m_Now += Delay;
    At.m_Speeds.takeUpdates(At.m_Now);
    At.m_Speeds.setUpstreams(engines(10));
    BOOST_TEST((At.speedOf(9) < 0.5) == (Delay == 1s));
  }
}

/// Guards against an instance that starts with nothing.
BOOST_AUTO_TEST_CASE(a_linked_instance_knows_what_the_other_knows) {
  Learner At(9);
  At.run(10s, [&](int I) { At.add(I, I < 3 ? 8000 : 4000, 0.3, false); });
  Learner Started(9);
  Started.m_Now = At.m_Now;
  Started.m_Speeds.applyUpdates(At.m_Speeds.snapshot(At.m_Now), At.m_Now);
  Started.m_Now += 200ms;
  Started.m_Speeds.takeUpdates(Started.m_Now);
  for (int I = 0; I < 9; ++I)
    BOOST_TEST(Started.speedOf(I) == At.speedOf(I));
}

/// Guards against absurd updates that spoil a service, or crash an instance.
BOOST_AUTO_TEST_CASE(implausible_updates_change_one_upstream_at_most) {
  Learner At(9);
  const double Huge = 1e300;
  const auto Max = std::numeric_limits<std::uint32_t>::max();
  At.run(20s, [&](int I) {
    At.add(I, 4000, 0.3, false);
    if (I == 0)
      At.m_Speeds.applyUpdates(
          {UpstreamSpeedUpdate{idOf(0), false, Max, Huge},
           UpstreamSpeedUpdate{idOf(1), false, 0, 5},
           UpstreamSpeedUpdate{idOf(1), false, 3, std::nan("")},
           ServiceSpeedUpdate{pool(), 1, 0, 5},
           ServiceSpeedUpdate{pool(), 1, 3, std::nan("")},
           ServiceSpeedUpdate{pool(), 1, 1, Huge},
           ServiceSpeedUpdate{pool(), 1, 5, -Huge},
           ServiceSpeedUpdate{pool(), 200, 5, 8},
           MachinePaceUpdate{idOf(1), 50'000, 0ms},
           MachinePaceUpdate{idOf(1), 400, -5s}},
          At.m_Now);
  });
  BOOST_TEST((At.speedOf(0) < 0.6));
  for (int I = 1; I < 9; ++I)
    BOOST_TEST((std::abs(At.speedOf(I) / At.speedOf(1) - 1) < 0.1));
  BOOST_TEST(At.speedOf(1) == 1.1);
}

/// Guards against a false number or sum that outweighs the samples of all
/// others for long.
BOOST_AUTO_TEST_CASE(implausible_updates_are_soon_outweighed) {
  const auto Max = std::numeric_limits<std::uint32_t>::max();
  for (const SpeedUpdate &False :
       {SpeedUpdate(UpstreamSpeedUpdate{idOf(0), false, Max, Max * 1.4}),
        SpeedUpdate(UpstreamSpeedUpdate{idOf(0), false, 10, 1e12}),
        SpeedUpdate(ServiceSpeedUpdate{pool(), 1, Max, Max * 10.0})}) {
    Learner At(9);
    int Round = 0;
    const auto Add = [&](int I) {
      At.add(I, 4000, I > 0 && Round++ % 3 == 0 ? 0.3 : 0.1, false);
    };
    At.run(20s, Add);
    At.m_Speeds.applyUpdates({False}, At.m_Now);
    At.run(30s, Add);
    for (int I = 0; I < 9; ++I)
      BOOST_TEST((std::abs(At.speedOf(I) - 1) < 0.25));
  }
}

/// Guards against memory that grows with what other instances name, and against
/// updates about a service that come before its list.
BOOST_AUTO_TEST_CASE(unlisted_names_are_bounded) {
  constexpr int Named = 5000;
  Learner At(0);
  std::vector<SpeedUpdate> Updates;
  Updates.reserve(Named + 100);
  for (int I = 0; I < Named; ++I)
    Updates.emplace_back(UpstreamSpeedUpdate{idOf(I), false, 60, 90});
  for (int I = 0; I < 100; ++I)
    Updates.emplace_back(ServiceSpeedUpdate{PoolId(I + 1), 1, 60, 480});
  At.m_Speeds.applyUpdates(Updates, At.m_Now);
  BOOST_TEST(At.m_Speeds.snapshot(At.m_Now).size() == 64U);
  At.m_Now += 1s;
  At.m_Speeds.takeUpdates(At.m_Now);
  At.m_Speeds.setUpstreams(engines(Named));
  BOOST_TEST((At.speedOf(Named - 1) > 2 * At.speedOf(0)));
  At.m_Now += 4s;
  At.m_Speeds.takeUpdates(At.m_Now);
  for (const SpeedUpdate &Update : At.m_Speeds.snapshot(At.m_Now))
    BOOST_TEST(!std::holds_alternative<ServiceSpeedUpdate>(Update));
  Learner Early(0);
  Early.m_Speeds.applyUpdates({ServiceSpeedUpdate{pool(), 1, 60, 480}},
                              Early.m_Now);
  Early.m_Now += 1s;
  Early.m_Speeds.takeUpdates(Early.m_Now);
  Early.m_Speeds.setUpstreams(engines(3));
  BOOST_TEST((Early.speedOf(0) == 1));
}

/// Guards against memory that grows with changes that nobody takes.
BOOST_AUTO_TEST_CASE(class_changes_are_bounded) {
  constexpr int Count = 2000;
  Learner At(Count);
  for (int Round = 0; Round < 10; ++Round) {
    std::vector<SpeedUpdate> Updates;
    Updates.reserve(Count);
    for (int I = 0; I < Count; ++I)
      Updates.emplace_back(UpstreamSpeedUpdate{
          idOf(I), false, 100, I % 2 == Round % 2 ? 140.0 : -140.0});
    At.m_Speeds.applyUpdates(Updates, At.m_Now);
    At.m_Now += 1s;
    At.m_Speeds.takeUpdates(At.m_Now);
    At.m_Now += 5s;
  }
  BOOST_TEST(At.m_Speeds.takeClassChanges().size() == 10'000U);
}

/// Guards against a first sample that is compared with itself or with another
/// upstream's only.
BOOST_AUTO_TEST_CASE(a_baseline_needs_samples) {
  Learner At(2);
  At.add(0, 4000, 0.3, false);
  At.add(1, 16000, 0.3, false);
  BOOST_TEST((At.speedOf(1) == 1));
}

/// Guards against an upstream with many calls that counts as slow for longer
/// than others after its last one.
BOOST_AUTO_TEST_CASE(many_calls_are_forgotten_as_soon_as_few) {
  Learner At(9);
  At.run(10s, [&](int I) {
    for (int Times = 0; Times < (I == 0 ? 50 : 1); ++Times)
      At.add(I, I == 0 ? 16000 : 4000, 0.3, false);
  });
  At.run(10s, [&](int I) {
    if (I != 0)
      At.add(I, 4000, 0.3, false);
  });
  BOOST_TEST((At.speedOf(0) > 0.8));
}

/// Guards against an instance that sends more than 1 KB a second about 90
/// engines, with the most calls that one of 9 instances has.
BOOST_AUTO_TEST_CASE(updates_take_less_than_1_kb_a_second) {
  Learner At(90);
  std::mt19937 Random(3); // NOLINT
  const auto Draw = [&](unsigned Count) {
    return static_cast<int>(Random() % Count);
  };
  std::size_t Bytes = 0;
  constexpr int Seconds = 60;
  const auto Pack = [](std::vector<SpeedUpdate> Updates) {
    balance::LoadDigest Digest;
    Digest.m_Speeds = std::move(Updates);
    wire::FrameT Frame;
    gateway::packDigest(Digest, Frame.digest);
    flatbuffers::FlatBufferBuilder Builder;
    Builder.Finish(wire::Frame::Pack(Builder, &Frame));
    return Builder.GetSize();
  };
  for (int Tick = 0; Tick < Seconds * 10; ++Tick) {
    for (int I = 0; I < 21; ++I) {
      const auto Engine = Draw(90);
      At.add(Engine, 3000 + 1000.0 * Draw(9), 0.01 * Draw(100), Draw(2) == 0);
      At.m_Speeds.recordMachinePace(idOf(Engine), pool(),
                                    static_cast<std::uint32_t>(50 + Draw(300)),
                                    At.m_Now);
    }
    Bytes += Pack(At.m_Speeds.takeUpdates(At.m_Now)) - Pack({});
    At.m_Now += 100ms;
  }
  BOOST_TEST_MESSAGE("bytes a second: " << Bytes / Seconds);
  BOOST_TEST(Bytes / Seconds < 1000U);
  BOOST_TEST(Bytes / Seconds > 300U);
}

/// Guards against an instance that names upstreams without end, at a hub that
/// passes on what it gets.
BOOST_AUTO_TEST_CASE(sums_of_unknown_upstreams_are_bounded) {
  SpeedSums Sums(SpeedSums::ZoneSumLimit);
  TimePoint Now(1s);
  for (std::uint64_t I = 0; I < 100'000; ++I)
    Sums.add(UpstreamSpeedUpdate{UpstreamId(I), false, 1, 0.5}, Now);
  std::size_t Taken = 0;
  for (int I = 0; I < 9; ++I) {
    Taken += Sums.take(Now).size();
    Now += 1s;
  }
  BOOST_TEST(Taken > 1000U);
  BOOST_TEST(Taken <= 16'384U);
  Now += 11s;
  Sums.take(Now);
  Sums.add(UpstreamSpeedUpdate{UpstreamId(1'000'000), false, 1, 0.5}, Now);
  Now += 1s;
  BOOST_TEST(Sums.take(Now).size() >= 1U);
}

/// Guards against weights that grow by samples which come out of order.
BOOST_AUTO_TEST_CASE(an_earlier_sample_counts_as_one) {
  DecayedSum Sum;
  Sum.add(1, 1, TimePoint(10s), 2s);
  Sum.add(1, 1, TimePoint(5s), 2s);
  BOOST_TEST(Sum.weight(TimePoint(10s), 2s) == 2);
  BOOST_TEST((Sum.lastSampleAt() == TimePoint(10s)));
}

/// Guards against a burst of what was not sent for long, and against a fleet
/// with more upstreams in which each waits for longer.
BOOST_AUTO_TEST_CASE(a_second_of_the_limit_may_be_sent_at_once) {
  SpeedSums Sums(SpeedSums::OwnLimit);
  TimePoint Now(1s);
  for (int I = 0; I < 100; ++I) {
    Sums.add(UpstreamSpeedUpdate{UpstreamId(1), false, 1, 0.5}, Now);
    Sums.take(Now);
    Now += 1s;
  }
  for (std::uint64_t I = 0; I < 1000; ++I)
    Sums.add(UpstreamSpeedUpdate{UpstreamId(I), false, 1, 0.5}, Now);
  const std::size_t Taken = Sums.take(Now).size();
  BOOST_TEST(Taken <= 630U);
  BOOST_TEST(Taken >= 550U);
}

/// Guards against changes that wait behind what is known, and against sums that
/// are lost while they wait.
BOOST_AUTO_TEST_CASE(what_differs_most_is_sent_first) {
  SpeedSums Sums(SpeedSums::OwnLimit);
  TimePoint Now(1s);
  for (std::uint64_t I = 0; I < 200; ++I)
    Sums.add(
        UpstreamSpeedUpdate{UpstreamId(I), false, 1, I == 199 ? -2.0 : 0.0},
        Now);
  const auto First = Sums.take(Now);
  BOOST_TEST(First.size() < 200U);
  BOOST_REQUIRE(!First.empty());
  BOOST_TEST(
      (std::get<UpstreamSpeedUpdate>(First[0]).m_Upstream == UpstreamId(199)));
  std::size_t Taken = First.size();
  for (int I = 0; I < 2; ++I) {
    Now += 11s;
    Taken += Sums.take(Now).size();
  }
  BOOST_TEST(Taken == 200U);
}

/// Guards against a statement that an older one replaces, and against old ones
/// and those about fast machines that take the place of others.
BOOST_AUTO_TEST_CASE(the_slowest_machines_are_sent_first) {
  SpeedSums Sums(SpeedSums::OwnLimit);
  TimePoint Now(1s);
  for (std::uint64_t I = 0; I < 200; ++I)
    Sums.add(MachinePaceUpdate{UpstreamId(I), I == 199 ? 300U : 30U, 0ms}, Now);
  Sums.add(MachinePaceUpdate{UpstreamId(199), 100, 200ms}, Now);
  const auto First = Sums.take(Now);
  BOOST_REQUIRE(!First.empty());
  BOOST_TEST((std::get<MachinePaceUpdate>(First[0]).m_Percent == 300U));
  BOOST_TEST(First.size() < SpeedSums::OwnLimit / 8 / 2);
  BOOST_TEST(Sums.take(Now + 301ms).empty());
}

/// Guards against events that arrive together, which look like a fast engine.
BOOST_AUTO_TEST_CASE(events_that_arrive_together_share_their_time) {
  EventIntervals Intervals;
  TimePoint Now(1s);
  std::vector<Duration> Samples;
  // Two events every 8 ms: the engine writes one each 4 ms.
  for (int I = 0; I < 100; ++I) {
    for (int Twice = 0; Twice < 2; ++Twice)
      if (const auto Sample = Intervals.recordEvent(Now))
        Samples.push_back(*Sample);
    Now += 8ms;
  }
  BOOST_TEST(Samples.size() >= 20U);
  for (const Duration Sample : Samples)
    BOOST_TEST((Sample == 4ms));
}

/// Guards against prefill between two events, which looks like a slow engine.
BOOST_AUTO_TEST_CASE(the_shortest_interval_counts) {
  EventIntervals Intervals;
  TimePoint Now(1s);
  for (int I = 0; I < 200; ++I) {
    if (const auto Sample = Intervals.recordEvent(Now))
      BOOST_TEST((*Sample == 4ms));
    Now += I % 3 == 0 ? 80ms : 4ms;
  }
}

/// Guards against events from a buffer, which are as fast as the network.
BOOST_AUTO_TEST_CASE(buffered_events_give_no_sample) {
  EventIntervals Intervals;
  TimePoint Now(1s);
  for (int I = 0; I < 100; ++I) {
    for (int Many = 0; Many < 20; ++Many)
      BOOST_TEST(!Intervals.recordEvent(Now).has_value());
    Now += 1ms;
  }
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

using namespace crowstep::balance;

/// A balancer that gets streams or plain calls; every upstream states its pace.
struct Fed {
  explicit Fed(const std::vector<Upstream> &List) { m_At.setUpstreams(List); }

  /// Runs one call, with events \p Step apart or of that length.
  void call(bool IsPlain, const std::function<Duration(UpstreamId)> &Step,
            std::optional<std::uint32_t> Pace) {
    PlacementQuery Query;
    Query.m_Service = Service;
    Query.m_LatencyTarget = 5s;
    if (!IsPlain)
      Query.m_Prompt = {{}, 100, 34, 34};
    const auto Result = m_At.place(Query, m_Now);
    const auto &Call = std::get<Placed>(Result);
    LoadReport Report = {1, 0, 16, Pace};
    if (!IsPlain) {
      m_At.recordLoadReport(Call.m_Ticket, Report, m_Now);
      m_At.recordFirstEvent(Call.m_Ticket, m_Now);
      for (int I = 0; I < 34; ++I) {
        m_At.recordEvent(Call.m_Ticket, m_Now);
        m_Now += Step(Call.m_Upstream);
      }
    } else {
      m_Now += Step(Call.m_Upstream);
      m_At.recordLoadReport(Call.m_Ticket, Report, m_Now);
    }
    m_At.recordCallEnd(Call.m_Ticket, CallOutcome::Served, m_Now);
  }

  Balancer m_At{{"a"}};
  TimePoint m_Now{1s};
};

Duration slowFirst(UpstreamId Id) { return Id == idOf(0) ? 8ms : 4ms; }

} // namespace

/// Guards against streams whose events are not counted.
BOOST_AUTO_TEST_CASE(streams_give_a_sample_for_each_eight_events) {
  Fed Calls(engines(2));
  for (int I = 0; I < 10; ++I)
    Calls.call(false, slowFirst, 100);
  BOOST_TEST(Calls.m_At.speeds().counts(Calls.m_Now).m_Samples == 40U);
}

/// Guards against plain calls that are not counted.
BOOST_AUTO_TEST_CASE(plain_calls_give_a_sample_each) {
  auto List = engines(2);
  for (Upstream &Listed : List)
    Listed.m_Kind = PlainService{6};
  Fed Calls(List);
  for (int I = 0; I < 10; ++I)
    Calls.call(true, slowFirst, 100);
  // The first statement arrives with the first answer.
  BOOST_TEST(Calls.m_At.speeds().counts(Calls.m_Now).m_Samples == 10U);
}

/// Guards against digests that change where no upstream states its pace.
BOOST_AUTO_TEST_CASE(digests_stay_as_they_are_without_a_statement) {
  Fed Calls(engines(2));
  for (int I = 0; I < 10; ++I)
    Calls.call(false, slowFirst, std::nullopt);
  BOOST_TEST(Calls.m_At.takeDigest(Calls.m_Now).m_Speeds.empty());
  BOOST_TEST(Calls.m_At.fullDigest(Calls.m_Now).m_Speeds.empty());
  BOOST_TEST(Calls.m_At.takeDigest(Calls.m_Now).empty());
}
