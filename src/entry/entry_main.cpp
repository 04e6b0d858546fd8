/// Main function of crowstep-entry.
#include "core/program.h"
#include "entry/entry.h"

int main(int Argc, char **Argv) {
  using namespace crowstep;
  return runDaemon(Argc, Argv, "crowstep-entry",
                   "Takes callers' requests and carries them to upstreams",
                   [](Settings &File) {
                     return std::make_unique<entry::Entry>(
                         entry::readEntrySettings(File));
                   });
}
