/// Chooses an upstream for each call, from what one instance knows.
///
/// Every instance decides on its own, from its own calls and the digests of the
/// other instances, or without digests from the upstreams' load reports. What
/// instances must agree on at once follows from hashes of ids that all of them
/// know.
#ifndef CROWSTEP_BALANCE_BALANCER_H
#define CROWSTEP_BALANCE_BALANCER_H

#include "balance/brittle_upstreams.h"
#include "balance/cache_model.h"
#include "balance/engine_choice.h"
#include "balance/engine_roles.h"
#include "balance/leaving_upstreams.h"
#include "balance/peer_loads.h"
#include "balance/placement_trace.h"
#include "balance/prefill_speed.h"
#include "balance/rate_limits.h"
#include "balance/requested_pauses.h"
#include "balance/upstream_state.h"
#include "quarantine/quarantine.h"
#include "speed/event_intervals.h"
#include "speed/upstream_speeds.h"
#include "waiting/backlog.h"

#include <map>
#include <set>
#include <unordered_map>

namespace crowstep::balance {

class Balancer {
public:
  /// \p Zone is the zone of this instance; \p Seed differs between instances.
  explicit Balancer(AvailabilityZone Zone, std::uint64_t Seed = 1)
      : m_Zone(std::move(Zone)), m_Random(Seed), m_Quarantine(Seed),
        m_RateLimits(Seed) {}

  /// Replaces the list of upstreams. The state of those that stay listed is
  /// kept; tickets of calls at removed ones remain until the calls end.
  void setUpstreams(const std::vector<Upstream> &List);

  /// Chooses an upstream and counts the call there until recordCallEnd().
  PlacementResult place(const PlacementQuery &Query, TimePoint Now);

  /// Counts a call that another instance has placed and that this one carries
  /// to \p Upstream, until recordCallEnd(). Its load counts where it was
  /// placed. Returns nullopt if the upstream must get no call from here, or one
  /// of the call's suspects is quarantined.
  std::optional<Placed> placeCarried(UpstreamId Upstream,
                                     const quarantine::CallSuspects &Suspects,
                                     TimePoint Now);

  /// Sets whether this instance can reach \p Upstream only through others. Such
  /// an upstream is used if too few of its service can be reached directly.
  void setPathLost(UpstreamId Upstream, bool IsLost);

  /// Sets the upstreams that get no calls for now, apart from streams that must
  /// continue at their version.
  void setHeldBack(std::set<UpstreamId> Upstreams) {
    m_HeldBack = std::move(Upstreams);
  }

  /// Returns a listed upstream, or null; valid until the next change.
  [[nodiscard]] const Upstream *findUpstream(UpstreamId Id) const;

  /// The first event or the whole answer was received: prefill is complete.
  void recordFirstEvent(TicketId Ticket, TimePoint Now);

  /// The call's upstream reported its load.
  void recordLoadReport(TicketId Ticket, const LoadReport &Load, TimePoint Now);

  /// The call's upstream stated that it leaves. Returns whether that is new.
  bool recordLeaveStatement(TicketId Ticket);

  /// Returns the upstreams that leave, for an instance that has just been
  /// linked.
  [[nodiscard]] std::vector<UpstreamId> leavingUpstreams() const {
    return m_Leaving.snapshot();
  }

  /// The call's upstream stated its limit in requests a second, or that it has
  /// none and takes as many as it has room for.
  void recordRateLimit(TicketId Ticket, RateLimit Limit, TimePoint Now);

  /// The call's upstream rejected it and wants no other one from this instance
  /// for \p Span.
  void recordPause(TicketId Ticket, Duration Span, TimePoint Now);

  /// The call's upstream stated how many requests it can reject in a second, or
  /// none: that it is not brittle.
  void recordBrittleness(TicketId Ticket, RejectionLimit Limit, TimePoint Now);

  /// Returns that number for a service.
  [[nodiscard]] RejectionLimit brittlenessOf(const std::string &Service,
                                             TimePoint Now) const {
    return m_Brittle.limitOf(poolIdOf(Service, 0), Now);
  }

  /// Sets the list of all instances, this one as \p Self.
  void setInstances(InstanceId Self, std::vector<InstanceId> All,
                    TimePoint Now) {
    m_Brittle.setInstances(Self, All);
    m_RateLimits.setInstances(Self, std::move(All), Now);
  }

  /// Returns the rate limit that an upstream has stated.
  [[nodiscard]] RateLimit limitOf(UpstreamId Upstream) const {
    return m_RateLimits.limitOf(Upstream);
  }

  /// An event of the call's answer was received, whether or not it is passed
  /// on.
  void recordEvent(TicketId Ticket, TimePoint Now);

  /// Bytes of the answer's body were received.
  void recordOutput(TicketId Ticket, TimePoint Now);

  /// Bytes were received from the call's upstream.
  void recordBytesReceived(TicketId Ticket, TimePoint Now);

  /// Returns how long nothing has been received from the upstream of a call, on
  /// any call; at most the time since the call was placed.
  [[nodiscard]] Duration silenceDuration(TicketId Ticket, TimePoint Now) const;

  /// The call has ended at the upstream. Unknown tickets are ignored.
  void recordCallEnd(TicketId Ticket, CallOutcome Outcome, TimePoint Now);

  /// Returns whether the upstream of a call is still listed, not draining and
  /// of the required version, and none of the call's suspects is
  /// quarantined.
  [[nodiscard]] bool mayBegin(TicketId Ticket, TimePoint Now) const;

  /// Sets the memory of each engine of a service, in tokens.
  void setCacheCapacity(const std::string &Service, std::uint64_t Tokens) {
    m_CacheCapacities[Service] = Tokens;
  }

  /// Sets the shortest of the pauses between events that the classes of a
  /// service allow, for the services where a class sets one.
  void setMinPauses(std::map<std::string, Duration> Pauses) {
    m_MinPauses = std::move(Pauses);
  }

  /// Returns the upstreams of a service that don't leave; valid until the next
  /// change of the list.
  [[nodiscard]] std::vector<const Upstream *>
  stayingUpstreams(const std::string &Service) const;

  /// Returns how many engines of a service the load of all instances keeps
  /// busy: with the prefill that is placed, or with the calls that run.
  [[nodiscard]] double busyEngines(const std::string &Service,
                                   TimePoint Now) const;

  /// Returns how fast upstreams work.
  [[nodiscard]] speed::UpstreamSpeeds &speeds() { return m_Speeds; }

  /// Returns the waiting calls of all instances.
  [[nodiscard]] waiting::Backlog &backlog() { return m_Backlog; }

  /// Sets whether digests state the waiting calls of this instance; without a
  /// call they do. Those of other instances are counted in any case.
  void setReportsWaiting(bool Reports) { m_ReportsWaiting = Reports; }

  /// Returns the time to a first event after the prefill of \p Tokens.
  [[nodiscard]] Duration timeToFirstEvent(const std::string &Service,
                                          std::uint64_t Tokens) const {
    return m_PrefillSpeed.timeToFirstEvent(Service, Tokens);
  }

  /// Places by the speeds of \p View instead of those that are learned here;
  /// null: by the learned ones. \p View must outlive the balancer.
  void setSpeedView(const speed::SpeedView *View) { m_SpeedView = View; }

  /// Returns how many engines of a service, the first by role rank, take
  /// latency-sensitive calls only.
  [[nodiscard]] std::size_t
  latencySensitiveEngineCount(const std::string &Service) const;

  /// Returns whether the call gets engines of its own, as its caller notices
  /// each pause.
  [[nodiscard]] bool isLatencySensitive(const PlacementQuery &Query) const;

  /// Returns the requests and segments that must not run.
  [[nodiscard]] quarantine::Quarantine &quarantine() { return m_Quarantine; }

  /// Returns on which digests a placement would be based now.
  [[nodiscard]] DigestBasis digestBasis(TimePoint Now) const {
    return m_PeerLoads.basis(Now);
  }

  /// Applies another instance's digest.
  void applyPeerDigest(InstanceId Peer, const LoadDigest &Digest,
                       TimePoint Now);

  /// Forgets the loads of an instance that was removed.
  void removePeer(InstanceId Peer) { m_PeerLoads.drop(Peer); }

  /// Returns the digest for the other instances: this instance's loads, and all
  /// changes since the last digest.
  LoadDigest takeDigest(TimePoint Now);

  /// Returns the digest for an instance that has just started, with the whole
  /// model of the engines' caches. Without it a restarted instance sends
  /// prompts to engines that have not cached their prefixes.
  [[nodiscard]] LoadDigest fullDigest(TimePoint Now) const;

private:
  /// Decides without effect, and explains.
  friend class PlacementPreview;

  /// An upstream that had no room gets no calls for this long: about the time
  /// in which a slot of a plain service becomes free.
  static constexpr Duration FullBackoff = std::chrono::milliseconds(50);

  using States = std::vector<UpstreamState *>;

  /// A call that counts at an upstream.
  struct Ticket {
    UpstreamId m_Upstream;          ///< May be removed from the list.
    Urgency m_Urgency = 0;          ///< Of the call.
    CallDemand m_Demand;            ///< Load that it adds there.
    TimePoint m_PlacedAt;           ///< Time of the placement.
    bool m_NoQueuedPrefill = false; ///< No prefill queued before it.
    /// Of crashes, if known.
    std::optional<quarantine::CallSuspects> m_Suspects;
    bool m_IsCarried = false; ///< Its load counts at another instance.
    std::optional<SoftwareVersion> m_RequiredSoftware; ///< See PlacementQuery.
    IncarnationId m_Incarnation; ///< The upstream's process.
    TimePoint m_FirstOutputAt{}; ///< Of its answer's body; not set: none yet.
    double m_TimeFactor = 1;     ///< See timeFactorOf().
    bool m_IsSound = false;      ///< Its answer was written for some time.
    speed::EventIntervals m_Intervals; ///< Of an engine's events.
  };

  /// Where a call is to be placed, before it counts there.
  struct Choice {
    UpstreamState *m_State = nullptr;     ///< Never null.
    PlacementInputs m_Inputs;             ///< Basis of the choice.
    std::optional<EngineOption> m_Engine; ///< None: a plain upstream.
    bool m_LatencySensitive = false;      ///< See isLatencySensitive().
  };

  using Decision = std::variant<Choice, NotPlaced, MustWait>;

  // What finds the upstream for a call. It changes only what PlacementPreview
  // saves; what was found is recorded in the trace unless that is null.
  Decision decide(const PlacementQuery &Query, TimePoint Now,
                  PlacementTrace *Trace);
  States findCandidates(const PlacementQuery &Query, TimePoint Now,
                        PlacementTrace *Trace);
  [[nodiscard]] static bool isEligible(const UpstreamState &State,
                                       const PlacementQuery &Query);
  [[nodiscard]] static bool isDraining(const UpstreamState &State,
                                       TimePoint Now);
  [[nodiscard]] bool isBarred(const UpstreamState &State, TimePoint Now) const;
  [[nodiscard]] Verdict boundAt(const UpstreamState &State,
                                const PlacementQuery &Query, bool IsBrittle,
                                TimePoint Now);
  [[nodiscard]] bool mayPlaceAtBrittle(const UpstreamState &State,
                                       TimePoint Now) const;
  [[nodiscard]] bool isHeldBackAsBrittle(const PlacementQuery &Query,
                                         TimePoint Now) const;
  Decision noCandidateResult(const PlacementQuery &Query, TimePoint Now);
  [[nodiscard]] Duration pauseRetryAfter(Duration Left);
  Decision decideAtEngine(const PlacementQuery &Query, const States &Candidates,
                          TimePoint Now, PlacementTrace *Trace);
  [[nodiscard]] std::vector<EngineOption>
  engineOptions(const PlacementQuery &Query, bool LatencySensitive,
                const States &Candidates, TimePoint Now,
                PlacementTrace *Trace) const;
  [[nodiscard]] Verdict verdictAt(const PlacementQuery &Query,
                                  const EngineOption &Option) const;
  Placed sendToEngine(const PlacementQuery &Query, const Choice &Chosen,
                      TimePoint Now);
  [[nodiscard]] Duration predictedWait(const std::string &Service,
                                       const EngineOption &Option) const;
  void rankEngines();
  void markDraining(UpstreamId Upstream);
  [[nodiscard]] EngineOption optionAt(UpstreamState &State,
                                      const PlacementQuery &Query,
                                      TimePoint Now) const;
  void markFull(const PlacementQuery &Query,
                std::vector<EngineOption> &Options) const;
  [[nodiscard]] static bool hasNoSlot(const PlacementQuery &Query,
                                      const EngineOption &Option);
  void recordWork(PoolId Pool, bool LatencySensitive, double Tokens,
                  TimePoint Now);
  [[nodiscard]] static Placed placedAt(const Choice &Chosen, TicketId Ticket,
                                       TimePoint Now);
  Placed issueTicket(const Choice &Chosen, const PlacementQuery &Query,
                     const CallDemand &Tokens, TimePoint Now);
  void reportToQuarantine(const Ticket &Ended, const UpstreamState &At,
                          CallOutcome Outcome, TimePoint Now);
  void beginPlacementAtBrittle(const std::string &Service, TimePoint Now);
  States sampleTwo(const States &Candidates);
  UpstreamState *choosePlainUpstream(const States &Candidates,
                                     TimePoint Now) const;
  [[nodiscard]] double plainCostAt(const UpstreamState &State, bool ByTime,
                                   TimePoint Now) const;
  [[nodiscard]] double callsAt(const UpstreamState &State, TimePoint Now) const;
  [[nodiscard]] double callsAt(const UpstreamState &State,
                               const CallLoad &Peers, TimePoint Now) const;
  UpstreamState *stateOf(TicketId Ticket);
  void addSpeedSample(const UpstreamState &At, Duration UnitTime,
                      TimePoint Now);

  // Placement by time, for services whose speeds are learned.
  [[nodiscard]] const speed::SpeedView &speedView() const;
  [[nodiscard]] bool isPlacedByTime(const std::string &Service) const;
  [[nodiscard]] double timeFactorOf(UpstreamId Upstream, TimePoint Now) const;
  [[nodiscard]] PrefillTime prefillTimeOf(const std::string &Service) const;
  void addSpeed(EngineOption &Option, TimePoint Now) const;
  [[nodiscard]] bool isRoleUpdateDue(const std::string &Service,
                                     TimePoint Now) const;
  void updateRoles(const std::string &Service, TimePoint Now);
  [[nodiscard]] int rankedSpeedClassOf(const UpstreamState &State) const;
  [[nodiscard]] bool haveSpeedClassesChanged(const std::string &Service) const;
  void readSpeeds(const std::string &Service, TimePoint Now);
  [[nodiscard]] std::vector<SpeedGroup>
  speedGroupsOf(const std::string &Service) const;
  std::optional<EngineOption>
  chooseLessLoaded(const PlacementQuery &Query, bool LatencySensitive,
                   const EngineOption &Best,
                   const std::vector<EngineOption> &Options,
                   const States &Candidates, TimePoint Now);
  void replaceFullEngines(const PlacementQuery &Query, const States &Candidates,
                          std::vector<EngineOption> &Options, TimePoint Now,
                          PlacementTrace *Trace) const;
  [[nodiscard]] Duration meanWait(const PlacementQuery &Query,
                                  const States &Candidates,
                                  TimePoint Now) const;
  [[nodiscard]] double meanSpeedOf(const std::string &Service,
                                   TimePoint Now) const;

  AvailabilityZone m_Zone;             ///< Of this instance.
  std::mt19937_64 m_Random;            ///< For sampling engines.
  quarantine::Quarantine m_Quarantine; ///< Of requests and segments.
  RateLimits m_RateLimits;             ///< Stated by upstreams.
  BrittleUpstreams m_Brittle;          ///< As they state.
  RequestedPauses m_Pauses;            ///< By upstreams, from this instance.
  LeavingUpstreams m_Leaving;          ///< By their entries and answers.
  PrefillSpeed m_PrefillSpeed;         ///< Of the engines.
  speed::UpstreamSpeeds m_Speeds;      ///< Of the upstreams.
  waiting::Backlog m_Backlog;          ///< Of all instances.
  bool m_ReportsWaiting = true;        ///< See setReportsWaiting().
  const speed::SpeedView *m_SpeedView = nullptr;       ///< Null: m_Speeds.
  PeerLoads m_PeerLoads;                               ///< From their digests.
  CacheModel m_Cache;                                  ///< Of the engines.
  std::unordered_map<PoolId, RoleSplit> m_RoleSplits;  ///< By service.
  std::map<std::string, EngineRoles> m_EngineRoles;    ///< By service, if its
                                                       ///< speeds are learned.
  std::unordered_map<PoolId, WorkTokens> m_UnsentWork; ///< Since takeDigest().
  std::vector<SegmentPlacement> m_UnsentSegments;      ///< Since takeDigest().
  std::unordered_map<std::string, std::uint64_t>
      m_CacheCapacities;                       ///< By service.
  std::map<std::string, Duration> m_MinPauses; ///< By service.
  std::map<std::string, std::size_t>
      m_ActiveUpstreamCounts;                   ///< Not draining, by service.
  std::map<UpstreamId, UpstreamState> m_States; ///< Listed upstreams.
  std::set<UpstreamId> m_HeldBack;              ///< See setHeldBack().
  std::unordered_map<TicketId, Ticket>
      m_Tickets;                  ///< Calls that have not ended.
  std::uint64_t m_LastTicket = 0; ///< The first id is 1.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_BALANCER_H
