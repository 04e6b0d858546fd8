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

void Audit::getAll(const std::vector<Address> &Where, const std::string &Path,
                   const std::function<void(const json &)> &Each,
                   const std::function<void()> &Done) {
  // Runs Done when the last answer has let go of it.
  const std::shared_ptr<void> Last(nullptr, [Done](void *) { Done(); });
  for (const Address &One : Where)
    m_Http.call({"GET", One, Path, "", RecordTimeout},
                [Each, Last](const HttpResult &Result) {
                  const json Document = documentOf(Result);
                  if (Document.is_object())
                    Each(Document);
                });
}

void Audit::begin(const std::function<void()> &Done) {
  getAll(
      m_Plan.m_Engines, "/record/sums",
      [this](const json &Sums) {
        m_Before += Sums.value("generated", std::uint64_t{0});
      },
      Done);
}

void Audit::finish(std::uint64_t Delivered,
                   const std::map<std::string, std::string> &ToldByKey,
                   const std::function<void(AuditResult)> &Done) {
  const auto Compared = [this, Delivered, &ToldByKey, Done] {
    AuditResult Result;
    Result.m_Generated = m_After - m_Before;
    Result.m_Delivered = Delivered;
    compareKeys(ToldByKey, Result);
    Done(Result);
  };
  const auto Services = [this, Compared] {
    getAll(
        m_Plan.m_Services, "/record",
        [this](const json &Record) {
          for (const json &Call : Record.value("calls", json::array()))
            ++m_RunsByKey[Call.value("key", "")];
        },
        Compared);
  };
  getAll(
      m_Plan.m_Engines, "/record/sums",
      [this](const json &Sums) {
        m_After += Sums.value("generated", std::uint64_t{0});
      },
      Services);
}

void Audit::compareKeys(const std::map<std::string, std::string> &ToldByKey,
                        AuditResult &Into) const {
  if (m_Plan.m_Services.empty())
    return;
  for (const auto &[Key, Told] : ToldByKey) {
    const auto Found = m_RunsByKey.find(Key);
    const std::uint64_t Runs = Found == m_RunsByKey.end() ? 0 : Found->second;
    if (Runs > 1)
      ++Into.m_KeysRunTwice;
    if (Told == "not-run" && Runs > 0)
      ++Into.m_FalseNotRun;
    if (Told == "ran" && Runs == 0)
      ++Into.m_FalseAnswered;
  }
}

} // namespace crowstep::load
