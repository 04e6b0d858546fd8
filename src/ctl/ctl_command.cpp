/// Translates operators' commands to calls.
#include "ctl/ctl_command.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace crowstep::ctl {

const char *const CommandHelp =
    "table show | table check FILE | table apply FILE (with --read-version) | "
    "table history | status | drain upstream|instance NAME | "
    "undrain upstream|instance NAME | "
    "explain REQUEST LOGFILE... | "
    "place FILE (with --admin: a gateway's probe listener) | "
    "order ENGINE load_model|load_adapter|unload_model|set_role NAME";

namespace {

using ArgumentList = std::vector<std::string>;

AdminCall tableCall(const ArgumentList &Arguments,
                    const std::string &ReadVersion) {
  const std::string Action = Arguments.size() > 1 ? Arguments[1] : "";
  if (Action == "show" && Arguments.size() == 2)
    return {"GET", "/v1/table", "", ""};
  if (Action == "history" && Arguments.size() == 2)
    return {"GET", "/v1/table/history", "", ""};
  if (Action == "check" && Arguments.size() == 3)
    return {"POST", "/v1/table/check", readFile(Arguments[2]), ""};
  if (Action != "apply" || Arguments.size() != 3)
    throw CommandError(CommandHelp);
  if (ReadVersion.empty())
    throw CommandError("table apply needs --read-version: the version that "
                       "'table show' printed when the table was read");
  return {"PUT", "/v1/table", readFile(Arguments[2]), ReadVersion};
}

AdminCall drainCall(const ArgumentList &Arguments, const std::string &Method) {
  const bool Complete = Arguments.size() == 3 && (Arguments[1] == "upstream" ||
                                                  Arguments[1] == "instance");
  if (!Complete)
    throw CommandError(CommandHelp);
  return {Method, "/v1/drains/" + Arguments[1] + "/" + Arguments[2], "", ""};
}

} // namespace

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw FileError(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

AdminCall parseCommand(const ArgumentList &Arguments,
                       const std::string &ReadVersion) {
  const std::string Command = Arguments.empty() ? "" : Arguments[0];
  if (Command == "table")
    return tableCall(Arguments, ReadVersion);
  if (Command == "status" && Arguments.size() == 1)
    return {"GET", "/v1/status", "", ""};
  if (Command == "drain")
    return drainCall(Arguments, "PUT");
  if (Command == "undrain")
    return drainCall(Arguments, "DELETE");
  if (Command == "order" && Arguments.size() == 4)
    return {
        "POST", "/v1/orders/" + Arguments[1],
        nlohmann::json{{"order", Arguments[2]}, {"name", Arguments[3]}}.dump(),
        ""};
  throw CommandError(CommandHelp);
}

} // namespace crowstep::ctl
