/// Reads the platform's instance list and the drains.
#include "dispatcher/upstream_directory.h"

#include <algorithm>

namespace crowstep::dispatcher {

using platform::Row;
using platform::RowWrite;

namespace {

constexpr const char *UpstreamPrefix = "upstream/";
constexpr const char *InstancePrefix = "instance/";
constexpr const char *DrainedValue = "{\"drained\":true}";

} // namespace

UpstreamDirectory::UpstreamDirectory(Scheduler &Timers,
                                     platform::InstanceList &List,
                                     platform::TableService &Store,
                                     Duration Interval, double Offset)
    : m_List(List), m_Store(Store), m_Interval(Interval),
      m_FirstDrainDelay(
          std::chrono::duration_cast<Duration>(Interval * Offset)),
      m_ListTimer(Timers), m_DrainTimer(Timers) {}

void UpstreamDirectory::start() {
  readList();
  m_DrainTimer.start(m_FirstDrainDelay, [this] { readDrains(); });
}

void UpstreamDirectory::setFromPeer(std::vector<Upstream> FromPeer) {
  if (m_HasReadList || FromPeer.empty())
    return;
  m_Listing.m_Upstreams = std::move(FromPeer);
  rebuild();
}

void UpstreamDirectory::readList() {
  m_List.fetch([this](platform::InstanceList::Result Outcome) {
    if (auto *Listing = std::get_if<platform::InstanceListing>(&Outcome)) {
      m_HasReadList = true;
      m_Listing = std::move(*Listing);
      rebuild();
      reportInstances();
    }
    m_ListTimer.start(m_Interval, [this] { readList(); });
  });
}

void UpstreamDirectory::reportInstances() const {
  std::vector<std::string> Names;
  for (const platform::ListedInstance &Instance : m_Listing.m_Instances)
    Names.push_back(Instance.m_Name);
  if (m_InstancesRead)
    m_InstancesRead(Names);
}

void UpstreamDirectory::readDrains() {
  m_Store.list(platform::DrainTableName, "", [this](platform::ReadResult Read) {
    if (const auto *Rows = std::get_if<std::vector<Row>>(&Read)) {
      m_Drains.clear();
      for (const Row &Drain : *Rows)
        m_Drains.insert(Drain.m_Key);
      rebuild();
    }
    m_DrainTimer.start(m_Interval, [this] { readDrains(); });
  });
}

void UpstreamDirectory::rebuild() {
  std::vector<Upstream> Updated = m_Listing.m_Upstreams;
  for (Upstream &Info : Updated)
    if (m_Drains.contains(UpstreamPrefix + Info.m_Name))
      Info.m_Draining = true;
  const bool Changed = Updated != m_Upstreams;
  m_Upstreams = std::move(Updated);
  if (Changed && m_Changed)
    m_Changed();
}

std::vector<Upstream>
UpstreamDirectory::upstreamsOfService(const std::string &Service) const {
  std::vector<Upstream> Result;
  std::copy_if(m_Upstreams.begin(), m_Upstreams.end(),
               std::back_inserter(Result),
               [&](const Upstream &Info) { return Info.m_Service == Service; });
  return Result;
}

std::optional<std::string> UpstreamDirectory::serviceOf(PoolId Pool) const {
  for (const Upstream &Info : m_Upstreams)
    if (poolIdOf(Info.m_Service, 0) == Pool)
      return Info.m_Service;
  return std::nullopt;
}

std::vector<PoolId> UpstreamDirectory::pools() const {
  std::set<PoolId> Result;
  for (const Upstream &Info : m_Upstreams)
    Result.insert(poolIdOf(Info.m_Service, 0));
  return {Result.begin(), Result.end()};
}

const Upstream *UpstreamDirectory::find(UpstreamId Id) const {
  const auto Found =
      std::find_if(m_Upstreams.begin(), m_Upstreams.end(),
                   [&](const Upstream &Info) { return Info.m_Id == Id; });
  return Found == m_Upstreams.end() ? nullptr : &*Found;
}

std::vector<Address> UpstreamDirectory::dispatcherHints() const {
  std::vector<Address> Result;
  for (const platform::ListedInstance &Instance : m_Listing.m_Instances)
    Result.push_back(Instance.m_LinkAddress);
  return Result;
}

bool UpstreamDirectory::isInstanceDraining(const std::string &Name) const {
  if (m_Drains.contains(InstancePrefix + Name))
    return true;
  return std::any_of(m_Listing.m_Instances.begin(), m_Listing.m_Instances.end(),
                     [&](const platform::ListedInstance &Instance) {
                       return Instance.m_Name == Name && Instance.m_Draining;
                     });
}

void UpstreamDirectory::setDrained(const std::string &Key, bool Drained,
                                   std::function<void(bool)> Done) {
  m_Store.read(platform::DrainTableName, Key,
               [this, Key, Drained,
                Done = std::move(Done)](const platform::ReadResult &Read) {
                 const auto *Rows = std::get_if<std::vector<Row>>(&Read);
                 if (Rows == nullptr)
                   return Done(false);
                 const bool IsDrained = !Rows->empty();
                 if (IsDrained == Drained)
                   return Done(true);
                 writeDrain(IsDrained
                                ? RowWrite{Key, Rows->front().m_Version, ""}
                                : RowWrite{Key, {}, DrainedValue},
                            Done);
               });
}

void UpstreamDirectory::writeDrain(const RowWrite &Write,
                                   std::function<void(bool)> Done) {
  m_Store.write(platform::DrainTableName, {Write},
                [this, Done = std::move(Done)](platform::WriteResult Result) {
                  const auto *Rows =
                      std::get_if<std::vector<platform::RowOutcome>>(&Result);
                  Done(Rows != nullptr && !Rows->empty() &&
                       Rows->front().m_Written);
                  readDrains();
                });
}

} // namespace crowstep::dispatcher
