/// Instances that exchange digests, with simulated links and a manual clock.
#ifndef CROWSTEP_TESTS_UNIT_DIGEST_FLEET_H
#define CROWSTEP_TESTS_UNIT_DIGEST_FLEET_H

#include "gateway/digest_exchange.h"

#include <algorithm>
#include <array>
#include <memory>

namespace crowstep::test {

using namespace gateway;
using namespace std::chrono_literals;

class Network;

/// Simulated links of one instance.
class FakeLinks final : public link::Links {
public:
  FakeLinks(Network &Net, const PeerInstance &Self,
            link::LinkListener &Listener)
      : m_Network(Net), m_Self(Self), m_Listener(Listener) {}
  ~FakeLinks() override;
  void dial(const Address &Where) override;
  void disconnect(const Address &Where) override;
  void stopDialling(const Address &) override {}
  wire::FrameT &outbox(link::LinkId Link) override;
  void flush(link::LinkId Link) override;
  void close(link::LinkId) override {}

  Network &m_Network;             ///< Outlives it.
  PeerInstance m_Self;            ///< Their owner.
  link::LinkListener &m_Listener; ///< Outlives it.
};

/// Carries frames between instances.
class Network {
public:
  struct LinkEnd {
    FakeLinks *m_From;         ///< Sends.
    FakeLinks *m_To;           ///< Receives.
    link::LinkId m_Id;         ///< At the sender.
    link::LinkId m_RemoteId;   ///< At the receiver.
    wire::FrameT m_Frame;      ///< Not delivered.
    bool m_HasFrame = false;   ///< m_Frame is to be sent.
    std::uint64_t m_Bytes = 0; ///< Of all frames sent.
  };

  void dial(FakeLinks &From, const Address &Where) {
    m_Dials.emplace_back(&From, Where);
  }

  /// Connects dialled instances that are up by now.
  void connect() {
    for (const auto &[From, Where] : m_Dials)
      for (FakeLinks *To : m_All)
        if (To->m_Self.m_Address == Where)
          join(*From, *To);
    m_Dials.clear();
  }

  void deliver() {
    connect();
    for (auto &Entry : m_LinkEnds)
      deliver(Entry.second);
  }

  void deliver(LinkEnd &Sending) {
    if (!Sending.m_HasFrame)
      return;
    Sending.m_HasFrame = false;
    if (Sending.m_From == m_Stalled || (m_Loses && m_Loses())) {
      Sending.m_Frame = {};
      return;
    }
    flatbuffers::FlatBufferBuilder Builder;
    Builder.Finish(wire::Frame::Pack(Builder, &Sending.m_Frame));
    Sending.m_Frame = {};
    Sending.m_Bytes += Builder.GetSize();
    ++m_Frames[Sending.m_From->m_Self.m_Name];
    m_Bytes[Sending.m_From->m_Self.m_Zone != Sending.m_To->m_Self.m_Zone] +=
        Builder.GetSize();
    Sending.m_To->m_Listener.linkFrame(
        Sending.m_RemoteId, *wire::GetFrame(Builder.GetBufferPointer()));
  }

  /// Closes the link between an instance and the one at \p Where.
  void disconnect(FakeLinks &From, const Address &Where) {
    std::vector<LinkEnd> Closed;
    for (auto &Entry : m_LinkEnds)
      if ((Entry.second.m_From == &From &&
           Entry.second.m_To->m_Self.m_Address == Where) ||
          (Entry.second.m_To == &From &&
           Entry.second.m_From->m_Self.m_Address == Where))
        Closed.push_back(Entry.second);
    for (const LinkEnd &Entry : Closed)
      m_LinkEnds.erase(Entry.m_Id);
    for (const LinkEnd &Entry : Closed)
      Entry.m_From->m_Listener.linkDown(Entry.m_Id, peerOf(*Entry.m_To),
                                        link::CloseReason::PeerClosed);
  }

  /// Removes an instance and closes its links.
  void removeInstance(FakeLinks &Removed) {
    std::erase(m_All, &Removed);
    std::vector<LinkEnd> Lost;
    for (auto &Entry : m_LinkEnds)
      if (Entry.second.m_From == &Removed || Entry.second.m_To == &Removed)
        Lost.push_back(Entry.second);
    for (const LinkEnd &Entry : Lost) {
      m_LinkEnds.erase(Entry.m_Id);
      if (Entry.m_From != &Removed)
        Entry.m_From->m_Listener.linkDown(Entry.m_Id, peerOf(Removed),
                                          link::CloseReason::PeerClosed);
    }
  }

  std::vector<FakeLinks *> m_All; ///< Instances that are up.
  FakeLinks *m_Stalled = nullptr; ///< Sends nothing.
  std::function<bool()> m_Loses;  ///< Whether the next frame is lost.
  std::map<link::LinkId, LinkEnd> m_LinkEnds; ///< By the sender's id.
  std::map<std::string, int> m_Frames;        ///< Sent, by instance.
  std::array<std::uint64_t, 2> m_Bytes{};     ///< Within, between zones.

private:
  static link::Peer peerOf(const FakeLinks &Links) {
    return {wire::Role::Gateway,
            Links.m_Self.m_Name,
            instanceIdOf(Links.m_Self.m_Name),
            Incarnation(1),
            Links.m_Self.m_Zone,
            Links.m_Self.m_Address};
  }

  void join(FakeLinks &From, FakeLinks &To) {
    const link::LinkId FromId(++m_Last);
    const link::LinkId ToId(++m_Last);
    m_LinkEnds[FromId] = {&From, &To, FromId, ToId, {}, false};
    m_LinkEnds[ToId] = {&To, &From, ToId, FromId, {}, false};
    From.m_Listener.linkUp(FromId, peerOf(To));
    To.m_Listener.linkUp(ToId, peerOf(From));
  }

  std::vector<std::pair<FakeLinks *, Address>> m_Dials; ///< Not connected yet.
  std::uint64_t m_Last = 0;                             ///< Last link id.
};

inline FakeLinks::~FakeLinks() { m_Network.removeInstance(*this); }

inline void FakeLinks::dial(const Address &Where) {
  m_Network.dial(*this, Where);
}

inline void FakeLinks::disconnect(const Address &Where) {
  m_Network.disconnect(*this, Where);
}

inline wire::FrameT &FakeLinks::outbox(link::LinkId Link) {
  static wire::FrameT Discarded;
  const auto Found = m_Network.m_LinkEnds.find(Link);
  if (Found == m_Network.m_LinkEnds.end())
    return Discarded;
  Found->second.m_HasFrame = true;
  return Found->second.m_Frame;
}

inline void FakeLinks::flush(link::LinkId Link) {
  if (const auto Found = m_Network.m_LinkEnds.find(Link);
      Found != m_Network.m_LinkEnds.end())
    m_Network.deliver(Found->second);
}

/// Calendar time that follows the manual clock.
class FakeWallClock final : public WallClock {
public:
  explicit FakeWallClock(const Clock &Time) : m_Clock(Time) {}
  [[nodiscard]] WallTime now() const override {
    return WallTime(m_Clock.now().time_since_epoch() + m_Error);
  }
  Duration m_Error{}; ///< Of this clock.

private:
  const Clock &m_Clock; ///< Outlives it.
};

/// An instance with one plain upstream, so that a placement shows the number of
/// all calls that it knows of.
struct Instance {
  Instance(Network &Net, const PeerInstance &Self, const Clock &Time,
           Scheduler &Timers)
      : m_Self(Self), m_Balancer(Self.m_Zone), m_WallClock(Time),
        m_Time(m_WallClock, Time),
        m_Meter({instanceIdOf(Self.m_Name), Incarnation(1)}, 5s, m_Time),
        m_Usage(m_Meter, m_Time, m_WallClock, m_Stats),
        m_Exchange(
            Self,
            [this, &Net](const std::string &, link::LinkListener &Listener) {
              auto Made = std::make_unique<FakeLinks>(Net, m_Self, Listener);
              m_Links = Made.get();
              Net.m_All.push_back(m_Links);
              return Made;
            },
            Time, Timers, m_Balancer, m_Stats,
            [this](const DirectoryUpdate &Update) {
              m_Updates.push_back(Update);
            },
            &m_Usage) {
    m_Balancer.setUpstreams({{upstreamIdOf("u"),
                              "u",
                              "desk",
                              {1, 1},
                              {"a"},
                              PlainService{6},
                              false}});
  }

  balance::Placed place(TimePoint Now) {
    balance::PlacementQuery Query;
    Query.m_Service = "desk";
    return std::get<balance::Placed>(m_Balancer.place(Query, Now));
  }

  /// Returns the number of calls that it knows of, its own and others'.
  int knownCalls(TimePoint Now) {
    const balance::Placed Probe = place(Now);
    m_Balancer.recordCallEnd(Probe.m_Ticket, balance::CallOutcome::Dropped,
                             Now);
    return static_cast<int>(Probe.m_Inputs.m_Calls);
  }

  PeerInstance m_Self;
  balance::Balancer m_Balancer;
  Metrics m_Stats;
  std::vector<DirectoryUpdate> m_Updates; ///< Received.
  FakeLinks *m_Links = nullptr;
  FakeWallClock m_WallClock;
  duty::MajorityClock m_Time;
  duty::UsageMeter m_Meter;
  UsageExchange m_Usage;
  DigestExchange m_Exchange;
};

struct Fleet {
  Fleet(int Zones, int InZone) {
    for (int Z = 0; Z < Zones; ++Z)
      for (int I = 0; I < InZone; ++I) {
        const std::string Name =
            "i-" + std::to_string(Z) + "-" + std::to_string(I);
        m_List.m_Instances.push_back(
            {Name,
             {static_cast<std::uint32_t>(Z * 1000 + I + 1), 7000},
             {"z" + std::to_string(Z)},
             // The third of each zone has the largest machine.
             I == 2 ? 2.0 : 1.0});
      }
    for (const PeerInstance &Self : m_List.m_Instances)
      m_Instances.push_back(
          std::make_unique<Instance>(m_Net, Self, m_Clock, m_Timers));
    for (const auto &Member : m_Instances)
      Member->m_Exchange.setPeers(m_List);
    m_Net.connect();
  }

  void run(Duration Span) {
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += 10ms) {
      m_Timers.advance(10ms);
      m_Net.deliver();
    }
  }

  /// Begins a planned stop of an instance: it leaves the list.
  void beginStop(Instance &Stopping) {
    Stopping.m_Exchange.stop();
    std::erase_if(m_List.m_Instances, [&](const PeerInstance &Peer) {
      return Peer.m_Name == Stopping.m_Self.m_Name;
    });
    for (const auto &Member : m_Instances)
      Member->m_Exchange.setPeers(m_List);
  }

  void placeOneEach() {
    for (const auto &Member : m_Instances)
      Member->place(m_Clock.now());
  }

  /// Returns whether all instances know of exactly \p Calls calls.
  bool allKnowCalls(int Calls) {
    return std::all_of(m_Instances.begin(), m_Instances.end(),
                       [&](const auto &Member) {
                         return Member->knownCalls(m_Clock.now()) == Calls;
                       });
  }

  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  Network m_Net;
  PeerList m_List;
  std::vector<std::unique_ptr<Instance>> m_Instances;
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_DIGEST_FLEET_H
