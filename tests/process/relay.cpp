/// Passing bytes on until the link is cut.
#include "process/relay.h"

#include "process/process.h"

#include <array>
#include <gio/gio.h>

namespace crowstep::test {

/// One direction of a connection.
struct Relay::Pipe {
  Relay *m_Owner = nullptr;           ///< Null once the relay is gone.
  GInputStream *m_From = nullptr;     ///< Of m_Ends.
  GOutputStream *m_To = nullptr;      ///< Of m_Ends.
  std::array<char, 16384> m_Piece{};  ///< On its way.
  std::size_t m_Size = 0;             ///< Of the piece.
  bool m_Outward = true;              ///< Towards the target.
  std::shared_ptr<Connection> m_Ends; ///< Keeps the streams alive.
};

struct Relay::Connection {
  GSocketConnection *m_Near = nullptr; ///< Owned.
  GSocketConnection *m_Far = nullptr;  ///< Owned.
  bool m_Open = true;                  ///< False once closed.

  void close() {
    if (!m_Open)
      return;
    m_Open = false;
    for (GSocketConnection *Each : {m_Near, m_Far})
      g_socket_close(g_socket_connection_get_socket(Each), nullptr);
  }
  ~Connection() {
    g_object_unref(m_Near);
    g_object_unref(m_Far);
  }
};

Relay::Relay(const Address &Target)
    : m_Target(Target), m_Service(g_socket_service_new()) {
  m_Listen = {Target.m_Ip, freePort()};
  g_socket_listener_add_inet_port(G_SOCKET_LISTENER(m_Service), m_Listen.m_Port,
                                  nullptr, nullptr);
  const auto Incoming = +[](GSocketService *, GSocketConnection *Near,
                            GObject *, gpointer Self) -> gboolean {
    static_cast<Relay *>(Self)->accept(Near);
    return 1;
  };
  g_signal_connect(m_Service, "incoming", G_CALLBACK(Incoming), this);
  g_socket_service_start(m_Service);
}

Relay::~Relay() {
  cut();
  g_signal_handlers_disconnect_by_data(m_Service, this);
  g_socket_service_stop(m_Service);
  g_socket_listener_close(G_SOCKET_LISTENER(m_Service));
  g_object_unref(m_Service);
  // Reads on their way end with an error now that the sockets are closed.
  runUntil([] { return g_main_context_pending(nullptr) == 0; },
           std::chrono::seconds(1));
}

void Relay::accept(void *Incoming) {
  auto *Near = static_cast<GSocketConnection *>(Incoming);
  if (m_Cut) {
    g_socket_close(g_socket_connection_get_socket(Near), nullptr);
    return;
  }
  GSocketClient *Client = g_socket_client_new();
  const std::string Where = toString(m_Target);
  GSocketConnection *Far = g_socket_client_connect_to_host(
      Client, Where.c_str(), m_Target.m_Port, nullptr, nullptr);
  g_object_unref(Client);
  if (Far == nullptr) {
    g_socket_close(g_socket_connection_get_socket(Near), nullptr);
    return;
  }
  auto Ends = std::make_shared<Connection>();
  Ends->m_Near = G_SOCKET_CONNECTION(g_object_ref(Near));
  Ends->m_Far = Far;
  m_Connections.push_back(Ends);
  for (const bool Outward : {true, false}) {
    auto Way = std::make_shared<Pipe>();
    Way->m_Owner = this;
    Way->m_Ends = Ends;
    Way->m_Outward = Outward;
    GSocketConnection *From = Outward ? Near : Far;
    GSocketConnection *To = Outward ? Far : Near;
    Way->m_From = g_io_stream_get_input_stream(G_IO_STREAM(From));
    Way->m_To = g_io_stream_get_output_stream(G_IO_STREAM(To));
    pump(Way);
  }
}

void Relay::pump(const std::shared_ptr<Pipe> &Way) {
  using Held = std::shared_ptr<Pipe>;
  const auto Done = +[](GObject *From, GAsyncResult *Outcome, gpointer Data) {
    const std::unique_ptr<Held> Mine(static_cast<Held *>(Data));
    Pipe &Each = **Mine;
    const gssize Size =
        g_input_stream_read_finish(G_INPUT_STREAM(From), Outcome, nullptr);
    if (Size <= 0 || !Each.m_Ends->m_Open) {
      Each.m_Ends->close();
      return;
    }
    Each.m_Size = static_cast<std::size_t>(Size);
    Each.m_Owner->arrived(*Mine);
  };
  g_input_stream_read_async(Way->m_From, Way->m_Piece.data(),
                            Way->m_Piece.size(), G_PRIORITY_DEFAULT, nullptr,
                            Done, new Held(Way));
}

void Relay::arrived(const std::shared_ptr<Pipe> &Way) {
  if (m_Delay == Duration::zero()) {
    passOn(Way);
    return;
  }
  using Held = std::shared_ptr<Pipe>;
  const auto Due = +[](gpointer Data) -> gboolean {
    const std::unique_ptr<Held> Mine(static_cast<Held *>(Data));
    // An open connection's relay is there still.
    if ((*Mine)->m_Ends->m_Open)
      (*Mine)->m_Owner->passOn(*Mine);
    return G_SOURCE_REMOVE;
  };
  const auto Milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(m_Delay).count();
  g_timeout_add(static_cast<guint>(Milliseconds), Due, new Held(Way));
}

void Relay::passOn(const std::shared_ptr<Pipe> &Way) {
  if (m_Silence == Silence::Both ||
      (m_Silence == Silence::Outward && Way->m_Outward)) {
    m_Held.push_back(Way);
    return;
  }
  if (g_output_stream_write_all(Way->m_To, Way->m_Piece.data(), Way->m_Size,
                                nullptr, nullptr, nullptr) == 0)
    Way->m_Ends->close();
  else
    pump(Way);
}

void Relay::setSilence(Silence Which) {
  m_Silence = Which;
  std::list<std::shared_ptr<Pipe>> Held;
  Held.swap(m_Held);
  for (const std::shared_ptr<Pipe> &Each : Held)
    if (Each->m_Ends->m_Open)
      passOn(Each);
}

void Relay::reset() {
  for (const std::shared_ptr<Connection> &Each : m_Connections)
    Each->close();
  m_Connections.clear();
  m_Held.clear();
}

void Relay::cut() {
  m_Cut = true;
  reset();
}

void Relay::mend() { m_Cut = false; }

} // namespace crowstep::test
