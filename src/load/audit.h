/// Reads what the stand-in upstreams executed, before and after a run.
#ifndef CROWSTEP_LOAD_AUDIT_H
#define CROWSTEP_LOAD_AUDIT_H

#include "http/http_client.h"
#include "load/result.h"

namespace crowstep::load {

/// Compares the upstreams' records with the answers that the callers received.
/// An upstream that does not answer adds nothing to the sums.
class Audit {
public:
  Audit(const Experiment &Plan, HttpClientInterface &Http)
      : m_Plan(Plan), m_HttpClient(Http) {}

  /// Reads the tokens generated before the run, then calls \p OnDone.
  void readBaseline(const std::function<void()> &OnDone);

  /// Reads the records after the run and calls \p OnDone with the result.
  /// \p RunStateByKey must outlive the call to \p OnDone.
  void compareRecords(std::uint64_t Delivered,
                      const std::map<std::string, std::string> &RunStateByKey,
                      const std::function<void(AuditResult)> &OnDone);

private:
  /// Gets \p Path from each upstream and calls \p OnDocument for each answer
  /// that is a JSON object; then calls \p OnDone.
  void fetchAll(const std::vector<Address> &Upstreams, const std::string &Path,
                const std::function<void(const nlohmann::json &)> &OnDocument,
                const std::function<void()> &OnDone);
  void compareKeys(const std::map<std::string, std::string> &RunStateByKey,
                   AuditResult &Result) const;

  const Experiment &m_Plan;            ///< Outlives the audit.
  HttpClientInterface &m_HttpClient;   ///< Outlives the audit.
  std::uint64_t m_GeneratedBefore = 0; ///< Tokens generated before the run.
  std::uint64_t m_GeneratedAfter = 0;  ///< Tokens generated in total.
  std::map<std::string, std::uint64_t> m_RunsByKey; ///< Over all services.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_AUDIT_H
