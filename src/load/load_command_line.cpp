/// Command lines, parsed by TCLAP.
#include "load/load_command.h"
#include "load/load_error.h"

#include <sstream>
#include <tclap/CmdLine.h>

namespace crowstep::load {

namespace {

using Text = TCLAP::ValueArg<std::string>;
using Number = TCLAP::ValueArg<double>;

std::vector<Address> parseTargets(const std::string &List) {
  std::vector<Address> Result;
  std::istringstream Items(List);
  for (std::string Item; std::getline(Items, Item, ';');)
    Result.push_back(parseAddress(Item));
  if (Result.empty())
    throw UsageError("no target given");
  return Result;
}

Duration seconds(double Value) {
  return std::chrono::round<Duration>(std::chrono::duration<double>(Value));
}

/// Options of `run`, which describe the plan's only source.
class RunCommandLine {
public:
  SendCommand parse(int Argc, char **Argv) {
    m_Line.parse(Argc, Argv);
    SendCommand Result;
    Result.m_Targets = parseTargets(m_Targets.getValue());
    Result.m_Policy = m_Policy.getValue();
    Result.m_ResultFile = m_Out.getValue();
    Experiment &Plan = Result.m_Plan;
    Plan.m_Name = "run";
    Plan.m_Seed = static_cast<std::uint64_t>(m_Seed.getValue());
    Plan.m_WarmUp = seconds(m_WarmUp.getValue());
    Plan.m_Measured = seconds(m_Seconds.getValue());
    Plan.m_DrainLimit = seconds(m_Limit.getValue());
    Plan.m_KeySuffix = m_KeySuffix.getValue();
    Plan.m_Workspaces = {{m_Workspace.getValue(), 1}};
    Plan.m_Sources = {source()};
    return Result;
  }

private:
  Source source() {
    Source Result;
    Result.m_Name = m_Class.getValue();
    Result.m_Class = m_Class.getValue();
    Result.m_Path = m_Path.getValue();
    Result.m_Model = m_Model.getValue();
    Result.m_Rate = m_Rate.getValue();
    Result.m_Stream = !m_Plain.getValue();
    Result.m_UsesIdempotencyKey = m_Keyed.getValue();
    const auto FixedSize = [](double Value) {
      return SizeDistribution{Value, 0, static_cast<std::uint64_t>(Value)};
    };
    Result.m_PromptSize = FixedSize(m_Prompt.getValue());
    Result.m_AnswerTokens = FixedSize(m_Tokens.getValue());
    Result.m_Timeout = seconds(m_Limit.getValue());
    return Result;
  }

  TCLAP::CmdLine m_Line{"sends steady load of one class", ' ', versionText()};
  Text m_Targets{"t",    "targets", "addresses, between semicolons", true, "",
                 "list", m_Line};
  Text m_Class{"c", "class", "class of request", false, "run", "name", m_Line};
  Text m_Path{"p",    "path", "resource", false, "/v1/chat/completions",
              "path", m_Line};
  Text m_Model{"m", "model", "model", false, "", "name", m_Line};
  Text m_Workspace{"w", "workspace", "customer", false, "run", "name", m_Line};
  Text m_KeySuffix{"",    "key-suffix", "of the workspace's key",
                   false, "-key",       "text",
                   m_Line};
  Text m_Policy{"",     "policy", "column of the report", false, "run",
                "name", m_Line};
  Text m_Out{"o", "out", "result file", false, "", "file", m_Line};
  Number m_Rate{"r", "rate", "requests a second", false, 10, "number", m_Line};
  Number m_Seconds{"s", "seconds", "measured time", false,
                   10,  "number",  m_Line};
  Number m_WarmUp{"",       "warm-up", "seconds before that", false, 1,
                  "number", m_Line};
  Number m_Limit{"",    "limit", "seconds until a caller gives up",
                 false, 30,      "number",
                 m_Line};
  Number m_Prompt{"",       "prompt", "characters of a prompt", false, 200,
                  "number", m_Line};
  Number m_Tokens{"",    "tokens", "tokens of an answer; 0: a plain service",
                  false, 100,      "number",
                  m_Line};
  Number m_Seed{"",       "seed", "of the random choices", false, 1,
                "number", m_Line};
  TCLAP::SwitchArg m_Plain{"", "plain", "ask for plain answers, no streams",
                           m_Line};
  TCLAP::SwitchArg m_Keyed{"", "keyed", "send idempotency keys", m_Line};
};

SendCommand parseExperiment(int Argc, char **Argv) {
  TCLAP::CmdLine Line("runs an experiment from a file", ' ', versionText());
  TCLAP::MultiArg<std::string> Configs(
      "c", "config", "experiment (INI); later files override earlier ones",
      true, "file", Line);
  Text Targets("t", "targets", "addresses, between semicolons", true, "",
               "list", Line);
  Text Policy("", "policy", "column of the report", false, "crowstep", "name",
              Line);
  Text Out("o", "out", "result file", false, "", "file", Line);
  TCLAP::SwitchArg Check("", "check", "validate the settings and stop", Line);
  Line.parse(Argc, Argv);
  Settings File = readMergedSettings(Configs.getValue());
  SendCommand Result;
  Result.m_Plan = readExperiment(File);
  File.rejectUnknown();
  Result.m_Targets = parseTargets(Targets.getValue());
  Result.m_Policy = Policy.getValue();
  Result.m_ResultFile = Out.getValue();
  Result.m_CheckOnly = Check.getValue();
  return Result;
}

ReportCommand parseReport(int Argc, char **Argv) {
  TCLAP::CmdLine Line("writes a report over result files", ' ', versionText());
  Text Folder("o", "out", "folder of the report", true, "", "folder", Line);
  TCLAP::UnlabeledMultiArg<std::string> Results("results", "result files", true,
                                                "file", Line);
  Line.parse(Argc, Argv);
  return {Results.getValue(), Folder.getValue()};
}

} // namespace

Command parseCommand(int Argc, char **Argv) {
  const std::string Name = Argc > 1 ? Argv[1] : "";
  // The arguments from the command's name on form a command line of their own;
  // TCLAP takes the name as the program's.
  if (Name == "run")
    return RunCommandLine().parse(Argc - 1, Argv + 1);
  if (Name == "experiment")
    return parseExperiment(Argc - 1, Argv + 1);
  if (Name == "report")
    return parseReport(Argc - 1, Argv + 1);
  throw UsageError(Usage);
}

} // namespace crowstep::load
