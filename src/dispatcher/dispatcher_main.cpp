/// Main program of crowstep-dispatcher.
#include "core/program.h"
#include "dispatcher/dispatcher.h"

int main(int Argc, char **Argv) {
  using namespace crowstep;
  return runDaemon(Argc, Argv, "crowstep-dispatcher",
                   "Decides which request runs where and when, and keeps the "
                   "operators' table in force",
                   [](Settings &File) {
                     return std::make_unique<dispatcher::Dispatcher>(
                         dispatcher::readDispatcherSettings(File));
                   });
}
