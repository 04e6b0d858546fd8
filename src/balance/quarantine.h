/// Quarantine of requests that crash the upstreams that run them.
///
/// A request is identified by the hash of its content, whichever caller sends
/// it and to whichever instance. What counts against it is the set of
/// incarnations of upstreams that went down while it ran there: as a set,
/// updates that arrive late, twice or by several paths count once. Every
/// request that ran at an upstream is suspected of its crash; a call that
/// completes clears its request.
#ifndef CROWSTEP_BALANCE_QUARANTINE_H
#define CROWSTEP_BALANCE_QUARANTINE_H

#include "content_hash.h"
#include "core/clock.h"
#include "upstream_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crowstep::balance {

/// Update on a request that instances broadcast.
struct CrashUpdate {
  ContentHash m_Request; ///< The request.

  /// The upstream that went down while the request ran there; none: a call
  /// completed, which clears the request.
  std::optional<UpstreamId> m_Upstream;

  bool operator==(const CrashUpdate &) const = default;
};

/// Why a request is no longer suspected.
enum class ClearReason : std::uint8_t {
  Served,          ///< A call of this instance completed.
  ServedElsewhere, ///< A call of another instance completed.
  Unlisted,        ///< It was removed from the list, maybe by an operator.
  Forgotten,       ///< Evicted to make room.
};

/// Returns the stable name in logs, such as "served_elsewhere".
std::string_view nameOf(ClearReason Reason);

/// Receives the changes of a Quarantine.
class QuarantineListener {
public:
  virtual ~QuarantineListener() = default;

  /// \p Request must not run for \p Hold.
  virtual void onQuarantined(const ContentHash &Request, std::size_t Crashes,
                             Duration Hold) = 0;

  /// The quarantine of \p Request has ended.
  virtual void onCleared(const ContentHash &Request, ClearReason Reason) = 0;
};

class Quarantine {
public:
  /// Number of crashes from which a request is quarantined.
  static constexpr std::size_t CrashThreshold = 3;

  /// Hold time of the first quarantine, to which each instance adds a
  /// different share of up to a half, so that the request may run again on one
  /// of them first. One crash there then quarantines it everywhere for
  /// HoldGrowthFactor times as long.
  static constexpr Duration InitialHold = std::chrono::minutes(5);
  static constexpr int HoldGrowthFactor = 12;
  static constexpr Duration MaxHold = std::chrono::hours(24);

  /// The crashes of a request no longer count towards a quarantine when the
  /// last one is older than this.
  static constexpr Duration SuspectLifetime = std::chrono::minutes(15);

  /// An upstream's crash is detected within this time after its connections
  /// broke.
  static constexpr Duration BrokenCallLifetime = std::chrono::seconds(6);

  /// Limit on the recorded requests, and on the broken calls. Requests that are
  /// not quarantined are evicted first, and of these the oldest.
  static constexpr std::size_t MaxRequests = 4096;

  /// Limit on the updates in one message: allows for the calls at a large
  /// upstream, and some more.
  static constexpr std::size_t MaxUpdates = 512;

  /// \p Seed differs between instances.
  explicit Quarantine(std::uint64_t Seed);

  /// \p Listener must outlive this object; null: none.
  void setListener(QuarantineListener *Listener) { m_Listener = Listener; }

  /// The connection of a call to \p Upstream broke before the answer was
  /// complete.
  void recordBrokenCall(const ContentHash &Request, UpstreamId Upstream,
                        TimePoint Now);

  /// An upstream went down: the calls that broke there within
  /// BrokenCallLifetime were part of a crash. Returns their number.
  std::size_t recordUpstreamDown(UpstreamId Upstream, TimePoint Now);

  /// A call of this instance completed.
  void recordServed(const ContentHash &Request);

  /// Applies another instance's updates.
  void applyUpdates(const std::vector<CrashUpdate> &Updates, TimePoint Now);

  /// Returns this instance's own updates since the last call.
  std::vector<CrashUpdate> takeUpdates();

  /// Returns the crashes of all requests, quarantined ones first and MaxUpdates
  /// at most, for an instance that may not know them.
  [[nodiscard]] std::vector<CrashUpdate> snapshot() const;

  /// Sets the persistent list of quarantined requests, which outlives all
  /// instances. Requests that are new on it are quarantined; those that were
  /// removed from it are cleared.
  void setListed(const std::set<ContentHash> &Listed, TimePoint Now);

  /// Returns the quarantined requests that are not listed yet and of which this
  /// instance observed a crash.
  [[nodiscard]] std::vector<ContentHash> unlistedRequests() const;

  /// Returns the requests that are still listed although a call of this
  /// instance has cleared them.
  [[nodiscard]] const std::set<ContentHash> &staleListings() const {
    return m_StaleListings;
  }

  /// Returns how long \p Request must not run; zero: it may.
  [[nodiscard]] Duration remainingHold(const ContentHash &Request,
                                       TimePoint Now) const;

  /// Returns how many crashes count against \p Request.
  [[nodiscard]] std::size_t crashCount(const ContentHash &Request) const;

  /// Returns the number of quarantined requests.
  [[nodiscard]] std::size_t size() const { return m_QuarantinedCount; }

private:
  /// State of one request.
  struct Record {
    std::set<UpstreamId> m_CrashedUpstreams; ///< Incarnations, by id.
    TimePoint m_UpdatedAt{};                 ///< Last crash or listing.
    TimePoint m_HeldUntil{};                 ///< Must not run before.
    Duration m_HoldTime{};       ///< Of the last quarantine; 0: none.
    bool m_ObservedHere = false; ///< One crash was observed here.

    [[nodiscard]] bool isQuarantined() const {
      return m_HoldTime > Duration::zero();
    }
  };

  /// A call whose connection broke, maybe by a crash of the upstream.
  struct BrokenCall {
    ContentHash m_Request; ///< The request of the call.
    UpstreamId m_Upstream; ///< Where it ran.
    TimePoint m_BrokenAt;  ///< When the connection broke.
  };

  void recordCrash(const ContentHash &Request, UpstreamId Upstream,
                   bool ObservedHere, TimePoint Now);
  void startHold(const ContentHash &Request, Record &Entry, TimePoint Now);
  void clear(const ContentHash &Request, ClearReason Reason);
  void queueUpdate(const CrashUpdate &Update);
  void evictExcess();

  QuarantineListener *m_Listener = nullptr;          ///< Null: none.
  double m_HoldJitter;                               ///< Of hold times, 0 to 1.
  std::unordered_map<ContentHash, Record> m_Records; ///< By request.
  std::size_t m_QuarantinedCount = 0;        ///< Quarantined among m_Records.
  std::deque<BrokenCall> m_BrokenCalls;      ///< Oldest first.
  std::vector<CrashUpdate> m_PendingUpdates; ///< Not broadcast yet.
  std::set<ContentHash> m_Listed;            ///< See setListed().
  std::set<ContentHash> m_StaleListings;     ///< A part of m_Listed.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_QUARANTINE_H
