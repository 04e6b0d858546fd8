/// Simulates a fleet of membership cores over a network with a manual clock:
/// delays, lost connections, partitions, kills and freezes.
///
/// As over TCP, the messages of a connection arrive in order or, after it
/// broke, not at all. The kernel of a frozen process still receives bytes; that
/// of a killed one refuses connections. Across a cut path, dials time out and
/// the messages of open connections are delayed until it is healed.
#ifndef CROWSTEP_TESTS_UNIT_MEMBERSHIP_SIM_H
#define CROWSTEP_TESTS_UNIT_MEMBERSHIP_SIM_H

#include "core/scheduler.h"
#include "link/frame_codec.h"
#include "membership/member_func.h"
#include "membership/membership_core.h"
#include "membership/membership_wire.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

namespace crowstep::membership {

using namespace std::chrono_literals;

class FleetSim {
public:
  explicit FleetSim(std::uint64_t Seed) : m_Random(Seed) {}
  FleetSim(const FleetSim &) = delete;
  FleetSim &operator=(const FleetSim &) = delete;

  // ---- Parameters ----
  Duration m_MinDelay = 500us; ///< One way.
  Duration m_MaxDelay = 3ms;   ///< One way; delays are uniform in between.
  Duration m_TickJitter = 0us; ///< Maximum lateness of a tick.
  MembershipConfig m_Config;   ///< Of all members.
  bool m_CountBytes = false;   ///< Encode frames to count their bytes.

  struct Node {
    Member m_Self;
    std::unique_ptr<MembershipCore> m_Core; ///< Null while killed.
    bool m_Frozen = false;
    std::vector<Event> m_PendingEvents;  ///< Arrived while frozen.
    std::map<Address, Duration> m_Dials; ///< With the next backoff.
    std::map<NoticeKind, int> m_Notices;
    std::uint64_t m_StartCount = 0; ///< Grows with each start.
    std::uint64_t m_Frames = 0;     ///< Sent.
    std::uint64_t m_Bytes = 0;      ///< Sent.
  };

  // ---- Faults ----
  std::size_t add(const std::vector<std::size_t> &Hints) {
    const std::size_t Index = m_Nodes.size();
    Node &Added = m_Nodes.emplace_back();
    Added.m_Self.m_Name = "i" + std::to_string(Index);
    Added.m_Self.m_Id = instanceIdOf(Added.m_Self.m_Name);
    Added.m_Self.m_Address = addressOf(Index);
    Added.m_Self.m_Zone = {"zone"};
    start(Index, 1000 * (Index + 1), Hints);
    return Index;
  }
  void addMany(std::size_t Count) {
    m_Nodes.reserve(Count);
    for (std::size_t Index = 0; Index < Count; ++Index)
      add({Index / 2});
  }
  void start(std::size_t Index, std::uint64_t NewIncarnation,
             const std::vector<std::size_t> &Hints) {
    Node &Target = m_Nodes[Index];
    Target.m_Self.m_Incarnation = Incarnation(NewIncarnation);
    Target.m_Frozen = false;
    ++Target.m_StartCount;
    Target.m_Core =
        std::make_unique<MembershipCore>(m_Config, Target.m_Self, m_Time.now());
    HintsSet Set;
    for (const std::size_t Hint : Hints)
      Set.m_Hints.push_back(addressOf(Hint));
    deliver(Index, Set);
    tick(Index, Target.m_StartCount);
  }
  void kill(std::size_t Index) {
    Node &Target = m_Nodes[Index];
    Target.m_Core.reset();
    Target.m_PendingEvents.clear();
    Target.m_Dials.clear();
    ++Target.m_StartCount;
    for (const std::size_t Link : linksOf(Index))
      breakLink(Link);
  }
  void freeze(std::size_t Index) { m_Nodes[Index].m_Frozen = true; }
  void thaw(std::size_t Index) {
    Node &Target = m_Nodes[Index];
    if (!std::exchange(Target.m_Frozen, false) || !Target.m_Core)
      return;
    for (const Event &Pending : std::exchange(Target.m_PendingEvents, {}))
      deliver(Index, Pending);
  }
  /// Breaks the connections of a frozen node; events not yet handled are lost.
  void resetWhileFrozen(std::size_t Index) {
    m_Nodes[Index].m_PendingEvents.clear();
    for (const std::size_t Link : linksOf(Index))
      breakLink(Link);
  }
  /// Cuts or heals the path between two nodes.
  void cut(std::size_t First, std::size_t Second, bool IsCut = true) {
    const auto Pair = std::minmax(First, Second);
    if (IsCut) {
      m_Cuts.insert(Pair);
      return;
    }
    m_Cuts.erase(Pair);
    for (std::size_t Index = 0; Index < m_Links.size(); ++Index)
      for (auto &Job : std::exchange(m_Links[Index].m_Stalled, {}))
        send(Index, Job.first, Job.second);
  }
  void healAll() {
    for (const auto &[First, Second] : std::set(m_Cuts))
      cut(First, Second, false);
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
      thaw(Index);
  }
  /// Breaks a random connection of \p Index; messages under way are lost.
  void breakRandomLink(std::size_t Index) {
    const std::vector<std::size_t> Links = linksOf(Index);
    if (!Links.empty())
      breakLink(Links[m_Random() % Links.size()]);
  }
  void run(Duration Step) { m_Timers.advance(Step); }
  /// Runs until \p Done holds or \p Limit has passed; returns the time taken.
  Duration runUntil(Duration Limit, const std::function<bool()> &Done) {
    const TimePoint Begin = m_Time.now();
    while (!Done() && m_Time.now() - Begin < Limit)
      run(5ms);
    return m_Time.now() - Begin;
  }
  void deliver(std::size_t Index, const Event &Incoming) {
    Node &Target = m_Nodes[Index];
    if (!Target.m_Core)
      return;
    if (Target.m_Frozen) {
      Target.m_PendingEvents.push_back(Incoming);
      return;
    }
    perform(Index, Target.m_Core->handle(m_Time.now(), Incoming));
  }

  // ---- Observations ----
  [[nodiscard]] bool isUp(std::size_t Index) const {
    return m_Nodes[Index].m_Core != nullptr;
  }
  [[nodiscard]] const Member *memberSeenBy(std::size_t Observer,
                                           std::size_t Subject) const {
    const auto &All = m_Nodes[Observer].m_Core->members();
    const auto Found =
        std::ranges::find(All, m_Nodes[Subject].m_Self.m_Id, &Member::m_Id);
    return Found == All.end() ? nullptr : &*Found;
  }
  [[nodiscard]] bool isLiveInViewOf(std::size_t Observer,
                                    std::size_t Subject) const {
    const Member *Known = memberSeenBy(Observer, Subject);
    return Known != nullptr && isLive(Known->m_State);
  }
  /// Whether each running node lists exactly the running nodes as alive.
  [[nodiscard]] bool converged() const {
    for (std::size_t Observer = 0; Observer < m_Nodes.size(); ++Observer)
      for (std::size_t Subject = 0; isUp(Observer) && Subject < m_Nodes.size();
           ++Subject) {
        const Member *Known = memberSeenBy(Observer, Subject);
        const bool Alive =
            Known != nullptr && Known->m_State == MemberState::Alive;
        if (Alive != isUp(Subject) ||
            (!Alive && isLiveInViewOf(Observer, Subject)))
          return false;
      }
    return true;
  }
  /// Whether no other running node that is not frozen lists \p Subject as live.
  [[nodiscard]] bool isRemovedForAll(std::size_t Subject) const {
    for (std::size_t Observer = 0; Observer < m_Nodes.size(); ++Observer)
      if (Observer != Subject && isUp(Observer) &&
          !m_Nodes[Observer].m_Frozen && isLiveInViewOf(Observer, Subject))
        return false;
    return true;
  }
  [[nodiscard]] int noticeCount(NoticeKind Kind) const {
    int Sum = 0;
    for (const Node &Counted : m_Nodes)
      if (const auto Found = Counted.m_Notices.find(Kind);
          Found != Counted.m_Notices.end())
        Sum += Found->second;
    return Sum;
  }

  std::vector<Node> m_Nodes; ///< By index.
  std::mt19937_64 m_Random;  ///< Source of all randomness of a run.
  ManualClock m_Time;        ///< Advanced by run().

private:
  struct Connection {
    std::size_t m_Ends[2]; ///< The dialer is first.
    bool m_Open = true;
    TimePoint m_LastArrival[2] =
        {}; ///< Last arrival at each end, to keep order.
    /// Held back by a cut, each with the end to which it is sent.
    std::vector<std::pair<std::size_t, Event>> m_Stalled;
  };

  static Address addressOf(std::size_t Index) {
    return {0x0A000000U + static_cast<std::uint32_t>(Index), 7000};
  }
  static std::size_t indexOf(const Address &Remote) {
    return Remote.m_Ip - 0x0A000000U;
  }
  static LinkId idOf(std::size_t Link) { return LinkId(Link + 1); }
  Duration delay() {
    std::uniform_int_distribution<Duration::rep> Spread(m_MinDelay.count(),
                                                        m_MaxDelay.count());
    return Duration(Spread(m_Random));
  }
  bool isCut(std::size_t First, std::size_t Second) const {
    return m_Cuts.contains(std::minmax(First, Second));
  }
  std::vector<std::size_t> linksOf(std::size_t Index) const {
    std::vector<std::size_t> Result;
    for (std::size_t Link = 0; Link < m_Links.size(); ++Link)
      if (m_Links[Link].m_Open && (m_Links[Link].m_Ends[0] == Index ||
                                   m_Links[Link].m_Ends[1] == Index))
        Result.push_back(Link);
    return Result;
  }

  void tick(std::size_t Index, std::uint64_t StartCount) {
    const auto Late =
        m_TickJitter.count() == 0 ? 0 : m_Random() % m_TickJitter.count();
    m_Timers.runAfter(TickInterval + Duration(Late), [=, this] {
      if (m_Nodes[Index].m_StartCount != StartCount)
        return;
      tick(Index, StartCount);
      if (!m_Nodes[Index].m_Frozen)
        deliver(Index, Tick{});
    });
  }

  /// Delivers an event to the end \p To of a connection after a random delay.
  void send(std::size_t Link, std::size_t To, const Event &Sent) {
    Connection &Route = m_Links[Link];
    if (isCut(Route.m_Ends[0], Route.m_Ends[1])) {
      Route.m_Stalled.emplace_back(To, Sent);
      return;
    }
    TimePoint &Last = Route.m_LastArrival[To];
    Last = std::max(Last, m_Time.now() + delay());
    m_Timers.runAfter(Last - m_Time.now(), [=, this] {
      const Connection &Current = m_Links[Link];
      const bool IsClose = std::holds_alternative<PeerDown>(Sent);
      if (Current.m_Open || IsClose)
        deliver(Current.m_Ends[To], Sent);
    });
  }

  void breakLink(std::size_t Link) {
    if (!std::exchange(m_Links[Link].m_Open, false))
      return;
    m_Links[Link].m_Stalled.clear();
    for (std::size_t End : {0, 1})
      send(Link, End, PeerDown{idOf(Link), CloseReason::PeerClosed});
    redial(Link);
  }
  void redial(std::size_t Link) {
    const std::size_t From = m_Links[Link].m_Ends[0];
    const Address Remote = addressOf(m_Links[Link].m_Ends[1]);
    if (m_Nodes[From].m_Dials.contains(Remote))
      retry(From, Remote);
  }

  void closeLink(std::size_t Link, std::size_t Closer) {
    if (!std::exchange(m_Links[Link].m_Open, false))
      return;
    const std::size_t End = m_Links[Link].m_Ends[0] == Closer ? 0 : 1;
    m_Timers.runAfter(0us, [=, this] {
      deliver(Closer, PeerDown{idOf(Link), CloseReason::Local});
    });
    send(Link, 1 - End, PeerDown{idOf(Link), CloseReason::PeerClosed});
    redial(Link);
  }

  void attempt(std::size_t From, const Address &Remote) {
    const std::size_t To = indexOf(Remote);
    const std::uint64_t StartCount = m_Nodes[From].m_StartCount;
    const bool Reaches = To < m_Nodes.size() && !isCut(From, To);
    const bool Refused = Reaches && !isUp(To);
    const bool Accepts = Reaches && isUp(To) && !m_Nodes[To].m_Frozen;
    m_Timers.runAfter(Accepts || Refused ? 2 * delay() : 2s, [=, this] {
      if (m_Nodes[From].m_StartCount != StartCount ||
          !m_Nodes[From].m_Dials.contains(Remote))
        return;
      if (Accepts && isUp(To)) {
        m_Nodes[From].m_Dials[Remote] = 0us;
        m_Links.push_back({{From, To}});
        const std::size_t Link = m_Links.size() - 1;
        send(Link, 0, PeerUp{idOf(Link), m_Nodes[To].m_Self});
        send(Link, 1, PeerUp{idOf(Link), m_Nodes[From].m_Self});
        return;
      }
      retry(From, Remote);
      deliver(From, DialFailed{Remote, Refused ? CloseReason::ConnectRefused
                                               : CloseReason::ConnectFailed});
    });
  }
  void retry(std::size_t From, const Address &Remote) {
    Duration &Backoff = m_Nodes[From].m_Dials[Remote];
    const Duration Wait = std::max<Duration>(Backoff, 100ms);
    Backoff = std::min<Duration>(Wait * 2, 2s);
    const std::uint64_t StartCount = m_Nodes[From].m_StartCount;
    m_Timers.runAfter(Wait, [=, this] {
      if (m_Nodes[From].m_StartCount == StartCount &&
          m_Nodes[From].m_Dials.contains(Remote))
        attempt(From, Remote);
    });
  }

  void perform(std::size_t Index, const std::vector<Action> &Actions) {
    std::map<LinkId, wire::FrameT> Frames;
    for (const Action &Next : Actions)
      std::visit([&](const auto &Known) { run(Index, Known, Frames); }, Next);
    for (const auto &[Link, Frame] : Frames) {
      std::vector<std::uint8_t> Encoded;
      link::appendFrame(Frame, Encoded);
      ++m_Nodes[Index].m_Frames;
      m_Nodes[Index].m_Bytes += Encoded.size();
    }
  }
  void run(std::size_t Index, const Dial &Requested, auto &) {
    if (m_Nodes[Index].m_Dials.try_emplace(Requested.m_Address).second)
      attempt(Index, Requested.m_Address);
  }
  void run(std::size_t Index, const Disconnect &Requested, auto &) {
    m_Nodes[Index].m_Dials.erase(Requested.m_Address);
    for (const std::size_t Link : linksOf(Index))
      if (m_Links[Link].m_Ends[0] == Index &&
          addressOf(m_Links[Link].m_Ends[1]) == Requested.m_Address)
        closeLink(Link, Index);
  }
  void run(std::size_t Index, const CloseLink &Requested, auto &) {
    closeLink(Requested.m_Link.value() - 1, Index);
  }
  template <typename Message>
  void forward(std::size_t Index, const Message &Outgoing, const Event &Arrival,
               auto &Frames) {
    const std::size_t Link = Outgoing.m_Link.value() - 1;
    if (m_Links[Link].m_Open)
      send(Link, m_Links[Link].m_Ends[0] == Index ? 1 : 0, Arrival);
    if (m_CountBytes)
      addToFrame(Outgoing, Frames[Outgoing.m_Link]);
  }
  void run(std::size_t Index, const SendHeartbeat &Outgoing, auto &Frames) {
    forward(Index, Outgoing,
            HeartbeatReceived{Outgoing.m_Link, Outgoing.m_ViewHash}, Frames);
  }
  void run(std::size_t Index, const SendMembers &Outgoing, auto &Frames) {
    forward(Index, Outgoing,
            MembersReceived{Outgoing.m_Link, Outgoing.m_Members}, Frames);
  }
  void run(std::size_t Index, const SendUpdates &Outgoing, auto &Frames) {
    forward(Index, Outgoing,
            UpdatesReceived{Outgoing.m_Link, Outgoing.m_Updates}, Frames);
  }
  void run(std::size_t Index, const Notice &Raised, auto &) {
    ++m_Nodes[Index].m_Notices[Raised.m_Kind];
  }
  void run(std::size_t, const ViewChanged &, auto &) {}

  ManualScheduler m_Timers{m_Time};
  std::vector<Connection> m_Links; ///< By link id less one.
  std::set<std::pair<std::size_t, std::size_t>> m_Cuts; ///< Ordered pairs.
};

} // namespace crowstep::membership

#endif // CROWSTEP_TESTS_UNIT_MEMBERSHIP_SIM_H
