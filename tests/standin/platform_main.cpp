/// Program that stands in for the platform's services.
#include "standin/platform_server.h"

int main(int Argc, char **Argv) {
  return crowstep::runDaemon(
      Argc, Argv, "standin-platform", "stand-in for the platform's services",
      [](crowstep::Settings &File) {
        return std::make_unique<crowstep::standin::PlatformServer>(File);
      });
}
