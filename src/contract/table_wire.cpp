/// Reads and writes the messages of the operators' table in frames.
#include "contract/table_wire.h"

#include "core/error.h"
#include "core/log.h"

#include <algorithm>
#include <limits>

namespace crowstep::contract {

namespace {

using std::chrono::milliseconds;

/// Rounds up, as an age must never look smaller than it is.
std::uint32_t toMilliseconds(Duration Age) {
  const auto Count = std::chrono::ceil<milliseconds>(Age).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Count, 0, std::numeric_limits<std::uint32_t>::max()));
}

void readDocument(link::LinkId Link, const wire::TableUpdate &Update,
                  std::vector<TableEvent> &Events) {
  try {
    const std::string Text =
        Update.json() == nullptr ? "" : Update.json()->str();
    Events.emplace_back(DocumentReceived{Link, decodeDocument(Text)});
  } catch (const Error &Failure) {
    logEvent(LogEvent::TableFrameUnreadable, {{"why", Failure.what()}});
  }
}

ProbeAnswer answerOf(const wire::TableProbeAck &Ack) {
  ProbeAnswer Result;
  Result.m_Sequence = Ack.sequence();
  Result.m_Version = TableVersion(Ack.version());
  if (Ack.store_known())
    Result.m_Store = {TableVersion(Ack.store_version()),
                      milliseconds(Ack.store_age_ms())};
  if (Ack.vouches() == nullptr)
    return Result;
  for (const wire::TableVouch *Report : *Ack.vouches())
    Result.m_Confirmations.push_back(
        {InstanceId(Report->instance()), Incarnation(Report->start()),
         TableVersion(Report->version()), milliseconds(Report->age_ms())});
  return Result;
}

} // namespace

std::vector<TableEvent> tableEventsOf(link::LinkId Link,
                                      const wire::Frame &Frame) {
  std::vector<TableEvent> Result;
  if (Frame.table_update() != nullptr)
    readDocument(Link, *Frame.table_update(), Result);
  if (Frame.table_request() != nullptr)
    Result.emplace_back(DocumentRequested{Link});
  if (const wire::TableProbe *Probe = Frame.table_probe())
    Result.emplace_back(
        ProbeReceived{Link, Probe->sequence(), TableVersion(Probe->version())});
  if (const wire::TableProbeAck *Ack = Frame.table_probe_ack())
    Result.emplace_back(ProbeAnswerReceived{Link, answerOf(*Ack)});
  return Result;
}

void addDocument(const TableDocument &Value, wire::FrameT &Frame) {
  Frame.table_update = std::make_unique<wire::TableUpdateT>();
  Frame.table_update->version = Value.version().value();
  Frame.table_update->json = encodeDocument(Value);
}

void addDocumentRequest(TableVersion Version, wire::FrameT &Frame) {
  Frame.table_request = std::make_unique<wire::TableRequestT>();
  Frame.table_request->version = Version.value();
}

void addProbe(const SendProbe &Probe, wire::FrameT &Frame) {
  Frame.table_probe = std::make_unique<wire::TableProbeT>();
  Frame.table_probe->sequence = Probe.m_Sequence;
  Frame.table_probe->version = Probe.m_Version.value();
}

void addProbeAnswer(const ProbeAnswer &Answer, wire::FrameT &Frame) {
  auto Ack = std::make_unique<wire::TableProbeAckT>();
  Ack->sequence = Answer.m_Sequence;
  Ack->version = Answer.m_Version.value();
  if (Answer.m_Store) {
    Ack->store_known = true;
    Ack->store_version = Answer.m_Store->m_Version.value();
    Ack->store_age_ms = toMilliseconds(Answer.m_Store->m_Age);
  }
  for (const RelayedConfirmation &Report : Answer.m_Confirmations)
    Ack->vouches.emplace_back(
        Report.m_Instance.value(), Report.m_Incarnation.value(),
        Report.m_Version.value(), toMilliseconds(Report.m_Age));
  Frame.table_probe_ack = std::move(Ack);
}

} // namespace crowstep::contract
