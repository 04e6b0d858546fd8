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
  std::string m_AdminAddress;           ///< Address of a dispatcher's API.
  std::string m_KeyFile;                ///< File with the operator's key.
  std::string m_ReadVersion;            ///< For table apply, else empty.
  bool m_CheckOnly = false;             ///< Validate only; make no call.
  std::vector<std::string> m_Arguments; ///< Command and arguments.
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

std::string readKey(const std::string &Path) {
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

/// Runs "explain REQUEST FILE..." on saved logs, without calls to instances.
ExitCode explainRequest(const std::vector<std::string> &Arguments) {
  if (Arguments.size() < 3)
    throw ctl::CommandError(ctl::CommandHelp);
  std::vector<std::string> Logs;
  for (std::size_t I = 2; I < Arguments.size(); ++I)
    Logs.push_back(ctl::readFile(Arguments[I]));
  const std::string Report = ctl::explain(Arguments[1], Logs);
  std::cout << Report;
  return Report.empty() ? ExitCode::Failure : ExitCode::Success;
}

ExitCode run(const Options &Parsed) {
  if (Parsed.m_Arguments.front() == "explain")
    return explainRequest(Parsed.m_Arguments);
  const ctl::AdminCall Call =
      ctl::parseCommand(Parsed.m_Arguments, Parsed.m_ReadVersion);
  // A table file is validated here as well, so that an invalid cell is reported
  // even while no instance can be reached.
  if (Call.m_Path.starts_with("/v1/table") && !Call.m_Body.empty())
    contract::validate(contract::readCsv(Call.m_Body));
  if (Parsed.m_CheckOnly)
    return ExitCode::Success;
  ctl::AdminClient Client(parseAddress(Parsed.m_AdminAddress),
                          readKey(Parsed.m_KeyFile));
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
