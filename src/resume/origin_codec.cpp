/// Encoding of streams' origins on links.
#include "resume/origin_codec.h"

#include "resume/stream_origins.h"

#include <algorithm>

namespace crowstep::resume {

namespace {

/// Older versions take an origin without a version for none.
std::optional<StreamOrigin> originOf(const flatbuffers::String *Service,
                                     const flatbuffers::String *Software,
                                     bool IsUnproven) {
  if (Service == nullptr || Service->size() == 0)
    return std::nullopt;
  if (IsUnproven)
    return StreamOrigin{Service->str(), SoftwareVersion()};
  if (Software == nullptr || Software->size() == 0)
    return std::nullopt;
  return StreamOrigin{Service->str(), SoftwareVersion(Software->str())};
}

} // namespace

std::unique_ptr<wire::StreamPeerT> packPeerState(bool IsStopping) {
  auto Result = std::make_unique<wire::StreamPeerT>();
  Result->stopping = IsStopping;
  return Result;
}

std::unique_ptr<wire::StreamOriginT> packRecord(const StreamRecord &Record) {
  auto Result = std::make_unique<wire::StreamOriginT>();
  Result->high = Record.m_Key.m_High;
  Result->low = Record.m_Key.m_Low;
  Result->service = Record.m_Origin.m_Service;
  Result->software = Record.m_Origin.m_Software.text();
  Result->unproven = !Record.m_Origin.m_Software.isKnown();
  Result->lifetime_ms = static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(
          std::clamp(Record.m_Lifetime, Duration::zero(),
                     StreamOrigins::MaxLifetime))
          .count());
  return Result;
}

std::optional<StreamRecord> unpack(const wire::StreamOrigin &From) {
  auto Origin = originOf(From.service(), From.software(), From.unproven());
  if (!Origin)
    return std::nullopt;
  return StreamRecord{{From.high(), From.low()},
                      std::move(*Origin),
                      std::chrono::milliseconds(From.lifetime_ms())};
}

std::unique_ptr<wire::StreamAnswerT> packAnswer(std::uint64_t Question,
                                                const StreamOrigin *Origin) {
  auto Result = std::make_unique<wire::StreamAnswerT>();
  Result->question = Question;
  if (Origin != nullptr) {
    Result->service = Origin->m_Service;
    Result->software = Origin->m_Software.text();
    Result->unproven = !Origin->m_Software.isKnown();
  }
  return Result;
}

std::optional<StreamOrigin> unpack(const wire::StreamAnswer &From) {
  return originOf(From.service(), From.software(), From.unproven());
}

} // namespace crowstep::resume
