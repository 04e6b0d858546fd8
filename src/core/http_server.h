/// A small HTTP server over libsoup, with the settings that libsoup needs.
#ifndef CROWSTEP_CORE_HTTP_SERVER_H
#define CROWSTEP_CORE_HTTP_SERVER_H

#include "core/error.h"
#include "instance_type.h"

#include <functional>
#include <libsoup/soup.h>
#include <string>

namespace crowstep {

/// A server can't listen where its settings say.
class ListenError : public Error {
public:
  ListenError(const Address &BindAddress, const std::string &Reason)
      : Error("can't listen on " + toString(BindAddress) + ": " + Reason) {}
};

/// Listens on one address and hands every request to one handler.
class HttpServer {
public:
  using Handler = std::function<void(SoupServerMessage *, const char *Path)>;

  HttpServer() = default;
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Serves requests whose bodies have arrived whole. \throws ListenError.
  void listen(const Address &BindAddress, Handler OnRequest);

  /// Adds a hook that runs when a request's headers have arrived, before its
  /// body is read; it may set a status to refuse the request.
  void onHeaders(std::function<void(SoupServerMessage *)> Hook);

  /// Accepts no more connections; the present ones go on.
  void stopListening();

  /// Returns libsoup's server, for what this class does not wrap.
  [[nodiscard]] SoupServer *native() const { return m_Server; }

private:
  SoupServer *m_Server = nullptr;                  ///< Null before listen().
  Handler m_Handler;                               ///< Called for each request.
  std::function<void(SoupServerMessage *)> m_Hook; ///< May be empty.
};

/// Answers \p Message with a body of the type given.
void respond(SoupServerMessage *Message, unsigned Status,
             const std::string &ContentType, const std::string &Body);

/// Returns a request header, or an empty text.
std::string requestHeader(SoupServerMessage *Message, const char *Name);

/// Returns the path as it was sent, with its query, for forwarding.
std::string requestTarget(SoupServerMessage *Message);

/// Returns the request's body, which must have arrived whole.
std::string requestBody(SoupServerMessage *Message);

/// Binds and listens on \p Where with a backlog that a burst of callers needs.
/// Returns an owned socket. \throws ListenError.
GSocket *listeningSocket(const Address &BindAddress);

} // namespace crowstep

#endif // CROWSTEP_CORE_HTTP_SERVER_H
