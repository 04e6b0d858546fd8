/// Requests to claim homes, resent until a final reply or their deadline.
#include "claim/claim_client.h"

#include "wire/wire_text.h"

#include <xxhash.h>

namespace crowstep::claim {

using namespace std::chrono_literals;

namespace {

constexpr Duration TickInterval = 50ms;
/// A home replies after a batch window and a write to the table service. A
/// reply that takes longer than this counts as lost.
constexpr Duration ReplyTimeout = 1s;
/// Intervals between attempts while the table service is down. A claim delays a
/// call that has a latency target; a record can wait, and thousands of pending
/// records must not overload the table service when it recovers.
constexpr Duration ClaimRetryInterval = 200ms;
constexpr Duration RecordRetryInterval = 2s;
/// A record is retried until the claim itself expires: the caller has its
/// answer already, and only a later use of the key depends on the record.
constexpr Duration RecordTimeout = ClaimLifetime;
constexpr Duration ReadTimeout = 1s;

using wire::textOf;

} // namespace

std::uint64_t homeIndexOf(const ClaimKey &Key) {
  return XXH3_64bits(Key.data(), Key.size()) % ClaimHomeCount;
}

ClaimClient::ClaimClient(const Clock &Time, Scheduler &Timers,
                         link::Links &Links, FindHome Find)
    : m_Clock(Time), m_Links(Links), m_FindHome(std::move(Find)),
      m_Timer(Timers) {}

void ClaimClient::claim(const ClaimKey &Key, std::uint64_t BodyHash,
                        const AttemptId &Attempt, Duration Limit, Done OnDone) {
  wire::ClaimRequestT Request;
  Request.op = wire::ClaimOp::Claim;
  Request.key = Key;
  Request.body_hash = BodyHash;
  Request.attempt = Attempt;
  add(std::move(Request), Limit, std::move(OnDone));
}

void ClaimClient::recordNotRun(const ClaimKey &Key, const AttemptId &Attempt,
                               Done OnDone) {
  wire::ClaimRequestT Request;
  Request.op = wire::ClaimOp::NotRun;
  Request.key = Key;
  Request.attempt = Attempt;
  add(std::move(Request), RecordTimeout, std::move(OnDone));
}

void ClaimClient::recordRan(const ClaimKey &Key, const AttemptId &Attempt,
                            const KeptAnswer &Answer, Done OnDone) {
  wire::ClaimRequestT Request;
  Request.op = wire::ClaimOp::Ran;
  Request.key = Key;
  Request.attempt = Attempt;
  Request.answer = Answer.m_Body;
  Request.answer_status = Answer.m_Status;
  Request.answer_type = Answer.m_ContentType;
  add(std::move(Request), RecordTimeout, std::move(OnDone));
}

void ClaimClient::read(const ClaimKey &Key, std::uint64_t BodyHash,
                       Done OnDone) {
  wire::ClaimRequestT Request;
  Request.op = wire::ClaimOp::Read;
  Request.key = Key;
  Request.body_hash = BodyHash;
  add(std::move(Request), ReadTimeout, std::move(OnDone));
}

void ClaimClient::add(wire::ClaimRequestT Request, Duration Limit,
                      Done OnDone) {
  Request.id = ++m_LastId;
  const auto Held = m_HeldRows.find(Request.attempt);
  const bool IsRecord =
      Request.op == wire::ClaimOp::NotRun || Request.op == wire::ClaimOp::Ran;
  if (IsRecord && Held != m_HeldRows.end()) {
    Request.version = Held->second.m_Version;
    Request.body_hash = Held->second.m_BodyHash;
    m_HeldRows.erase(Held);
  }
  const TimePoint Now = m_Clock.now();
  PendingRequest NewRequest{std::move(Request), Now + Limit, Now, false, false,
                            std::move(OnDone)};
  const auto Entry = m_Pending.emplace(m_LastId, std::move(NewRequest)).first;
  send(Entry->second);
  if (!m_Timer.isRunning())
    m_Timer.start(TickInterval, [this] { tick(); });
}

void ClaimClient::send(PendingRequest &Request) {
  const std::optional<link::LinkId> Home =
      m_FindHome(homeIndexOf(Request.m_Request.key));
  Request.m_ResendAt = m_Clock.now() + (Home ? ReplyTimeout : TickInterval);
  if (!Home)
    return;
  Request.m_Sent = true;
  m_Links.outbox(*Home).claim_requests.push_back(
      std::make_unique<wire::ClaimRequestT>(Request.m_Request));
}

void ClaimClient::tick() {
  const TimePoint Now = m_Clock.now();
  for (auto Next = m_Pending.begin(); Next != m_Pending.end();) {
    const auto Found = Next++;
    PendingRequest &Request = Found->second;
    if (Now >= Request.m_Deadline) {
      // A copy without a reply may still be written.
      Request.m_Uncertain = Request.m_Uncertain || Request.m_Sent;
      finish(Found, {Request.m_Uncertain ? ClaimStatus::Uncertain
                                         : ClaimStatus::Unavailable,
                     {}});
    } else if (Now >= Request.m_ResendAt) {
      Request.m_Uncertain = Request.m_Uncertain || Request.m_Sent;
      send(Request);
    }
  }
  if (!m_Pending.empty())
    m_Timer.start(TickInterval, [this] { tick(); });
}

void ClaimClient::linkFrame(const wire::Frame &Frame) {
  if (Frame.claim_replies() == nullptr)
    return;
  for (const wire::ClaimReply *Reply : *Frame.claim_replies())
    handleReply(*Reply);
}

void ClaimClient::handleReply(const wire::ClaimReply &Reply) {
  const auto Found = m_Pending.find(Reply.id());
  if (Found == m_Pending.end())
    return;
  PendingRequest &Request = Found->second;
  ClaimOutcome Outcome;
  Outcome.m_Status = static_cast<ClaimStatus>(Reply.status());
  const bool ServiceFailed = Outcome.m_Status == ClaimStatus::Unavailable ||
                             Outcome.m_Status == ClaimStatus::Uncertain;
  const bool IsRead = Request.m_Request.op == wire::ClaimOp::Read;
  if (ServiceFailed && !IsRead) {
    // The table service failed: retry until the deadline.
    Request.m_Uncertain =
        Request.m_Uncertain || Outcome.m_Status == ClaimStatus::Uncertain;
    Request.m_Sent = false;
    const bool IsClaim = Request.m_Request.op == wire::ClaimOp::Claim;
    Request.m_ResendAt =
        m_Clock.now() + (IsClaim ? ClaimRetryInterval : RecordRetryInterval);
    return;
  }
  // An empty string is absent from a frame: the status must be kept even if the
  // answer has no body.
  if (Outcome.m_Status == ClaimStatus::Ran)
    Outcome.m_Answer = {Reply.answer_status(), textOf(Reply.answer_type()),
                        textOf(Reply.answer())};
  if (Outcome.m_Status == ClaimStatus::Owned)
    m_HeldRows[Request.m_Request.attempt] = {Reply.version(),
                                             Request.m_Request.body_hash};
  finish(Found, Outcome);
}

void ClaimClient::finish(
    std::map<std::uint64_t, PendingRequest>::iterator Found,
    const ClaimOutcome &Outcome) {
  const PendingRequest Request = std::move(Found->second);
  m_Pending.erase(Found);
  // A copy that was sent earlier may still claim the key for this attempt,
  // which has ended. Later uses of the key would then get "in progress" until
  // the claim expires; releasing it at once prevents that.
  const bool LateCopyMayClaim = Request.m_Request.op == wire::ClaimOp::Claim &&
                                Outcome.m_Status != ClaimStatus::Owned &&
                                Request.m_Uncertain;
  if (LateCopyMayClaim)
    recordNotRun(Request.m_Request.key, Request.m_Request.attempt,
                 [](const ClaimOutcome &) {});
  Request.m_OnDone(Outcome);
}

} // namespace crowstep::claim
