/// Several stand-in upstreams in one process, one for each section of the
/// settings, to keep the number of processes low.
#ifndef CROWSTEP_STANDIN_UPSTREAM_HOST_H
#define CROWSTEP_STANDIN_UPSTREAM_HOST_H

#include "core/program.h"
#include "standin/engine_server.h"
#include "standin/service_server.h"

#include <variant>

namespace crowstep::standin {

using StandinUpstream =
    std::variant<std::unique_ptr<EngineServer>, std::unique_ptr<ServiceServer>>;

/// Runs an engine for each section [engine*] and a plain service for each
/// section [service*].
class UpstreamHost final : public Daemon {
public:
  explicit UpstreamHost(Settings &File);
  void start() override;
  void stop(std::function<void()> Done) override { Done(); }

private:
  std::vector<StandinUpstream> m_Upstreams; ///< Engines, then services.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_UPSTREAM_HOST_H
