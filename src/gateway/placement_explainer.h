/// What would become of a request now, without any effect on it or others.
#ifndef CROWSTEP_GATEWAY_PLACEMENT_EXPLAINER_H
#define CROWSTEP_GATEWAY_PLACEMENT_EXPLAINER_H

#include "balance/placement_preview.h"
#include "gateway/forwarded_request.h"

namespace crowstep::gateway {

/// What would become of a call.
enum class PlacementOutcome : std::uint8_t { Placed, Waits, Refused };

/// Returns the stable name in answers, such as "placed".
std::string_view nameOf(PlacementOutcome Outcome);

/// How the software version that a resumed stream needs is known.
enum class OriginSource : std::uint8_t {
  NotNeeded,   ///< No stream is resumed.
  KnownHere,   ///< This instance has recorded the origin.
  SoleVersion, ///< Only one version can have begun it. For a named stream other
               ///< instances would be asked first.
  Unknown,     ///< Not known here. For a named stream others would be asked.
};

/// Returns the stable name in answers, such as "sole_version".
std::string_view nameOf(OriginSource Source);

/// What would happen at one of the route's services.
struct ServiceExplanation {
  std::string m_Service; ///< Its name.
  double m_Share = 1;    ///< Of the route's calls.
  PlacementOutcome m_Outcome = PlacementOutcome::Refused; ///< Of the call.
  std::string m_Reason;                ///< Of a wait or refusal.
  Duration m_RetryAfter{};             ///< Of a refusal; 0: none.
  std::optional<ContentHash> m_HeldBy; ///< The quarantined suspect, if any.
  OriginSource m_Origin = OriginSource::NotNeeded; ///< See OriginSource.
  balance::PlacementExplanation m_Placement;       ///< Candidates.
};

/// What would become of a request.
struct RequestExplanation {
  std::string m_Id;                      ///< Of the caller's attempt.
  std::optional<RefusalReason> m_Reason; ///< None: it is admitted.
  std::string m_Route;                   ///< Empty if it is refused.
  std::string m_Workspace;               ///< Of the checked key; empty: none.
  balance::DigestBasis m_Basis;          ///< Digests that count.
  std::vector<ServiceExplanation> m_Services; ///< Empty if it is refused.
};

class PlacementExplainer {
public:
  /// \p Context outlives this object.
  explicit PlacementExplainer(ForwardContext &Context) : m_Context(Context) {}

  /// \p Table is null until one was received.
  [[nodiscard]] RequestExplanation explain(const IncomingRequest &Request,
                                           const RouteTablePtr &Table);

private:
  [[nodiscard]] std::vector<ServiceExplanation>
  explainServices(const IncomingRequest &Request,
                  const AdmittedRequest &Admitted);
  [[nodiscard]] ServiceExplanation
  explainService(const IncomingRequest &Request,
                 const AdmittedRequest &Admitted, const ServiceShare &Share);
  void explainPlacement(const AdmittedRequest &Admitted,
                        const balance::PlacementQuery &Query,
                        ServiceExplanation &Result);

  ForwardContext &m_Context; ///< As requests use it.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_PLACEMENT_EXPLAINER_H
