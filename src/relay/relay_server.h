/// Calls that this instance carries for others.
///
/// It connects to the upstream, reports that, and sends the call on request.
/// A call is never relayed again: if this instance can't reach the
/// upstream it says so. What it alone can know it checks itself: that its own
/// table admits the request to that service, and that the upstream may be
/// called.
#ifndef CROWSTEP_RELAY_RELAY_SERVER_H
#define CROWSTEP_RELAY_RELAY_SERVER_H

#include "balance/balancer.h"
#include "core/metrics.h"
#include "gateway/admission.h"
#include "gateway/crash_watch.h"
#include "link/link_type.h"
#include "relay/path_prober.h"
#include "relay/relay_client.h"

#include <map>
#include <set>

namespace crowstep::relay {

class CarriedCall;

/// What carrying calls takes; everything outlives the server.
struct RelayServerContext {
  const Clock &m_Clock;                ///< Of the loop.
  Scheduler &m_Timers;                 ///< Of the loop.
  balance::Balancer &m_Balancer;       ///< Knows the upstreams.
  UpstreamClient &m_Upstream;          ///< Sends calls.
  gateway::CrashWatch &m_CrashWatch;   ///< Handles broken calls.
  const gateway::HeaderCodec &m_Codec; ///< Reads and writes headers.
  PathProber &m_Prober;                ///< Connects to upstreams.
  const gateway::PathView &m_Paths;    ///< Which upstreams are reached.
};

class RelayServer final : private link::LinkListener {
public:
  /// Calls that are carried at once, and the bytes of their requests.
  static constexpr std::size_t MaxCalls = 256;
  static constexpr std::size_t MaxRequestBytes = 16 << 20;

  /// Upstreams that one question may name.
  static constexpr std::size_t MaxAsked = 16;

  RelayServer(const RelayServerContext &Context, RelayLinksFactory Open,
              Metrics &Stats);
  ~RelayServer() override;
  RelayServer(const RelayServer &) = delete;
  RelayServer &operator=(const RelayServer &) = delete;

  /// Starts to listen for links with the shared secret \p Key.
  void start(const std::string &Key);

  void setTable(gateway::RouteTablePtr Table) { m_Table = std::move(Table); }

  /// Takes no further calls; those that are carried go on.
  void stop();

  [[nodiscard]] std::size_t openCalls() const { return m_Calls.size(); }

private:
  friend class CarriedCall;

  /// Identifies a call by its link and the number that it has there.
  using CallKey = std::pair<link::LinkId, RelayCallId>;

  /// A question that waits for probes.
  struct Question {
    link::LinkId m_Link;    ///< Who asks.
    PathAnswer m_Answer;    ///< So far.
    std::size_t m_Left = 0; ///< Probes that have not ended.
  };

  void linkUp(link::LinkId Link, const link::Peer &Remote) override;
  void linkFrame(link::LinkId Link, const wire::Frame &Frame) override;
  void linkDown(link::LinkId Link, const link::Peer &Remote,
                link::CloseReason Reason) override;
  void dialFailed(const Address &Dialled, link::CloseReason Reason) override;

  void receiveQuestion(link::LinkId Link, const wire::PathQuestion &From);
  void handleProbe(std::uint64_t Number, const ProbeResult &Result);
  void sendAnswer(link::LinkId Link, PathAnswer Answer);
  void receiveOpening(link::LinkId Link, const wire::RelayOpen &From);
  std::optional<RelayOutcome> openCall(link::LinkId Link, RelayOpening Opening);
  void sendEnd(const CallKey &Key, RelayOutcome Outcome);
  [[nodiscard]] CarriedCall *findCall(const CallKey &Key) const;

  // For CarriedCall.
  wire::FrameT &outbox(const CallKey &Key) {
    return m_Links->outbox(Key.first);
  }
  void handleCallEnd(const CallKey &Key, RelayOutcome Outcome);
  std::unique_ptr<CarriedCall> extractCall(const CallKey &Key);

  RelayServerContext m_Context;                ///< See RelayServerContext.
  RelayLinksFactory m_OpenLinks;               ///< Never empty.
  std::unique_ptr<link::Links> m_Links;        ///< Null until start().
  gateway::RouteTablePtr m_Table;              ///< In force; null: none yet.
  std::map<link::LinkId, std::string> m_Peers; ///< Names, by link that is up.
  std::map<CallKey, std::unique_ptr<CarriedCall>> m_Calls; ///< In progress.
  std::vector<std::unique_ptr<CarriedCall>> m_Ended;       ///< To be destroyed.
  std::map<std::uint64_t, Question> m_Questions;           ///< By own number.
  std::uint64_t m_LastQuestion = 0;                        ///< Last own number.
  std::size_t m_RequestBytes = 0;                          ///< Of all calls.
  bool m_IsStopping = false;                               ///< After stop().
  Timer m_CleanupTimer; ///< Destroys m_Ended.
  Counter &m_CallCount; ///< Carried calls.
  Gauge &m_OpenGauge;   ///< See openCalls().
};

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_RELAY_SERVER_H
