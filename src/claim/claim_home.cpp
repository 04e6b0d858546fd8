/// The claim home between links and the table service.
#include "claim/claim_home.h"

#include "wire/wire_text.h"

#include <array>

namespace crowstep::claim {

namespace {

constexpr std::array<const char *, 7> StatusNames = {
    "owned",       "in_progress", "ran",      "other_body",
    "unavailable", "done",        "uncertain"};

using wire::textOf;

Wanted wantedOf(const wire::ClaimRequest &Request) {
  const AttemptId Attempt = textOf(Request.attempt());
  switch (Request.op()) {
  case wire::ClaimOp::Claim:
    return ClaimWanted{Attempt, Request.body_hash()};
  case wire::ClaimOp::NotRun:
    return NotRunWanted{Attempt};
  case wire::ClaimOp::Ran:
    return RanWanted{Attempt,
                     {Request.answer_status(), textOf(Request.answer_type()),
                      textOf(Request.answer())}};
  case wire::ClaimOp::Read:
    break;
  }
  return ReadWanted{Request.body_hash()};
}

} // namespace

ClaimHome::ClaimHome(const ClaimHomeConfig &Config, const Clock &Time,
                     Scheduler &Timers, platform::TableService &Store,
                     link::Links &Wire, Metrics &Stats)
    : m_Clock(Time), m_Store(Store), m_Links(Wire), m_Timer(Timers),
      m_Core(Config), m_Batches(Stats.counter("crowstep_claim_batches_total")),
      m_Rows(Stats.counter("crowstep_claim_rows_total")) {
  for (const char *Name : StatusNames)
    m_Outcomes.push_back(
        &Stats.counter("crowstep_claim_replies_total", {{"status", Name}}));
}

void ClaimHome::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  if (Frame.claim_requests() == nullptr)
    return;
  for (const wire::ClaimRequest *Each : *Frame.claim_requests()) {
    const RequestNumber Number(++m_LastNumber);
    m_Askers[Number] = {Link, Each->id()};
    handle(RequestCame{Number, textOf(Each->key()), wantedOf(*Each),
                       platform::RowVersion(Each->version()),
                       Each->body_hash()});
  }
}

void ClaimHome::handle(const HomeEvent &What) {
  std::vector<HomeAction> Actions;
  m_Core.handle(What, m_Clock.now(), Actions);
  for (const HomeAction &Each : Actions)
    std::visit([this](const auto &Action) { carryOut(Action); }, Each);
  const std::optional<TimePoint> Due = m_Core.nextDeadline();
  if (Due)
    m_Timer.start(*Due - m_Clock.now(), [this] { handle(HomeTick()); });
}

void ClaimHome::carryOut(const StartWrite &What) {
  m_Batches.add();
  m_Rows.add(What.m_Writes.size());
  m_Store.write(platform::ClaimTableName, What.m_Writes,
                [this](platform::WriteResult Result) {
                  handle(WriteEnded{std::move(Result)});
                });
}

void ClaimHome::carryOut(const StartRead &What) {
  m_Store.read(platform::ClaimTableName, What.m_Key,
               [this, Key = What.m_Key](platform::ReadResult Result) {
                 handle(ReadEnded{Key, std::move(Result)});
               });
}

void ClaimHome::carryOut(const Reply &What) {
  const auto Found = m_Askers.find(What.m_Number);
  if (Found == m_Askers.end())
    return;
  const Asker To = Found->second;
  m_Askers.erase(Found);
  m_Outcomes.at(static_cast<std::size_t>(What.m_Outcome.m_Status))->add();
  auto Out = std::make_unique<wire::ClaimReplyT>();
  Out->id = To.m_Id;
  Out->status = static_cast<wire::ClaimStatus>(What.m_Outcome.m_Status);
  Out->answer = What.m_Outcome.m_Answer.m_Body;
  Out->answer_status = What.m_Outcome.m_Answer.m_Status;
  Out->answer_type = What.m_Outcome.m_Answer.m_ContentType;
  Out->version = What.m_Version.value();
  m_Links.outbox(To.m_Link).claim_replies.push_back(std::move(Out));
}

} // namespace crowstep::claim
