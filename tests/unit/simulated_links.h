/// Links for relayed calls between simulated instances, in virtual time.
#ifndef CROWSTEP_TESTS_UNIT_SIMULATED_LINKS_H
#define CROWSTEP_TESTS_UNIT_SIMULATED_LINKS_H

#include "core/scheduler.h"
#include "gateway/directory.h"
#include "link/link_type.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace crowstep::test {

using namespace std::chrono_literals;

class SimulatedLinks;

/// Connects SimulatedLinks. Frames take a millisecond and keep their order.
class LinkNetwork {
public:
  static constexpr Duration Delay = 1ms;        ///< One way.
  static constexpr Duration RedialTime = 100ms; ///< After a failed dial.

  explicit LinkNetwork(ManualScheduler &Timers) : m_Timers(Timers) {}

  std::size_t m_QueuedBytes = 0; ///< That each link states.

  /// One direction of a link.
  struct End {
    SimulatedLinks *m_Owner = nullptr; ///< Sends here.
    link::LinkId m_Remote;             ///< The other direction.
    wire::FrameT m_Frame;              ///< Under assembly.
    bool m_HasFrame = false;           ///< m_Frame is to be sent.
  };

  void connect(SimulatedLinks &From, const Address &Where);
  wire::FrameT &outbox(link::LinkId Link);
  void send(link::LinkId Link);
  void close(link::LinkId Link);

  /// The instance has started.
  void add(SimulatedLinks &Started);

  /// All links of an instance are lost.
  void breakLinks(const std::string &Instance);

  /// Loses all frames from and to an instance, which can't be linked anew,
  /// until reconnect().
  void cutOff(const std::string &Instance) { m_CutOff.insert(Instance); }

  /// Ends a cut that was so long that the links have failed.
  void reconnect(const std::string &Instance) {
    breakLinks(Instance);
    m_CutOff.erase(Instance);
  }

  /// The instance is gone: its links close at their other ends.
  void remove(SimulatedLinks &Gone);

  [[nodiscard]] bool isFrozen(const std::string &Instance) const {
    return m_Frozen.contains(Instance);
  }

  /// Delivers what a frozen instance has not read.
  void thaw(const std::string &Instance);

  std::map<Address, SimulatedLinks *> m_Listening; ///< By relay address.
  std::map<std::uint64_t, SimulatedLinks *> m_All; ///< By serial number.
  std::map<link::LinkId, End> m_Ends;              ///< Open.
  std::set<std::string> m_Frozen; ///< Instances that read nothing.
  std::set<std::string> m_CutOff; ///< Instances that reach no other.
  std::uint64_t m_Bytes = 0;      ///< Of all frames.
  std::size_t m_LinkCount = 0;    ///< Made so far.

private:
  [[nodiscard]] bool isCut(const SimulatedLinks &From,
                           const SimulatedLinks &To) const;
  void redial(const SimulatedLinks &From, const Address &Where);
  void notifyClosed(const End &Closed, link::LinkId Link);
  void deliver(link::LinkId To, const std::vector<std::uint8_t> &Bytes);
  void after(Duration Span, std::function<void()> Job) {
    m_Timers.runAfter(Span, std::move(Job));
  }

  ManualScheduler &m_Timers; ///< Outlives it.
  std::uint64_t m_LastId = 0;
  std::uint64_t m_LastSerial = 0;
  wire::FrameT m_Discarded; ///< For closed links.
  std::vector<std::pair<link::LinkId, std::vector<std::uint8_t>>>
      m_Unread; ///< By frozen instances.
};

/// The links that one instance dials, or those that it accepts.
class SimulatedLinks final : public link::Links {
public:
  SimulatedLinks(LinkNetwork &Net, const gateway::PeerInstance &Self,
                 bool Listens, link::LinkListener &Listener)
      : m_Network(Net), m_Self(Self), m_Listener(Listener) {
    m_Network.add(*this);
    if (Listens)
      m_Network.m_Listening[Self.m_RelayAddress] = this;
  }
  ~SimulatedLinks() override { m_Network.remove(*this); }
  SimulatedLinks(const SimulatedLinks &) = delete;
  SimulatedLinks &operator=(const SimulatedLinks &) = delete;

  void dial(const Address &Where) override {
    m_Wanted.insert(Where);
    const auto Kept = m_Kept.extract(Where);
    if (!Kept.empty() && m_Network.m_Ends.contains(Kept.mapped()))
      m_Dialled[Where] = Kept.mapped();
    else
      m_Network.connect(*this, Where);
  }
  void stopDialling(const Address &Where) override {
    m_Wanted.erase(Where);
    if (const auto Dialled = m_Dialled.extract(Where); !Dialled.empty())
      m_Kept[Where] = Dialled.mapped();
  }
  void disconnect(const Address &Where) override {
    m_Wanted.erase(Where);
    const auto Found = m_Dialled.find(Where);
    if (Found == m_Dialled.end())
      return;
    const link::LinkId Link = Found->second;
    m_Dialled.erase(Found);
    m_Network.close(Link);
  }
  wire::FrameT &outbox(link::LinkId Link) override {
    return m_Network.outbox(Link);
  }
  void flush(link::LinkId Link) override { m_Network.send(Link); }
  void close(link::LinkId Link) override { m_Network.close(Link); }
  [[nodiscard]] std::size_t queuedBytes(link::LinkId) const override {
    return m_Network.m_QueuedBytes;
  }

  [[nodiscard]] link::Peer asPeer() const {
    return {wire::Role::Gateway, m_Self.m_Name, instanceIdOf(m_Self.m_Name),
            Incarnation(1),      m_Self.m_Zone, m_Self.m_Address};
  }

  LinkNetwork &m_Network;                    ///< Outlives it.
  gateway::PeerInstance m_Self;              ///< Its instance.
  link::LinkListener &m_Listener;            ///< Outlives it.
  std::map<Address, link::LinkId> m_Dialled; ///< Links that it dialled.
  std::map<Address, link::LinkId> m_Kept;    ///< After stopDialling().
  std::set<Address> m_Wanted;                ///< Dialled until disconnect().
  std::uint64_t m_Serial = 0;                ///< Unique in the network.
};

inline void LinkNetwork::connect(SimulatedLinks &From, const Address &Where) {
  after(Delay * 4, [this, Serial = From.m_Serial, Where] {
    const auto Dialler = m_All.find(Serial);
    if (Dialler == m_All.end() || !Dialler->second->m_Wanted.contains(Where) ||
        Dialler->second->m_Dialled.contains(Where))
      return;
    SimulatedLinks &From = *Dialler->second;
    const auto Found = m_Listening.find(Where);
    if (Found == m_Listening.end() || isCut(From, *Found->second)) {
      redial(From, Where);
      return;
    }
    SimulatedLinks &To = *Found->second;
    const link::LinkId Near(++m_LastId);
    const link::LinkId Far(++m_LastId);
    ++m_LinkCount;
    m_Ends[Near] = {&From, Far, {}, false};
    m_Ends[Far] = {&To, Near, {}, false};
    From.m_Dialled[Where] = Near;
    To.m_Listener.linkUp(Far, From.asPeer());
    From.m_Listener.linkUp(Near, To.asPeer());
  });
}

inline bool LinkNetwork::isCut(const SimulatedLinks &From,
                               const SimulatedLinks &To) const {
  return m_CutOff.contains(From.m_Self.m_Name) ||
         m_CutOff.contains(To.m_Self.m_Name);
}

inline void LinkNetwork::redial(const SimulatedLinks &From,
                                const Address &Where) {
  after(RedialTime, [this, Serial = From.m_Serial, Where] {
    if (const auto Dialler = m_All.find(Serial); Dialler != m_All.end())
      connect(*Dialler->second, Where);
  });
}

inline void LinkNetwork::add(SimulatedLinks &Started) {
  Started.m_Serial = ++m_LastSerial;
  m_All[Started.m_Serial] = &Started;
}

inline wire::FrameT &LinkNetwork::outbox(link::LinkId Link) {
  const auto Found = m_Ends.find(Link);
  if (Found == m_Ends.end())
    return m_Discarded = wire::FrameT();
  if (!Found->second.m_HasFrame)
    after(Duration::zero(), [this, Link] { send(Link); });
  Found->second.m_HasFrame = true;
  return Found->second.m_Frame;
}

inline void LinkNetwork::send(link::LinkId Link) {
  const auto Found = m_Ends.find(Link);
  if (Found == m_Ends.end() || !Found->second.m_HasFrame)
    return;
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::Frame::Pack(Builder, &Found->second.m_Frame));
  Found->second.m_Frame = {};
  Found->second.m_HasFrame = false;
  std::vector<std::uint8_t> Bytes(Builder.GetBufferPointer(),
                                  Builder.GetBufferPointer() +
                                      Builder.GetSize());
  m_Bytes += Bytes.size();
  const auto Remote = m_Ends.find(Found->second.m_Remote);
  if (Remote != m_Ends.end() &&
      isCut(*Found->second.m_Owner, *Remote->second.m_Owner))
    return;
  after(Delay, [this, To = Found->second.m_Remote, Bytes = std::move(Bytes)] {
    deliver(To, Bytes);
  });
}

inline void LinkNetwork::deliver(link::LinkId To,
                                 const std::vector<std::uint8_t> &Bytes) {
  const auto Found = m_Ends.find(To);
  if (Found == m_Ends.end())
    return;
  SimulatedLinks &Owner = *Found->second.m_Owner;
  if (isFrozen(Owner.m_Self.m_Name))
    m_Unread.emplace_back(To, Bytes);
  else
    Owner.m_Listener.linkFrame(To, *wire::GetFrame(Bytes.data()));
}

inline void LinkNetwork::thaw(const std::string &Instance) {
  m_Frozen.erase(Instance);
  const auto Unread = std::move(m_Unread);
  m_Unread.clear();
  for (const auto &[To, Bytes] : Unread)
    deliver(To, Bytes); // Those of other frozen instances stay unread.
}

inline void LinkNetwork::close(link::LinkId Link) {
  send(Link);
  const auto Found = m_Ends.find(Link);
  if (Found == m_Ends.end())
    return;
  const link::LinkId Remote = Found->second.m_Remote;
  const link::Peer Self = Found->second.m_Owner->asPeer();
  notifyClosed(Found->second, Link);
  m_Ends.erase(Found);
  after(Delay, [this, Remote, Self] {
    const auto Other = m_Ends.find(Remote);
    if (Other == m_Ends.end())
      return;
    SimulatedLinks &Owner = *Other->second.m_Owner;
    m_Ends.erase(Other);
    for (const auto &[Where, Dialled] : Owner.m_Dialled)
      if (Dialled == Remote)
        redial(Owner, Where);
    std::erase_if(Owner.m_Dialled,
                  [&](const auto &Entry) { return Entry.second == Remote; });
    Owner.m_Listener.linkDown(Remote, Self, link::CloseReason::PeerClosed);
  });
}

/// The listener learns of a link that its own side closed from the loop.
inline void LinkNetwork::notifyClosed(const End &Closed, link::LinkId Link) {
  const auto Remote = m_Ends.find(Closed.m_Remote);
  if (Remote == m_Ends.end())
    return;
  after(Duration::zero(), [this, Serial = Closed.m_Owner->m_Serial, Link,
                           Peer = Remote->second.m_Owner->asPeer()] {
    if (const auto Owner = m_All.find(Serial); Owner != m_All.end())
      Owner->second->m_Listener.linkDown(Link, Peer, link::CloseReason::Local);
  });
}

inline void LinkNetwork::breakLinks(const std::string &Instance) {
  std::vector<link::LinkId> Links;
  for (const auto &[Id, Entry] : m_Ends)
    if (Entry.m_Owner->m_Self.m_Name == Instance)
      Links.push_back(Id);
  for (const link::LinkId Link : Links) {
    SimulatedLinks &Owner = *m_Ends.at(Link).m_Owner;
    const auto Dialled =
        std::ranges::find_if(Owner.m_Dialled, [&](const auto &Entry) {
          return Entry.second == Link;
        });
    close(Link);
    if (Dialled == Owner.m_Dialled.end())
      continue;
    redial(Owner, Dialled->first);
    Owner.m_Dialled.erase(Dialled);
  }
}

inline void LinkNetwork::remove(SimulatedLinks &Gone) {
  m_All.erase(Gone.m_Serial);
  std::erase_if(m_Listening,
                [&](const auto &Entry) { return Entry.second == &Gone; });
  std::vector<link::LinkId> Links;
  for (const auto &[Id, Entry] : m_Ends)
    if (Entry.m_Owner == &Gone)
      Links.push_back(Id);
  for (const link::LinkId Link : Links)
    close(Link);
}

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_SIMULATED_LINKS_H
