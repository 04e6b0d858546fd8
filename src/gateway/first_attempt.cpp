/// Queries and limits of a request's first attempt.
#include "gateway/first_attempt.h"

#include "gateway/forward_limits.h"

#include <algorithm>

namespace crowstep::gateway {

Duration timeoutOf(const AdmittedRequest &Admitted) {
  const Duration OfRoute = Admitted.m_Route->m_Timeout;
  return std::min(OfRoute, Admitted.m_Facts.m_Deadline.value_or(OfRoute));
}

bool hasService(const Route &Of, const std::string &Service) {
  return std::ranges::any_of(Of.m_Services, [&](const ServiceShare &Share) {
    return Share.m_Service == Service;
  });
}

balance::PlacementQuery firstQueryOf(const AdmittedRequest &Admitted,
                                     const std::string &Service) {
  balance::PlacementQuery Result;
  Result.m_Service = Service;
  Result.m_Urgency = static_cast<balance::Urgency>(Admitted.m_EngineRank);
  Result.m_Prompt = Admitted.m_Facts.m_Prompt;
  Result.m_LatencyTarget = Admitted.m_Route->m_Target;
  if (const EventStream *Stream = Admitted.eventStream())
    Result.m_MaxPause = Stream->m_MaxPause;
  return Result;
}

bool mayWaitAtFirst(const ForwardContext &Context,
                    const AdmittedRequest &Admitted, bool IsQueued) {
  return Admitted.m_Route->m_Target > Duration::zero() &&
         (IsQueued || !Context.m_WaitQueue.isFull());
}

/// Calls that get engines of their own wait for a slot there as without
/// prediction: it knows how fast calls are placed in the service, not when such
/// a slot is free, and would send them to slow engines or refuse them while the
/// backlog of other calls is long.
bool mayWaitByPrediction(const ForwardContext &Context,
                         const balance::PlacementQuery &Query) {
  return Context.m_WaitPolicy != nullptr &&
         !Context.m_Balancer.isLatencySensitive(Query);
}

bool isWaitAllowed(Duration Wait, const AdmittedRequest &Admitted) {
  return Wait * MaxWaitDenominator <=
         Admitted.m_Route->m_Target * MaxWaitNumerator;
}

waiting::CallFacts callFactsOf(const AdmittedRequest &Admitted,
                               const std::string &Service,
                               TimePoint ArrivedAt) {
  waiting::CallFacts Result;
  Result.m_Pool = poolIdOf(Service, 0);
  Result.m_Urgency = static_cast<std::uint8_t>(Admitted.m_EngineRank);
  Result.m_ArrivedAt = ArrivedAt;
  Result.m_Target = Admitted.m_Route->m_Target;
  if (const EventStream *Stream = Admitted.eventStream())
    Result.m_Patience =
        waiting::patienceOf(Result.m_Target, Stream->m_MaxPause);
  Result.m_Deadline = timeoutOf(Admitted);
  return Result;
}

WaitingCall waitingCallOf(const AdmittedRequest &Admitted,
                          const std::string &Service,
                          const waiting::CallWait *Wait, TimePoint Now) {
  return {static_cast<balance::Urgency>(Admitted.m_QueueRank),
          Admitted.m_Workspace, poolIdOf(Service, 0),
          Wait != nullptr && !Wait->canBeInTime(Now)};
}

waiting::CallWork expectedWorkOf(const ForwardContext &Context,
                                 const AdmittedRequest &Admitted,
                                 const std::string &Service,
                                 std::uint32_t UncachedTokens) {
  if (Admitted.m_Facts.m_Prompt.m_PromptTokens == 0)
    return {};
  return {Context.m_Balancer.timeToFirstEvent(Service, UncachedTokens),
          Context.m_WaitPolicy->backlog().outputTime(
              poolIdOf(Service, 0),
              static_cast<std::uint8_t>(Admitted.m_EngineRank))};
}

/// All attempts of a caller name the one that brought the first event.
resume::StreamKey streamKeyOf(const AdmittedRequest &Admitted) {
  const RequestFacts &Facts = Admitted.m_Facts;
  return resume::streamKeyOf(Admitted.m_Workspace, Facts.m_Resumes.empty()
                                                       ? Facts.m_Id
                                                       : Facts.m_Resumes);
}

bool isRegisterCurrent(const ForwardContext &Context) {
  return Context.m_SoftwareHistory.isRegisterRead() &&
         (!Context.m_IsRegisterCurrent || Context.m_IsRegisterCurrent());
}

/// Versions of different services don't fit together, so there is none if the
/// stream may have begun at several services. An instance that is cut off from
/// the store, and perhaps from those that know a named stream, must not decide
/// by an old register.
std::optional<SoftwareVersion> soleVersionOf(const ForwardContext &Context,
                                             const AdmittedRequest &Admitted,
                                             const std::string &Service) {
  const bool IsNamed = !Admitted.m_Facts.m_Resumes.empty();
  if (Admitted.m_Route->m_Services.size() != 1 ||
      (IsNamed && !isRegisterCurrent(Context)))
    return std::nullopt;
  return Context.m_SoftwareHistory.soleVersionOf(Service,
                                                 Context.m_Clock.now());
}

} // namespace crowstep::gateway
