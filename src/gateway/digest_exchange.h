/// Tells the other instances what this one has at the upstreams.
///
/// Instances decide alone, and each sees a small part of the load: without the
/// others' digests the engines that look idle to all get all of a burst.
#ifndef CROWSTEP_GATEWAY_DIGEST_EXCHANGE_H
#define CROWSTEP_GATEWAY_DIGEST_EXCHANGE_H

#include "balance/balancer.h"
#include "balance/digest_sum.h"
#include "core/metrics.h"
#include "core/scheduler.h"
#include "gateway/directory.h"
#include "gateway/exchange_plan.h"
#include "link/link_type.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace crowstep::gateway {

/// Takes what a reader of the own zone has read of the directory.
using TakeUpdate = std::function<void(const DirectoryUpdate &)>;

/// Opens an instance's links once their \p Key is known.
using OpenLinks = std::function<std::unique_ptr<link::Links>(
    const std::string &Key, link::LinkListener &Listener)>;

class DigestExchange final : private link::LinkListener {
public:
  /// How often a digest goes out while there is something to tell. A tenth of
  /// a second is a small part of the shortest target and of the time in which
  /// an engine reads a long prompt.
  static constexpr Duration Interval = std::chrono::milliseconds(100);

  /// With many links digests go out less often: at most 200 frames a second
  /// cost an instance under half a hundredth of a core, whatever their number.
  static constexpr Duration IntervalPerLink = std::chrono::milliseconds(5);

  /// A hub tells its zone of the others with every so many digests: that sum
  /// has a line for each engine and goes to all of the zone.
  static constexpr unsigned TicksPerRelay = 2;

  /// \p Self is where others reach this instance.
  DigestExchange(PeerInstance Self, OpenLinks Open, const Clock &Time,
                 Scheduler &Timers, balance::Balancer &Loads, Metrics &Stats,
                 TakeUpdate OnUpdate);
  ~DigestExchange() override;
  DigestExchange(const DigestExchange &) = delete;
  DigestExchange &operator=(const DigestExchange &) = delete;

  /// Links up with \p Peers, which may hold this instance itself.
  void setPeers(const PeerList &Peers);

  /// Returns what this instance does for its zone in reading the directory:
  /// the zone's hubs read for the others.
  [[nodiscard]] ReadingRole readingRole() const;

  /// Passes on to the own zone what this instance has read.
  void passOn(const DirectoryUpdate &Update);

private:
  /// A link that is up.
  struct Linked {
    InstanceId m_Instance;   ///< Whose.
    AvailabilityZone m_Zone; ///< Where that is.
    bool m_Reported = false; ///< Its dropped updates are in the log.
  };

  void linkUp(link::LinkId Link, const link::Peer &Who) override;
  void linkFrame(link::LinkId Link, const wire::Frame &Frame) override;
  void linkDown(link::LinkId Link, const link::Peer &Who,
                link::CloseReason Why) override;
  void dialFailed(const Address &Where, link::CloseReason Why) override;

  void dialAll();
  void tick();
  void tellNear(const balance::LoadDigest &Own);
  void relay(const balance::LoadDigest &Own);
  void becomeHub(bool Hub);
  [[nodiscard]] balance::LoadDigest crashesKnown() const;
  void takeUpdates(Linked &From, const wire::Frame &Frame);
  void dropUpdate(Linked &From);
  [[nodiscard]] bool isNear(const Linked &Which) const;
  [[nodiscard]] bool shouldBeHub() const;
  [[nodiscard]] Duration interval() const;

  PeerInstance m_Self;                  ///< This instance.
  OpenLinks m_Open;                     ///< Never empty.
  const Clock &m_Clock;                 ///< Outlives this object.
  balance::Balancer &m_Balancer;        ///< Outlives this object.
  TakeUpdate m_OnUpdate;                ///< Never empty.
  Counter &m_Updates;                   ///< Taken from readers.
  Counter &m_DroppedUpdates;            ///< Of others, or unreadable.
  std::unique_ptr<link::Links> m_Links; ///< Null until the key is known.
  ExchangePlan m_Plan;                  ///< By the last list.
  std::set<Address> m_Dialled;          ///< Peers whose links we open.
  std::map<link::LinkId, Linked> m_Up;  ///< Links that are up.
  bool m_ToldNothing = true;            ///< The last digest was empty.
  bool m_Hub = false;                   ///< It speaks for its zone.
  unsigned m_Ticks = 0;                 ///< Digests so far.
  balance::DigestSum m_OwnZone;         ///< For the other zones, as a hub.
  balance::DigestSum m_OtherZones;      ///< For the own zone, as a hub.
  Timer m_Tick;                         ///< The next digest.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIGEST_EXCHANGE_H
