/// Keeps the origins of streams at a few instances each, and asks them.
///
/// Any instance may get the next attempt of a stream's caller, and the one that
/// began the stream may be gone by then. So before the first event goes to the
/// caller its origin is sent to some other instances, which are chosen by the
/// stream's key. An instance that doesn't know a stream asks those. An origin
/// never changes, so any answer is right however old it is; without an answer
/// the stream is not continued.
///
/// Where those that kept a stream are lost, the archive in the store may know
/// it: an instance that starts reads it, and one that runs reads it again when
/// a lookup finds nothing after a loss. The lookup waits for that, within its
/// time limit.
///
/// In a fleet with hubs the hubs of a zone keep all of its origins and pass
/// them on to the hubs of another zone. They search in the other zones for
/// streams that are not known in their own.
#ifndef CROWSTEP_RESUME_ORIGIN_EXCHANGE_H
#define CROWSTEP_RESUME_ORIGIN_EXCHANGE_H

#include "core/metrics.h"
#include "core/scheduler.h"
#include "instance_type.h"
#include "link/link_type.h"
#include "resume/origin_archive.h"
#include "resume/origin_directory.h"
#include "resume/record_copies.h"
#include "resume/stream_origins.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace crowstep::resume {

/// An established link to another instance.
struct OriginPeer {
  link::LinkId m_Link;     ///< To the instance.
  InstanceId m_Instance;   ///< The peer.
  AvailabilityZone m_Zone; ///< Of the peer.
  bool m_IsNear = false;   ///< It exchanges with this instance directly.
};

class OriginExchange final : public OriginDirectory {
public:
  /// Other instances that keep an origin.
  static constexpr std::size_t CopyCount = RecordCopies::CopyCount;

  /// Instances that are asked: more than keep it, as those that ask and those
  /// that recorded it may know of different instances.
  static constexpr std::size_t AskedCount = 6;

  /// Limits of a lookup, and of the search of a hub on behalf of one.
  static constexpr Duration LookupTimeout = std::chrono::milliseconds(250);
  static constexpr Duration SearchTimeout = std::chrono::milliseconds(150);

  /// Limit of a lookup that waits for the archive.
  static constexpr Duration ArchiveTimeout = std::chrono::seconds(1);

  /// Interval at which a hub passes origins on to another zone.
  static constexpr Duration ExportInterval = std::chrono::milliseconds(50);

  /// A zone's second hub keeps origins for the other zone for this long, in
  /// case the first one has failed.
  static constexpr Duration ExportMemory = std::chrono::seconds(3);

  /// Time after a change of the links in which further ones are awaited before
  /// missing copies are sent.
  static constexpr Duration CopyDelay = std::chrono::milliseconds(20);

  /// Lookups that this instance does for others at a time.
  static constexpr std::size_t MaxSearches = 4096;

  /// \p Self is this instance, in \p Zone; the references outlive this object.
  OriginExchange(InstanceId Self, AvailabilityZone Zone, const Clock &Time,
                 Scheduler &Timers, Metrics &Stats);
  ~OriginExchange() override;
  OriginExchange(const OriginExchange &) = delete;
  OriginExchange &operator=(const OriginExchange &) = delete;

  void record(const StreamRecord &Begun) override;
  [[nodiscard]] const StreamOrigin *
  findLocal(const StreamKey &Key) const override;
  [[nodiscard]] bool isUnproven(const StreamKey &Key) const override;
  std::unique_ptr<OriginLookup> ask(const StreamKey &Key,
                                    LookupCallback OnDone) override;

  /// Sets the archive that gets the origins which this instance has to write,
  /// and whose origins are kept here; it outlives this object.
  void setArchive(OriginArchive &Archive);

  /// Announces to all instances that this one ends soon and must get no
  /// further records.
  void stop();

  // ---- For the owner of the links -------------------------------------------

  /// The link to \p Peer is up; \p Links outlives it.
  void addPeer(link::Links &Links, const OriginPeer &Peer);
  void removePeer(link::LinkId Link);

  /// Sets whether a peer exchanges with this instance directly.
  void setNear(link::LinkId Link, bool IsNear);

  /// Sets the hubs of the own zone, best first; empty: there are no hubs.
  void setHubs(const std::vector<InstanceId> &Hubs);

  /// Sets whether this instance is its zone's active hub.
  void setActiveHub(bool IsActive);

  void receive(link::LinkId From, const wire::Frame &Frame);

private:
  class Lookup;

  struct Peer {
    OriginPeer m_Info;
    bool m_TakesPart = false; ///< It has announced that it answers.
    bool m_IsStopping = false;
    bool m_IsSilent = false; ///< It left a question unanswered.
  };

  /// Questions to other instances about one stream.
  struct Search {
    std::set<link::LinkId> m_Unanswered; ///< Asked.
    LookupResult m_Result;               ///< So far.
    StreamKey m_Key;                     ///< Of the stream.
    std::size_t m_HubCount = 0;          ///< Own zone's hubs that were asked.
    bool m_MayReadArchive = false;       ///< If nobody knows the stream.
    TimePoint m_BeganAt;                 ///< When the others were asked.
    Duration m_Timeout{};                ///< For their answers.
    bool m_WaitsForArchive = false;      ///< Nobody else knows the stream.
    LookupCallback m_OnDone;             ///< Never empty.
    std::unique_ptr<Timer> m_Timer;      ///< Ends it.
  };

  using SearchId = std::uint64_t;

  /// A record that is to be passed on to another zone.
  struct Export {
    TimePoint m_Since;     ///< When it was recorded here.
    StreamRecord m_Record; ///< With its lifetime at that time.
  };

  [[nodiscard]] std::vector<RecordCopy> holdersOf(const StreamKey &Key,
                                                  bool ForRecord) const;
  [[nodiscard]] std::vector<link::LinkId> otherZones() const;
  [[nodiscard]] std::vector<link::LinkId> partnerZone() const;
  [[nodiscard]] bool isHub() const;
  SearchId search(const StreamKey &Key, const std::vector<link::LinkId> &At,
                  bool InOtherZones, Duration Timeout, LookupCallback OnDone);
  void finishSearch(SearchId Id);
  bool waitForArchive(SearchId Id);
  [[nodiscard]] bool waitsForHubs(const Search &Open) const;
  void recordSilence(const Search &Open);
  [[nodiscard]] bool mayReadArchive() const;
  [[nodiscard]] std::size_t countHubs(const std::set<link::LinkId> &At) const;
  void handleArchiveRead();
  void updateArchiveRoles();
  [[nodiscard]] std::size_t archiveWriters() const;
  [[nodiscard]] bool isArchivePending() const {
    return m_Archive != nullptr && m_Archive->isReadPending();
  }
  void handleQuestion(link::LinkId From, const wire::StreamQuestion &Asked);
  void sendAnswer(link::LinkId To, std::uint64_t Question,
                  const StreamOrigin *Origin);
  void handleAnswer(link::LinkId From, const wire::StreamAnswer &Answer);
  void handleRecord(const Peer &From, const wire::StreamOrigin &Received);
  void keep(const StreamRecord &Record);
  void sendRecord(link::LinkId To, const StreamRecord &Record);
  void scheduleMissingCopies();
  void sendMissingCopies();
  [[nodiscard]] const StreamOrigin *findAny(const StreamKey &Key) const;
  void queueExport(const StreamRecord &Record);
  void sendExports();

  InstanceId m_Self;                    ///< This instance.
  AvailabilityZone m_Zone;              ///< Of this instance.
  const Clock &m_Clock;                 ///< Outlives this object.
  Scheduler &m_Timers;                  ///< Outlives this object.
  link::Links *m_Links = nullptr;       ///< Null until a link is up.
  StreamOrigins m_Origins;              ///< Own, and those kept for others.
  std::map<link::LinkId, Peer> m_Peers; ///< Linked.
  std::vector<InstanceId> m_Hubs;       ///< See setHubs().
  bool m_IsActiveHub = false;           ///< See setActiveHub().
  OriginArchive *m_Archive = nullptr;   ///< Null: there is none.
  TimePoint m_LastLossAt = TimePoint::min(); ///< Of a peer; min(): none yet.
  bool m_IsStopping = false;                 ///< After stop().
  RecordCopies m_RecordCopies;               ///< Of streams that began here.
  Timer m_CopyTimer;                         ///< Until sendMissingCopies().
  std::map<SearchId, Search> m_Searches;     ///< In progress.
  SearchId m_LastSearch = 0;                 ///< The first id is 1.
  std::deque<Export> m_Exports;              ///< In the order of m_Since.
  Timer m_ExportTimer;                       ///< Runs while there are exports.
  Gauge &m_KeptGauge;                        ///< Of m_Origins.
  Counter &m_Copies;                         ///< Records sent to others.
  Counter &m_Found;                          ///< Lookups that found an origin.
  Counter &m_Unknown;                        ///< Lookups that all denied.
  Counter &m_Unanswered;                     ///< Unknown, but not all answered.
};

} // namespace crowstep::resume

#endif // CROWSTEP_RESUME_ORIGIN_EXCHANGE_H
