/// Updates about speeds that wait to be sent, added up.
#include "speed/speed_sums.h"

#include "speed/machine_paces.h"
#include "speed/upstream_effect.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace crowstep::speed {

namespace {

/// Share of the bytes that statements about machines may use, and of those of
/// one second that sums of services may use each time; samples of upstreams get
/// the rest.
constexpr double PaceShare = 0.4;
constexpr double ServiceShare = 0.25;

/// Size of one entry on the wire, and of the vector around it, with its share
/// of the digest's own header.
constexpr double UpstreamBytes = 8;
constexpr double ServiceBytes = 8;
constexpr double PaceBytes = 8;
constexpr double VectorBytes = 36;

/// Weight of a sample that says nothing new, against one whose time differs by
/// a factor of e: sums without news are sent as well, later.
constexpr double UnchangedWeight = 0.02;

/// What was sent last is remembered for this long after the last sample.
constexpr Duration SentLifetime = std::chrono::seconds(10);

/// Most entries of one kind: another instance could name upstreams without end,
/// and the bytes that are sent grow with their number.
constexpr std::size_t MaxEntries = 16'384;

/// Returns the entry of \p Key; null: there is no room for a new one.
template <typename Map>
typename Map::mapped_type *findOrAdd(Map &Entries,
                                     const typename Map::key_type &Key) {
  const auto Found = Entries.find(Key);
  if (Found != Entries.end())
    return &Found->second;
  return Entries.size() < MaxEntries ? &Entries[Key] : nullptr;
}

template <typename... Kinds> struct Overloaded : Kinds... {
  using Kinds::operator()...;
};
template <typename... Kinds> Overloaded(Kinds...) -> Overloaded<Kinds...>;

} // namespace

void SpeedSums::Sum::add(std::uint32_t Samples, double LogSum, TimePoint Now) {
  m_Samples += Samples;
  m_LogSum += LogSum;
  m_AddedAt = Now;
}

/// Deviations of samples add up with the root of their number if they are
/// noise.
double SpeedSums::Sum::urgency() const {
  return std::abs(m_LogSum - m_Samples * m_Sent.mean()) /
             std::sqrt(static_cast<double>(m_Samples)) +
         UnchangedWeight * m_Samples;
}

void SpeedSums::fillAllowance(TimePoint Now) {
  std::set<UpstreamId> Upstreams;
  for (const auto &[Key, Pending] : m_Upstreams)
    Upstreams.insert(Key.first);
  m_BytesPerSecond =
      m_Limit *
      std::max(1.0, static_cast<double>(Upstreams.size()) / FewUpstreams);
  const std::chrono::duration<double> Elapsed =
      std::min<Duration>(Now - m_FilledAt, std::chrono::seconds(1));
  m_BytesLeft = std::min(m_BytesLeft + m_BytesPerSecond * Elapsed.count(),
                         m_BytesPerSecond);
  m_FilledAt = Now;
}

/// Returns whether \p Bytes may be sent with \p Reserve left for others.
bool SpeedSums::spend(double Bytes, double Reserve) {
  if (m_BytesLeft - Reserve < Bytes)
    return false;
  m_BytesLeft -= Bytes;
  return true;
}

void SpeedSums::add(const SpeedUpdate &Update, TimePoint Now) {
  std::visit(
      Overloaded{
          [&](const UpstreamSpeedUpdate &Added) {
            if (Sum *Into =
                    findOrAdd(m_Upstreams, std::pair(shortId(Added.m_Upstream),
                                                     Added.m_IsCrowded)))
              Into->add(Added.m_Samples, Added.m_LogSum, Now);
          },
          [&](const ServiceSpeedUpdate &Added) {
            if (Sum *Into =
                    findOrAdd(m_Services,
                              std::pair(shortId(Added.m_Pool), Added.m_State)))
              Into->add(Added.m_Samples, Added.m_LogSum, Now);
          },
          [&](const MachinePaceUpdate &Added) {
            const TimePoint StatedAt = Now - Added.m_Age;
            auto *Pending = findOrAdd(m_Paces, shortId(Added.m_Upstream));
            if (Pending != nullptr && StatedAt >= Pending->second)
              *Pending = {Added.m_Percent, StatedAt};
          }},
      Update);
}

template <typename Map, typename Function>
void SpeedSums::takeSums(Map &From, double EntryBytes, double Reserve,
                         TimePoint Now, Function Append) {
  std::erase_if(From, [&](const auto &Entry) {
    return Entry.second.m_Samples == 0 &&
           Now - Entry.second.m_AddedAt > SentLifetime;
  });
  std::vector<std::pair<double, typename Map::value_type *>> Pending;
  for (auto &Entry : From)
    if (Entry.second.m_Samples > 0)
      Pending.emplace_back(Entry.second.urgency(), &Entry);
  std::stable_sort(Pending.begin(), Pending.end(),
                   [](const auto &One, const auto &Other) {
                     return One.first > Other.first;
                   });
  if (Pending.empty() || !spend(VectorBytes, Reserve + EntryBytes))
    return;
  for (const auto &[Urgency, Entry] : Pending) {
    if (!spend(EntryBytes, Reserve))
      return;
    Sum &Sent = Entry->second;
    Append(Entry->first, Sent);
    Sent.m_Sent.add(Sent.m_Samples, Sent.m_LogSum, Now,
                    UpstreamEffect::TimeConstant);
    Sent.m_Samples = 0;
    Sent.m_LogSum = 0;
  }
}

/// Statements about the slowest machines go first.
void SpeedSums::takePaces(TimePoint Now, std::vector<SpeedUpdate> &Out) {
  std::erase_if(m_Paces, [&](const auto &Entry) {
    return Now - Entry.second.second > MachinePaces::Lifetime;
  });
  const double Reserve = m_BytesLeft * (1 - PaceShare);
  if (m_Paces.empty() || !spend(VectorBytes, Reserve + PaceBytes))
    return;
  std::vector<MachinePaceUpdate> Pending;
  for (const auto &[Upstream, Statement] : m_Paces)
    Pending.push_back({Upstream, Statement.first, Now - Statement.second});
  std::stable_sort(Pending.begin(), Pending.end(),
                   [](const auto &One, const auto &Other) {
                     return One.m_Percent > Other.m_Percent;
                   });
  for (const MachinePaceUpdate &Update : Pending) {
    if (!spend(PaceBytes, Reserve))
      return;
    Out.emplace_back(Update);
    m_Paces.erase(Update.m_Upstream);
  }
}

std::vector<SpeedUpdate> SpeedSums::take(TimePoint Now) {
  std::vector<SpeedUpdate> Result;
  if (m_Upstreams.empty() && m_Services.empty() && m_Paces.empty())
    return Result;
  fillAllowance(Now);
  takePaces(Now, Result);
  if (Now - m_ServicesTakenAt >= ServiceInterval) {
    m_ServicesTakenAt = Now;
    takeSums(m_Services, ServiceBytes,
             m_BytesLeft - ServiceShare * m_BytesPerSecond, Now,
             [&](const auto &Key, const Sum &Sent) {
               Result.emplace_back(ServiceSpeedUpdate{
                   Key.first, Key.second, Sent.m_Samples, Sent.m_LogSum});
             });
  }
  if (Now - m_UpstreamsTakenAt >= UpstreamInterval) {
    m_UpstreamsTakenAt = Now;
    takeSums(m_Upstreams, UpstreamBytes, 0, Now,
             [&](const auto &Key, const Sum &Sent) {
               Result.emplace_back(UpstreamSpeedUpdate{
                   Key.first, Key.second, Sent.m_Samples, Sent.m_LogSum});
             });
  }
  return Result;
}

} // namespace crowstep::speed
