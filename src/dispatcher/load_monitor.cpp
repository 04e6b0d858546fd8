/// Reads load reports and cache events over HTTP.
#include "dispatcher/load_monitor.h"

#include "core/untrusted_json.h"

#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace crowstep::dispatcher {

using nlohmann::json;

/// One upstream that is polled. A call in flight keeps the object alive after
/// the monitor has dropped it; m_Active is then false.
struct LoadMonitor::WatchedUpstream {
  WatchedUpstream(Scheduler &Timers, Upstream Info)
      : m_Upstream(std::move(Info)), m_Timer(Timers) {}

  Upstream m_Upstream;  ///< As first listed.
  Timer m_Timer;        ///< For the next poll.
  bool m_Active = true; ///< False once dropped by the monitor.
};

namespace {

constexpr Duration PollTimeout = std::chrono::seconds(1);

decision::LoadReport parseLoadReport(UpstreamId Source, const json &Body) {
  decision::LoadReport Result;
  Result.m_Upstream = Source;
  Result.m_Sequence = Body.at("sequence").get<std::uint64_t>();
  Result.m_Age = std::chrono::milliseconds(Body.value("age_ms", 0));
  Result.m_Running = Body.at("running").get<std::uint32_t>();
  Result.m_Waiting = Body.at("waiting").get<std::uint32_t>();
  Result.m_FreeCacheBlocks = Body.value("free_cache_blocks", 0U);
  Result.m_Draining = Body.value("leaving", false);
  return Result;
}

decision::CacheEvent parseCacheEvent(UpstreamId Source, const json &Body) {
  decision::CacheEvent Result;
  Result.m_Upstream = Source;
  Result.m_Sequence = Body.at("sequence").get<std::uint64_t>();
  Result.m_Prefix =
      std::stoull(Body.at("prefix").get<std::string>(), nullptr, 16);
  Result.m_Added = Body.at("added").get<bool>();
  return Result;
}

/// Returns the events in an answer up to the first that can't be read. Reports
/// are only hints: an unreadable one counts as a late one.
std::vector<decision::Event> parseEvents(UpstreamId Source,
                                         const std::string &Text) {
  std::vector<decision::Event> Result;
  try {
    const json Body = parseUntrustedJson(Text);
    Result.emplace_back(parseLoadReport(Source, Body));
    for (const json &CacheEvent : Body.value("cache_events", json::array()))
      Result.emplace_back(parseCacheEvent(Source, CacheEvent));
  } catch (const json::exception &) {
  } catch (const std::logic_error &) { // Of a prefix that is no number.
  }
  return Result;
}

} // namespace

LoadMonitor::LoadMonitor(HttpClientInterface &Http, Scheduler &Timers,
                         Duration Interval, EventCallback OnEvent)
    : m_HttpClient(Http), m_Timers(Timers), m_Interval(Interval),
      m_OnEvent(std::move(OnEvent)) {}

void LoadMonitor::watch(const std::vector<Upstream> &Upstreams) {
  std::set<UpstreamId> Wanted;
  for (const Upstream &Info : Upstreams) {
    Wanted.insert(Info.m_Id);
    std::shared_ptr<WatchedUpstream> &Slot = m_WatchedUpstreams[Info.m_Id];
    if (Slot != nullptr && Slot->m_Upstream.m_Address == Info.m_Address)
      continue;
    if (Slot != nullptr)
      Slot->m_Active = false;
    Slot = std::make_shared<WatchedUpstream>(m_Timers, Info);
    requestLoad(Slot);
  }
  std::erase_if(m_WatchedUpstreams, [&](const auto &Item) {
    const bool IsDropped = !Wanted.contains(Item.first);
    if (IsDropped)
      Item.second->m_Active = false;
    return IsDropped;
  });
}

void LoadMonitor::requestLoad(const std::shared_ptr<WatchedUpstream> &Target) {
  HttpCall Call;
  Call.m_Address = Target->m_Upstream.m_Address;
  Call.m_Path = "/v1/load";
  Call.m_Timeout = PollTimeout;
  m_HttpClient.call(Call, [this, Target](HttpResult Result) {
    if (Target->m_Active)
      handleAnswer(Target, std::move(Result));
  });
}

void LoadMonitor::handleAnswer(const std::shared_ptr<WatchedUpstream> &Target,
                               HttpResult Result) {
  const auto *Answer = std::get_if<HttpAnswer>(&Result);
  if (Answer != nullptr && Answer->m_Status == 200)
    for (const decision::Event &Event :
         parseEvents(Target->m_Upstream.m_Id, Answer->m_Body))
      m_OnEvent(Event);
  const std::weak_ptr<WatchedUpstream> Weak = Target;
  Target->m_Timer.start(m_Interval, [this, Weak] {
    if (const std::shared_ptr<WatchedUpstream> Alive = Weak.lock())
      requestLoad(Alive);
  });
}

} // namespace crowstep::dispatcher
