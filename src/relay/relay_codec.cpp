/// Encoding of relayed calls on links.
#include "relay/relay_codec.h"

#include "http/request_target.h"

#include <array>

namespace crowstep::relay {

namespace {

/// No request has more time left than this.
constexpr Duration MaxTimeLeft = std::chrono::hours(24);

constexpr auto OutcomeCount = static_cast<std::size_t>(RelayOutcome::Count);

} // namespace

std::string_view nameOf(RelayOutcome Outcome) {
  static constexpr std::array<std::string_view, OutcomeCount> Names = {
      "complete", "not_sent", "refused",      "withheld",
      "broken",   "busy",     "not_admitted", "stopping"};
  return Names.at(static_cast<std::size_t>(Outcome));
}

bool provesNotSent(RelayOutcome Outcome) {
  return Outcome != RelayOutcome::Complete && Outcome != RelayOutcome::Broken;
}

RelayOutcome outcomeOf(std::uint8_t Number) {
  return Number < OutcomeCount ? static_cast<RelayOutcome>(Number)
                               : RelayOutcome::Broken;
}

std::vector<std::unique_ptr<wire::HeaderLineT>>
packHeaders(const HeaderList &Headers) {
  std::vector<std::unique_ptr<wire::HeaderLineT>> Result;
  Result.reserve(Headers.size());
  for (const HeaderField &Field : Headers) {
    auto Line = std::make_unique<wire::HeaderLineT>();
    Line->name = Field.m_Name;
    Line->value = Field.m_Value;
    Result.push_back(std::move(Line));
  }
  return Result;
}

HeaderList unpackHeaders(
    const flatbuffers::Vector<flatbuffers::Offset<wire::HeaderLine>> *From) {
  HeaderList Result;
  if (From == nullptr)
    return Result;
  for (const wire::HeaderLine *Line : *From)
    if (Line->name() != nullptr && Line->name()->size() > 0)
      Result.push_back({Line->name()->str(), Line->value() == nullptr
                                                 ? std::string()
                                                 : Line->value()->str()});
  return Result;
}

std::unique_ptr<wire::RelayOpenT> packOpening(const RelayOpening &Opening,
                                              const IncomingRequest &Request) {
  auto Result = std::make_unique<wire::RelayOpenT>();
  Result->call = Opening.m_Call.value();
  Result->upstream = Opening.m_Upstream.value();
  Result->method = Request.m_Method;
  Result->target = Request.m_Target;
  Result->headers = packHeaders(endToEndHeaders(Request.m_Headers));
  Result->body.assign(Request.m_Body.begin(), Request.m_Body.end());
  Result->left_us = static_cast<std::uint64_t>(
      std::max(Opening.m_TimeLeft, Duration::zero()).count());
  Result->repeatable = Opening.m_IsRepeatable;
  Result->resumes = Opening.m_LastEventId.has_value();
  Result->last_event = Opening.m_LastEventId.value_or(0);
  return Result;
}

std::optional<RelayOpening> unpack(const wire::RelayOpen &From) {
  if (From.method() == nullptr || From.target() == nullptr ||
      !isSendableTarget(From.target()->string_view()) ||
      From.left_us() > static_cast<std::uint64_t>(MaxTimeLeft.count()))
    return std::nullopt;
  RelayOpening Result;
  Result.m_Call = RelayCallId(From.call());
  Result.m_Upstream = UpstreamId(From.upstream());
  Result.m_Request.m_Method = From.method()->str();
  Result.m_Request.m_Target = From.target()->str();
  Result.m_Request.m_Headers = unpackHeaders(From.headers());
  if (From.body() != nullptr)
    Result.m_Request.m_Body.assign(From.body()->begin(), From.body()->end());
  Result.m_TimeLeft = Duration(static_cast<Duration::rep>(From.left_us()));
  Result.m_IsRepeatable = From.repeatable();
  if (From.resumes())
    Result.m_LastEventId = From.last_event();
  return Result;
}

std::unique_ptr<wire::PathReportT> packAnswer(const PathAnswer &Answer) {
  auto Result = std::make_unique<wire::PathReportT>();
  Result->question = Answer.m_Question;
  for (const UpstreamId Reached : Answer.m_Reached)
    Result->reached.push_back(Reached.value());
  Result->open_calls = Answer.m_OpenCalls;
  Result->stopping = Answer.m_IsStopping;
  return Result;
}

PathAnswer unpack(const wire::PathReport &From) {
  PathAnswer Result;
  Result.m_Question = From.question();
  if (From.reached() != nullptr)
    for (const std::uint64_t Reached : *From.reached())
      Result.m_Reached.emplace_back(Reached);
  Result.m_OpenCalls = From.open_calls();
  Result.m_IsStopping = From.stopping();
  return Result;
}

} // namespace crowstep::relay
