/// Connects the claim home's state machine to links and the table service.
#include "claim/claim_home.h"

#include "wire/wire_text.h"

#include <array>

namespace crowstep::claim {

namespace {

/// Metric labels, indexed by ClaimStatus.
constexpr std::array<const char *, 7> StatusNames = {
    "owned",       "in_progress", "ran",      "other_body",
    "unavailable", "done",        "uncertain"};

using wire::textOf;

RowOperation operationOf(const wire::ClaimRequest &Request) {
  const AttemptId Attempt = textOf(Request.attempt());
  switch (Request.op()) {
  case wire::ClaimOp::Claim:
    return ClaimOperation{Attempt, Request.body_hash()};
  case wire::ClaimOp::NotRun:
    return NotRunOperation{Attempt};
  case wire::ClaimOp::Ran:
    return RanOperation{Attempt,
                        {Request.answer_status(), textOf(Request.answer_type()),
                         textOf(Request.answer())}};
  case wire::ClaimOp::Read:
    break;
  }
  return ReadOperation{Request.body_hash()};
}

} // namespace

ClaimHome::ClaimHome(const ClaimHomeConfig &Config, const Clock &Time,
                     Scheduler &Timers, platform::TableService &Store,
                     link::Links &Links, Metrics &Stats)
    : m_Clock(Time), m_Store(Store), m_Links(Links), m_Timer(Timers),
      m_Core(Config), m_Batches(Stats.counter("crowstep_claim_batches_total")),
      m_Rows(Stats.counter("crowstep_claim_rows_total")) {
  for (const char *Name : StatusNames)
    m_RepliesByStatus.push_back(
        &Stats.counter("crowstep_claim_replies_total", {{"status", Name}}));
}

void ClaimHome::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  if (Frame.claim_requests() == nullptr)
    return;
  for (const wire::ClaimRequest *Request : *Frame.claim_requests()) {
    const RequestNumber Number(++m_LastNumber);
    m_Requesters[Number] = {Link, Request->id()};
    handle(RequestReceived{
        Number, textOf(Request->key()), operationOf(*Request),
        platform::RowVersion(Request->version()), Request->body_hash()});
  }
}

void ClaimHome::handle(const HomeEvent &Event) {
  std::vector<HomeAction> Actions;
  m_Core.handle(Event, m_Clock.now(), Actions);
  for (const HomeAction &Action : Actions)
    std::visit([this](const auto &Alternative) { carryOut(Alternative); },
               Action);
  const std::optional<TimePoint> Due = m_Core.nextDeadline();
  if (Due)
    m_Timer.start(*Due - m_Clock.now(), [this] { handle(HomeTick()); });
}

void ClaimHome::carryOut(const StartWrite &Action) {
  m_Batches.add();
  m_Rows.add(Action.m_Writes.size());
  m_Store.write(platform::ClaimTableName, Action.m_Writes,
                [this](platform::WriteResult Result) {
                  handle(WriteEnded{std::move(Result)});
                });
}

void ClaimHome::carryOut(const StartRead &Action) {
  m_Store.read(platform::ClaimTableName, Action.m_Key,
               [this, Key = Action.m_Key](platform::ReadResult Result) {
                 handle(ReadEnded{Key, std::move(Result)});
               });
}

void ClaimHome::carryOut(const SendReply &Action) {
  const auto Found = m_Requesters.find(Action.m_Number);
  if (Found == m_Requesters.end())
    return;
  const Requester Recipient = Found->second;
  m_Requesters.erase(Found);
  m_RepliesByStatus.at(static_cast<std::size_t>(Action.m_Outcome.m_Status))
      ->add();
  auto Message = std::make_unique<wire::ClaimReplyT>();
  Message->id = Recipient.m_RequestId;
  Message->status = static_cast<wire::ClaimStatus>(Action.m_Outcome.m_Status);
  Message->answer = Action.m_Outcome.m_Answer.m_Body;
  Message->answer_status = Action.m_Outcome.m_Answer.m_Status;
  Message->answer_type = Action.m_Outcome.m_Answer.m_ContentType;
  Message->version = Action.m_Version.value();
  m_Links.outbox(Recipient.m_Link).claim_replies.push_back(std::move(Message));
}

} // namespace crowstep::claim
