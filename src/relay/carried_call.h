/// One call that this instance carries for another.
#ifndef CROWSTEP_RELAY_CARRIED_CALL_H
#define CROWSTEP_RELAY_CARRIED_CALL_H

#include "relay/relay_server.h"

namespace crowstep::relay {

class CarriedCall final : private UpstreamListener {
public:
  /// A call that is not started within this time is given up: the time left in
  /// its headers, and what was checked, would be old.
  static constexpr Duration StartTimeout = std::chrono::milliseconds(300);

  /// The call was placed at \p Placement by the balancer.
  CarriedCall(RelayServer &Owner, RelayServer::CallKey Key,
              RelayOpening Opening, gateway::AdmittedRequest Admitted,
              const balance::Placed &Placement);
  ~CarriedCall() override;
  CarriedCall(const CarriedCall &) = delete;
  CarriedCall &operator=(const CarriedCall &) = delete;

  /// Connects to the upstream.
  void connect();

  /// Messages of the instance that has the request.
  void start();
  void addCredit(std::size_t Bytes);

  [[nodiscard]] std::size_t requestBytes() const {
    return m_Opening.m_Request.m_Body.size();
  }

private:
  void upstreamConnected() override;
  void upstreamHeaders(unsigned Status, const HeaderList &Headers) override;
  void upstreamBytes(std::string_view Bytes) override;
  void upstreamEnded(TransportEnd End) override;

  void end(RelayOutcome Outcome, balance::CallOutcome Evidence);
  [[nodiscard]] balance::CallOutcome evidenceOf(TransportEnd End) const;

  RelayServer &m_Owner;                 ///< Outlives the call.
  RelayServer::CallKey m_Key;           ///< At m_Owner.
  RelayOpening m_Opening;               ///< As received.
  gateway::AdmittedRequest m_Admitted;  ///< By this instance's table.
  balance::Placed m_Placement;          ///< Counts until the call ends.
  TimePoint m_Deadline;                 ///< Of the request.
  std::unique_ptr<UpstreamCall> m_Call; ///< Null before connect() and at the
                                        ///< end.
  std::size_t m_UncreditedBytes = 0;    ///< Passed on without a credit.
  unsigned m_Status = 0;                ///< Of the answer; 0: none yet.
  bool m_NotRun = false;                ///< The upstream stated so.
  bool m_IsConnected = false;           ///< Waits for start().
  bool m_HasEnded = false;              ///< Its end was reported.
  Timer m_StartTimer;                   ///< See StartTimeout.
};

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_CARRIED_CALL_H
