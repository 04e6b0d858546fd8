/// An upstream with troubles.
#include "soak/soak_upstream.h"

#include <cstdlib>

namespace crowstep::soak {

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpError = 500;
constexpr unsigned HttpMisdirected = 421;
constexpr unsigned HttpUnavailable = 503;

/// Between events, and before a plain answer.
constexpr unsigned StepMilliseconds = 15;

/// A trouble takes every so many calls.
constexpr unsigned TroubleEvery = 3;

} // namespace

/// One answer under way.
struct SoakUpstream::Answer {
  SoakUpstream *m_Owner = nullptr;        ///< Outlives it.
  SoupServerMessage *m_Message = nullptr; ///< A reference is held.
  std::string m_Id;                       ///< The call's.
  bool m_Stream = false;                  ///< Events, or one body.
  int m_Next = 1;                         ///< The next event.
  int m_Steps = 0;                        ///< So far.
  Trouble m_Trouble = Trouble::None;      ///< That takes it.
};

SoakUpstream::SoakUpstream(std::string Name, Address Where, Ledger &Runs,
                           const Clock &Time, std::uint64_t Seed)
    : m_Name(std::move(Name)), m_Ledger(Runs), m_Clock(Time), m_Random(Seed) {
  m_Server.listen(Where, [this](SoupServerMessage *Message, const char *Path) {
    handle(Message, Path);
  });
}

SoakUpstream::~SoakUpstream() {
  for (const auto &[Each, Timer] : m_Open) {
    g_source_remove(Timer);
    cut(*Each);
    g_object_unref(Each->m_Message);
    delete Each;
  }
}

bool SoakUpstream::happens() { return m_Random() % TroubleEvery == 0; }

void SoakUpstream::handle(SoupServerMessage *Message, const std::string &Path) {
  const std::string Id = requestHeader(Message, "X-Attempt-Id");
  m_Ledger.arrived(Id, m_Clock.now());
  if (requestHeader(Message, "X-Expect-Instance") != m_Name) {
    refuse(Message, HttpMisdirected);
    return;
  }
  if (m_Trouble == Trouble::Busy && happens()) {
    refuse(Message, HttpUnavailable);
    return;
  }
  const std::string Last = requestHeader(Message, "Last-Event-Id");
  m_Ledger.ran(Id, {m_Name, m_Clock.now(), !Last.empty()});
  auto *What = new Answer;
  What->m_Owner = this;
  What->m_Message = SOUP_SERVER_MESSAGE(g_object_ref(Message));
  What->m_Id = Id;
  What->m_Stream = Path.find("stream") != std::string::npos;
  What->m_Next = std::atoi(Last.c_str()) + 1;
  if (m_Trouble != Trouble::None && m_Trouble != Trouble::Busy && happens())
    What->m_Trouble = m_Trouble;
  soup_server_message_pause(Message);
  m_Open[What] = g_timeout_add(StepMilliseconds, onTick, What);
}

void SoakUpstream::refuse(SoupServerMessage *Message, unsigned Status) const {
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Message);
  soup_message_headers_replace(Headers, "X-Not-Executed", "1");
  soup_message_headers_replace(Headers, "X-Attempt-Id",
                               requestHeader(Message, "X-Attempt-Id").c_str());
  respond(Message, Status, "text/plain", "");
}

int SoakUpstream::onTick(void *Data) {
  auto *What = static_cast<Answer *>(Data);
  SoakUpstream &Owner = *What->m_Owner;
  if (soup_server_message_get_socket(What->m_Message) != nullptr &&
      !Owner.step(*What))
    return G_SOURCE_CONTINUE;
  Owner.m_Open.erase(What);
  g_object_unref(What->m_Message);
  delete What;
  return G_SOURCE_REMOVE;
}

/// Does the next part of an answer; returns whether it was the last.
bool SoakUpstream::step(Answer &What) {
  if (What.m_Trouble == Trouble::Mute)
    return false; // Until the caller has had enough.
  if (What.m_Trouble == Trouble::AnswerLost) {
    cut(What);
    return true;
  }
  if (What.m_Trouble == Trouble::Errors && What.m_Steps == 0) {
    sendHead(What);
    respond(What.m_Message, HttpError, "text/plain", "error");
    soup_server_message_unpause(What.m_Message);
    return true;
  }
  if (What.m_Steps++ == 0) {
    sendHead(What);
    soup_server_message_set_status(What.m_Message, HttpOk, nullptr);
    soup_message_headers_set_encoding(
        soup_server_message_get_response_headers(What.m_Message),
        SOUP_ENCODING_CHUNKED);
  }
  return sendNext(What);
}

/// Sends an event or a body, or cuts; returns whether that was the last.
bool SoakUpstream::sendNext(Answer &What) {
  // What was sent must have left before the cut.
  constexpr int PiecesBeforeCut = 2;
  const bool Cuts = What.m_Trouble == Trouble::Cuts;
  if (Cuts && What.m_Steps > PiecesBeforeCut) {
    cut(What);
    return true;
  }
  if (What.m_Stream && What.m_Next <= EventsOfStream) {
    const std::string Id = std::to_string(What.m_Next++);
    sendPiece(What,
              "id: " + Id + "\ndata: " + What.m_Id + " " + m_Name + "\n\n");
  } else if (!What.m_Stream && What.m_Steps == 1) {
    sendPiece(What, What.m_Id + (Cuts ? " wh" : " whole"));
  }
  if (Cuts)
    return false;
  if (What.m_Stream && What.m_Next <= EventsOfStream)
    return false;
  soup_message_body_complete(
      soup_server_message_get_response_body(What.m_Message));
  soup_server_message_unpause(What.m_Message);
  return true;
}

void SoakUpstream::sendHead(Answer &What) const {
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(What.m_Message);
  soup_message_headers_replace(Headers, "X-Attempt-Id", What.m_Id.c_str());
  soup_message_headers_replace(Headers, "X-Server-Signature", m_Name.c_str());
  soup_message_headers_replace(Headers, "Content-Type",
                               What.m_Stream ? "text/event-stream"
                                             : "text/plain");
  if (m_Leaving)
    soup_message_headers_replace(Headers, "Connection", "close");
}

void SoakUpstream::sendPiece(Answer &What, const std::string &Piece) const {
  soup_message_body_append(
      soup_server_message_get_response_body(What.m_Message), SOUP_MEMORY_COPY,
      Piece.data(), Piece.size());
  soup_server_message_unpause(What.m_Message);
}

void SoakUpstream::cut(const Answer &What) {
  if (GSocket *Socket = soup_server_message_get_socket(What.m_Message))
    g_socket_shutdown(Socket, 1, 1, nullptr);
}

} // namespace crowstep::soak
