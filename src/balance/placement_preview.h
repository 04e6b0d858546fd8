/// Where a call would be placed now, and why, without placing it.
///
/// The decision is made by the functions that place calls. What they change
/// before they choose (the random generator, roles, tokens of rate limits, the
/// load of brittle services, waiting calls, digests that have expired) is saved
/// first and put back by the destructor, so the next placement is the same as
/// without it.
#ifndef CROWSTEP_BALANCE_PLACEMENT_PREVIEW_H
#define CROWSTEP_BALANCE_PLACEMENT_PREVIEW_H

#include "balance/balancer.h"
#include "balance/placement_trace.h"

#include <optional>
#include <string>
#include <vector>

namespace crowstep::balance {

/// An upstream of the service, as a placement finds it.
struct CandidateView {
  std::string m_Name;                         ///< In the instance list.
  AvailabilityZone m_Zone;                    ///< Where it is.
  Verdict m_Verdict = Verdict::NotConsidered; ///< See Verdict.
  double m_Calls = 0;                         ///< From all instances.
  std::uint32_t m_Slots = 0;    ///< Calls that it can run at once.
  std::optional<double> m_Cost; ///< The lowest is chosen; none: not compared.
  int m_SpeedClass = 0;         ///< See speed::SpeedView.
  double m_Slowdown = 1;        ///< Of its machine.

  // Of engines only.
  std::uint64_t m_QueuedPrefillTokens = 0; ///< Before this call.
  std::uint32_t m_UncachedTokens = 0; ///< Of this prompt, not cached there.
  Duration m_PredictedWait{};         ///< For the prefill queued there.
};

/// What placing a call would do, and why.
struct PlacementExplanation {
  /// Placed without a ticket, NotPlaced or MustWait, as place() would return.
  PlacementResult m_Result = NotPlaced{};

  std::string m_Upstream; ///< The best one, chosen or without room now; empty:
                          ///< no upstreams were compared.
  bool m_IsModelCall = false;      ///< It has a prompt.
  bool m_LatencySensitive = false; ///< See isLatencySensitive().
  std::size_t m_UpstreamCount = 0; ///< All of the service.

  /// The best one, then those that could take the call by ascending cost, then
  /// the others; at most MaxCandidates.
  std::vector<CandidateView> m_Candidates;
};

class PlacementPreview {
public:
  /// Limit on the candidates of an explanation.
  static constexpr std::size_t MaxCandidates = 64;

  /// \p Of must not change as long as this object exists.
  PlacementPreview(Balancer &Of, TimePoint Now);
  ~PlacementPreview();
  PlacementPreview(const PlacementPreview &) = delete;
  PlacementPreview &operator=(const PlacementPreview &) = delete;

  /// Explains what Balancer::place() would do. Further calls continue with the
  /// same generator, as further placements of a call that was not placed do.
  PlacementExplanation explain(const PlacementQuery &Query);

private:
  /// What a decision changes of an upstream's state.
  struct SavedState {
    std::size_t m_RoleRank; ///< See UpstreamState, as all of these.
    int m_SpeedClass;       ///< By which it was ranked.
    double m_Speed;         ///< As of the last update of roles.
    double m_UsableShare;   ///< As of that update.
  };

  /// An upstream with its verdict, before its figures are read.
  struct Entry {
    UpstreamState *m_State;       ///< Never null.
    Verdict m_Verdict;            ///< Chosen at one entry at most.
    std::optional<double> m_Cost; ///< None: not compared.
  };

  void saveStates();
  [[nodiscard]] std::vector<Entry> entriesOf(const PlacementQuery &Query,
                                             PlacementTrace &Trace) const;
  [[nodiscard]] CandidateView viewOf(const PlacementQuery &Query,
                                     const Entry &Shown) const;

  Balancer &m_Balancer;                 ///< As it was, once this ends.
  TimePoint m_Now;                      ///< Of all decisions.
  std::mt19937_64 m_Random;             ///< Saved.
  std::optional<PeerLoads> m_PeerLoads; ///< Saved if any digest is too old.
  RateLimits m_RateLimits;              ///< Saved.
  BrittleUpstreams m_Brittle;           ///< Saved.
  waiting::Backlog m_Backlog;           ///< Saved.
  std::map<std::string, EngineRoles> m_EngineRoles;   ///< Saved.
  std::unordered_map<PoolId, RoleSplit> m_RoleSplits; ///< Saved.
  std::vector<SavedState>
      m_States; ///< Saved, in the balancer's order; empty: not yet.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_PLACEMENT_PREVIEW_H
