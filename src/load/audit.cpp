/// Comparison of the upstreams' records with the callers' answers.
#include "load/audit.h"

#include <memory>

using nlohmann::json;

namespace crowstep::load {

namespace {

/// A service's record of a long run has several megabytes.
constexpr Duration RecordTimeout = std::chrono::seconds(30);

/// Returns null if there is no answer, a discarded value if it is not JSON.
json documentOf(const HttpResult &Result) {
  const auto *Answer = std::get_if<HttpAnswer>(&Result);
  if (Answer == nullptr)
    return nullptr;
  return json::parse(Answer->m_Body, nullptr, false);
}

} // namespace

void Audit::fetchAll(const std::vector<Address> &Upstreams,
                     const std::string &Path,
                     const std::function<void(const json &)> &OnDocument,
                     const std::function<void()> &OnDone) {
  // Shared by all calls; its deleter runs OnDone after the last answer.
  const std::shared_ptr<void> Completion(nullptr,
                                         [OnDone](void *) { OnDone(); });
  for (const Address &Upstream : Upstreams)
    m_HttpClient.call({"GET", Upstream, Path, "", RecordTimeout},
                      [OnDocument, Completion](const HttpResult &Result) {
                        const json Document = documentOf(Result);
                        if (Document.is_object())
                          OnDocument(Document);
                      });
}

void Audit::readBaseline(const std::function<void()> &OnDone) {
  fetchAll(
      m_Plan.m_Engines, "/record/sums",
      [this](const json &Sums) {
        m_GeneratedBefore += Sums.value("generated", std::uint64_t{0});
      },
      OnDone);
}

void Audit::compareRecords(
    std::uint64_t Delivered,
    const std::map<std::string, std::string> &RunStateByKey,
    const std::function<void(AuditResult)> &OnDone) {
  const auto Compare = [this, Delivered, &RunStateByKey, OnDone] {
    AuditResult Result;
    Result.m_GeneratedTokens = m_GeneratedAfter - m_GeneratedBefore;
    Result.m_DeliveredTokens = Delivered;
    compareKeys(RunStateByKey, Result);
    OnDone(Result);
  };
  const auto ReadServices = [this, Compare] {
    fetchAll(
        m_Plan.m_Services, "/record",
        [this](const json &Record) {
          for (const json &Call : Record.value("calls", json::array()))
            ++m_RunsByKey[Call.value("key", "")];
        },
        Compare);
  };
  fetchAll(
      m_Plan.m_Engines, "/record/sums",
      [this](const json &Sums) {
        m_GeneratedAfter += Sums.value("generated", std::uint64_t{0});
      },
      ReadServices);
}

void Audit::compareKeys(const std::map<std::string, std::string> &RunStateByKey,
                        AuditResult &Result) const {
  if (m_Plan.m_Services.empty())
    return;
  for (const auto &[Key, RunState] : RunStateByKey) {
    const auto Found = m_RunsByKey.find(Key);
    const std::uint64_t Runs = Found == m_RunsByKey.end() ? 0 : Found->second;
    if (Runs > 1)
      ++Result.m_KeysRunTwice;
    if (RunState == "not-run" && Runs > 0)
      ++Result.m_FalseNotRun;
    if (RunState == "ran" && Runs == 0)
      ++Result.m_FalseAnswered;
  }
}

} // namespace crowstep::load
