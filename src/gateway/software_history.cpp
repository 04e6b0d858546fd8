/// Versions by service, with the time at which each was seen last.
#include "gateway/software_history.h"

#include <algorithm>
#include <utility>

namespace crowstep::gateway {

void SoftwareHistory::record(const std::vector<Upstream> &List, TimePoint Now) {
  if (!m_FirstListAt)
    m_FirstListAt = Now;
  for (auto &[Service, Versions] : m_Services) {
    for (auto &[Text, Known] : Versions)
      if (Known.m_IsListed)
        Known = {false, Now};
    std::erase_if(Versions, [&](const auto &Entry) {
      return !isRecent(Entry.second, Now);
    });
  }
  for (const Upstream &Listed : List)
    m_Services[Listed.m_Service][Listed.m_Software.text()] = {true, Now};
}

void SoftwareHistory::recordUnproven(const std::string &Service,
                                     TimePoint Now) {
  m_Services[Service][""].m_LastAt = Now;
}

void SoftwareHistory::setRegister(ServiceVersions Registered, TimePoint Now) {
  m_Registered = std::move(Registered);
  m_IsRegisterRead = true;
  std::erase_if(m_RegisteredSince, [&](const auto &Entry) {
    return !isRegistered(Entry.first.first, Entry.first.second);
  });
  for (const auto &[Service, Versions] : m_Registered)
    for (const std::string &Text : Versions)
      m_RegisteredSince.try_emplace({Service, Text}, Now);
}

bool SoftwareHistory::isRegistered(const std::string &Service,
                                   const std::string &Text) const {
  const auto Found = m_Registered.find(Service);
  return Found != m_Registered.end() && Found->second.contains(Text);
}

ServiceVersions SoftwareHistory::seenVersions(TimePoint Now) const {
  ServiceVersions Result;
  for (const auto &[Service, Versions] : m_Services)
    for (const auto &[Text, Known] : Versions)
      if (isRecent(Known, Now))
        Result[Service].insert(Text);
  return Result;
}

/// Versions that left before this instance read its first list may have been in
/// service until then, and a row may stand for a process that only another
/// instance has seen. So the time counts from the first list and the first read
/// of the row.
ServiceVersions SoftwareHistory::disusedVersions(TimePoint Now) const {
  ServiceVersions Result;
  if (!m_FirstListAt)
    return Result;
  const ServiceVersions Seen = seenVersions(Now);
  for (const auto &[Row, Since] : m_RegisteredSince) {
    const auto &[Service, Text] = Row;
    const auto Found = Seen.find(Service);
    if (Now - std::max(Since, *m_FirstListAt) >= Memory &&
        (Found == Seen.end() || !Found->second.contains(Text)))
      Result[Service].insert(Text);
  }
  return Result;
}

std::set<std::string> SoftwareHistory::mixedServices(TimePoint Now) const {
  ServiceVersions InService = m_Registered;
  for (const auto &[Service, Versions] : disusedVersions(Now))
    for (const std::string &Text : Versions)
      InService[Service].erase(Text);
  for (const auto &[Service, Versions] : seenVersions(Now))
    InService[Service].insert(Versions.begin(), Versions.end());
  std::set<std::string> Result;
  for (const auto &[Service, Versions] : InService)
    if (Versions.size() - Versions.count("") > 1)
      Result.insert(Service);
  return Result;
}

std::optional<SoftwareVersion>
SoftwareHistory::soleVersionOf(const std::string &Service,
                               TimePoint Now) const {
  const auto Registered = m_Registered.find(Service);
  if (Registered == m_Registered.end() || Registered->second.size() != 1)
    return std::nullopt;
  const std::string &Sole = *Registered->second.begin();
  if (const auto Versions = m_Services.find(Service);
      Versions != m_Services.end())
    for (const auto &[Text, Known] : Versions->second)
      if (Text != Sole && isRecent(Known, Now))
        return std::nullopt;
  return Sole.empty() ? std::nullopt : std::optional(SoftwareVersion(Sole));
}

} // namespace crowstep::gateway
