/// Stand-in for model engines and plain services, one for each section of the
/// settings.
#include "standin/upstream_host.h"

int main(int Argc, char **Argv) {
  return crowstep::runDaemon(
      Argc, Argv, "standin-engine", "stand-in for upstreams",
      [](crowstep::Settings &File) {
        return std::make_unique<crowstep::standin::UpstreamHost>(File);
      });
}
