/// Quarantine of what crashes the upstreams that run it.
///
/// A suspect is the content of a request, whichever caller sends it and to
/// whichever instance, or a segment that prompts share. What counts against it
/// is the set of processes of upstreams that went down while it ran there: as a
/// set, updates that arrive late, twice or by several paths count once.
///
/// Every request that ran at an upstream is suspected of its crash, and each
/// segment of those that had hardly begun their answers, as an upstream crashes
/// when it begins to write. A crash has one reason: one at which a quarantined
/// segment was counts against no request, and against no segment that was at
/// fewer crashes. A call that completes clears its request; one that completes
/// or goes on writing shows that its segments are sound.
#ifndef CROWSTEP_QUARANTINE_QUARANTINE_H
#define CROWSTEP_QUARANTINE_QUARANTINE_H

#include "core/clock.h"
#include "quarantine/crash_suspect.h"
#include "quarantine/sound_segments.h"
#include "upstream_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crowstep::quarantine {

/// How a segment was at a crash.
struct SegmentEvidence {
  std::uint64_t m_Request = 0; ///< Tells requests with the segment apart.
  std::uint8_t m_Position = 0; ///< Of the segment in the prompt, from 0.

  bool operator==(const SegmentEvidence &) const = default;
};

/// Update on a suspect that instances broadcast.
struct CrashUpdate {
  ContentHash m_Suspect; ///< The suspect.

  /// The process that went down while the suspect ran there; none: a call
  /// completed, which clears the suspect.
  std::optional<IncarnationId> m_Crash;

  /// Set if the suspect is a segment.
  std::optional<SegmentEvidence> m_Segment;

  bool operator==(const CrashUpdate &) const = default;
};

/// A call whose connection broke, maybe by a crash of the upstream.
struct BrokenCall {
  CallSuspects m_Suspects;     ///< Of the call.
  UpstreamId m_Upstream;       ///< Where it ran.
  IncarnationId m_Incarnation; ///< The process there.
  bool m_HadBegun = false;     ///< Its answer had begun some time before.
};

/// Time for which a call must not run, and why.
struct CrashHold {
  Duration m_Left{};                         ///< 0: it may run.
  ContentHash m_Suspect;                     ///< That is quarantined.
  SuspectKind m_Kind = SuspectKind::Request; ///< Of that suspect.
};

/// Why a suspect is no longer one.
enum class ClearReason : std::uint8_t {
  Served,          ///< A call of this instance completed.
  ServedElsewhere, ///< A call of another instance completed.
  Unlisted,        ///< It was removed from the list, maybe by an operator.
  Forgotten,       ///< Evicted to make room.
  Explained,       ///< Another segment was at all of its crashes.
};

/// Returns the stable name in logs, such as "served_elsewhere".
std::string_view nameOf(ClearReason Reason);

/// Receives the changes of a Quarantine.
class QuarantineListener {
public:
  virtual ~QuarantineListener() = default;

  /// \p Suspect must not run for \p Hold.
  virtual void onQuarantined(const ContentHash &Suspect, SuspectKind Kind,
                             std::size_t Crashes, Duration Hold) = 0;

  /// The quarantine of \p Suspect has ended.
  virtual void onCleared(const ContentHash &Suspect, SuspectKind Kind,
                         ClearReason Reason) = 0;

  /// An update that other instances should get was dropped for lack of room.
  virtual void onUpdateDropped() = 0;
};

class Quarantine {
public:
  /// Number of crashes from which a request is quarantined.
  static constexpr std::size_t CrashThreshold = 3;

  /// Number of crashes from which a segment is quarantined, and from which one
  /// is that was found to be sound before.
  static constexpr std::size_t SegmentThreshold = 5;
  static constexpr std::size_t SoundSegmentThreshold = 10;

  /// Number of different requests with a segment at these crashes. One request
  /// is repeated, and sent again by its caller.
  static constexpr std::size_t SegmentRequests = 3;

  /// Number of crashes from which an instance that has served a segment states
  /// that.
  static constexpr std::size_t StatementThreshold = 2;

  /// A call is suspected with its segments if its answer began less than this
  /// before the connection broke.
  static constexpr Duration SuspectOutputTime = std::chrono::milliseconds(250);

  /// Segments of a call whose answer has been written for this long are sound.
  static constexpr Duration SoundOutputTime = std::chrono::seconds(1);

  /// Hold time of the first quarantine, to which each instance adds a
  /// different share of up to a half, so that the suspect may run again on one
  /// of them first. One crash there then quarantines it everywhere for
  /// HoldGrowthFactor times as long.
  static constexpr Duration InitialHold = std::chrono::minutes(5);
  static constexpr int HoldGrowthFactor = 12;
  static constexpr Duration MaxHold = std::chrono::hours(24);

  /// The crashes of a suspect no longer count towards a quarantine when the
  /// last one is older than this.
  static constexpr Duration SuspectLifetime = std::chrono::minutes(15);

  /// An upstream's crash is detected within this time after its connections
  /// broke.
  static constexpr Duration BrokenCallLifetime = std::chrono::seconds(6);

  /// Limit on the recorded suspects, and on the broken calls. Suspects that are
  /// not quarantined are evicted first, and of these the oldest.
  static constexpr std::size_t MaxSuspects = 4096;

  /// Limit on the updates in one message: allows for the calls at a large
  /// upstream, and some more.
  static constexpr std::size_t MaxUpdates = 512;

  /// Limit on the updates that wait for the next messages.
  static constexpr std::size_t MaxPendingUpdates = 8 * MaxUpdates;

  /// \p Seed differs between instances.
  explicit Quarantine(std::uint64_t Seed);

  /// \p Listener must outlive this object; null: none.
  void setListener(QuarantineListener *Listener) { m_Listener = Listener; }

  /// The connection of a call broke before the answer was complete.
  void recordBrokenCall(const BrokenCall &Call, TimePoint Now);

  /// An upstream went down: the calls that broke there within
  /// BrokenCallLifetime were part of a crash. Returns their number.
  std::size_t recordUpstreamDown(UpstreamId Upstream, TimePoint Now);

  /// A call of this instance completed.
  void recordServed(const ContentHash &Request);

  /// An upstream has written an answer on \p Segments for some time.
  void recordSound(const std::vector<ContentHash> &Segments, TimePoint Now);

  /// Applies another instance's updates.
  void applyUpdates(const std::vector<CrashUpdate> &Updates, TimePoint Now);

  /// Returns this instance's own updates since the last call, MaxUpdates at
  /// most; the next call returns further ones.
  std::vector<CrashUpdate> takeUpdates();

  /// Returns the crashes of all suspects, quarantined ones first and MaxUpdates
  /// at most, for an instance that may not know them.
  [[nodiscard]] std::vector<CrashUpdate> snapshot() const;

  /// Sets the persistent list of quarantined suspects, which outlives all
  /// instances. Those that are new on it are quarantined; those that were
  /// removed from it are cleared.
  void setListed(const std::set<ContentHash> &Listed, TimePoint Now);

  /// Returns the quarantined suspects that are not listed yet and of which this
  /// instance observed a crash.
  [[nodiscard]] std::vector<ContentHash> unlistedSuspects() const;

  /// Returns the suspects that are still listed although a call of this
  /// instance has cleared them.
  [[nodiscard]] const std::set<ContentHash> &staleListings() const {
    return m_StaleListings;
  }

  /// Returns how long \p Suspect must not run; zero: it may.
  [[nodiscard]] Duration remainingHold(const ContentHash &Suspect,
                                       TimePoint Now) const;

  /// Returns the longest hold of a call's suspects.
  [[nodiscard]] CrashHold holdOf(const CallSuspects &Suspects,
                                 TimePoint Now) const;

  /// Returns how many crashes count against \p Suspect.
  [[nodiscard]] std::size_t crashCount(const ContentHash &Suspect) const;

  /// Returns the number of quarantined suspects.
  [[nodiscard]] std::size_t size() const { return m_QuarantinedCount; }

  /// Returns the number of quarantined segments.
  [[nodiscard]] std::size_t segmentCount() const {
    return m_HeldSegments.size();
  }

private:
  /// Requests with a segment that were at a crash; empty for requests.
  using RequestIds = std::set<std::uint64_t>;

  /// State of one suspect.
  struct Record {
    SuspectKind m_Kind = SuspectKind::Request;     ///< Of the suspect.
    std::map<IncarnationId, RequestIds> m_Crashes; ///< By process.
    std::uint8_t m_Position = 0; ///< Of a segment: the greatest one seen.
    TimePoint m_SoundAt{};       ///< When a segment was found to be sound.
    TimePoint m_UpdatedAt{};     ///< Last crash or listing.
    TimePoint m_HeldUntil{};     ///< Must not run before.
    Duration m_HoldTime{};       ///< Of the last quarantine; 0: none.
    bool m_ObservedHere = false; ///< One crash was observed here.
    bool m_IsExplained = false;  ///< Its last quarantine ended as Explained.

    [[nodiscard]] bool isQuarantined() const {
      return m_HoldTime > Duration::zero();
    }
  };

  /// A record with its key, as in m_Records.
  using Suspect = std::pair<const ContentHash, Record>;

  /// Crashes of a suspect that no quarantined segment explains.
  struct OwnCrashes {
    std::size_t m_Count = 0; ///< Of the crashes.
    RequestIds m_Requests;   ///< With the segment at these.
  };

  void recordCrash(const CrashUpdate &Update, bool ObservedHere, TimePoint Now);
  void stateIfSound(const ContentHash &Segment, TimePoint Now);
  void markSound(const ContentHash &Segment, ClearReason Reason, TimePoint Now);
  [[nodiscard]] static bool isMoreSuspect(const Suspect &Left,
                                          const Suspect &Right);
  [[nodiscard]] bool isExplained(const Suspect &Entry,
                                 IncarnationId Crash) const;
  [[nodiscard]] OwnCrashes ownCrashesOf(const Suspect &Entry) const;
  [[nodiscard]] static bool isKnownSound(const Record &Entry, TimePoint Now);
  [[nodiscard]] bool mustHold(const Suspect &Entry, TimePoint Now) const;
  void holdSuspects(TimePoint Now);
  void releaseExplained();
  void startHold(const ContentHash &Key, Record &Entry, TimePoint Now);
  void endHold(const ContentHash &Key, Record &Entry, ClearReason Reason);
  void clear(const ContentHash &Key, ClearReason Reason);
  void queueUpdate(const CrashUpdate &Update);
  void evictExcess();

  /// A broken call whose upstream may still turn out to be down.
  struct RecentCall {
    BrokenCall m_Call;    ///< The call.
    TimePoint m_BrokenAt; ///< When the connection broke.
  };

  QuarantineListener *m_Listener = nullptr;          ///< Null: none.
  double m_HoldJitter;                               ///< Of hold times, 0 to 1.
  std::unordered_map<ContentHash, Record> m_Records; ///< By suspect.
  std::size_t m_QuarantinedCount = 0;       ///< Quarantined among m_Records.
  std::set<ContentHash> m_HeldSegments;     ///< Quarantined, by evidence.
  std::set<ContentHash> m_Changed;          ///< For holdSuspects().
  SoundSegments m_Sound;                    ///< Served by this instance.
  std::deque<RecentCall> m_BrokenCalls;     ///< Oldest first.
  std::deque<CrashUpdate> m_PendingUpdates; ///< Not broadcast yet.
  std::set<ContentHash> m_Listed;           ///< See setListed().
  std::set<ContentHash> m_StaleListings;    ///< A part of m_Listed.
};

} // namespace crowstep::quarantine

#endif // CROWSTEP_QUARANTINE_QUARANTINE_H
