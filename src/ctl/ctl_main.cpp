/// Main program of crowstepctl, the operators' command.
#include "contract/contract_error.h"
#include "contract/contract_func.h"
#include "core/program.h"
#include "ctl/ctl_command.h"
#include "ctl/explain.h"
#include "ctl/place.h"
#include "instance_error.h"

#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace crowstep;

struct Options {
  std::string m_AdminAddress;           ///< Of a dispatcher's API, or of a
                                        ///< gateway's probe listener.
  bool m_HasAdminAddress = false;       ///< It is stated.
  std::string m_KeyFile;                ///< File with the operator's key.
  std::string m_ReadVersion;            ///< For table apply, else empty.
  bool m_CheckOnly = false;             ///< Validate only; make no call.
  bool m_Json = false;                  ///< Print an answer as received.
  std::vector<std::string> m_Arguments; ///< Command and arguments.
};

Options parse(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Steers crowstep: reads and changes the operators' "
                      "table, shows the fleet, drains upstreams and instances, "
                      "explains where requests went or would go",
                      ' ', versionText());
  TCLAP::ValueArg<std::string> Admin("a", "admin",
                                     "administration API of any instance; for "
                                     "place the probe listener of a gateway",
                                     false, "127.0.0.1:7201", "address", Line);
  TCLAP::ValueArg<std::string> KeyFile(
      "k", "key-file", "file with the operator's key", false, "", "file", Line);
  TCLAP::ValueArg<std::string> ReadVersion(
      "r", "read-version", "version of the table that was read and changed",
      false, "", "number", Line);
  TCLAP::SwitchArg Check(
      "", "check", "only check the words and the table file of the command",
      Line);
  TCLAP::SwitchArg AsJson("", "json", "print the answer to place as received",
                          Line);
  TCLAP::UnlabeledMultiArg<std::string> Words("command", ctl::CommandHelp, true,
                                              "command", Line);
  Line.parse(Argc, Argv);
  return {Admin.getValue(),       Admin.isSet(),    KeyFile.getValue(),
          ReadVersion.getValue(), Check.getValue(), AsJson.getValue(),
          Words.getValue()};
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

/// Runs "place FILE".
ExitCode placeRequest(const Options &Parsed) {
  if (Parsed.m_Arguments.size() != 2)
    throw ctl::CommandError(ctl::CommandHelp);
  if (!Parsed.m_HasAdminAddress)
    throw ctl::CommandError(
        "place needs --admin: the probe listener of a gateway");
  const ctl::AdminCall Call =
      ctl::placementCall(ctl::readFile(Parsed.m_Arguments[1]));
  if (Parsed.m_CheckOnly)
    return ExitCode::Success;
  ctl::AdminClient Client(parseAddress(Parsed.m_AdminAddress), "");
  const ctl::AdminAnswer Answer = Client.call(Call);
  if (Answer.m_Status == 404)
    throw ctl::PlacementUnanswered(
        Parsed.m_AdminAddress +
        ": this instance can't explain placements, its version is older");
  if (Answer.m_Status != 200) {
    std::cerr << "crowstepctl: " << Parsed.m_AdminAddress << " answered "
              << Answer.m_Status << ": " << Answer.m_Body;
    return Answer.m_Status == 400 || Answer.m_Status == 413 ? ExitCode::BadInput
                                                            : ExitCode::Failure;
  }
  std::cout << (Parsed.m_Json ? Answer.m_Body
                              : ctl::placementText(Answer.m_Body));
  return ExitCode::Success;
}

ExitCode run(const Options &Parsed) {
  if (Parsed.m_Arguments.front() == "explain")
    return explainRequest(Parsed.m_Arguments);
  if (Parsed.m_Arguments.front() == "place")
    return placeRequest(Parsed);
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
  } catch (const ctl::PlacementUnanswered &Failure) {
    return fail(Failure, ExitCode::Failure);
  } catch (const Error &Failure) {
    return fail(Failure, ExitCode::BadInput);
  }
}
