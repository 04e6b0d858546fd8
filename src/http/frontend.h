/// HTTP server for callers: listens and owns their connections.
#ifndef CROWSTEP_HTTP_FRONTEND_H
#define CROWSTEP_HTTP_FRONTEND_H

#include "core/acceptor.h"
#include "core/memory_plan.h"
#include "http/caller_connection.h"
#include "http/connection_admission.h"
#include "instance_type.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace crowstep {

class Frontend final : public CallerConnectionOwner {
public:
  /// Handles requests that were received in full and within the limits.
  using Handler = std::function<void(IncomingRequest Request,
                                     std::unique_ptr<Caller> From)>;

  /// Called for each request that was refused while it was being received.
  using RefusedHandler = std::function<void(RefusalReason)>;

  /// Called for each new connection that is closed unread.
  using ShedHandler = std::function<void(ShedReason)>;

  Frontend(const ReceiveLimits &Limits, RefusedHandler OnRefused,
           Scheduler &Timers);
  ~Frontend() override;
  Frontend(const Frontend &) = delete;
  Frontend &operator=(const Frontend &) = delete;

  /// Starts to serve. \throws ListenError.
  void listen(const Address &ListenAddress, Handler OnRequest);

  /// Replaces the limits; they apply to later checks and timeouts.
  void setLimits(const ReceiveLimits &Limits) { m_Limits = Limits; }

  /// Closes new connections unread as long as \p Admission, which must outlive
  /// this object, has a reason to. Without a call all are served.
  void setAdmission(const ConnectionAdmission &Admission, ShedHandler OnShed);

  /// Accepts no further connections, and closes each open one as
  /// closeAfterAnswers() does.
  void stopListening();

  /// Closes each connection after the answer under way, also where its head did
  /// not announce that. A request that was sent behind it is not answered.
  void closeAfterAnswers() { m_ClosesAfterAnswers = true; }

  /// Closes the connections that wait for their next request. A request that
  /// arrives during the close is not read, and its caller sees a reset.
  void closeIdleConnections();

  /// Gives the kernel all that it takes of the answers which are finished and
  /// not written: it sends them also after the end of the process.
  void writeFinishedAnswers();

  /// Returns the number of open connections.
  [[nodiscard]] std::size_t connections() const { return m_Connections.size(); }

  /// Sets the memory for requests and for what callers leave unread; without a
  /// call it follows from what the process may use.
  void setMemory(const MemoryPlan &Plan);

  [[nodiscard]] BufferBudget &unreadBytes() override { return m_Unread; }
  [[nodiscard]] BufferBudget &receivedBytes() override { return m_Received; }

  /// While requests wait for memory, those that make no progress for this long
  /// are given up.
  static constexpr Duration ReclaimInterval = std::chrono::milliseconds(500);

  /// Returns on how many connections an answer, which may be a refusal, is
  /// pending or not yet written in full.
  [[nodiscard]] std::size_t unansweredRequests() const;

  /// Like unansweredRequests(), with requests that are partly received.
  [[nodiscard]] std::size_t openRequests() const;

  /// Returns how many connections wait only for their caller's close, after
  /// their last answer.
  [[nodiscard]] std::size_t lingeringConnections() const;

private:
  bool accept(SocketPtr Accepted);
  [[nodiscard]] std::vector<CallerConnection *> allConnections() const;

  [[nodiscard]] const ReceiveLimits &limits() const override {
    return m_Limits;
  }
  [[nodiscard]] bool closesAfterAnswers() const override {
    return m_ClosesAfterAnswers;
  }
  void requestReceived(IncomingRequest Request,
                       std::unique_ptr<Caller> From) override;
  void requestFailed(const std::exception &Failure) override;
  void requestRefused(RefusalReason Reason) override;
  void roomNeeded() override;
  void connectionClosed(CallerConnection &Connection) override;
  void startMeasuringProgress();
  void reclaimMemory();
  [[nodiscard]] std::vector<CallerConnection *> withoutProgress() const;

  MemoryPlan m_Memory{planMemory(usableMemory(0))}; ///< See setMemory().
  BufferBudget m_Unread{m_Memory.m_Unread};         ///< See unreadBytes().
  BufferBudget m_Received{m_Memory.m_Requests};     ///< See receivedBytes().
  ReceiveLimits m_Limits;                           ///< See setLimits().
  RefusedHandler m_OnRefused;                       ///< Never empty.
  Scheduler &m_Timers;                              ///< Outlives this object.
  Handler m_Handler;                                ///< See listen().
  Acceptor m_Acceptor; ///< Listens until stopListening().
  const ConnectionAdmission *m_Admission = nullptr; ///< Null: sheds none.
  ShedHandler m_OnShed;                             ///< Set with m_Admission.
  bool m_ClosesAfterAnswers = false; ///< After closeAfterAnswers().
  std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>>
      m_Connections; ///< Open connections.
  std::vector<std::unique_ptr<CallerConnection>>
      m_ClosedConnections; ///< Awaiting destruction.
  Timer m_CleanupTimer;    ///< Destroys m_ClosedConnections.
  Timer m_ReclaimTimer;    ///< Runs while requests wait for memory.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_FRONTEND_H
