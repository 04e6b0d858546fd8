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
  virtual void requestArrived(IncomingRequest What,
                              std::unique_ptr<Caller> From) = 0;

  /// A request was refused while it arrived.
  virtual void requestRefused(RefusalReason Why) = 0;

  /// The connection is closed. It may not be destroyed from within this call.
  virtual void connectionClosed(CallerConnection &Which) = 0;
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
    return m_Phase == Phase::Held || m_Phase == Phase::Streaming ||
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
    Arriving,   ///< A request arrives, or none has begun to.
    Held,       ///< A request waits for its answer.
    Streaming,  ///< The head of a stream is given, its end is not.
    Flushing,   ///< The answer is given, and not yet written whole.
    Discarding, ///< The last answer is written; what comes is thrown away.
    Closed,     ///< For good.
  };

  void socketReady(SocketEvents What) override;

  void readSome();
  void takeInput();
  void headArrived();
  void checkBody();
  void requestComplete();
  void refuse(RefusalReason Reason);
  void idleTooLong();
  void waitForRequest();
  void watchIdle();

  void answer(const CallerAnswer &What);
  void beginStream(const CallerAnswer &Head);
  void append(const std::string &Bytes);
  void endStream();
  void cut();
  [[nodiscard]] bool hasLeft() const;
  [[nodiscard]] std::size_t backlog() const { return m_Out.size() - m_Sent; }

  void appendHead(const CallerAnswer &What, const HeaderList &Framing);
  void write();
  void flushed();
  void answered();
  void discard();
  void checkStillThere();
  void updateWatch();
  Handle *release();

  CallerConnectionOwner &m_Owner; ///< Outlives the connection.
  SocketPtr m_Socket;             ///< Never null; closed with the connection.
  std::optional<SocketWatch> m_Watch;    ///< Null once closed.
  Timer m_Limit;                         ///< On what is awaited.
  std::optional<RequestParser> m_Parser; ///< Of the present request.
  Phase m_Phase = Phase::Arriving;       ///< See Phase.
  Handle *m_Handle = nullptr; ///< Of the request that is held or streamed.
  std::string m_In;           ///< Read and not yet parsed.
  std::string m_Out;          ///< To be written.
  std::size_t m_Sent = 0;     ///< Of m_Out, already written.
  Duration m_Linger{};        ///< How long it is read on after its last answer.
  bool m_Parsing = false;     ///< Within takeInput().
  bool m_Served = false;      ///< A request was answered.
  bool m_Broken = false;      ///< Nothing can be written any more.
  bool m_MoreWaits = false;   ///< A further request lies in the socket.
  bool m_CloseAfter = false;  ///< The present answer is the last.
  bool m_HeadOnly = false;    ///< The present request is a HEAD.
  bool m_Chunked = false;     ///< The present stream is sent in chunks.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_CALLER_CONNECTION_H
