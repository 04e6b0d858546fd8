/// The upstream and its faults.
#include "soak/soak_upstream.h"

#include <cstdlib>

namespace crowstep::soak {

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpError = 500;
constexpr unsigned HttpMisdirected = 421;
constexpr unsigned HttpUnavailable = 503;

/// Interval between events, and delay of a plain answer.
constexpr unsigned StepIntervalMs = 15;

/// One in this many requests is affected by a fault, on average.
constexpr unsigned FaultEvery = 3;

} // namespace

/// An answer that is being sent.
struct SoakUpstream::Answer {
  explicit Answer(SoupServerMessage *Message) : m_Held(Message) {}

  SoakUpstream *m_Owner = nullptr;   ///< Outlives it.
  HeldAnswer m_Held;                 ///< Towards the gateway.
  std::string m_Id;                  ///< X-Attempt-Id of the request.
  bool m_Stream = false;             ///< Events; else one body.
  int m_Next = 1;                    ///< Id of the next event.
  int m_Steps = 0;                   ///< Steps done.
  Trouble m_Trouble = Trouble::None; ///< That affects it.
};

SoakUpstream::SoakUpstream(std::string Name, Address Listen, Ledger &Runs,
                           const Clock &Time, std::uint64_t Seed,
                           std::function<void()> OnCrash)
    : m_Name(std::move(Name)), m_Ledger(Runs), m_Clock(Time), m_Random(Seed),
      m_OnCrash(std::move(OnCrash)) {
  m_Server.listen(Listen, [this](SoupServerMessage *Message, const char *Path) {
    handle(Message, Path);
  });
}

SoakUpstream::~SoakUpstream() {
  for (const auto &[Open, Timer] : m_Open) {
    g_source_remove(Timer);
    delete Open;
  }
}

bool SoakUpstream::happens() { return m_Random() % FaultEvery == 0; }

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
  const std::string LastEventId = requestHeader(Message, "Last-Event-Id");
  m_Ledger.ran(Id, {m_Name, m_Clock.now(), !LastEventId.empty()});
  auto *Open = new Answer(Message);
  Open->m_Owner = this;
  Open->m_Id = Id;
  Open->m_Stream = Path.find("stream") != std::string::npos;
  Open->m_Next = std::atoi(LastEventId.c_str()) + 1;
  if (m_Trouble != Trouble::None && m_Trouble != Trouble::Busy && happens())
    Open->m_Trouble = m_Trouble;
  if (requestBody(Message) == CrashingBody) {
    Open->m_Trouble = Trouble::Mute;
    m_OnCrash();
  }
  m_Open[Open] = g_timeout_add(StepIntervalMs, onTick, Open);
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
  auto *Open = static_cast<Answer *>(Data);
  SoakUpstream &Owner = *Open->m_Owner;
  if (Open->m_Held.open() && !Owner.step(*Open))
    return G_SOURCE_CONTINUE;
  Owner.m_Open.erase(Open);
  delete Open;
  return G_SOURCE_REMOVE;
}

/// Sends the next piece of an answer; returns whether the answer has ended.
bool SoakUpstream::step(Answer &Open) {
  if (Open.m_Trouble == Trouble::Mute)
    return false; // Stays open until the caller closes.
  if (Open.m_Trouble == Trouble::AnswerLost) {
    Open.m_Held.cut();
    return true;
  }
  if (Open.m_Steps++ == 0) {
    fillHeaders(Open);
    if (Open.m_Trouble == Trouble::Errors) {
      Open.m_Held.answer(HttpError, "text/plain", "error");
      return true;
    }
    Open.m_Held.beginStream(HttpOk,
                            Open.m_Stream ? "text/event-stream" : "text/plain");
  }
  return sendNext(Open);
}

/// Sends an event or a body, or closes the connection; returns whether the
/// answer has ended.
bool SoakUpstream::sendNext(Answer &Open) {
  // Closing later than the first piece leaves time for it to be written.
  constexpr int StepsBeforeClose = 2;
  const bool Cuts = Open.m_Trouble == Trouble::Cuts;
  if (Cuts && Open.m_Steps > StepsBeforeClose) {
    Open.m_Held.cut();
    return true;
  }
  if (Open.m_Stream && Open.m_Next <= EventsOfStream) {
    const std::string Id = std::to_string(Open.m_Next++);
    Open.m_Held.append("id: " + Id + "\ndata: " + Open.m_Id + " " + m_Name +
                       "\n\n");
  } else if (!Open.m_Stream && Open.m_Steps == 1) {
    Open.m_Held.append(Open.m_Id + (Cuts ? " wh" : " whole"));
  }
  if (Cuts || (Open.m_Stream && Open.m_Next <= EventsOfStream))
    return false;
  Open.m_Held.endStream();
  return true;
}

void SoakUpstream::fillHeaders(const Answer &Open) const {
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Open.m_Held.message());
  soup_message_headers_replace(Headers, "X-Attempt-Id", Open.m_Id.c_str());
  soup_message_headers_replace(Headers, "X-Server-Signature", m_Name.c_str());
  if (m_Leaving)
    soup_message_headers_replace(Headers, "Connection", "close");
}

} // namespace crowstep::soak
