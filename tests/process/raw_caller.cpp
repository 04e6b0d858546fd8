/// Requests over plain sockets, with a minimal parser of answers.
#include "process/raw_caller.h"

#include "process/answer_parser.h"

#include <array>
#include <gio/gio.h>

namespace crowstep::test {

struct RawCaller::Connection {
  GSocketConnection *m_Stream = nullptr; ///< Owned.

  ~Connection() {
    if (m_Stream == nullptr)
      return;
    g_socket_close(g_socket_connection_get_socket(m_Stream), nullptr);
    g_object_unref(m_Stream);
  }
};

struct RawCaller::OpenRequest {
  RawCaller *m_Owner = nullptr; ///< Null once it has ended.
  Call m_Request;               ///< As given.
  std::string m_RequestBytes;   ///< Head and body.
  std::shared_ptr<CallResult> m_Result = std::make_shared<CallResult>();
  std::shared_ptr<Connection> m_Connection;  ///< Null while not connected.
  AnswerParser m_Parser;                     ///< Parses the answer.
  std::array<char, 16384> m_ReadBuffer{};    ///< Buffer for reads.
  gint64 m_StartUs = g_get_monotonic_time(); ///< In µs.
  guint m_TimeoutSource = 0; ///< Source of the timeout; 0: none.
  GCancellable *m_Cancel = g_cancellable_new(); ///< Owned.

  ~OpenRequest() { g_object_unref(m_Cancel); }
};

RawCaller::~RawCaller() { cancelAll(); }

void RawCaller::cancelAll() {
  m_IdleConnections.clear();
  const std::set<std::shared_ptr<OpenRequest>> Open = m_OpenRequests;
  for (const std::shared_ptr<OpenRequest> &Exchange : Open)
    finish(Exchange, false);
}

std::shared_ptr<const CallResult> RawCaller::start(const Call &Request) {
  auto Exchange = std::make_shared<OpenRequest>();
  Exchange->m_Owner = this;
  Exchange->m_Request = Request;
  Exchange->m_RequestBytes =
      Request.m_Method + " " + Request.m_Path + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Request.m_Headers)
    Exchange->m_RequestBytes.append(Name).append(": ").append(Value).append(
        "\r\n");
  Exchange->m_RequestBytes +=
      "Content-Length: " + std::to_string(Request.m_Body.size()) + "\r\n";
  if (!Request.m_KeepAlive)
    Exchange->m_RequestBytes += "Connection: close\r\n";
  Exchange->m_RequestBytes += "\r\n" + Request.m_Body;
  m_OpenRequests.insert(Exchange);
  startTimeout(Exchange, Request.m_Timeout);
  openConnection(Exchange);
  return Exchange->m_Result;
}

void RawCaller::startTimeout(const std::shared_ptr<OpenRequest> &Exchange,
                             Duration Limit) {
  const auto OnTimeout = +[](gpointer Data) -> gboolean {
    auto &Expired = *static_cast<std::shared_ptr<OpenRequest> *>(Data);
    Expired->m_TimeoutSource = 0;
    Expired->m_Owner->finish(Expired, false);
    return G_SOURCE_REMOVE;
  };
  const auto Free = +[](gpointer Data) {
    delete static_cast<std::shared_ptr<OpenRequest> *>(Data);
  };
  const auto Milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(Limit).count();
  Exchange->m_TimeoutSource = g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(Milliseconds), OnTimeout,
      new std::shared_ptr<OpenRequest>(Exchange), Free);
}

void RawCaller::openConnection(const std::shared_ptr<OpenRequest> &Exchange) {
  auto &Idle = m_IdleConnections[Exchange->m_Request.m_Address];
  if (Exchange->m_Request.m_KeepAlive && !Idle.empty()) {
    Exchange->m_Connection = Idle.front();
    Idle.pop_front();
    sendRequest(Exchange);
    return;
  }
  const auto OnConnected =
      +[](GObject *Client, GAsyncResult *Result, gpointer Data) {
        const std::unique_ptr<std::shared_ptr<OpenRequest>> Pending(
            static_cast<std::shared_ptr<OpenRequest> *>(Data));
        OpenRequest &Current = **Pending;
        GSocketConnection *Stream = g_socket_client_connect_to_host_finish(
            G_SOCKET_CLIENT(Client), Result, nullptr);
        if (Stream != nullptr) {
          Current.m_Connection = std::make_shared<Connection>();
          Current.m_Connection->m_Stream = Stream;
        }
        if (Current.m_Owner == nullptr)
          return;
        if (Stream == nullptr)
          Current.m_Owner->finish(*Pending, false);
        else
          Current.m_Owner->sendRequest(*Pending);
      };
  GSocketClient *Client = g_socket_client_new();
  const std::string Host = toString(Exchange->m_Request.m_Address);
  g_socket_client_connect_to_host_async(
      Client, Host.c_str(), Exchange->m_Request.m_Address.m_Port,
      Exchange->m_Cancel, OnConnected,
      new std::shared_ptr<OpenRequest>(Exchange));
  g_object_unref(Client);
}

void RawCaller::sendRequest(const std::shared_ptr<OpenRequest> &Exchange) {
  const auto OnWritten =
      +[](GObject *Stream, GAsyncResult *Result, gpointer Data) {
        const std::unique_ptr<std::shared_ptr<OpenRequest>> Pending(
            static_cast<std::shared_ptr<OpenRequest> *>(Data));
        const bool Succeeded =
            g_output_stream_write_all_finish(G_OUTPUT_STREAM(Stream), Result,
                                             nullptr, nullptr) != 0;
        RawCaller *Owner = (*Pending)->m_Owner;
        if (Owner == nullptr)
          return;
        if (Succeeded)
          Owner->readResponse(*Pending);
        else
          Owner->finish(*Pending, false);
      };
  g_output_stream_write_all_async(
      g_io_stream_get_output_stream(
          G_IO_STREAM(Exchange->m_Connection->m_Stream)),
      Exchange->m_RequestBytes.data(), Exchange->m_RequestBytes.size(),
      G_PRIORITY_DEFAULT, Exchange->m_Cancel, OnWritten,
      new std::shared_ptr<OpenRequest>(Exchange));
}

void RawCaller::readResponse(const std::shared_ptr<OpenRequest> &Exchange) {
  const auto OnRead =
      +[](GObject *Stream, GAsyncResult *Result, gpointer Data) {
        const std::unique_ptr<std::shared_ptr<OpenRequest>> Pending(
            static_cast<std::shared_ptr<OpenRequest> *>(Data));
        OpenRequest &Current = **Pending;
        const gssize Size =
            g_input_stream_read_finish(G_INPUT_STREAM(Stream), Result, nullptr);
        if (Current.m_Owner == nullptr)
          return;
        if (Size > 0)
          Current.m_Parser.parse(
              {Current.m_ReadBuffer.data(), static_cast<std::size_t>(Size)},
              *Current.m_Result);
        if (Size <= 0 || Current.m_Parser.isComplete())
          Current.m_Owner->finish(*Pending, Current.m_Parser.isComplete());
        else
          Current.m_Owner->readResponse(*Pending);
      };
  g_input_stream_read_async(g_io_stream_get_input_stream(
                                G_IO_STREAM(Exchange->m_Connection->m_Stream)),
                            Exchange->m_ReadBuffer.data(),
                            Exchange->m_ReadBuffer.size(), G_PRIORITY_DEFAULT,
                            Exchange->m_Cancel, OnRead,
                            new std::shared_ptr<OpenRequest>(Exchange));
}

void RawCaller::finish(const std::shared_ptr<OpenRequest> &Exchange,
                       bool Complete) {
  Exchange->m_Result->m_Ended = true;
  Exchange->m_Result->m_ConnectionBroken = !Complete;
  Exchange->m_Result->m_Elapsed =
      Duration(g_get_monotonic_time() - Exchange->m_StartUs);
  if (Complete && Exchange->m_Request.m_KeepAlive &&
      Exchange->m_Parser.allowsReuse())
    m_IdleConnections[Exchange->m_Request.m_Address].push_back(
        Exchange->m_Connection);
  if (Exchange->m_TimeoutSource != 0)
    g_source_remove(Exchange->m_TimeoutSource);
  Exchange->m_TimeoutSource = 0;
  Exchange->m_Owner = nullptr;
  g_cancellable_cancel(Exchange->m_Cancel);
  Exchange->m_Connection = nullptr;
  m_OpenRequests.erase(Exchange);
}

} // namespace crowstep::test
