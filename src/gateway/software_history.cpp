/// Versions by service, with the time of their removal.
#include "gateway/software_history.h"

namespace crowstep::gateway {

void SoftwareHistory::record(const std::vector<Upstream> &List, TimePoint Now) {
  for (auto &[Service, Versions] : m_Services) {
    for (auto &[Text, Known] : Versions)
      if (Known.m_IsListed)
        Known = {false, Now, Known.m_Version};
    std::erase_if(Versions, [&](const auto &Entry) {
      return Now - Entry.second.m_RemovedAt >= Memory;
    });
  }
  for (const Upstream &Listed : List)
    m_Services[Listed.m_Service][Listed.m_Software.text()] = {
        true, TimePoint(), Listed.m_Software};
}

std::optional<SoftwareVersion>
SoftwareHistory::soleVersionOf(const std::string &Service,
                               TimePoint Now) const {
  const auto Versions = m_Services.find(Service);
  if (Versions == m_Services.end())
    return std::nullopt;
  std::optional<SoftwareVersion> Result;
  for (const auto &[Text, Known] : Versions->second) {
    if (!Known.m_IsListed && Now - Known.m_RemovedAt >= Memory)
      continue;
    if (Result || !Known.m_Version.isKnown())
      return std::nullopt;
    Result = Known.m_Version;
  }
  return Result;
}

} // namespace crowstep::gateway
