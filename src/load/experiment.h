/// What an experiment sends, when, and what it does to the upstreams meanwhile.
#ifndef CROWSTEP_LOAD_EXPERIMENT_H
#define CROWSTEP_LOAD_EXPERIMENT_H

#include "core/settings.h"

#include <random>
#include <string>
#include <vector>

namespace crowstep::load {

/// Log-normal sizes; a sigma of 0 makes them all equal.
struct SizeDistribution {
  double m_Median = 1;     ///< >= 1.
  double m_Sigma = 0;      ///< Of the logarithm.
  std::uint64_t m_Max = 1; ///< Larger ones are cut to this.

  std::uint64_t draw(std::mt19937_64 &Random) const;
};

/// A customer and its part of the traffic.
struct LoadWorkspace {
  std::string m_Name; ///< Its key is this name and the key suffix.
  double m_Share = 1; ///< Relative to the other workspaces.
};

/// One stream of arrivals of one class of request.
struct Source {
  std::string m_Name;            ///< Row of the report.
  std::string m_Class;           ///< Row of the operators' table.
  std::string m_Path;            ///< Resource that is called.
  std::string m_Model;           ///< Empty for plain services.
  std::string m_Workspace;       ///< Only this one; empty: all by their share.
  double m_Rate = 1;             ///< Mean arrivals a second.
  bool m_Stream = true;          ///< Server-sent events.
  bool m_Keyed = false;          ///< Sends an idempotency key.
  SizeDistribution m_Prompt;     ///< Characters.
  SizeDistribution m_Tokens;     ///< Tokens of the answer.
  std::uint64_t m_Shared = 0;    ///< Leading characters alike in a workspace.
  Duration m_FirstTokenTarget{}; ///< From the table; 0: none.
  Duration m_TokenTarget{};      ///< From the table; 0: none.
  Duration m_Limit{};            ///< The caller gives up after this.

  [[nodiscard]] bool isCompletion() const { return m_Tokens.m_Max > 0; }
};

/// Multiplies the rate of a source for a time; several multiply each other.
struct Phase {
  std::size_t m_Source = 0; ///< Index.
  Duration m_From{};        ///< Since the first arrival may come.
  Duration m_Until{};       ///< > m_From.
  double m_Factor = 1;      ///< >= 0.
};

/// A POST to a stand-in at a time.
struct Action {
  Duration m_At{};    ///< Since the first arrival may come.
  Address m_Where;    ///< Of the stand-in.
  std::string m_Path; ///< Such as /faults.
  std::string m_Body; ///< JSON.
};

/// The whole plan. Times count from the start of the warm-up.
struct Experiment {
  std::string m_Name;                      ///< For the report.
  std::uint64_t m_Seed = 1;                ///< Of every random choice.
  Duration m_WarmUp{};                     ///< Not measured.
  Duration m_Measured{};                   ///< After the warm-up.
  Duration m_DrainLimit{};                 ///< For what is still open then.
  std::string m_KeySuffix;                 ///< Of the workspaces' keys.
  std::vector<LoadWorkspace> m_Workspaces; ///< At least one.
  std::vector<Source> m_Sources;           ///< At least one.
  std::vector<Phase> m_Phases;             ///< May be empty.
  std::vector<Action> m_Actions;           ///< In the order of time.
  std::vector<Address> m_Engines;          ///< Asked for what they generated.
  std::vector<Address> m_Services;         ///< Asked for the keys that ran.

  /// Returns the rate of a source at a time.
  [[nodiscard]] double rateAt(std::size_t SourceIndex, Duration When) const;

  /// Returns when a source's rate next changes after \p When, or the end.
  [[nodiscard]] Duration nextChange(std::size_t SourceIndex,
                                    Duration When) const;
};

/// Reads several settings files as one; later ones override earlier ones, so
/// that the scenarios of a deployment share a file. \throws LoadFileError.
Settings joinedSettings(const std::vector<std::string> &Files);

/// Reads an experiment; the targets come from the table CSV that it names.
/// \throws SettingError, LoadFileError, ExperimentError.
Experiment readExperiment(Settings &File);

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_EXPERIMENT_H
