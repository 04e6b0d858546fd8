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

/// Steps of a stream, or before a plain answer, that outlasts a shutdown take
/// this many intervals.
constexpr int LongStreamPace = 27;
constexpr int HeldPace = 800;

/// One in this many requests is affected by a fault, on average.
constexpr unsigned FaultEvery = 3;

} // namespace

/// An answer that is being sent.
struct SoakUpstream::OpenAnswer {
  explicit OpenAnswer(SoupServerMessage *Message) : m_Deferred(Message) {}

  SoakUpstream *m_Owner = nullptr;             ///< Outlives it.
  DeferredAnswer m_Deferred;                   ///< Towards the gateway.
  std::string m_AttemptId;                     ///< X-Attempt-Id of the request.
  bool m_IsStream = false;                     ///< Events; else one body.
  int m_NextEvent = 1;                         ///< Id of the next event.
  int m_Pace = 1;                              ///< Ticks for a step.
  int m_TickCount = 0;                         ///< Ticks since its start.
  std::size_t m_Padding = 0;                   ///< Bytes after a plain body.
  int m_StepCount = 0;                         ///< Steps done.
  UpstreamFault m_Fault = UpstreamFault::None; ///< That affects it.
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
  for (const auto &[Open, Timer] : m_OpenAnswers) {
    g_source_remove(Timer);
    m_Ledger.recordRunEnd(Open->m_AttemptId, m_Name, m_Clock.now(),
                          Open->m_Deferred.isOpen());
    delete Open;
  }
}

bool SoakUpstream::drawFault() { return m_Random() % FaultEvery == 0; }

void SoakUpstream::handle(SoupServerMessage *Message, const std::string &Path) {
  const std::string Id = requestHeader(Message, "X-Attempt-Id");
  const std::string Expected = requestHeader(Message, "X-Expect-Instance");
  m_Ledger.recordArrival(Id, Expected, m_Clock.now());
  if (Expected != m_Name) {
    answerNotExecuted(Message, HttpMisdirected);
    return;
  }
  const bool Pauses = m_Fault == UpstreamFault::Pauses;
  if ((Pauses || m_Fault == UpstreamFault::Busy) && drawFault()) {
    if (Pauses) {
      m_Ledger.recordPause(Id, m_Name, m_Clock.now());
      soup_message_headers_replace(
          soup_server_message_get_response_headers(Message), "Retry-After",
          std::to_string(std::chrono::duration<double>(PauseTime).count())
              .c_str());
    }
    answerNotExecuted(Message, HttpUnavailable);
    return;
  }
  const std::string LastEventId = requestHeader(Message, "Last-Event-Id");
  m_Ledger.recordRun(Id, {m_Name, m_Clock.now(), !LastEventId.empty()});
  auto *Open = new OpenAnswer(Message);
  Open->m_Owner = this;
  Open->m_AttemptId = Id;
  Open->m_IsStream = Path.find("stream") != std::string::npos;
  Open->m_NextEvent = std::atoi(LastEventId.c_str()) + 1;
  if (Path.starts_with(LongStreamPath))
    Open->m_Pace = LongStreamPace;
  else if (Path.starts_with(HeldPath))
    Open->m_Pace = HeldPace;
  else if (Path.starts_with(LargePath))
    Open->m_Padding = LargePadding;
  if (m_Fault != UpstreamFault::None && m_Fault != UpstreamFault::Busy &&
      !Pauses && drawFault())
    Open->m_Fault = m_Fault;
  if (requestBody(Message) == CrashingBody ||
      requestHeader(Message, "X-Prefix-Hash")
              .find("," + CrashingSegment + ":") != std::string::npos) {
    Open->m_Fault = UpstreamFault::Mute;
    m_OnCrash();
  }
  m_OpenAnswers[Open] = g_timeout_add(StepIntervalMs, onTick, Open);
}

void SoakUpstream::answerNotExecuted(SoupServerMessage *Message,
                                     unsigned Status) const {
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Message);
  soup_message_headers_replace(Headers, "X-Not-Executed", "1");
  if (m_Draining)
    soup_message_headers_replace(Headers, "Server-Leaving", "1");
  soup_message_headers_replace(Headers, "X-Attempt-Id",
                               requestHeader(Message, "X-Attempt-Id").c_str());
  respond(Message, Status, "text/plain", "");
}

int SoakUpstream::onTick(void *Data) {
  auto *Open = static_cast<OpenAnswer *>(Data);
  SoakUpstream &Owner = *Open->m_Owner;
  if (Open->m_Deferred.isOpen() &&
      (++Open->m_TickCount % Open->m_Pace != 0 || !Owner.continueAnswer(*Open)))
    return G_SOURCE_CONTINUE;
  Owner.m_Ledger.recordRunEnd(Open->m_AttemptId, Owner.m_Name,
                              Owner.m_Clock.now(),
                              Open->m_Fault == UpstreamFault::AnswerLost ||
                                  Open->m_Fault == UpstreamFault::Cuts);
  Owner.m_OpenAnswers.erase(Open);
  delete Open;
  return G_SOURCE_REMOVE;
}

/// Sends the next piece of an answer; returns whether the answer has ended.
bool SoakUpstream::continueAnswer(OpenAnswer &Open) {
  if (Open.m_Fault == UpstreamFault::Mute)
    return false; // Stays open until the caller closes.
  if (Open.m_Fault == UpstreamFault::AnswerLost) {
    Open.m_Deferred.closeConnection();
    return true;
  }
  if (Open.m_StepCount++ == 0) {
    fillHeaders(Open);
    if (Open.m_Fault == UpstreamFault::Errors) {
      Open.m_Deferred.answer(HttpError, "text/plain", "error");
      return true;
    }
    Open.m_Deferred.beginStream(HttpOk, Open.m_IsStream ? "text/event-stream"
                                                        : "text/plain");
  }
  return sendNextPiece(Open);
}

/// Sends an event or a body, or closes the connection; returns whether the
/// answer has ended.
bool SoakUpstream::sendNextPiece(OpenAnswer &Open) {
  // Closing later than the first piece leaves time for it to be written.
  constexpr int StepsBeforeClose = 2;
  const bool Cuts = Open.m_Fault == UpstreamFault::Cuts;
  if (Cuts && Open.m_StepCount > StepsBeforeClose) {
    Open.m_Deferred.closeConnection();
    return true;
  }
  if (Open.m_IsStream && Open.m_NextEvent <= EventsPerStream) {
    const std::string Id = std::to_string(Open.m_NextEvent++);
    Open.m_Deferred.append("id: " + Id + "\ndata: " + Open.m_AttemptId + " " +
                           m_Name + "\n\n");
  } else if (!Open.m_IsStream && Open.m_StepCount == 1) {
    Open.m_Deferred.append(Open.m_AttemptId + (Cuts ? " wh" : " whole") +
                           std::string(Open.m_Padding, '.'));
  }
  if (Cuts || (Open.m_IsStream && Open.m_NextEvent <= EventsPerStream))
    return false;
  Open.m_Deferred.endStream();
  return true;
}

void SoakUpstream::fillHeaders(const OpenAnswer &Open) const {
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Open.m_Deferred.message());
  soup_message_headers_replace(Headers, "X-Attempt-Id",
                               Open.m_AttemptId.c_str());
  soup_message_headers_replace(Headers, "X-Server-Signature", m_Name.c_str());
  if (m_Draining) {
    soup_message_headers_replace(Headers, "Connection", "close");
    soup_message_headers_replace(Headers, "Server-Leaving", "1");
  }
}

} // namespace crowstep::soak
