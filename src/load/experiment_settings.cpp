/// Reads an experiment from its INI file.
#include "contract/contract_func.h"
#include "load/experiment.h"
#include "load/load_error.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace crowstep::load {

using namespace std::chrono_literals;

namespace {

/// Upper bound of sizes in settings.
constexpr std::int64_t MaxSize = 100000000;

/// Added to the class's time limit for the caller's timeout, so that the
/// router's error answer arrives before the caller gives up.
constexpr Duration CallerTimeoutMargin = 10s;

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Result;
  std::istringstream Items(Text);
  for (std::string Item; std::getline(Items, Item, ';');)
    Result.push_back(Item);
  return Result;
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw LoadFileError(Path, "can't be read");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::vector<LoadWorkspace> readWorkspaces(Settings &File) {
  std::vector<LoadWorkspace> Result;
  const auto Names = splitList(File.text("workspaces", "names"));
  const auto Shares = splitList(File.text("workspaces", "shares", ""));
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    Result.push_back(
        {Names[Index], Index < Shares.size()
                           ? std::strtod(Shares[Index].c_str(), nullptr)
                           : 1});
  return Result;
}

SizeDistribution readSizes(Settings &File, const std::string &Section,
                           const std::string &Prefix, double Median,
                           std::int64_t Max) {
  SizeDistribution Result;
  Result.m_Median =
      File.number(Section, Prefix + "_median", 1, MaxSize, Median);
  Result.m_Sigma = File.number(Section, Prefix + "_sigma", 0, 5, 0);
  Result.m_Max = static_cast<std::uint64_t>(
      File.integer(Section, Prefix + "_max", 0, MaxSize, Max));
  return Result;
}

Source readSource(Settings &File, const std::string &Section,
                  const ContractTable &Table) {
  Source Result;
  Result.m_Name = Section.substr(Section.find('-') + 1);
  Result.m_Class = File.text(Section, "class", Result.m_Name);
  Result.m_Path = File.text(Section, "path", "/v1/chat/completions");
  Result.m_Workspace = File.text(Section, "workspace", "");
  Result.m_Rate = File.number(Section, "rate", 0, 1000000);
  Result.m_Stream = File.boolean(Section, "stream", true);
  Result.m_PromptSize = readSizes(File, Section, "prompt", 400, MaxSize);
  Result.m_AnswerTokens = readSizes(File, Section, "tokens", 100, 0);
  Result.m_SharedPrefix = static_cast<std::uint64_t>(
      File.integer(Section, "shared_prefix", 0, MaxSize, 0));
  const auto Row =
      std::find_if(Table.m_Contracts.begin(), Table.m_Contracts.end(),
                   [&](const Contract &Candidate) {
                     return Candidate.m_Name == Result.m_Class;
                   });
  if (Row == Table.m_Contracts.end())
    throw ExperimentError(Section, Result.m_Class, "a class of the table");
  Result.m_Model = Row->m_Model;
  Result.m_UsesIdempotencyKey = !Row->m_Repeatable;
  Result.m_FirstTokenTarget = Row->m_FirstTokenTarget;
  Result.m_TokenTarget = Row->m_TokenTarget;
  Result.m_Timeout = Row->m_TotalLimit + CallerTimeoutMargin;
  return Result;
}

std::size_t findSource(const Experiment &Plan, const std::string &Section,
                       const std::string &Name) {
  for (std::size_t Index = 0; Index < Plan.m_Sources.size(); ++Index)
    if (Plan.m_Sources[Index].m_Name == Name)
      return Index;
  throw ExperimentError(Section, Name, "the name of a source");
}

Phase readPhase(Settings &File, const std::string &Section,
                const Experiment &Plan) {
  Phase Result;
  Result.m_Source = findSource(Plan, Section, File.text(Section, "source"));
  Result.m_From = File.milliseconds(Section, "from_ms", 0s, 24h);
  Result.m_Until = File.milliseconds(Section, "until_ms", 0s, 24h);
  Result.m_Factor = File.number(Section, "factor", 0, 1000);
  return Result;
}

Action readAction(Settings &File, const std::string &Section) {
  Action Result;
  Result.m_Time = File.milliseconds(Section, "at_ms", 0s, 24h);
  Result.m_Address = File.address(Section, "address");
  Result.m_Path = File.text(Section, "path", "/faults");
  Result.m_Body = File.text(Section, "body");
  return Result;
}

} // namespace

Settings readMergedSettings(const std::vector<std::string> &Files) {
  std::string Text;
  std::string Names;
  for (const std::string &File : Files) {
    Text += readFile(File) + "\n";
    Names += (Names.empty() ? "" : "+") + File;
  }
  return Settings::parse(Text, Names);
}

Experiment readExperiment(Settings &File) {
  Experiment Result;
  Result.m_Name = File.text("experiment", "name");
  Result.m_Seed = static_cast<std::uint64_t>(
      File.integer("experiment", "seed", 0, INT64_MAX));
  Result.m_WarmUp = File.milliseconds("experiment", "warm_up_ms", 0s, 1h);
  Result.m_Measured = File.milliseconds("experiment", "measured_ms", 1ms, 24h);
  Result.m_DrainLimit =
      File.milliseconds("experiment", "drain_limit_ms", 0s, 1h, 30s);
  Result.m_KeySuffix = File.text("experiment", "key_suffix", "-key");
  const auto Table =
      contract::readCsv(readFile(File.text("experiment", "table")));
  Result.m_Workspaces = readWorkspaces(File);
  Result.m_Engines = File.addresses("upstreams", "engines");
  Result.m_Services = File.addresses("upstreams", "services");
  for (const std::string &Section : File.sections("source-"))
    Result.m_Sources.push_back(readSource(File, Section, Table));
  for (const std::string &Section : File.sections("phase-"))
    Result.m_Phases.push_back(readPhase(File, Section, Result));
  for (const std::string &Section : File.sections("action-"))
    Result.m_Actions.push_back(readAction(File, Section));
  std::sort(
      Result.m_Actions.begin(), Result.m_Actions.end(),
      [](const Action &A, const Action &B) { return A.m_Time < B.m_Time; });
  return Result;
}

} // namespace crowstep::load
