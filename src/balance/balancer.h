/// Chooses an upstream for each call, from what one instance knows.
///
/// Every instance decides alone, by its own calls and by the digests of the
/// others; without digests it goes by the upstreams' reports. What instances
/// must agree on at once follows from hashes of ids that all of them know.
#ifndef CROWSTEP_BALANCE_BALANCER_H
#define CROWSTEP_BALANCE_BALANCER_H

#include "balance/cache_model.h"
#include "balance/engine_choice.h"
#include "balance/peer_loads.h"
#include "balance/quarantine.h"
#include "balance/rate_limits.h"
#include "balance/reading_speed.h"
#include "balance/upstream_state.h"

#include <map>
#include <unordered_map>

namespace crowstep::balance {

class Balancer {
public:
  /// \p Zone is the instance's own.
  /// \p Seed differs between instances.
  explicit Balancer(AvailabilityZone Zone, std::uint64_t Seed = 1)
      : m_Zone(std::move(Zone)), m_Random(Seed), m_Quarantine(Seed),
        m_Limits(Seed) {}

  /// Replaces the list; what is known of those that stay is kept. Calls at
  /// upstreams that went count on until they end.
  void setUpstreams(const std::vector<Upstream> &List);

  /// Chooses an upstream and counts the call there until ended().
  PlacementResult place(const PlacementQuery &Query, TimePoint Now);

  /// The first event or the whole answer came: the prompt has been read.
  void answered(TicketId Ticket, TimePoint Now);

  /// The upstream told its load.
  void reported(TicketId Ticket, const LoadReport &Load, TimePoint Now);

  /// The upstream stated how many requests a second it takes, or that it takes
  /// as many as it has room for.
  void stated(TicketId Ticket, RateLimit Limit, TimePoint Now);

  /// Takes all instances, this one as \p Self.
  void setInstances(InstanceId Self, std::vector<InstanceId> All,
                    TimePoint Now) {
    m_Limits.setInstances(Self, std::move(All), Now);
  }

  /// Returns the limit that an upstream has stated.
  [[nodiscard]] RateLimit limitOf(UpstreamId Upstream) const {
    return m_Limits.limitOf(Upstream);
  }

  /// Bytes came from the call's upstream.
  void heard(TicketId Ticket, TimePoint Now);

  /// Returns how long nothing has come from the upstream of a call, on any
  /// call; at most since the call began.
  [[nodiscard]] Duration unheardOf(TicketId Ticket, TimePoint Now) const;

  /// The call is over at the upstream. Unknown tickets are ignored.
  void ended(TicketId Ticket, CallOutcome Outcome, TimePoint Now);

  /// Returns whether the upstream of a call is still listed and not leaving,
  /// and the call's request is not quarantined.
  [[nodiscard]] bool mayBegin(TicketId Ticket, TimePoint Now) const;

  /// Sets the memory of the engines of a service, in tokens.
  void setCacheTokens(const std::string &Service, std::uint64_t Tokens) {
    m_CacheTokens[Service] = Tokens;
  }

  /// Sets the shortest pause between events that any class of a service
  /// allows, for the services where one does.
  void setTightestPauses(std::map<std::string, Duration> Pauses) {
    m_TightestPauses = std::move(Pauses);
  }

  /// Returns the requests that may not run.
  [[nodiscard]] Quarantine &quarantine() { return m_Quarantine; }

  /// Takes another instance's digest.
  void peerSaid(InstanceId Peer, const LoadDigest &Digest, TimePoint Now);

  /// Another instance is gone.
  void peerGone(InstanceId Peer) { m_Peers.drop(Peer); }

  /// Returns what the other instances should know, and forgets the parts.
  LoadDigest takeDigest(TimePoint Now);

  /// Returns all that an instance should know that has just started: what is
  /// believed of the engines' memory. Without it a restarted instance sends
  /// prompts to engines that have not read their beginnings.
  [[nodiscard]] LoadDigest wholeDigest(TimePoint Now) const;

private:
  using States = std::vector<UpstreamState *>;

  /// A call that counts at an upstream.
  struct Ticket {
    UpstreamId m_Upstream;                ///< May have gone from the list.
    Urgency m_Urgency = 0;                ///< Of the call.
    CallTokens m_Tokens;                  ///< What it adds there.
    TimePoint m_Begin;                    ///< When it was placed.
    bool m_Undisturbed = false;           ///< Nothing was to be read before it.
    std::optional<ContentHash> m_Content; ///< Of the request, where known.
  };

  States candidates(const PlacementQuery &Query, TimePoint Now);
  [[nodiscard]] NotPlaced nonePlaced(const PlacementQuery &Query) const;
  PlacementResult placeAtEngine(const PlacementQuery &Query,
                                const States &Candidates, TimePoint Now);
  void rankEngines();
  [[nodiscard]] bool tight(const PlacementQuery &Query) const;
  [[nodiscard]] std::size_t shortEngines(const std::string &Service) const;
  [[nodiscard]] EngineOption optionAt(UpstreamState &State,
                                      const PlacementQuery &Query,
                                      TimePoint Now) const;
  void markFull(const PlacementQuery &Query,
                std::vector<EngineOption> &Options) const;
  void noteWork(PoolId Pool, bool LatencySensitive, double Tokens,
                TimePoint Now);
  Placed begin(UpstreamState &Chosen, const PlacementQuery &Query,
               const CallTokens &Tokens, const PlacementInputs &Inputs,
               TimePoint Now);
  void reportToQuarantine(const Ticket &Ended, const UpstreamState &At,
                          CallOutcome Outcome, TimePoint Now);
  UpstreamState *chooseForPlain(const States &Candidates, TimePoint Now) const;
  [[nodiscard]] double callsAt(const UpstreamState &State, TimePoint Now) const;
  [[nodiscard]] double callsAt(const UpstreamState &State,
                               const CallLoad &Peers, TimePoint Now) const;
  UpstreamState *stateOf(TicketId Ticket);

  AvailabilityZone m_Zone;                          ///< Own.
  std::mt19937_64 m_Random;                         ///< For choices.
  Quarantine m_Quarantine;                          ///< Of requests.
  RateLimits m_Limits;                              ///< Of upstreams.
  ReadingSpeed m_Speed;                             ///< Of engines.
  PeerLoads m_Peers;                                ///< By digests.
  CacheModel m_Cache;                               ///< Of engines.
  std::unordered_map<PoolId, RoleSplit> m_Splits;   ///< By service.
  std::unordered_map<PoolId, WorkTokens> m_NewWork; ///< Since takeDigest().
  std::vector<PartPlaced> m_NewParts;               ///< Since takeDigest().
  std::unordered_map<std::string, std::uint64_t> m_CacheTokens; ///< By service.
  std::map<std::string, Duration> m_TightestPauses;             ///< By service.
  std::map<std::string, std::size_t> m_Staying;   ///< Not leaving, by service.
  std::map<UpstreamId, UpstreamState> m_States;   ///< Listed ones.
  std::unordered_map<TicketId, Ticket> m_Tickets; ///< Not ended.
  std::uint64_t m_LastTicket = 0;                 ///< Ids start at 1.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_BALANCER_H
