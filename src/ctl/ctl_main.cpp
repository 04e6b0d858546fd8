/// Main program of crowstepctl, the operators' command.
#include "contract/contract_error.h"
#include "contract/contract_func.h"
#include "core/program.h"
#include "ctl/ctl_command.h"
#include "ctl/explain.h"
#include "instance_error.h"

#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace crowstep;

struct Options {
  std::string m_Admin;              ///< Address of a dispatcher's API.
  std::string m_KeyFile;            ///< File with the operator's key.
  std::string m_ReadVersion;        ///< For table apply.
  bool m_CheckOnly = false;         ///< Validate and stop.
  std::vector<std::string> m_Words; ///< The command.
};

Options parse(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Steers crowstep: reads and changes the operators' "
                      "table, shows the fleet, drains upstreams and instances",
                      ' ', versionText());
  TCLAP::ValueArg<std::string> Admin("a", "admin",
                                     "administration API of any instance",
                                     false, "127.0.0.1:7201", "address", Line);
  TCLAP::ValueArg<std::string> KeyFile(
      "k", "key-file", "file with the operator's key", false, "", "file", Line);
  TCLAP::ValueArg<std::string> ReadVersion(
      "r", "read-version", "version of the table that was read and changed",
      false, "", "number", Line);
  TCLAP::SwitchArg Check(
      "", "check", "only check the words and the table file of the command",
      Line);
  TCLAP::UnlabeledMultiArg<std::string> Words("command", ctl::CommandHelp, true,
                                              "command", Line);
  Line.parse(Argc, Argv);
  return {Admin.getValue(), KeyFile.getValue(), ReadVersion.getValue(),
          Check.getValue(), Words.getValue()};
}

std::string keyOf(const std::string &Path) {
  if (Path.empty())
    throw ctl::CommandError("--key-file is needed");
  std::string Key = ctl::readFile(Path);
  while (!Key.empty() && (Key.back() == '\n' || Key.back() == '\r'))
    Key.pop_back();
  return Key;
}

ExitCode exitCodeOf(unsigned Status) {
  if (Status == 422 || Status == 428 || Status == 404)
    return ExitCode::BadInput;
  return Status / 100 == 2 ? ExitCode::Success : ExitCode::Failure;
}

/// explain REQUEST FILE...: works on saved logs and asks no instance.
ExitCode explainRequest(const std::vector<std::string> &Words) {
  if (Words.size() < 3)
    throw ctl::CommandError(ctl::CommandHelp);
  std::vector<std::string> Logs;
  for (std::size_t I = 2; I < Words.size(); ++I)
    Logs.push_back(ctl::readFile(Words[I]));
  const std::string Story = ctl::explain(Words[1], Logs);
  std::cout << Story;
  return Story.empty() ? ExitCode::Failure : ExitCode::Success;
}

ExitCode run(const Options &Chosen) {
  if (Chosen.m_Words.front() == "explain")
    return explainRequest(Chosen.m_Words);
  const ctl::AdminCall Call = ctl::callOf(Chosen.m_Words, Chosen.m_ReadVersion);
  // A table file is checked here as well, so that a bad cell is told even
  // while no instance can be reached.
  if (Call.m_Path.starts_with("/v1/table") && !Call.m_Body.empty())
    contract::validate(contract::readCsv(Call.m_Body));
  if (Chosen.m_CheckOnly)
    return ExitCode::Success;
  ctl::AdminClient Client(parseAddress(Chosen.m_Admin),
                          keyOf(Chosen.m_KeyFile));
  const ctl::AdminAnswer Answer = Client.call(Call);
  std::cout << Answer.m_Body;
  if (!Answer.m_TableVersion.empty())
    std::cerr << "version " << Answer.m_TableVersion << "\n";
  return exitCodeOf(Answer.m_Status);
}

int fail(const Error &Failure, ExitCode Code) {
  std::cerr << "crowstepctl: " << Failure.what() << "\n";
  return static_cast<int>(Code);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return static_cast<int>(run(parse(Argc, Argv)));
  } catch (const ctl::AdminUnreachable &Failure) {
    return fail(Failure, ExitCode::Failure);
  } catch (const Error &Failure) {
    return fail(Failure, ExitCode::BadInput);
  }
}
