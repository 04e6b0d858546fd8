/// Callers that resume their streams at other instances, while instances and
/// upstreams of several software versions fail.
#ifndef CROWSTEP_TESTS_UNIT_RESUME_FLEET_H
#define CROWSTEP_TESTS_UNIT_RESUME_FLEET_H

#include "unit/path_fleet.h"

#include <random>
#include <sstream>

namespace crowstep::test {

/// A caller's stream over all of its attempts.
struct ResumedStream {
  static constexpr int MaxAttempts = 3;

  std::string m_FirstAttempt;                        ///< That brought an event.
  std::vector<std::pair<int, std::string>> m_Events; ///< Id and version.
  int m_Attempts = 0;                                ///< So far.
  PathRequest *m_Current = nullptr; ///< Null: between attempts.
  TimePoint m_NextAt{};             ///< Of the next attempt.
  bool m_HasEnded = false;          ///< Complete, or given up.

  [[nodiscard]] bool isMixed() const {
    return std::ranges::any_of(m_Events, [&](const auto &Event) {
      return Event.second != m_Events[0].second;
    });
  }
  [[nodiscard]] bool isInOrder() const {
    for (std::size_t I = 0; I < m_Events.size(); ++I)
      if (m_Events[I].first != static_cast<int>(I) + 1)
        return false;
    return true;
  }
};

/// How often new streams began, and resumed ones went on.
struct ResumeShares {
  std::size_t m_Sent = 0;      ///< New streams.
  std::size_t m_Begun = 0;     ///< Those that got an event.
  std::size_t m_Resumed = 0;   ///< Attempts to resume one.
  std::size_t m_Continued = 0; ///< Those that got a further event.

  [[nodiscard]] double begunShare() const {
    return m_Sent == 0
               ? 1
               : static_cast<double>(m_Begun) / static_cast<double>(m_Sent);
  }
  [[nodiscard]] double continuedShare() const {
    return m_Resumed == 0 ? 1
                          : static_cast<double>(m_Continued) /
                                static_cast<double>(m_Resumed);
  }
};

class ResumeFleet : public PathFleet {
public:
  /// An instance that was disturbed may fail for this long.
  static constexpr Duration ContactTime = 3s;

  /// Until all instances are linked.
  static constexpr Duration LinkTime = 500ms;

  /// Time in which all instances read a change of their list, usually and at
  /// most.
  static constexpr Duration UsualReadTime = 50ms;
  static constexpr Duration LongestReadTime = 3s;

  ResumeFleet(std::size_t Instances, std::size_t Zones, std::size_t Engines,
              std::uint64_t Seed)
      : PathFleet(Instances, Zones, Engines, 0), m_Random(Seed),
        m_CalmSince(Instances) {
    m_World.m_StampsVersions = true;
    for (std::size_t I = 0; I < m_World.m_List.size(); ++I)
      m_World.m_List[I].m_Software = SoftwareVersion(I % 2 == 0 ? "v1" : "v2");
    publishUpstreams();
    joinDigests();
    m_Timers.advance(LinkTime);
  }

  /// Lets callers send \p PerSecond new streams a second in all.
  void play(Duration Span, double PerSecond) {
    const TimePoint End = m_Clock.now() + Span;
    while (m_Clock.now() < End) {
      m_Due += PerSecond * std::chrono::duration<double>(Step).count();
      for (; m_Due >= 1; --m_Due)
        m_Streams.push_back(std::make_unique<ResumedStream>());
      step();
    }
  }

  /// Plays until all streams have ended.
  void finish() {
    for (int I = 0; I < 10000 && !allEnded(); ++I)
      step();
    BOOST_TEST(allEnded());
  }

  void kill(std::size_t Instance, Duration Down) {
    if (m_Instances[Instance] == nullptr)
      return;
    stopInstance(Instance);
    m_CalmSince[Instance] = m_Clock.now() + Down;
    m_Timers.runAfter(Down, [this, Instance] { start(Instance); });
  }

  /// Starts an instance. If it is not listed, the others read its row late.
  void start(std::size_t Instance) {
    const bool IsNew = m_Unlisted.erase(Instance) > 0;
    startUnread(Instance);
    if (IsNew)
      publishPeers(LongestReadTime);
  }

  /// Starts an instance whose row the others don't read.
  void startUnread(std::size_t Instance) {
    startInstance(Instance);
    m_Instances[Instance]->setUpstreams(m_World.m_List);
  }

  /// Begins a planned stop: the instance leaves the list and serves until it
  /// is killed.
  void beginStop(std::size_t Instance) {
    if (m_Instances[Instance] == nullptr)
      return;
    m_Instances[Instance]->m_Digests->stop();
    m_Instances[Instance]->m_Origins.stop();
    m_Unlisted.insert(Instance);
    publishPeers(UsualReadTime);
  }

  /// Resets all links between an instance and the others.
  void breakDigestLinks(std::size_t Instance) {
    m_DigestLinks.breakLinks(m_Peers.m_Instances[Instance].m_Name);
  }

  /// Cuts an instance off from the others, until its links have failed.
  void cutOffFor(std::size_t Instance, Duration Span) {
    const std::string Name = m_Peers.m_Instances[Instance].m_Name;
    m_DigestLinks.cutOff(Name);
    m_CalmSince[Instance] = m_Clock.now() + Span;
    m_Timers.runAfter(Span, [this, Name] { m_DigestLinks.reconnect(Name); });
  }

  void freezeFor(std::size_t Instance, Duration Span) {
    freeze(Instance);
    m_CalmSince[Instance] = m_Clock.now() + Span;
    m_Timers.runAfter(Span, [this, Instance] { thaw(Instance); });
  }

  /// Ends the process of an upstream; another one of \p Version starts at its
  /// address. Instances learn of it some time later.
  void replaceUpstream(std::size_t Index, const std::string &Version) {
    Upstream &Entry = m_World.m_List.at(Index);
    for (const auto &Instance : m_Instances)
      if (Instance != nullptr)
        Instance->m_Upstreams.handleCrash(Entry.m_Address);
    Entry.m_Name = "r" + std::to_string(++m_LastReplacement);
    Entry.m_Id = upstreamIdOf(Entry.m_Name);
    Entry.m_Software = SoftwareVersion(Version);
    publishUpstreams();
  }

  /// Breaks all streams at an upstream that goes on.
  void breakStreamsAt(std::size_t Index) {
    for (const auto &Instance : m_Instances)
      if (Instance != nullptr)
        Instance->m_Upstreams.handleCrash(m_World.m_List.at(Index).m_Address);
  }

  std::size_t draw(std::size_t Count) { return m_Random() % Count; }

  void checkStreams() const {
    std::size_t Mixed = 0;
    std::size_t OutOfOrder = 0;
    for (const auto &Stream : m_Streams) {
      Mixed += Stream->isMixed() ? 1 : 0;
      OutOfOrder += Stream->isInOrder() ? 0 : 1;
    }
    BOOST_TEST(Mixed == 0U);
    BOOST_TEST(OutOfOrder == 0U);
  }

  ResumeShares m_Shares; ///< At instances in contact.

  /// Instances that get all new streams; empty: any instance does. Streams are
  /// resumed at instances that are listed.
  std::vector<std::size_t> m_NewStreamsAt;
  std::vector<std::unique_ptr<ResumedStream>> m_Streams; ///< All so far.

private:
  /// Each instance reads the list after a time of its own.
  void publishUpstreams() {
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      m_Timers.runAfter(Duration(m_Random() % 500000),
                        [this, I, List = m_World.m_List] {
                          if (m_Instances[I] != nullptr)
                            m_Instances[I]->setUpstreams(List);
                        });
  }

  /// Each instance reads the list of instances after a time of its own.
  void publishPeers(Duration Longest) {
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      m_Timers.runAfter(
          Duration(m_Random() % static_cast<std::uint64_t>(Longest.count())),
          [this, I] {
            if (m_Instances[I] == nullptr)
              return;
            m_Instances[I]->m_Digests->setPeers(listedPeers());
            m_Instances[I]->m_Relay.setPeers(listedPeers());
          });
  }

  std::size_t chooseInstance(const ResumedStream &Stream) {
    if (Stream.m_Events.empty() && !m_NewStreamsAt.empty())
      return m_NewStreamsAt[draw(m_NewStreamsAt.size())];
    std::size_t Result = draw(m_Instances.size());
    while (m_Unlisted.contains(Result))
      Result = draw(m_Instances.size());
    return Result;
  }

  [[nodiscard]] bool allEnded() const {
    return std::ranges::all_of(
        m_Streams, [](const auto &Stream) { return Stream->m_HasEnded; });
  }

  void step() {
    for (const auto &Stream : m_Streams)
      if (!Stream->m_HasEnded)
        progress(*Stream);
    advance();
  }

  void progress(ResumedStream &Stream) {
    if (Stream.m_Current != nullptr) {
      if (Stream.m_Current->m_HasEnded || Stream.m_Current->m_IsLost)
        handleAttemptEnd(Stream);
      return;
    }
    if (m_Clock.now() >= Stream.m_NextAt)
      sendAttempt(Stream);
  }

  void sendAttempt(ResumedStream &Stream) {
    const std::size_t Instance = chooseInstance(Stream);
    if (m_Instances[Instance] == nullptr) {
      Stream.m_NextAt = m_Clock.now() + 10ms;
      return;
    }
    HeaderList More;
    if (!Stream.m_Events.empty()) {
      More.push_back(
          {"Call-After", std::to_string(Stream.m_Events.back().first)});
      More.push_back({"Call-Resumes", Stream.m_FirstAttempt});
    }
    constexpr unsigned StreamKind = 2;
    Stream.m_Current = &send(Instance, StreamKind, "stream", More);
    ++Stream.m_Attempts;
  }

  void handleAttemptEnd(ResumedStream &Stream) {
    const PathRequest &Ended = *std::exchange(Stream.m_Current, nullptr);
    const bool WasResumed = !Stream.m_Events.empty();
    const std::size_t Before = Stream.m_Events.size();
    appendEvents(Stream, Ended.m_Record.m_Stream);
    const bool HasProgress = Stream.m_Events.size() > Before;
    if (!WasResumed && HasProgress)
      Stream.m_FirstAttempt = Ended.m_Id;
    count(Ended, WasResumed, HasProgress);
    const bool IsComplete = Stream.m_Events.size() ==
                            static_cast<std::size_t>(UpstreamWorld::EventCount);
    Stream.m_HasEnded =
        IsComplete || Stream.m_Attempts >= ResumedStream::MaxAttempts;
    Stream.m_NextAt = m_Clock.now() + Duration(m_Random() % 200000);
  }

  static void appendEvents(ResumedStream &Stream, const std::string &Text) {
    std::istringstream Lines(Text);
    int Id = 0;
    for (std::string Line; std::getline(Lines, Line);) {
      if (Line.starts_with("id: "))
        Id = std::atoi(Line.c_str() + 4);
      if (Line.starts_with("data: "))
        Stream.m_Events.emplace_back(Id, Line.substr(6));
    }
  }

  /// Counts attempts at instances that were in contact all the while.
  void count(const PathRequest &Ended, bool WasResumed, bool HasProgress) {
    if (Ended.m_IsLost ||
        (m_CalmSince[Ended.m_Instance] != TimePoint() &&
         Ended.m_SentAt < m_CalmSince[Ended.m_Instance] + ContactTime))
      return;
    ++(WasResumed ? m_Shares.m_Resumed : m_Shares.m_Sent);
    if (HasProgress)
      ++(WasResumed ? m_Shares.m_Continued : m_Shares.m_Begun);
  }

  std::mt19937_64 m_Random;           ///< Of the schedule and the callers.
  std::vector<TimePoint> m_CalmSince; ///< By instance; not set: always.
  double m_Due = 0;                   ///< New streams to be sent.
  std::size_t m_LastReplacement = 0;  ///< For names.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_RESUME_FLEET_H
