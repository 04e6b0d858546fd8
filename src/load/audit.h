/// Asks the stand-in upstreams what they ran, before and after a run.
#ifndef CROWSTEP_LOAD_AUDIT_H
#define CROWSTEP_LOAD_AUDIT_H

#include "http/http_client.h"
#include "load/result.h"

namespace crowstep::load {

/// Compares the upstreams' records with what the callers were told.
class Audit {
public:
  Audit(const Experiment &Plan, HttpCaller &Http)
      : m_Plan(Plan), m_Http(Http) {}

  /// Notes what was generated before the run, then calls \p Done.
  void begin(const std::function<void()> &Done);

  /// Reads the records and calls \p Done with the result.
  void finish(std::uint64_t Delivered,
              const std::map<std::string, std::string> &ToldByKey,
              const std::function<void(AuditResult)> &Done);

private:
  /// Gets \p Path of each address and hands over each answer, null where there
  /// is none; then calls \p Done.
  void getAll(const std::vector<Address> &Where, const std::string &Path,
              const std::function<void(const nlohmann::json &)> &Each,
              const std::function<void()> &Done);
  void compareKeys(const std::map<std::string, std::string> &ToldByKey,
                   AuditResult &Into) const;

  const Experiment &m_Plan;   ///< Outlives the audit.
  HttpCaller &m_Http;         ///< Outlives the audit.
  std::uint64_t m_Before = 0; ///< Generated before the run.
  std::uint64_t m_After = 0;  ///< Generated in all.
  std::map<std::string, std::uint64_t> m_RunsByKey; ///< At all services.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_AUDIT_H
