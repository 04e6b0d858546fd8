/// From words to calls.
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
    "order ENGINE load_model|load_adapter|unload_model|set_role NAME";

namespace {

using Words = std::vector<std::string>;

AdminCall tableCall(const Words &Given, const std::string &ReadVersion) {
  const std::string What = Given.size() > 1 ? Given[1] : "";
  if (What == "show" && Given.size() == 2)
    return {"GET", "/v1/table", "", ""};
  if (What == "history" && Given.size() == 2)
    return {"GET", "/v1/table/history", "", ""};
  if (What == "check" && Given.size() == 3)
    return {"POST", "/v1/table/check", readFile(Given[2]), ""};
  if (What != "apply" || Given.size() != 3)
    throw CommandError(CommandHelp);
  if (ReadVersion.empty())
    throw CommandError("table apply needs --read-version: the version that "
                       "'table show' printed when the table was read");
  return {"PUT", "/v1/table", readFile(Given[2]), ReadVersion};
}

AdminCall drainCall(const Words &Given, const std::string &Method) {
  const bool Complete =
      Given.size() == 3 && (Given[1] == "upstream" || Given[1] == "instance");
  if (!Complete)
    throw CommandError(CommandHelp);
  return {Method, "/v1/drains/" + Given[1] + "/" + Given[2], "", ""};
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

AdminCall callOf(const Words &Given, const std::string &ReadVersion) {
  const std::string Command = Given.empty() ? "" : Given[0];
  if (Command == "table")
    return tableCall(Given, ReadVersion);
  if (Command == "status" && Given.size() == 1)
    return {"GET", "/v1/status", "", ""};
  if (Command == "drain")
    return drainCall(Given, "PUT");
  if (Command == "undrain")
    return drainCall(Given, "DELETE");
  if (Command == "order" && Given.size() == 4)
    return {"POST", "/v1/orders/" + Given[1],
            nlohmann::json{{"order", Given[2]}, {"name", Given[3]}}.dump(), ""};
  throw CommandError(CommandHelp);
}

} // namespace crowstep::ctl
