/// A small HTTP server over libsoup.
#ifndef CROWSTEP_CORE_HTTP_SERVER_H
#define CROWSTEP_CORE_HTTP_SERVER_H

#include "core/error.h"
#include "core/metrics.h"
#include "core/socket_ptr.h"
#include "instance_type.h"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <string>

namespace crowstep {

/// A server can't listen on its configured address.
class ListenError : public Error {
public:
  ListenError(const Address &BindAddress, const std::string &Reason)
      : Error("can't listen on " + toString(BindAddress) + ": " + Reason) {}
};

/// Bounds on what all clients of a server together may occupy.
struct HttpLimits {
  std::size_t m_Connections = 0;    ///< Open at once; the oldest one yields.
  std::size_t m_BodyBytes = 0;      ///< Of one request; longer ones get 413.
  std::size_t m_TotalBodyBytes = 0; ///< Of all requests; beyond it they get 503
                                    ///< and the oldest connection is closed.
};

/// Listens on one address and passes every request to one handler.
class HttpServer {
public:
  using Handler = std::function<void(SoupServerMessage *, const char *Path)>;

  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts to listen; \p OnRequest is called when a request's body is
  /// complete. \throws ListenError.
  void listen(const Address &BindAddress, Handler OnRequest);

  /// Sets limits; without a call there are none. Must be called before
  /// listen(). \p Stats outlives the server.
  void setLimits(const HttpLimits &Limits, Metrics &Stats);

  /// Sets a hook that runs when a request's headers have been received, before
  /// its body is read; it may set a status to refuse the request. Must be
  /// called after listen().
  void onHeaders(std::function<void(SoupServerMessage *)> Hook);

  /// Accepts no more connections; existing ones stay open.
  void stopListening();

  /// Returns libsoup's server, for functions that this class does not wrap.
  [[nodiscard]] SoupServer *native() const { return m_Server; }

private:
  class BodyShare;
  struct LimitState;

  void listenWithLimits(const Address &BindAddress);
  bool accept(SocketPtr Accepted);
  void closeOldest();
  void startRequest(SoupServerMessage *Message);
  void countBody(SoupServerMessage *Message, std::size_t MoreBytes);

  std::unique_ptr<LimitState> m_Limits; ///< Null: there are no limits.
  SoupServer *m_Server = nullptr;       ///< Null before listen().
  Handler m_Handler;                    ///< Called for each request.
  std::function<void(SoupServerMessage *)> m_HeadersHook; ///< May be empty.
};

/// Answers \p Message with \p Body of the media type \p ContentType.
void respond(SoupServerMessage *Message, unsigned Status,
             const std::string &ContentType, const std::string &Body);

/// Returns a request header, or an empty string if it is absent.
std::string requestHeader(SoupServerMessage *Message, const char *Name);

/// Returns the request's path and query as sent, for forwarding.
std::string requestTarget(SoupServerMessage *Message);

/// Returns the request's body, which must be complete.
std::string requestBody(SoupServerMessage *Message);

/// Binds and listens on \p BindAddress with a backlog that is large enough for
/// a burst of callers. The caller owns the socket. \throws ListenError.
GSocket *openListeningSocket(const Address &BindAddress);

} // namespace crowstep

#endif // CROWSTEP_CORE_HTTP_SERVER_H
