/// Creates and starts the upstreams of one process.
#include "standin/upstream_host.h"

namespace crowstep::standin {

UpstreamHost::UpstreamHost(Settings &File) {
  for (const std::string &Section : File.sections("engine"))
    m_Upstreams.emplace_back(
        std::make_unique<EngineServer>(readEngine(File, Section)));
  for (const std::string &Section : File.sections("service"))
    m_Upstreams.emplace_back(
        std::make_unique<ServiceServer>(readService(File, Section)));
}

void UpstreamHost::start() {
  for (const StandinUpstream &Hosted : m_Upstreams)
    std::visit([](const auto &Server) { Server->start(); }, Hosted);
}

} // namespace crowstep::standin
