/// The first attempt of a request, up to the point where it would take effect.
#include "gateway/placement_explainer.h"

#include "gateway/first_attempt.h"
#include "gateway/forward_limits.h"
#include "gateway/predicted_placement.h"
#include "gateway/upstream_request.h"

#include <utility>

namespace crowstep::gateway {

namespace {

using balance::MustWait;
using balance::NotPlaced;
using balance::Placed;
using balance::PlacementExplanation;
using balance::PlacementPreview;
using balance::PlacementQuery;

/// A Retry-After that is drawn at random is stated as the earliest one.
constexpr double EarliestDraw = 0;

/// Puts the counts of arrivals back as they were.
class SavedWorkspaces {
public:
  explicit SavedWorkspaces(waiting::WorkspaceLoads &Of)
      : m_Workspaces(Of), m_Saved(Of) {}
  ~SavedWorkspaces() { m_Workspaces = std::move(m_Saved); }
  SavedWorkspaces(const SavedWorkspaces &) = delete;
  SavedWorkspaces &operator=(const SavedWorkspaces &) = delete;

private:
  waiting::WorkspaceLoads &m_Workspaces; ///< Outlives this object.
  waiting::WorkspaceLoads m_Saved;       ///< As it was.
};

void refuse(ServiceExplanation &Result, RefusalReason Reason,
            Duration RetryAfter) {
  Result.m_Outcome = PlacementOutcome::Refused;
  Result.m_Reason = nameOf(Reason);
  Result.m_RetryAfter = RetryAfter;
}

void wait(ServiceExplanation &Result, std::string_view Reason) {
  Result.m_Outcome = PlacementOutcome::Waits;
  Result.m_Reason = Reason;
}

/// Returns why a call must wait for the best upstream; without one, all that
/// could take it are brittle.
std::string_view waitReasonOf(const PlacementExplanation &Placement) {
  return Placement.m_Upstream.empty()
             ? nameOf(RefusalReason::UpstreamBrittle)
             : balance::nameOf(Placement.m_Candidates.front().m_Verdict);
}

/// Where a resumed stream must go on.
struct OriginFound {
  std::optional<resume::StreamOrigin> m_Origin;  ///< None: it is refused.
  OriginSource m_Source = OriginSource::Unknown; ///< How that is known.
  Duration m_RetryAfter{};                       ///< Of the refusal.
};

/// Other instances are not asked: that takes messages, and time.
OriginFound findOrigin(const ForwardContext &Context,
                       const AdmittedRequest &Admitted,
                       const std::string &Service) {
  if (!Admitted.m_Facts.m_Resumes.empty()) {
    const resume::StreamKey Key = streamKeyOf(Admitted);
    if (const resume::StreamOrigin *Known = Context.m_Origins.findLocal(Key))
      return {*Known, OriginSource::KnownHere, {}};
    if (Context.m_Origins.isUnproven(Key))
      return {std::nullopt, OriginSource::KnownHere, {}};
  }
  if (const auto Sole = soleVersionOf(Context, Admitted, Service))
    return {
        resume::StreamOrigin{Service, *Sole}, OriginSource::SoleVersion, {}};
  return {std::nullopt, OriginSource::Unknown,
          isRegisterCurrent(Context) ? Duration::zero() : BusyRetryAfter};
}

} // namespace

std::string_view nameOf(PlacementOutcome Outcome) {
  switch (Outcome) {
  case PlacementOutcome::Placed:
    return "placed";
  case PlacementOutcome::Waits:
    return "waits";
  case PlacementOutcome::Refused:
    return "refused";
  }
  return "refused";
}

std::string_view nameOf(OriginSource Source) {
  switch (Source) {
  case OriginSource::NotNeeded:
    return "not_needed";
  case OriginSource::KnownHere:
    return "known_here";
  case OriginSource::SoleVersion:
    return "sole_version";
  case OriginSource::Unknown:
    return "unknown";
  }
  return "unknown";
}

RequestExplanation PlacementExplainer::explain(const IncomingRequest &Request,
                                               const RouteTablePtr &Table) {
  RequestExplanation Result;
  Result.m_Basis = m_Context.m_Balancer.digestBasis(m_Context.m_Clock.now());
  const auto Outcome = admit(Request, Table, m_Context.m_Codec);
  if (const auto *Refused = std::get_if<RefusedRequest>(&Outcome)) {
    Result.m_Id = Refused->m_Id;
    Result.m_Reason = Refused->m_Reason;
    return Result;
  }
  const auto &Admitted = std::get<AdmittedRequest>(Outcome);
  Result.m_Id = Admitted.m_Facts.m_Id;
  Result.m_Route = Admitted.m_Route->m_Name;
  Result.m_Workspace = Admitted.m_Workspace;
  Result.m_Services = explainServices(Request, Admitted);
  return Result;
}

/// A stream whose origin is known here goes on at its service, whichever one is
/// drawn.
std::vector<ServiceExplanation>
PlacementExplainer::explainServices(const IncomingRequest &Request,
                                    const AdmittedRequest &Admitted) {
  const std::vector<ServiceShare> &Shares = Admitted.m_Route->m_Services;
  if (Admitted.isResumed()) {
    const OriginFound Found =
        findOrigin(m_Context, Admitted, Shares.front().m_Service);
    if (Found.m_Origin &&
        hasService(*Admitted.m_Route, Found.m_Origin->m_Service))
      return {
          explainService(Request, Admitted, {Found.m_Origin->m_Service, 1})};
  }
  double Sum = 0;
  for (const ServiceShare &Share : Shares)
    Sum += Share.m_Weight;
  std::vector<ServiceExplanation> Result;
  Result.reserve(Shares.size());
  for (const ServiceShare &Share : Shares)
    Result.push_back(explainService(Request, Admitted,
                                    {Share.m_Service, Share.m_Weight / Sum}));
  return Result;
}

ServiceExplanation
PlacementExplainer::explainService(const IncomingRequest &Request,
                                   const AdmittedRequest &Admitted,
                                   const ServiceShare &Share) {
  ServiceExplanation Result;
  Result.m_Service = Share.m_Service;
  Result.m_Share = Share.m_Weight;
  PlacementQuery Query = firstQueryOf(Admitted, Share.m_Service);
  if (Admitted.isResumed()) {
    const OriginFound Found = findOrigin(m_Context, Admitted, Share.m_Service);
    Result.m_Origin = Found.m_Source;
    if (!Found.m_Origin) {
      refuse(Result, RefusalReason::OriginUnknown, Found.m_RetryAfter);
      return Result;
    }
    Query.m_RequiredSoftware = Found.m_Origin->m_Software;
  }
  const quarantine::CallSuspects Suspects =
      quarantine::suspectsOf(contentHashOf(Request, Admitted), Share.m_Service,
                             Admitted.m_Facts.m_Prompt);
  Query.m_Suspects = &Suspects;
  Query.m_MayWait = mayWaitAtFirst(m_Context, Admitted, false);
  explainPlacement(Admitted, Query, Result);
  return Result;
}

/// Follows ForwardedRequest::attempt() for a call that has just arrived.
void PlacementExplainer::explainPlacement(const AdmittedRequest &Admitted,
                                          const PlacementQuery &Query,
                                          ServiceExplanation &Result) {
  const TimePoint Now = m_Context.m_Clock.now();
  PlacementPreview Preview(m_Context.m_Balancer, Now);
  waiting::WaitPolicy *Policy = m_Context.m_WaitPolicy;
  std::optional<SavedWorkspaces> Saved;
  std::unique_ptr<waiting::CallWait> Wait;
  std::optional<PlacementQuery> Asked = Query;
  if (mayWaitByPrediction(m_Context, Query)) {
    Saved.emplace(Policy->workspaces());
    Wait = Policy->begin(callFactsOf(Admitted, Query.m_Service, Now));
  }
  if (Wait != nullptr) {
    Policy->workspaces().recordArrival(poolIdOf(Query.m_Service, 0),
                                       Admitted.m_Workspace, Now);
    Asked = predictedQuery(
        {m_Context.m_Balancer, m_Context.m_WaitQueue, Policy->workspaces()},
        *Wait, Query, waitingCallOf(Admitted, Query.m_Service, Wait.get(), Now),
        false, Now);
  }
  balance::PlacementExplanation &Placement = Result.m_Placement;
  Placement = Preview.explain(Asked.value_or(Query));
  if (!Asked)
    Placement.m_Result = MustWait{};
  if (std::holds_alternative<MustWait>(Placement.m_Result) && Wait != nullptr) {
    const auto &Inputs = std::get<MustWait>(Placement.m_Result).m_Inputs;
    const bool Waits =
        Query.m_MayWait &&
        Wait->handleNoRoom(expectedWorkOf(m_Context, Admitted, Query.m_Service,
                                          Inputs.m_UncachedTokens),
                           Now) == waiting::WaitVerdict::Wait;
    if (!Waits) {
      refuse(Result, RefusalReason::TargetUnreachable,
             Wait->retryAfter(EarliestDraw, Now));
      return;
    }
  }
  if (std::holds_alternative<Placed>(Placement.m_Result)) {
    Result.m_Outcome = PlacementOutcome::Placed;
  } else if (std::holds_alternative<MustWait>(Placement.m_Result)) {
    wait(Result, Asked ? waitReasonOf(Placement) : "earlier_calls");
  } else {
    const auto &Unplaced = std::get<NotPlaced>(Placement.m_Result);
    Result.m_HeldBy = Unplaced.m_HeldBy;
    if (Unplaced.m_Reason == RefusalReason::UpstreamPaused && Query.m_MayWait &&
        isWaitAllowed(Unplaced.m_RetryAfter, Admitted))
      wait(Result, nameOf(Unplaced.m_Reason));
    else
      refuse(Result, Unplaced.m_Reason,
             Wait != nullptr &&
                     Unplaced.m_Reason == RefusalReason::TargetUnreachable
                 ? Wait->retryAfter(EarliestDraw, Now)
                 : Unplaced.m_RetryAfter);
  }
}

} // namespace crowstep::gateway
