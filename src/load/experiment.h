/// Plan of an experiment: the requests, their rates, and the actions on the
/// upstreams during the run.
#ifndef CROWSTEP_LOAD_EXPERIMENT_H
#define CROWSTEP_LOAD_EXPERIMENT_H

#include "core/settings.h"

#include <random>
#include <string>
#include <vector>

namespace crowstep::load {

/// Log-normal distribution of sizes; with a sigma of 0 all are equal.
struct SizeDistribution {
  double m_Median = 1;     ///< >= 1.
  double m_Sigma = 0;      ///< Of the logarithm.
  std::uint64_t m_Max = 1; ///< Larger sizes are clamped to this.

  std::uint64_t draw(std::mt19937_64 &Random) const;
};

/// A workspace and its share of the traffic.
struct LoadWorkspace {
  std::string m_Name; ///< The API key is this and the key suffix.
  double m_Share = 1; ///< Relative to the other workspaces.
};

/// A stream of arrivals of one request class.
struct Source {
  std::string m_Name;                ///< Row of the report.
  std::string m_Class;               ///< Name in the operators' table.
  std::string m_Path;                ///< URL path of the requests.
  std::string m_Model;               ///< Empty for plain services.
  std::string m_Workspace;           ///< Only this one; empty: all, by share.
  double m_Rate = 1;                 ///< Mean arrivals per second.
  bool m_Stream = true;              ///< Answers as server-sent events.
  bool m_UsesIdempotencyKey = false; ///< Requests carry an idempotency key.
  SizeDistribution m_PromptSize;     ///< In characters.
  SizeDistribution
      m_AnswerTokens; ///< Answer length; a maximum of 0: no completion.
  std::uint64_t m_SharedPrefix =
      0; ///< Characters of prefix shared by a workspace.
  Duration m_FirstTokenTarget{}; ///< From the table; 0: none.
  Duration m_TokenTarget{};      ///< From the table; 0: none.
  Duration m_Timeout{};          ///< The caller's timeout.

  [[nodiscard]] bool isCompletion() const { return m_AnswerTokens.m_Max > 0; }
};

/// Multiplies the rate of a source during a time range; the factors of
/// overlapping phases multiply.
struct Phase {
  std::size_t m_Source = 0; ///< Index in the plan.
  Duration m_From{};        ///< From the start of the warm-up.
  Duration m_Until{};       ///< > m_From.
  double m_Factor = 1;      ///< >= 0.
};

/// A POST to a stand-in upstream at a given time.
struct Action {
  Duration m_Time{};  ///< From the start of the warm-up.
  Address m_Address;  ///< Of the stand-in upstream.
  std::string m_Path; ///< Such as /faults.
  std::string m_Body; ///< JSON.
};

/// The whole plan. Times are from the start of the warm-up.
struct Experiment {
  std::string m_Name;       ///< Heading in the report.
  std::uint64_t m_Seed = 1; ///< Of all random choices.
  Duration m_WarmUp{};      ///< Excluded from the measurements.
  Duration m_Measured{};    ///< After the warm-up.
  Duration m_DrainLimit{};  ///< Longest wait for calls still open.
  std::string m_KeySuffix;  ///< Of the workspaces' API keys.
  std::vector<LoadWorkspace> m_Workspaces; ///< At least one.
  std::vector<Source> m_Sources;           ///< At least one.
  std::vector<Phase> m_Phases;             ///< May be empty.
  std::vector<Action> m_Actions;           ///< Ordered by time.
  std::vector<Address> m_Engines;          ///< Audited for generated tokens.
  std::vector<Address> m_Services;         ///< Audited for executed keys.

  /// Returns the rate of a source at a time, in arrivals per second.
  [[nodiscard]] double rateAt(std::size_t SourceIndex, Duration Time) const;

  /// Returns when a source's rate changes next after \p Time, at the latest the
  /// end of the experiment.
  [[nodiscard]] Duration nextRateChange(std::size_t SourceIndex,
                                        Duration Time) const;
};

/// Reads several settings files as one; later files override earlier ones, so
/// that the scenarios of a deployment can share a base file. \throws
/// LoadFileError.
Settings readMergedSettings(const std::vector<std::string> &Files);

/// Reads an experiment. Models, latency targets and time limits come from the
/// table CSV that it names.
/// \throws SettingError, LoadFileError, ExperimentError.
Experiment readExperiment(Settings &File);

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_EXPERIMENT_H
