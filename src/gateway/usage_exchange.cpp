/// Passes the usage counters to the instances that collect them, and the
/// instances' calendar time to one another.
#include "gateway/usage_exchange.h"

#include "wire/wire_text.h"

#include <algorithm>
#include <memory>

namespace crowstep::gateway {

UsageExchange::UsageExchange(duty::UsageMeter &Meter, duty::MajorityClock &Time,
                             const WallClock &Wall, Metrics &Stats)
    : m_Meter(Meter), m_Time(Time), m_Wall(Wall),
      m_Dropped(Stats.counter("crowstep_usage_counts_dropped_total")) {}

bool UsageExchange::goesTo(PeerRole Role, const duty::UsageSource &Source,
                           bool IsHub) const {
  const bool Own = Source == m_Meter.self();
  switch (Role) {
  case PeerRole::None:
    return false;
  case PeerRole::Collector:
    return Own;
  case PeerRole::OtherZonesHub:
    return IsHub && (Own || m_OwnZone.contains(Source.m_Instance));
  }
  return false;
}

void UsageExchange::sendAll(link::Links &Links, const PeerLink &To) const {
  if (To.m_Role != PeerRole::None)
    pack(m_Meter.counts().all(), Links.outbox(To.m_Link));
}

void UsageExchange::sendChanges(link::Links &Links,
                                const std::vector<PeerLink> &Peers,
                                bool IsHub) {
  const std::vector<duty::UsageCount> Changes = m_Meter.counts().takeChanges();
  if (Changes.empty())
    return;
  for (const PeerLink &To : Peers) {
    std::vector<duty::UsageCount> Counts;
    std::copy_if(Changes.begin(), Changes.end(), std::back_inserter(Counts),
                 [&](const duty::UsageCount &Count) {
                   return goesTo(To.m_Role, Count.m_Source, IsHub);
                 });
    if (!Counts.empty())
      pack(Counts, Links.outbox(To.m_Link));
  }
}

/// Counters come sorted by window and process; those of one process share a
/// table.
void UsageExchange::pack(const std::vector<duty::UsageCount> &Counts,
                         wire::FrameT &Into) {
  wire::UsageCountsT *Open = nullptr;
  for (const duty::UsageCount &Count : Counts) {
    const duty::UsageSource &Source = Count.m_Source;
    if (Open == nullptr || Open->instance != Source.m_Instance.value() ||
        Open->incarnation != Source.m_Incarnation.value()) {
      Into.usage.push_back(std::make_unique<wire::UsageCountsT>());
      Open = Into.usage.back().get();
      Open->instance = Source.m_Instance.value();
      Open->incarnation = Source.m_Incarnation.value();
    }
    auto Packed = std::make_unique<wire::UsageCountT>();
    Packed->window = Count.m_Window.value();
    Packed->workspace = Count.m_Workspace;
    Packed->count = Count.m_Count;
    Open->counts.push_back(std::move(Packed));
  }
}

void UsageExchange::stamp(wire::GatewayDigestT &Digest) const {
  Digest.sent_at_us = m_Wall.now().time_since_epoch().count();
}

void UsageExchange::receive(InstanceId Peer, const wire::Frame &Frame,
                            bool FromOwnZone) {
  if (Frame.digest() != nullptr && Frame.digest()->sent_at_us() >= 0)
    m_Time.recordPeer(Peer, WallTime(Duration(Frame.digest()->sent_at_us())));
  if (Frame.usage() == nullptr)
    return;
  for (const wire::UsageCounts *Received : *Frame.usage())
    receiveCounts(*Received, FromOwnZone);
}

void UsageExchange::receiveCounts(const wire::UsageCounts &Received,
                                  bool FromOwnZone) {
  if (Received.counts() == nullptr)
    return;
  const duty::UsageSource Source = {InstanceId(Received.instance()),
                                    Incarnation(Received.incarnation())};
  if (FromOwnZone && Source.m_Instance != m_Meter.self().m_Instance)
    m_OwnZone.insert(Source.m_Instance);
  duty::UsageCounts &Known = m_Meter.counts();
  for (const wire::UsageCount *Count : *Received.counts())
    if (!Known.merge({Source, duty::UsageWindow(Count->window()),
                      wire::textOf(Count->workspace()), Count->count()}))
      m_Dropped.add();
}

} // namespace crowstep::gateway
