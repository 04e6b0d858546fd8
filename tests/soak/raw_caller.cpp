/// HTTP/1.1 by hand.
#include "soak/raw_caller.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <gio/gio.h>
#include <optional>

namespace crowstep::soak {

namespace {

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Each) { return std::tolower(Each); });
  return Text;
}

/// Takes an answer apart as its bytes come.
class AnswerReader {
public:
  /// Takes bytes; the body goes to \p Into.
  void take(std::string_view Bytes, test::Told &Into) {
    m_Pending.append(Bytes);
    if (!m_HasHead && !takeHead(Into))
      return;
    if (m_Chunked)
      takeChunks(Into);
    else
      takeSized(Into);
  }

  [[nodiscard]] bool whole() const { return m_Whole; }
  [[nodiscard]] bool keepsOpen() const { return m_Whole && !m_Close; }

private:
  bool takeHead(test::Told &Into) {
    const auto End = m_Pending.find("\r\n\r\n");
    if (End == std::string::npos)
      return false;
    const std::string Head = lower(m_Pending.substr(0, End + 2));
    m_Pending.erase(0, End + 4);
    Into.m_Status = static_cast<unsigned>(std::atoi(Head.c_str() + 9));
    m_Chunked =
        Head.find("\r\ntransfer-encoding: chunked") != std::string::npos;
    m_Close = Head.find("\r\nconnection: close") != std::string::npos;
    if (const auto Length = Head.find("\r\ncontent-length: ");
        Length != std::string::npos)
      m_Left = std::strtoull(Head.c_str() + Length + 18, nullptr, 10);
    m_HasHead = true;
    return true;
  }

  void takeSized(test::Told &Into) {
    const std::size_t Size = std::min(m_Left, m_Pending.size());
    Into.m_Body.append(m_Pending, 0, Size);
    m_Pending.erase(0, Size);
    m_Left -= Size;
    m_Whole = m_Left == 0;
  }

  void takeChunks(test::Told &Into) {
    while (!m_Whole) {
      const auto Line = m_Pending.find("\r\n");
      if (Line == std::string::npos)
        return;
      const std::size_t Size = std::strtoull(m_Pending.c_str(), nullptr, 16);
      if (m_Pending.size() < Line + 2 + Size + 2)
        return;
      Into.m_Body.append(m_Pending, Line + 2, Size);
      m_Pending.erase(0, Line + 2 + Size + 2);
      m_Whole = Size == 0;
    }
  }

  std::string m_Pending;  ///< Not yet understood.
  bool m_HasHead = false; ///< The head came.
  bool m_Chunked = false; ///< By the head.
  bool m_Close = false;   ///< By the head.
  bool m_Whole = false;   ///< The end came.
  std::size_t m_Left = 0; ///< Of a body with a length.
};

} // namespace

struct RawCaller::Connection {
  GSocketConnection *m_Stream = nullptr; ///< Owned.

  ~Connection() {
    if (m_Stream == nullptr)
      return;
    g_socket_close(g_socket_connection_get_socket(m_Stream), nullptr);
    g_object_unref(m_Stream);
  }
};

struct RawCaller::Flight {
  RawCaller *m_Owner = nullptr; ///< Null once it is over.
  test::Call m_What;            ///< As asked.
  std::string m_Text;           ///< As it is sent.
  std::shared_ptr<test::Told> m_Told = std::make_shared<test::Told>();
  std::shared_ptr<Connection> m_Connection;     ///< Its own meanwhile.
  AnswerReader m_Reader;                        ///< Of its answer.
  std::array<char, 16384> m_Piece{};            ///< Being read.
  gint64 m_Start = g_get_monotonic_time();      ///< Of the call.
  guint m_Timer = 0;                            ///< For the limit.
  GCancellable *m_Cancel = g_cancellable_new(); ///< Owned.

  ~Flight() { g_object_unref(m_Cancel); }
};

RawCaller::~RawCaller() { hangUp(); }

void RawCaller::hangUp() {
  m_Kept.clear();
  const std::set<std::shared_ptr<Flight>> All = m_Flights;
  for (const std::shared_ptr<Flight> &Each : All)
    finish(Each, false);
}

std::shared_ptr<const test::Told> RawCaller::start(const test::Call &What) {
  auto Call = std::make_shared<Flight>();
  Call->m_Owner = this;
  Call->m_What = What;
  Call->m_Text = What.m_Method + " " + What.m_Path + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : What.m_Headers)
    Call->m_Text.append(Name).append(": ").append(Value).append("\r\n");
  Call->m_Text +=
      "Content-Length: " + std::to_string(What.m_Body.size()) + "\r\n";
  if (!What.m_KeepsOpen)
    Call->m_Text += "Connection: close\r\n";
  Call->m_Text += "\r\n" + What.m_Body;
  m_Flights.insert(Call);
  arm(Call, What.m_Limit);
  begin(Call);
  return Call->m_Told;
}

void RawCaller::arm(const std::shared_ptr<Flight> &Call, Duration Limit) {
  const auto Over = +[](gpointer Data) -> gboolean {
    auto &Late = *static_cast<std::shared_ptr<Flight> *>(Data);
    Late->m_Timer = 0;
    Late->m_Owner->finish(Late, false);
    return G_SOURCE_REMOVE;
  };
  const auto Forget = +[](gpointer Data) {
    delete static_cast<std::shared_ptr<Flight> *>(Data);
  };
  const auto Milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(Limit).count();
  Call->m_Timer =
      g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(Milliseconds),
                         Over, new std::shared_ptr<Flight>(Call), Forget);
}

void RawCaller::begin(const std::shared_ptr<Flight> &Call) {
  auto &Idle = m_Kept[Call->m_What.m_Where];
  if (Call->m_What.m_KeepsOpen && !Idle.empty()) {
    Call->m_Connection = Idle.front();
    Idle.pop_front();
    write(Call);
    return;
  }
  const auto Connected =
      +[](GObject *Client, GAsyncResult *Outcome, gpointer Data) {
        const std::unique_ptr<std::shared_ptr<Flight>> Mine(
            static_cast<std::shared_ptr<Flight> *>(Data));
        Flight &Now = **Mine;
        GSocketConnection *Stream = g_socket_client_connect_to_host_finish(
            G_SOCKET_CLIENT(Client), Outcome, nullptr);
        if (Stream != nullptr) {
          Now.m_Connection = std::make_shared<Connection>();
          Now.m_Connection->m_Stream = Stream;
        }
        if (Now.m_Owner == nullptr)
          return;
        if (Stream == nullptr)
          Now.m_Owner->finish(*Mine, false);
        else
          Now.m_Owner->write(*Mine);
      };
  GSocketClient *Client = g_socket_client_new();
  const std::string Where = toString(Call->m_What.m_Where);
  g_socket_client_connect_to_host_async(
      Client, Where.c_str(), Call->m_What.m_Where.m_Port, Call->m_Cancel,
      Connected, new std::shared_ptr<Flight>(Call));
  g_object_unref(Client);
}

void RawCaller::write(const std::shared_ptr<Flight> &Call) {
  const auto Written =
      +[](GObject *Stream, GAsyncResult *Outcome, gpointer Data) {
        const std::unique_ptr<std::shared_ptr<Flight>> Mine(
            static_cast<std::shared_ptr<Flight> *>(Data));
        const bool Good =
            g_output_stream_write_all_finish(G_OUTPUT_STREAM(Stream), Outcome,
                                             nullptr, nullptr) != 0;
        RawCaller *Owner = (*Mine)->m_Owner;
        if (Owner == nullptr)
          return;
        if (Good)
          Owner->read(*Mine);
        else
          Owner->finish(*Mine, false);
      };
  g_output_stream_write_all_async(
      g_io_stream_get_output_stream(G_IO_STREAM(Call->m_Connection->m_Stream)),
      Call->m_Text.data(), Call->m_Text.size(), G_PRIORITY_DEFAULT,
      Call->m_Cancel, Written, new std::shared_ptr<Flight>(Call));
}

void RawCaller::read(const std::shared_ptr<Flight> &Call) {
  const auto Came = +[](GObject *Stream, GAsyncResult *Outcome, gpointer Data) {
    const std::unique_ptr<std::shared_ptr<Flight>> Mine(
        static_cast<std::shared_ptr<Flight> *>(Data));
    Flight &Now = **Mine;
    const gssize Size =
        g_input_stream_read_finish(G_INPUT_STREAM(Stream), Outcome, nullptr);
    if (Now.m_Owner == nullptr)
      return;
    if (Size > 0)
      Now.m_Reader.take({Now.m_Piece.data(), static_cast<std::size_t>(Size)},
                        *Now.m_Told);
    if (Size <= 0 || Now.m_Reader.whole())
      Now.m_Owner->finish(*Mine, Now.m_Reader.whole());
    else
      Now.m_Owner->read(*Mine);
  };
  g_input_stream_read_async(
      g_io_stream_get_input_stream(G_IO_STREAM(Call->m_Connection->m_Stream)),
      Call->m_Piece.data(), Call->m_Piece.size(), G_PRIORITY_DEFAULT,
      Call->m_Cancel, Came, new std::shared_ptr<Flight>(Call));
}

void RawCaller::finish(const std::shared_ptr<Flight> &Call, bool Whole) {
  Call->m_Told->m_Ended = true;
  Call->m_Told->m_Broken = !Whole;
  Call->m_Told->m_Elapsed = Duration(g_get_monotonic_time() - Call->m_Start);
  if (Whole && Call->m_What.m_KeepsOpen && Call->m_Reader.keepsOpen())
    m_Kept[Call->m_What.m_Where].push_back(Call->m_Connection);
  if (Call->m_Timer != 0)
    g_source_remove(Call->m_Timer);
  Call->m_Timer = 0;
  Call->m_Owner = nullptr;
  g_cancellable_cancel(Call->m_Cancel);
  Call->m_Connection = nullptr;
  m_Flights.erase(Call);
}

} // namespace crowstep::soak
