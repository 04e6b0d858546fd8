/// Upstreams of a stated software version, and streams that check it.
#ifndef CROWSTEP_TESTS_PROCESS_VERSIONED_UPSTREAM_H
#define CROWSTEP_TESTS_PROCESS_VERSIONED_UPSTREAM_H

#include "process/gateway_fleet.h"
#include "process/relay.h"
#include "standin/deferred_answer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <sstream>

namespace crowstep::test {

/// An upstream in the test's main loop that stamps each event with its version.
class VersionedUpstream {
public:
  static constexpr int EventCount = 30; ///< Of a stream.
  static constexpr auto EventInterval = std::chrono::milliseconds(20);

  /// Gateways reach it through m_Path, which listens on \p Ip.
  VersionedUpstream(std::string Name, std::string Version, GatewayFleet &Fleet,
                    std::uint32_t Ip = INADDR_LOOPBACK)
      : m_Name(std::move(Name)), m_Version(std::move(Version)),
        m_Timers(Fleet.m_Timers), m_Store(Fleet.m_Store) {
    const Address Listen = freeAddress();
    m_Path = std::make_unique<Relay>(Listen, Ip);
    m_Server.listen(Listen, [this](SoupServerMessage *Message, const char *At) {
      if (std::string_view(At) == "/report")
        report(Message);
      else
        handle(Message);
    });
    list("ready");
  }

  /// Writes the upstream's entry; an empty \p State removes it.
  void list(const std::string &State) {
    nlohmann::json Row = nlohmann::json::parse(
        upstreamRow(m_Path->address(), 64, State, m_Version));
    if (m_StartTime)
      Row["born"] = *m_StartTime;
    m_Store.put("servers", m_Name, State.empty() ? "" : Row.dump());
  }

  /// Closes the connections of all streams in progress.
  void breakStreams() {
    for (const auto &Open : m_Open)
      Open->m_Answer.closeConnection();
    m_Open.clear();
  }

  /// Sends no further event until resumed.
  void setPaused(bool Paused) { m_IsPaused = Paused; }

  /// The process ends, and another one starts at the same address.
  void replace(const std::string &Name, const std::string &Version) {
    list("");
    breakStreams();
    m_Name = Name;
    m_Version = Version;
    list("ready");
  }

  /// States from now on when the process has started, and lists that.
  void stateStartTime() {
    m_StartTime = 1000;
    list("ready");
  }

  /// The process ends, and another one starts under the same name. Its entry is
  /// not written yet.
  void restartUnlisted(const std::string &Version) {
    breakStreams();
    m_Path->reset();
    m_Version = Version;
    ++*m_StartTime;
  }

  std::unique_ptr<Relay> m_Path; ///< In front of it; never null.

private:
  struct OpenStream {
    explicit OpenStream(SoupServerMessage *Message) : m_Answer(Message) {}
    DeferredAnswer m_Answer; ///< Towards the gateway.
    int m_NextEvent = 1;     ///< Id of the next event.
  };

  void report(SoupServerMessage *Message) const {
    nlohmann::json Report = {{"active", m_Open.size()}};
    if (m_StartTime)
      Report["born"] = *m_StartTime;
    respond(Message, 200, "application/json", Report.dump());
  }

  void handle(SoupServerMessage *Message) {
    addSignatureHeaders(Message);
    if (requestHeader(Message, "X-Expect-Instance") != m_Name) {
      respond(Message, 421, "text/plain", "");
      return;
    }
    auto Open = std::make_shared<OpenStream>(Message);
    Open->m_NextEvent =
        std::atoi(requestHeader(Message, "Last-Event-Id").c_str()) + 1;
    Open->m_Answer.beginStream(200, "text/event-stream");
    m_Open.push_back(Open);
    scheduleNext(Open);
  }

  void scheduleNext(const std::shared_ptr<OpenStream> &Open) {
    m_Timers.runAfter(EventInterval, [this, Weak = std::weak_ptr(Open)] {
      if (const auto Next = Weak.lock(); Next && Next->m_Answer.isOpen())
        sendNext(Next);
    });
  }

  void sendNext(const std::shared_ptr<OpenStream> &Open) {
    if (m_IsPaused) {
      scheduleNext(Open);
      return;
    }
    if (Open->m_NextEvent > EventCount) {
      Open->m_Answer.endStream();
      std::erase(m_Open, Open);
      return;
    }
    Open->m_Answer.append("id: " + std::to_string(Open->m_NextEvent++) +
                          "\ndata: " + m_Version + "\n\n");
    scheduleNext(Open);
  }

  std::string m_Name;                      ///< In the store.
  std::string m_Version;                   ///< Of its software.
  Scheduler &m_Timers;                     ///< Outlives it.
  standin::StoreServer &m_Store;           ///< Outlives it.
  std::optional<std::int64_t> m_StartTime; ///< As it states; none: it doesn't.
  bool m_IsPaused = false;                 ///< See setPaused().
  std::vector<std::shared_ptr<OpenStream>> m_Open; ///< In progress.
  HttpServer m_Server;                             ///< For gateways.
};

/// A caller's stream over all of its attempts.
class TestStream {
public:
  TestStream(GatewayFleet &Fleet, std::size_t Gateway) : m_Fleet(Fleet) {
    send(Gateway);
  }

  /// Takes the stream up at another gateway, unless it is complete.
  void resume(std::size_t Gateway) {
    if (isComplete())
      return;
    keepEvents();
    send(Gateway);
  }

  [[nodiscard]] int eventCount() const {
    return static_cast<int>(events().size());
  }
  [[nodiscard]] bool hasEnded() const { return m_Result->m_Ended; }
  [[nodiscard]] bool isComplete() const {
    return eventCount() == VersionedUpstream::EventCount;
  }

  /// Returns whether all events follow one another and are of one version.
  [[nodiscard]] bool isOfOneVersion() const {
    const auto Events = events();
    for (std::size_t I = 0; I < Events.size(); ++I)
      if (Events[I].first != static_cast<int>(I) + 1 ||
          Events[I].second != Events[0].second)
        return false;
    return true;
  }

  /// Returns the events for a message.
  [[nodiscard]] std::string text() const {
    std::string Result;
    for (const auto &[Id, Version] : events())
      Result += std::to_string(Id) + ":" + Version + " ";
    return Result;
  }

  [[nodiscard]] unsigned status() const { return m_Result->m_Status; }

  /// Headers that replace those of the next attempts.
  std::map<std::string, std::string> m_Headers;

private:
  using Event = std::pair<int, std::string>;

  void send(std::size_t Gateway) {
    Call Request = m_Fleet.request(Gateway, "/streaming/x", "body");
    const std::vector<Event> Events = events();
    if (Events.empty())
      m_FirstAttempt = Request.m_Headers.at("X-Attempt-Id");
    else
      Request.m_Headers["Last-Event-Id"] = std::to_string(Events.back().first);
    if (!Events.empty())
      Request.m_Headers["Resumes"] = m_FirstAttempt;
    for (const auto &[Name, Value] : m_Headers)
      Request.m_Headers[Name] = Value;
    m_Result = m_Fleet.m_Caller.start(Request);
  }

  void keepEvents() {
    m_Kept = events();
    m_Result = std::make_shared<CallResult>();
  }

  [[nodiscard]] std::vector<Event> events() const {
    std::vector<Event> Result = m_Kept;
    if (m_Result == nullptr || m_Result->m_Status != 200)
      return Result;
    std::istringstream Lines(m_Result->m_Body);
    int Id = 0;
    for (std::string Line; std::getline(Lines, Line);) {
      if (Line.starts_with("id: "))
        Id = std::atoi(Line.c_str() + 4);
      if (Line.starts_with("data: "))
        Result.emplace_back(Id, Line.substr(6));
    }
    return Result;
  }

  GatewayFleet &m_Fleet;                      ///< Outlives it.
  std::string m_FirstAttempt;                 ///< That brought the first event.
  std::vector<Event> m_Kept;                  ///< Of earlier attempts.
  std::shared_ptr<const CallResult> m_Result; ///< Of the current attempt.
};

/// Gateways, and four upstreams, of which by default two run one software
/// version and two another.
class VersionFleet : public GatewayFleet {
public:
  /// Until all gateways know one another and have their share of the retry
  /// budget.
  static constexpr Duration ListingTime =
      balance::RetryBudget::GrowthSettleTime + std::chrono::seconds(4);

  /// The upstreams are on machines of their own.
  static constexpr std::uint32_t UpstreamNet = INADDR_LOOPBACK + 0x100;

  explicit VersionFleet(std::size_t Gateways,
                        const std::vector<std::string> &Versions = {"v1", "v2",
                                                                    "v1", "v2"})
      : GatewayFleet(Gateways) {
    for (const std::string &Version : Versions)
      addUpstream(Version);
    BOOST_TEST(startAll());
    runFor(ListingTime);
  }

  VersionedUpstream &addUpstream(const std::string &Version) {
    const std::size_t Number = m_Upstreams.size();
    m_Upstreams.push_back(std::make_unique<VersionedUpstream>(
        "u-" + std::to_string(Number), Version, *this,
        UpstreamNet + static_cast<std::uint32_t>(Number)));
    return *m_Upstreams.back();
  }

  /// Begins \p Count streams at one gateway and waits until each has events.
  void begin(std::size_t Gateway, std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      m_Streams.push_back(std::make_unique<TestStream>(*this, Gateway));
    BOOST_TEST(runUntil(
        [&] {
          return std::ranges::all_of(m_Streams, [](const auto &Stream) {
            return Stream->eventCount() > 0;
          });
        },
        std::chrono::seconds(3)));
  }

  /// Waits until all attempts have ended.
  void waitForEnds() {
    BOOST_TEST(runUntil(
        [&] {
          return std::ranges::all_of(
              m_Streams, [](const auto &Stream) { return Stream->hasEnded(); });
        },
        std::chrono::seconds(6)));
  }

  /// Takes up at \p Gateway the streams that are incomplete.
  void resumeAt(std::size_t Gateway) {
    for (const auto &Stream : m_Streams)
      Stream->resume(Gateway);
    waitForEnds();
  }

  [[nodiscard]] std::ptrdiff_t completeCount() const {
    return std::ranges::count_if(
        m_Streams, [](const auto &Stream) { return Stream->isComplete(); });
  }

  /// Returns the statuses of the last attempts for a message; 0: no answer.
  [[nodiscard]] std::string statusText() const {
    std::map<unsigned, int> Counts;
    for (const auto &Stream : m_Streams)
      ++Counts[Stream->status()];
    std::string Result = "statuses of the last attempts:";
    for (const auto &[Status, Count] : Counts)
      Result += " " + std::to_string(Count) + " x " + std::to_string(Status);
    return Result;
  }

  /// Returns how many of the last attempts were refused.
  [[nodiscard]] std::ptrdiff_t refusedCount() const {
    return std::ranges::count_if(
        m_Streams, [](const auto &Stream) { return Stream->status() == 503; });
  }

  /// Checks that no stream has events of two versions, a gap or an event twice.
  void checkStreams() const {
    for (const auto &Stream : m_Streams)
      BOOST_TEST(Stream->isOfOneVersion(), Stream->text());
  }

  std::vector<std::unique_ptr<VersionedUpstream>> m_Upstreams; ///< By number.
  std::vector<std::unique_ptr<TestStream>> m_Streams;          ///< All so far.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_VERSIONED_UPSTREAM_H
