/// The platform's services over HTTP with JSON bodies.
#include "platform/platform_client.h"

#include "core/log.h"
#include "platform/platform_codec.h"
#include "platform/platform_error.h"

#include <glib.h>

namespace crowstep::platform {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Created = 201;
constexpr unsigned NoContent = 204;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;
constexpr unsigned ServerErrors = 500; ///< Lowest status of server errors.

std::string escaped(const std::string &Text) {
  char *Result = g_uri_escape_string(Text.c_str(), nullptr, 0);
  std::string Copy(Result);
  g_free(Result);
  return Copy;
}

bool succeeded(unsigned Status) {
  return Status == Ok || Status == Created || Status == NoContent;
}

/// Returns whether a write without a successful answer may have taken effect. A
/// server error other than 503 may come from a proxy in between, after the
/// write took effect: only a write that certainly did nothing counts as
/// Refused.
PlatformFailure failureOfWrite(const HttpResult &Result) {
  if (const auto *Failure = std::get_if<HttpFailure>(&Result))
    return *Failure == HttpFailure::NotSent ? PlatformFailure::Refused
                                            : PlatformFailure::Uncertain;
  const unsigned Status = std::get<HttpAnswer>(Result).m_Status;
  if (Status == Unavailable || (Status < ServerErrors && !succeeded(Status)))
    return PlatformFailure::Refused;
  return PlatformFailure::Uncertain;
}

std::string reasonOf(const HttpResult &Result) {
  if (const auto *Answer = std::get_if<HttpAnswer>(&Result))
    return "status " + std::to_string(Answer->m_Status);
  switch (std::get<HttpFailure>(Result)) {
  case HttpFailure::NotSent:
    return "no connection";
  case HttpFailure::NoAnswer:
    return "no answer";
  case HttpFailure::TimedOut:
    return "timed out";
  }
  return {};
}

/// Returns the body of a successful answer, or null.
const std::string *bodyOf(const HttpResult &Result) {
  const auto *Answer = std::get_if<HttpAnswer>(&Result);
  return Answer != nullptr && succeeded(Answer->m_Status) ? &Answer->m_Body
                                                          : nullptr;
}

/// Passes the decoded answer to \p Done, or else logs the failure and passes
/// \p Fallback.
template <typename Outcome, typename Decoder>
void finish(const HttpResult &Result, PlatformFailure Fallback,
            Counter &Failures, const char *CallName, const Decoder &Decode,
            const std::function<void(Outcome)> &Done) {
  std::string Reason = reasonOf(Result);
  std::optional<Outcome> Value;
  if (const std::string *Body = bodyOf(Result)) {
    try {
      Value = Decode(*Body);
    } catch (const PlatformAnswerError &Failure) {
      Reason = Failure.what();
    }
  }
  if (Value) {
    Done(*Value);
    return;
  }
  Failures.add();
  logEvent(LogEvent::PlatformCallFailed, {{"call", CallName}, {"why", Reason}});
  Done(Fallback);
}

} // namespace

PlatformClient::PlatformClient(HttpClientInterface &Http, Address Where,
                               Duration Timeout, Metrics &Stats)
    : m_Http(Http), m_Address(Where), m_Timeout(Timeout),
      m_Reads(Stats.counter("crowstep_platform_calls_total",
                            {{"kind", "table_read"}})),
      m_Writes(Stats.counter("crowstep_platform_calls_total",
                             {{"kind", "table_write"}})),
      m_Failures(Stats.counter("crowstep_platform_failures_total")) {}

void PlatformClient::write(const std::string &Table,
                           std::vector<RowWrite> Writes,
                           std::function<void(WriteResult)> Done) {
  m_Writes.add();
  const std::size_t Count = Writes.size();
  const HttpCall Call{"POST", m_Address,
                      "/v1/tables/" + escaped(Table) + "/write",
                      encodeWrites(Writes), m_Timeout};
  m_Http.call(
      Call, [this, Count, Done = std::move(Done)](const HttpResult &Result) {
        const auto Decode = [Count](const std::string &Body) -> WriteResult {
          return decodeOutcomes(Body, Count);
        };
        finish<WriteResult>(Result, failureOfWrite(Result), m_Failures, "write",
                            Decode, Done);
      });
}

void PlatformClient::readRows(const std::string &Path,
                              std::function<void(ReadResult)> Done) {
  m_Reads.add();
  m_Http.call({"GET", m_Address, Path, "", m_Timeout},
              [this, Done = std::move(Done)](const HttpResult &Result) {
                const auto Decode = [](const std::string &Body) -> ReadResult {
                  return decodeRows(Body);
                };
                finish<ReadResult>(Result, PlatformFailure::Refused, m_Failures,
                                   "read", Decode, Done);
              });
}

void PlatformClient::read(const std::string &Table, const std::string &Key,
                          std::function<void(ReadResult)> Done) {
  readRows("/v1/tables/" + escaped(Table) + "/rows/" + escaped(Key),
           std::move(Done));
}

void PlatformClient::list(const std::string &Table, const std::string &Prefix,
                          std::function<void(ReadResult)> Done) {
  readRows("/v1/tables/" + escaped(Table) + "/rows?prefix=" + escaped(Prefix),
           std::move(Done));
}

void PlatformClient::put(const std::string &Name, const std::string &Content,
                         std::function<void(PutResult)> Done) {
  const HttpCall Call{"PUT", m_Address, "/v1/objects/" + escaped(Name), Content,
                      m_Timeout};
  m_Http.call(Call, [this, Done = std::move(Done)](const HttpResult &Result) {
    const auto Decode = [](const std::string &) -> PutResult {
      return std::monostate();
    };
    finish<PutResult>(Result, failureOfWrite(Result), m_Failures, "put", Decode,
                      Done);
  });
}

void PlatformClient::get(const std::string &Name,
                         std::function<void(GetResult)> Done) {
  const HttpCall Call{"GET", m_Address, "/v1/objects/" + escaped(Name), "",
                      m_Timeout};
  m_Http.call(Call, [this, Done = std::move(Done)](const HttpResult &Result) {
    const auto *Answer = std::get_if<HttpAnswer>(&Result);
    if (Answer != nullptr && Answer->m_Status == NotFound) {
      Done(std::optional<std::string>());
      return;
    }
    const auto Decode = [](const std::string &Body) -> GetResult {
      return std::optional<std::string>(Body);
    };
    finish<GetResult>(Result, PlatformFailure::Refused, m_Failures, "get",
                      Decode, Done);
  });
}

void PlatformClient::fetch(std::function<void(Result)> Done) {
  m_Http.call({"GET", m_Address, "/v1/instances", "", m_Timeout},
              [this, Done = std::move(Done)](const HttpResult &Answer) {
                const auto Decode = [](const std::string &Body) -> Result {
                  return decodeInstances(Body);
                };
                finish<Result>(Answer, PlatformFailure::Refused, m_Failures,
                               "instances", Decode, Done);
              });
}

} // namespace crowstep::platform
