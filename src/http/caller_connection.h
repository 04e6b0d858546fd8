/// One connection of a caller: requests come in, answers go out.
#ifndef CROWSTEP_HTTP_CALLER_CONNECTION_H
#define CROWSTEP_HTTP_CALLER_CONNECTION_H

#include "core/scheduler.h"
#include "core/socket_watch.h"
#include "http/caller.h"
#include "http/request_parser.h"
#include "http/socket_state.h"

#include <memory>
#include <optional>

namespace crowstep {

/// What a request must keep to while it arrives.
struct ArrivalLimits {
  std::size_t m_MaxBody = 0;   ///< Bytes.
  std::size_t m_MaxHeader = 0; ///< Bytes of one header's value.
  Duration m_ReceiveLimit{};   ///< From the end of the headers to the body's.
  Duration m_IdleLimit{};      ///< From an answer to the next headers' end.
};

class CallerConnection;

/// Who owns connections and takes their requests.
class CallerConnectionOwner {
public:
  virtual ~CallerConnectionOwner() = default;

  /// Returns the limits in force.
  [[nodiscard]] virtual const ArrivalLimits &limits() const = 0;

  /// A request has arrived whole and within the limits.
  virtual void requestArrived(IncomingRequest Request,
                              std::unique_ptr<Caller> From) = 0;

  /// A request was refused while it arrived.
  virtual void requestRefused(RefusalReason Reason) = 0;

  /// The connection is closed. It may not be destroyed from within this call.
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

  /// Returns whether a request is being answered.
  [[nodiscard]] bool answering() const {
    return m_Phase == Phase::AwaitingAnswer || m_Phase == Phase::Streaming ||
           m_Phase == Phase::Flushing;
  }

  /// Returns whether a request has begun to arrive or is being answered.
  [[nodiscard]] bool busy() const;

  /// Closes unless a request is at hand; one that has come by now is read. A
  /// connection that has not served any yet is left open.
  void closeIfIdle();

  /// Closes at once; the caller of an open request hears of it.
  void close();

private:
  class Handle;

  /// What the connection is doing.
  enum class Phase : std::uint8_t {
    Receiving,      ///< A request arrives, or none has begun to.
    AwaitingAnswer, ///< A request waits for its answer.
    Streaming,      ///< The head of a stream is given, its end is not.
    Flushing,       ///< The answer is given, and not yet written whole.
    Discarding,     ///< The last answer is written; what comes is thrown away.
    Closed,         ///< For good.
  };

  void socketReady(SocketEvents Events) override;

  void readSocket();
  void processInput();
  void handleHead();
  void checkBodySize();
  void handleRequest();
  void refuse(RefusalReason Reason);
  void handleIdleTimeout();
  void waitForRequest();
  void startIdleTimer();

  void answer(const CallerAnswer &Answer);
  void beginStream(const CallerAnswer &Head);
  void append(const std::string &Bytes);
  void endStream();
  void abortAnswer();
  [[nodiscard]] bool hasLeft() const;
  [[nodiscard]] std::size_t backlog() const {
    return m_Output.size() - m_SentBytes;
  }

  void appendHead(const CallerAnswer &Answer, const HeaderList &Framing);
  void write();
  void handleFlushed();
  void finishAnswer();
  void startDiscarding();
  void detectClose();
  void updateWatch();
  Handle *releaseHandle();

  CallerConnectionOwner &m_Owner; ///< Outlives the connection.
  SocketPtr m_Socket;             ///< Never null; closed with the connection.
  std::optional<SocketWatch> m_Watch;    ///< Null once closed.
  Timer m_Timer;                         ///< On what is awaited.
  std::optional<RequestParser> m_Parser; ///< Of the present request.
  Phase m_Phase = Phase::Receiving;      ///< See Phase.
  Handle *m_Handle = nullptr;  ///< Of the request that is held or streamed.
  std::string m_Input;         ///< Read and not yet parsed.
  std::string m_Output;        ///< To be written.
  std::size_t m_SentBytes = 0; ///< Of m_Out, already written.
  Duration m_LingerTime{};    ///< How long it is read on after its last answer.
  bool m_IsParsing = false;   ///< Within takeInput().
  bool m_HasServed = false;   ///< A request was answered.
  bool m_WriteFailed = false; ///< Nothing can be written any more.
  bool m_NextRequestPending = false; ///< A further request lies in the socket.
  bool m_CloseAfterAnswer = false;   ///< The present answer is the last.
  bool m_IsHeadRequest = false;      ///< The present request is a HEAD.
  bool m_IsChunked = false;          ///< The present stream is sent in chunks.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_CALLER_CONNECTION_H
