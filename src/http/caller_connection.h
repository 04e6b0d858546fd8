/// One HTTP connection of a caller: receives requests and sends answers.
#ifndef CROWSTEP_HTTP_CALLER_CONNECTION_H
#define CROWSTEP_HTTP_CALLER_CONNECTION_H

#include "core/buffer_budget.h"
#include "core/scheduler.h"
#include "core/socket_watch.h"
#include "http/caller.h"
#include "http/output_queue.h"
#include "http/request_parser.h"
#include "http/socket_state.h"

#include <exception>
#include <memory>
#include <optional>

namespace crowstep {

/// Limits on receiving requests.
struct ReceiveLimits {
  std::size_t m_MaxBodyBytes = 0;   ///< For the whole body.
  std::size_t m_MaxHeaderBytes = 0; ///< For the value of one header.
  Duration m_ReceiveTimeout{}; ///< From the end of the head to the body's end.
  Duration m_IdleTimeout{}; ///< From accept or answer to the next head's end.
};

class CallerConnection;

/// Owns connections and handles their requests.
class CallerConnectionOwner {
public:
  virtual ~CallerConnectionOwner() = default;

  /// Returns the limits in force.
  [[nodiscard]] virtual const ReceiveLimits &limits() const = 0;

  /// Returns whether connections are closed after the answer under way.
  [[nodiscard]] virtual bool closesAfterAnswers() const = 0;

  /// A request was received in full and within the limits.
  virtual void requestReceived(IncomingRequest Request,
                               std::unique_ptr<Caller> From) = 0;

  /// A request could not be handled because of an exception.
  virtual void requestFailed(const std::exception &Failure) = 0;

  /// A request was refused while it was being received.
  virtual void requestRefused(RefusalReason Reason) = 0;

  /// Returns the memory for what callers have not read. Outlives all
  /// connections.
  [[nodiscard]] virtual BufferBudget &unreadBytes() = 0;

  /// Returns the memory for requests, from their first byte to the end of their
  /// answer. Outlives all connections.
  [[nodiscard]] virtual BufferBudget &receivedBytes() = 0;

  /// A request waits for room in receivedBytes().
  virtual void roomNeeded() = 0;

  /// The connection was closed. It must not be destroyed within this call.
  virtual void connectionClosed(CallerConnection &Connection) = 0;
};

class CallerConnection final : public SocketListener {
public:
  /// Takes over an accepted socket.
  CallerConnection(SocketPtr Socket, CallerConnectionOwner &Owner,
                   Scheduler &Timers);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  /// Returns whether an answer is pending or not yet written in full.
  [[nodiscard]] bool isAnswering() const {
    return m_Phase == Phase::AwaitingAnswer || m_Phase == Phase::Streaming ||
           m_Phase == Phase::Flushing;
  }

  /// Returns whether a request is partly received or was received behind the
  /// last one, or isAnswering().
  [[nodiscard]] bool isBusy() const;

  /// Returns whether the last answer was written and the caller has not closed
  /// the connection yet.
  [[nodiscard]] bool isLingering() const {
    return m_Phase == Phase::Discarding;
  }

  /// Begins to measure the progress of a request that is being received.
  void startMeasuringProgress();

  /// Returns whether such a request has made no progress since then.
  [[nodiscard]] bool hasStalled() const;

  /// Returns whether such a request is not read on for lack of room.
  [[nodiscard]] bool isWaitingForRoom() const;

  /// Returns what the request occupies.
  [[nodiscard]] std::size_t receivedBytes() const { return m_Received.bytes(); }

  /// Refuses a request that is being received.
  void giveUp(RefusalReason Reason);

  /// Closes the connection if no request has arrived on it; the socket is read
  /// first. A connection that has not served a request yet stays open.
  void closeIfIdle();

  /// Gives the kernel all that it takes of a finished answer.
  void writeFinishedAnswer();

  /// Closes at once; the disconnect callback of an open request runs.
  void close();

private:
  class Handle;

  /// State of the connection.
  enum class Phase : std::uint8_t {
    Receiving,      ///< Idle, or receiving a request.
    AwaitingAnswer, ///< A request has been handed to the owner.
    Streaming,      ///< The head of a stream was given, its end not yet.
    Flushing,       ///< The answer was given and is being written.
    Discarding,     ///< The last answer was written; input is discarded.
    Closed,         ///< Final state.
  };

  void socketReady(SocketEvents Events) override;

  void readSocket();
  void processInput();
  void handleHead();
  void checkBodySize();
  void handleRequest();
  void passOnRequest(std::unique_ptr<Caller> From);
  void refuse(RefusalReason Reason);
  void handleIdleTimeout();
  void waitForRequest();
  void startIdleTimer();

  void answer(const CallerAnswer &Answer);
  void beginStream(const CallerAnswer &Head);
  void append(const std::string &Bytes);
  void endStream();
  void abortAnswer();
  [[nodiscard]] bool hasDisconnected() const;
  [[nodiscard]] std::size_t backlog() const { return m_Output.size(); }

  void appendHead(const CallerAnswer &Answer, const HeaderList &Framing);
  void write();
  void handleFlushed();
  void finishAnswer();
  void setResetOnClose(bool Reset);
  void startDiscarding();
  void detectClose();
  void updateWatch();
  [[nodiscard]] bool mayReceive();
  [[nodiscard]] std::size_t partialBytes() const;
  [[nodiscard]] std::size_t readSize() const;
  void handleRoom();
  Handle *releaseHandle();

  CallerConnectionOwner &m_Owner; ///< Outlives the connection.
  SocketPtr m_Socket;             ///< Never null; closed with the connection.
  std::optional<SocketWatch> m_Watch; ///< Null once closed.
  Timer m_Timer;     ///< Idle, receive, flush or linger timeout, by phase.
  Timer m_RoomTimer; ///< Goes on with a request that has waited for room.
  std::optional<RequestParser> m_Parser; ///< Of the current request.
  Phase m_Phase = Phase::Receiving;      ///< See Phase.
  Handle *m_Handle = nullptr;    ///< Of the request without a full answer.
  std::string m_Input;           ///< Received, not yet parsed.
  OutputQueue m_Output;          ///< Being written.
  BufferBudget::Part m_Unread;   ///< Counts m_Output.
  BufferBudget::Part m_Received; ///< Counts the request until its answer ends.
  Duration m_LingerTime{};       ///< Timeout for the caller's close after the
                                 ///< last answer.
  std::size_t m_ProgressBytes = 0;   ///< See startMeasuringProgress().
  bool m_IsComplete = false;         ///< The request waits only for room.
  bool m_IsParsing = false;          ///< Within processInput().
  bool m_HasServed = false;          ///< A request was answered.
  bool m_WriteFailed = false;        ///< The socket reported a write error.
  bool m_NextRequestPending = false; ///< The socket holds the next request.
  bool m_CloseAfterAnswer = false;   ///< The current answer is the last.
  bool m_IsHeadRequest = false;      ///< The current request is a HEAD.
  bool m_IsChunked = false; ///< The current stream uses chunked encoding.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_CALLER_CONNECTION_H
