/// crowstep-load: sends load, runs experiments and reports on them.
#include "core/log.h"
#include "load/load_command.h"
#include "load/load_error.h"

#include <csignal>
#include <iostream>
#include <string>

using namespace crowstep;

namespace {

ExitCode runLoad(int Argc, char **Argv) {
  // A write to a connection that the peer closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  startLogging("info", "crowstep-load", LogTarget::StandardError);
  try {
    return load::execute(load::parseCommand(Argc, Argv));
  } catch (const load::LoadFileError &Failure) {
    std::cerr << Failure.what() << "\n";
    return ExitCode::Failure;
  } catch (const Error &Failure) {
    std::cerr << Failure.what() << "\n";
    return ExitCode::BadInput;
  }
}

} // namespace

int main(int Argc, char **Argv) {
  const std::string Option = Argc > 1 ? Argv[1] : "";
  if (Option == "--help" || Option == "--version") {
    std::cout << (Option == "--help" ? load::Usage : versionText()) << "\n";
    return static_cast<int>(ExitCode::Success);
  }
  return static_cast<int>(runLoad(Argc, Argv));
}
