/// A codec with headers of the tests' own, for code that must not depend on a
/// platform's header names.
#ifndef CROWSTEP_TESTS_UNIT_PLAIN_CODEC_H
#define CROWSTEP_TESTS_UNIT_PLAIN_CODEC_H

#include "gateway/header_codec.h"

#include <cstdlib>

namespace crowstep::test {

class PlainCodec final : public gateway::HeaderCodec {
public:
  [[nodiscard]] std::variant<gateway::RequestFacts, gateway::UnreadableHeader>
  readRequest(const HeaderList &Headers) const override {
    gateway::RequestFacts Result;
    if (countHeaders(Headers, "Call-Id") != 1)
      return gateway::UnreadableHeader{"Call-Id"};
    Result.m_Id = *findHeader(Headers, "Call-Id");
    if (const std::string *Key = findHeader(Headers, "Call-Key"))
      Result.m_Key = *Key;
    if (const std::string *Time = findHeader(Headers, "Call-Time-Ms"))
      Result.m_Deadline = std::chrono::milliseconds(std::atoi(Time->c_str()));
    if (const std::string *Tokens = findHeader(Headers, "Call-Prompt")) {
      const auto Count = static_cast<std::uint32_t>(
          std::strtoul(Tokens->c_str(), nullptr, 10));
      Result.m_Prompt = {{{1, Count}}, Count, 10, 10};
    }
    if (const std::string *After = findHeader(Headers, "Call-After"))
      Result.m_LastEventId = std::strtoull(After->c_str(), nullptr, 10);
    if (const std::string *Resumes = findHeader(Headers, "Call-Resumes"))
      Result.m_Resumes = *Resumes;
    return Result;
  }

  [[nodiscard]] HeaderList
  writeRequest(const HeaderList &FromCaller,
               const gateway::AttemptFacts &Own) const override {
    HeaderList Result;
    for (const HeaderField &Field : FromCaller)
      if (!Field.m_Name.starts_with("Call-") || Field.m_Name == "Call-Id")
        Result.push_back(Field);
    const auto Left =
        std::chrono::duration_cast<std::chrono::milliseconds>(Own.m_TimeLeft);
    Result.push_back({"Call-Time-Ms", std::to_string(Left.count())});
    Result.push_back({"Call-Upstream", Own.m_Upstream});
    if (Own.m_LastEventId)
      Result.push_back({"Call-After", std::to_string(*Own.m_LastEventId)});
    return Result;
  }

  [[nodiscard]] gateway::AnswerFacts
  readAnswer(unsigned, const HeaderList &Headers) const override {
    gateway::AnswerFacts Result;
    if (const std::string *Id = findHeader(Headers, "Call-Id"))
      Result.m_RequestId = *Id;
    Result.m_Signed = findHeader(Headers, "Call-Signed") != nullptr;
    Result.m_NotRun = findHeader(Headers, "Call-Not-Run") != nullptr;
    Result.m_Encoded = findHeader(Headers, "Content-Encoding") != nullptr;
    Result.m_Leaving = findHeader(Headers, "Call-Leaving") != nullptr;
    if (const std::string *Pause = findHeader(Headers, "Call-Pause-Ms"))
      Result.m_RequestedPause =
          std::chrono::milliseconds(std::atoi(Pause->c_str()));
    if (const std::string *Limit = findHeader(Headers, "Call-Limit"))
      Result.m_Limit = std::strtod(Limit->c_str(), nullptr);
    if (const std::string *Brittle = findHeader(Headers, "Call-Brittle"))
      Result.m_RejectionLimit = std::strtod(Brittle->c_str(), nullptr);
    return Result;
  }

  [[nodiscard]] HeaderList writeRefusal(const std::string &RequestId,
                                        Duration RetryAfter) const override {
    HeaderList Result = {{"Call-Id", RequestId}};
    if (RetryAfter > Duration::zero())
      Result.push_back({"Retry-After", "1"});
    return Result;
  }

  [[nodiscard]] std::optional<ProcessCheck>
  processCheck(const balance::Placed &) const override {
    if (!m_ChecksProcess)
      return std::nullopt;
    return ProcessCheck{
        "/who", 7, [](std::string_view) { return ProcessStatement::Expected; }};
  }

  bool m_ChecksProcess = false; ///< Upstreams state which process they are.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_PLAIN_CODEC_H
