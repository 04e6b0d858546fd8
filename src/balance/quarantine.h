/// Requests that crash the upstreams that run them, and may run no more.
///
/// A request is known by the hash of its content, whoever sends it where. What
/// counts against it are the upstreams that went down while it ran there: a set
/// of lifetimes, so that news which come late, twice or by several ways count
/// once. All that ran at an upstream is suspected of its crash; a call that
/// comes to its end clears its request.
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

/// What instances broadcast about a request.
struct CrashNews {
  ContentHash m_Request; ///< Which request.

  /// Went down while it ran there; none: the request came to its end, which
  /// clears it.
  std::optional<UpstreamId> m_Upstream;

  bool operator==(const CrashNews &) const = default;
};

/// Why a request is suspected no more.
enum class ClearReason : std::uint8_t {
  Served,          ///< A call of this instance came to its end.
  ServedElsewhere, ///< A call of another instance did.
  Unlisted,        ///< It was taken off the list, by an operator perhaps.
  Forgotten,       ///< To make room.
};

/// Returns the stable name in logs, such as "served_elsewhere".
std::string_view nameOf(ClearReason Reason);

/// Hears of what changes.
class QuarantineListener {
public:
  virtual ~QuarantineListener() = default;

  /// \p Request may not run for \p Span.
  virtual void quarantined(const ContentHash &Request, std::size_t Crashes,
                           Duration Hold) = 0;

  /// A quarantine has ended.
  virtual void cleared(const ContentHash &Request, ClearReason Reason) = 0;
};

class Quarantine {
public:
  /// A request is quarantined with so many crashes.
  static constexpr std::size_t MostCrashes = 3;

  /// A quarantined request may run again after this and up to half as much
  /// more, another time on each instance: one crash then quarantines it
  /// everywhere for LapseGrowth times as long.
  static constexpr Duration FirstLapse = std::chrono::minutes(5);
  static constexpr int LapseGrowth = 12;
  static constexpr Duration LongestLapse = std::chrono::hours(24);

  /// Crashes older than this don't count towards a quarantine.
  static constexpr Duration SuspectLife = std::chrono::minutes(15);

  /// An upstream's crash is known within this time after its connections broke.
  static constexpr Duration BrokenLife = std::chrono::seconds(6);

  /// Requests that are remembered; suspects are dropped first, then the oldest.
  static constexpr std::size_t MostRequests = 4096;

  /// News in one message: calls at a large upstream, and some more.
  static constexpr std::size_t MostNews = 512;

  /// \p Seed differs between instances.
  explicit Quarantine(std::uint64_t Seed);

  /// \p Listener outlives this object; null: none.
  void setListener(QuarantineListener *Listener) { m_Listener = Listener; }

  /// A call's connection broke at an upstream before its answer was whole.
  void callBroken(const ContentHash &Request, UpstreamId Upstream,
                  TimePoint Now);

  /// An upstream went down: what broke there lately was a crash. Returns how
  /// many calls that were.
  std::size_t upstreamDown(UpstreamId Upstream, TimePoint Now);

  /// A call came to its end.
  void served(const ContentHash &Request);

  /// Takes another instance's news.
  void take(const std::vector<CrashNews> &Updates, TimePoint Now);

  /// Returns this instance's own news since the last time.
  std::vector<CrashNews> takeNews();

  /// Returns all that is known, for an instance that may not know it.
  [[nodiscard]] std::vector<CrashNews> all() const;

  /// Takes the whole list of quarantined requests that outlasts all instances.
  /// Those that are new on it are quarantined; those that have gone from it are
  /// cleared.
  void setListed(const std::set<ContentHash> &Listed, TimePoint Now);

  /// Returns the quarantined requests that this instance helped to find and
  /// that are not listed yet.
  [[nodiscard]] std::vector<ContentHash> unlisted() const;

  /// Returns the requests that are still listed although a call of this
  /// instance has cleared them.
  [[nodiscard]] const std::set<ContentHash> &wronglyListed() const {
    return m_WronglyListed;
  }

  /// Returns how long \p Request may not run; zero: it may.
  [[nodiscard]] Duration heldFor(const ContentHash &Request,
                                 TimePoint Now) const;

  /// Returns how many crashes count against \p Request.
  [[nodiscard]] std::size_t crashesOf(const ContentHash &Request) const;

  /// Returns how many requests are quarantined.
  [[nodiscard]] std::size_t size() const { return m_Size; }

private:
  /// What is known of one request.
  struct Record {
    std::set<UpstreamId> m_Crashes; ///< Lifetimes that ended under it.
    TimePoint m_LastAt{};           ///< Of the last crash.
    TimePoint m_HeldUntil{};        ///< May not run before.
    Duration m_Lapse{};             ///< Of the last quarantine; 0: none yet.
    bool m_Own = false;             ///< One of the crashes was seen here.

    [[nodiscard]] bool quarantined() const {
      return m_Lapse > Duration::zero();
    }
  };

  /// A call that broke, and may have been at a crash.
  struct Broken {
    ContentHash m_Request; ///< Its request.
    UpstreamId m_Upstream; ///< Where.
    TimePoint m_At;        ///< When.
  };

  void crashed(const ContentHash &Request, UpstreamId Upstream,
               bool ObservedHere, TimePoint Now);
  void hold(const ContentHash &Request, Record &Entry, TimePoint Now);
  void clear(const ContentHash &Request, ClearReason Reason);
  void broadcast(const CrashNews &Update);
  void makeRoom();

  QuarantineListener *m_Listener = nullptr;          ///< Null: none.
  double m_Spread;                                   ///< Of lapses, 0 to 1.
  std::unordered_map<ContentHash, Record> m_Records; ///< By request.
  std::size_t m_Size = 0;                ///< Quarantined ones among m_Records.
  std::deque<Broken> m_Broken;           ///< Oldest first.
  std::vector<CrashNews> m_News;         ///< Not broadcast yet.
  std::set<ContentHash> m_Listed;        ///< See setListed().
  std::set<ContentHash> m_WronglyListed; ///< A part of m_Listed.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_QUARANTINE_H
