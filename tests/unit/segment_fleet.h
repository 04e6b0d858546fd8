/// Instances and engines in virtual time, for tests of segments that crash
/// engines.
#ifndef CROWSTEP_TESTS_UNIT_SEGMENT_FLEET_H
#define CROWSTEP_TESTS_UNIT_SEGMENT_FLEET_H

#include "quarantine/quarantine.h"

#include <algorithm>
#include <map>
#include <random>

namespace crowstep::test {

/// Counts the segments that one instance has held.
class HoldCounter final : public quarantine::QuarantineListener {
public:
  void onQuarantined(const ContentHash &Suspect, quarantine::SuspectKind Kind,
                     std::size_t, Duration) override {
    if (Kind == quarantine::SuspectKind::Segment)
      m_Held.insert(Suspect);
  }
  void onCleared(const ContentHash &Suspect, quarantine::SuspectKind,
                 quarantine::ClearReason) override {
    m_Held.erase(Suspect);
  }
  void onUpdateDropped() override { ++m_Dropped; }

  std::set<ContentHash> m_Held; ///< Segments that are held now.
  std::size_t m_Dropped = 0;    ///< Updates.
};

/// Gateways that exchange updates late, and engines that crash and come back as
/// new processes.
class SegmentFleet {
public:
  struct Settings {
    std::size_t m_Instances = 9;        ///< Gateways.
    std::size_t m_Engines = 12;         ///< Of one service.
    double m_SoundPerSecond = 40;       ///< Sound calls.
    double m_CrashingPerSecond = 0;     ///< Calls with CrashingSegment.
    std::uint64_t m_FirstSegments = 40; ///< Different first segments.
    std::uint64_t m_SecondSegments = 170;
  };

  static constexpr Duration Step = std::chrono::milliseconds(10);
  static constexpr Duration PrefillTime = std::chrono::milliseconds(40);
  static constexpr Duration StreamTime = std::chrono::milliseconds(600);
  static constexpr Duration DetectionTime = std::chrono::milliseconds(200);
  static constexpr Duration DigestInterval = std::chrono::milliseconds(50);
  static constexpr std::uint64_t MaxDelayMs = 600; ///< Of an update.

  SegmentFleet(const Settings &Parameters, std::uint64_t Seed)
      : m_Settings(Parameters), m_Random(Seed),
        m_Counters(Parameters.m_Instances) {
    for (std::size_t I = 0; I < Parameters.m_Instances; ++I) {
      m_Instances.emplace_back(m_Random());
      m_Instances.back().setListener(&m_Counters[I]);
    }
    m_Engines.resize(Parameters.m_Engines);
    for (Engine &Started : m_Engines)
      Started.m_Process = ++m_LastProcess;
  }

  static ContentHash crashingSegment() { return {1, 1}; }

  void setCrashingPerSecond(double Rate) {
    m_Settings.m_CrashingPerSecond = Rate;
  }

  void run(Duration Span) {
    for (const TimePoint End = m_Now + Span; m_Now < End; m_Now += Step) {
      exchange();
      advanceCalls();
      detectCrashes();
      m_Due += (m_Settings.m_SoundPerSecond + m_Settings.m_CrashingPerSecond) *
               std::chrono::duration<double>(Step).count();
      for (; m_Due >= 1; --m_Due)
        startCall(std::uniform_real_distribution<>(
                      0, m_Settings.m_SoundPerSecond +
                             m_Settings.m_CrashingPerSecond)(m_Random) <
                  m_Settings.m_CrashingPerSecond);
    }
  }

  /// An engine goes down for another reason than its calls.
  void crashEngine(std::size_t Index) { crash(m_Engines.at(Index)); }

  [[nodiscard]] TimePoint now() const { return m_Now; }

  /// Returns the number of sound segments that are held, over all instances.
  [[nodiscard]] std::size_t wronglyHeld() const {
    std::size_t Result = 0;
    for (const HoldCounter &Counter : m_Counters)
      Result += Counter.m_Held.size() - Counter.m_Held.count(crashingSegment());
    return Result;
  }

  /// Returns the number of instances that hold the crashing segment.
  [[nodiscard]] std::size_t holders() const {
    std::size_t Result = 0;
    for (const HoldCounter &Counter : m_Counters)
      Result += Counter.m_Held.count(crashingSegment());
    return Result;
  }

  std::vector<TimePoint> m_CrashingSends; ///< Sends with the segment.
  std::vector<TimePoint> m_Crashes;       ///< Under the segment.
  /// First attempts of sound calls, and whether each was served.
  std::vector<std::pair<TimePoint, bool>> m_Sound;

private:
  struct Engine {
    std::uint64_t m_Process = 0; ///< Current process.
    TimePoint m_UpAt{};          ///< Serves from then on.
  };

  struct Call {
    quarantine::CallSuspects m_Suspects; ///< Of the call.
    std::size_t m_Instance = 0;          ///< That sent it.
    std::size_t m_Engine = 0;            ///< Where it runs.
    std::size_t m_Sound = 0;     ///< Number in m_Sound; unused if crashing.
    bool m_IsCrashing = false;   ///< Has the segment.
    bool m_IsRepeat = false;     ///< A second attempt.
    TimePoint m_FirstOutputAt{}; ///< End of the prefill.
    TimePoint m_EndAt{};         ///< End of the answer.
  };

  struct Detection {
    std::size_t m_Instance; ///< That probes.
    UpstreamId m_Upstream;  ///< The engine's name.
  };

  std::uint64_t below(std::uint64_t Limit) { return m_Random() % Limit; }

  void startCall(bool IsCrashing) {
    Call New;
    const std::uint64_t Number = ++m_LastRequest;
    New.m_Suspects.m_Request = {7, Number};
    New.m_Suspects.m_Segments.push_back({2, below(m_Settings.m_FirstSegments)});
    if (IsCrashing)
      New.m_Suspects.m_Segments.push_back(crashingSegment());
    New.m_Suspects.m_Segments.push_back(
        {3, below(m_Settings.m_SecondSegments)});
    New.m_IsCrashing = IsCrashing;
    if (!IsCrashing) {
      New.m_Sound = m_Sound.size();
      m_Sound.emplace_back(m_Now, false);
    }
    send(New);
  }

  void send(Call New) {
    New.m_Instance = below(m_Instances.size());
    if (m_Instances[New.m_Instance].holdOf(New.m_Suspects, m_Now).m_Left >
        Duration::zero())
      return;
    std::vector<std::size_t> Up;
    for (std::size_t I = 0; I < m_Engines.size(); ++I)
      if (m_Engines[I].m_UpAt <= m_Now)
        Up.push_back(I);
    if (Up.empty())
      return;
    New.m_Engine = Up[below(Up.size())];
    New.m_FirstOutputAt = m_Now + PrefillTime;
    New.m_EndAt = New.m_FirstOutputAt + StreamTime;
    if (New.m_IsCrashing)
      m_CrashingSends.push_back(m_Now);
    m_Calls.push_back(New);
  }

  void advanceCalls() {
    for (std::size_t I = 0; I < m_Engines.size(); ++I)
      if (std::ranges::any_of(m_Calls, [&](const Call &Running) {
            return Running.m_IsCrashing && Running.m_Engine == I &&
                   Running.m_FirstOutputAt <= m_Now;
          })) {
        m_Crashes.push_back(m_Now);
        crash(m_Engines[I]);
      }
    std::erase_if(m_Calls, [&](const Call &Running) {
      if (Running.m_EndAt > m_Now)
        return false;
      m_Instances[Running.m_Instance].recordServed(
          Running.m_Suspects.m_Request);
      m_Instances[Running.m_Instance].recordSound(Running.m_Suspects.m_Segments,
                                                  m_Now);
      if (!Running.m_IsRepeat)
        m_Sound[Running.m_Sound].second = true;
      return true;
    });
  }

  void crash(Engine &Target) {
    const auto Index = static_cast<std::size_t>(&Target - m_Engines.data());
    std::vector<Call> Broken;
    std::erase_if(m_Calls, [&](const Call &Running) {
      if (Running.m_Engine != Index)
        return false;
      Broken.push_back(Running);
      return true;
    });
    const UpstreamId Name(Target.m_Process);
    for (Call &Running : Broken) {
      const bool HadBegun = m_Now - Running.m_FirstOutputAt >=
                            quarantine::Quarantine::SuspectOutputTime;
      m_Instances[Running.m_Instance].recordBrokenCall(
          {Running.m_Suspects, Name, IncarnationId(Target.m_Process), HadBegun},
          m_Now);
      m_Detections.emplace(m_Now + DetectionTime,
                           Detection{Running.m_Instance, Name});
    }
    Target.m_Process = ++m_LastProcess;
    Target.m_UpAt = m_Now + std::chrono::milliseconds(2000 + below(2000));
    for (Call &Running : Broken)
      if (!std::exchange(Running.m_IsRepeat, true))
        send(Running);
  }

  void detectCrashes() {
    while (!m_Detections.empty() && m_Detections.begin()->first <= m_Now) {
      const Detection Due = m_Detections.begin()->second;
      m_Detections.erase(m_Detections.begin());
      m_Instances[Due.m_Instance].recordUpstreamDown(Due.m_Upstream, m_Now);
    }
  }

  /// Each update reaches each of four groups, as zones behind hubs, at another
  /// time.
  void exchange() {
    while (!m_InFlight.empty() && m_InFlight.begin()->first <= m_Now) {
      const auto [Group, Updates] = m_InFlight.begin()->second;
      m_InFlight.erase(m_InFlight.begin());
      for (std::size_t I = Group; I < m_Instances.size(); I += Groups)
        m_Instances[I].applyUpdates(Updates, m_Now);
    }
    if (m_Now.time_since_epoch() % DigestInterval != Duration::zero())
      return;
    for (quarantine::Quarantine &Sender : m_Instances)
      if (const auto Updates = Sender.takeUpdates(); !Updates.empty())
        for (std::size_t Group = 0; Group < Groups; ++Group)
          m_InFlight.emplace(m_Now +
                                 std::chrono::milliseconds(below(MaxDelayMs)),
                             std::pair(Group, Updates));
  }

  static constexpr std::size_t Groups = 4;

  Settings m_Settings;                              ///< As given.
  std::mt19937_64 m_Random;                         ///< Seeded.
  std::vector<HoldCounter> m_Counters;              ///< As m_Instances.
  std::vector<quarantine::Quarantine> m_Instances;  ///< The gateways.
  std::vector<Engine> m_Engines;                    ///< By index.
  std::vector<Call> m_Calls;                        ///< In progress.
  std::multimap<TimePoint, Detection> m_Detections; ///< By time.
  std::multimap<TimePoint,
                std::pair<std::size_t, std::vector<quarantine::CrashUpdate>>>
      m_InFlight;                             ///< By arrival.
  TimePoint m_Now{std::chrono::seconds(100)}; ///< Virtual time.
  double m_Due = 0;                           ///< Calls to be started.
  std::uint64_t m_LastRequest = 0;            ///< Number of the last request.
  std::uint64_t m_LastProcess = 0; ///< Number of the last engine process.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_SEGMENT_FLEET_H
