/// Links over TCP: accepts, dials with backoff, and joins messages into frames.
#include "link/link_tcp.h"

#include "core/acceptor.h"
#include "core/log.h"
#include "link/connection.h"
#include "link/link_func.h"

#include <algorithm>
#include <map>
#include <random>

namespace crowstep::link {

namespace {

/// An address to which a link is kept open.
struct DialState {
  explicit DialState(Scheduler &Timers) : m_Retry(Timers) {}

  LinkId m_Attempt;                      ///< None between attempts.
  Timer m_Retry;                         ///< Runs between attempts.
  Duration m_Backoff = Duration::zero(); ///< After the next failure.
};

/// A link that this process closed and of which the listener is not yet
/// notified.
struct ClosedLink {
  LinkId m_Link;
  Peer m_Peer;
};

} // namespace

class TcpLinks::Impl final : public ConnectionOwner {
public:
  Impl(LinkConfig Config, Scheduler &Timers, Metrics &Stats,
       LinkListener &Listener);
  ~Impl() override = default;
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void start();
  void dial(const Address &Remote);
  void disconnect(const Address &Remote);
  void stopDialling(const Address &Remote);
  wire::FrameT &outbox(LinkId Link);
  void flush(LinkId Link);
  [[nodiscard]] std::size_t queuedBytes(LinkId Link) const;
  void close(LinkId Link);

  void connectionUp(Connection &Source) override;
  void connectionFrame(Connection &Source, const wire::Frame &Frame) override;
  void connectionFailed(Connection &Source, CloseReason Reason) override;

private:
  std::shared_ptr<Connection> open(const Address &Remote);
  void attemptDial(const Address &Remote);
  void scheduleRetry(const Address &Remote);
  Duration jittered(Duration Longest);
  void scheduleFlush();
  void flush();
  void countClose(CloseReason Reason);
  void reportDown(LinkId Link, const Peer &Remote, CloseReason Reason);
  void updateOpenGauge();

  LinkConfig m_Config;
  Scheduler &m_Timers;         ///< Outlives this.
  LinkListener &m_Listener;    ///< Outlives this.
  ConnectionContext m_Context; ///< Used by the connections.
  Acceptor m_Acceptor;         ///< Listens if an address is configured.
  std::uint64_t m_LastId = 0;  ///< Ids start at 1.
  std::map<LinkId, std::shared_ptr<Connection>> m_Connections; ///< All open.
  std::map<Address, DialState> m_Dials; ///< Until disconnect().
  std::vector<LinkId> m_PendingLinks; ///< Links whose outbox may have messages.
  std::vector<ClosedLink> m_ClosedLinks; ///< Reported by the next flush.
  Timer m_Flush;                         ///< Runs while a flush is due.
  wire::FrameT m_DiscardedFrame;         ///< Outbox of links that are not up.
  std::mt19937_64 m_Random;              ///< Only for jitter.
  std::vector<Counter *> m_CloseCounts;  ///< By CloseReason.
  Counter &m_DialCount;                  ///< Attempts to connect.
  Gauge &m_OpenGauge;                    ///< Links that are up.
};

TcpLinks::Impl::Impl(LinkConfig Config, Scheduler &Timers, Metrics &Stats,
                     LinkListener &Listener)
    : m_Config(std::move(Config)), m_Timers(Timers),
      m_Listener(Listener), m_Context{m_Config, Timers, *this,
                                      FrameCounters(Stats, "in"),
                                      FrameCounters(Stats, "out")},
      m_Acceptor(Timers), m_Flush(Timers), m_Random(std::random_device()()),
      m_DialCount(Stats.counter("crowstep_link_dials_total")),
      m_OpenGauge(Stats.gauge("crowstep_link_open",
                              m_Config.m_Purpose.empty()
                                  ? Labels()
                                  : Labels{{"purpose", m_Config.m_Purpose}})) {
  for (int Reason = 0; Reason < static_cast<int>(CloseReason::Count); ++Reason)
    m_CloseCounts.push_back(&Stats.counter(
        "crowstep_link_closed_total",
        {{"reason", closeReasonName(static_cast<CloseReason>(Reason))}}));
}

void TcpLinks::Impl::start() {
  if (m_Config.m_Listen.m_Port == 0)
    return;
  m_Acceptor.listen(m_Config.m_Listen, [this](SocketPtr Accepted) {
    open(Address())->adopt(Accepted.release());
    return true;
  });
}

std::shared_ptr<Connection> TcpLinks::Impl::open(const Address &Remote) {
  const LinkId Id(++m_LastId);
  auto Opened = std::make_shared<Connection>(m_Context, Id, Remote);
  m_Connections[Id] = Opened;
  return Opened;
}

void TcpLinks::Impl::dial(const Address &Remote) {
  const auto [Entry, IsNew] = m_Dials.try_emplace(Remote, m_Timers);
  if (!IsNew)
    return;
  // stopDialling() may have left a link.
  const auto Open = std::ranges::find_if(m_Connections, [&](const auto &Known) {
    return Known.second->dialledAddress() == Remote;
  });
  if (Open != m_Connections.end())
    Entry->second.m_Attempt = Open->first;
  else
    attemptDial(Remote);
}

void TcpLinks::Impl::attemptDial(const Address &Remote) {
  m_DialCount.add();
  const auto Opened = open(Remote);
  m_Dials.at(Remote).m_Attempt = Opened->id();
  Opened->connect();
}

/// Schedules the next attempt with exponential backoff. The first delay is the
/// shortest, so that a killed process is soon distinguished from a lost
/// connection; the delays then double, so that a peer that is down for long
/// costs little.
void TcpLinks::Impl::scheduleRetry(const Address &Remote) {
  DialState &State = m_Dials.at(Remote);
  State.m_Attempt = LinkId();
  const Duration Longest = std::max(State.m_Backoff, m_Config.m_MinBackoff);
  State.m_Backoff = std::min(Longest * 2, m_Config.m_MaxBackoff);
  State.m_Retry.start(jittered(Longest),
                      [this, Remote] { attemptDial(Remote); });
}

/// Returns a random delay between half of \p Longest and all of it, to spread
/// the dials of many processes that lost the same peer at once.
Duration TcpLinks::Impl::jittered(Duration Longest) {
  std::uniform_int_distribution<Duration::rep> Spread(Longest.count() / 2,
                                                      Longest.count());
  return Duration(Spread(m_Random));
}

void TcpLinks::Impl::disconnect(const Address &Remote) {
  const auto Found = m_Dials.find(Remote);
  if (Found == m_Dials.end())
    return;
  const LinkId Attempt = Found->second.m_Attempt;
  m_Dials.erase(Found);
  close(Attempt);
}

void TcpLinks::Impl::stopDialling(const Address &Remote) {
  const auto Found = m_Dials.find(Remote);
  if (Found == m_Dials.end())
    return;
  const auto Open = m_Connections.find(Found->second.m_Attempt);
  if (Open != m_Connections.end() && Open->second->isUp())
    m_Dials.erase(Found);
  else
    disconnect(Remote);
}

void TcpLinks::Impl::close(LinkId Link) {
  const auto Found = m_Connections.find(Link);
  if (Found == m_Connections.end())
    return;
  const std::shared_ptr<Connection> Closing = Found->second;
  Closing->flush(); // Messages put in just now, like a leave, are still sent.
  if (m_Connections.erase(Link) == 0)
    return; // The flush failed and reported the failure.
  Closing->close();
  countClose(CloseReason::Local);
  // The listener is notified from the loop and not from here: a caller may be
  // iterating over links that the listener changes.
  if (Closing->isUp())
    m_ClosedLinks.push_back({Link, Closing->peer()});
  if (m_Dials.contains(Closing->dialledAddress()))
    scheduleRetry(Closing->dialledAddress());
  scheduleFlush();
}

wire::FrameT &TcpLinks::Impl::outbox(LinkId Link) {
  const auto Found = m_Connections.find(Link);
  if (Found == m_Connections.end() || !Found->second->isUp()) {
    m_DiscardedFrame = wire::FrameT();
    return m_DiscardedFrame;
  }
  if (std::ranges::find(m_PendingLinks, Link) == m_PendingLinks.end())
    m_PendingLinks.push_back(Link);
  scheduleFlush();
  return Found->second->outbox();
}

/// A timer without delay runs after the sources that are ready now, so that all
/// messages that these send are joined into one frame per link.
void TcpLinks::Impl::scheduleFlush() {
  if (!m_Flush.isRunning())
    m_Flush.start(Duration::zero(), [this] { flush(); });
}

void TcpLinks::Impl::flush(LinkId Link) {
  const auto Found = m_Connections.find(Link);
  if (Found == m_Connections.end())
    return;
  const std::shared_ptr<Connection> Pending = Found->second;
  Pending->flush();
}

std::size_t TcpLinks::Impl::queuedBytes(LinkId Link) const {
  const auto Found = m_Connections.find(Link);
  return Found == m_Connections.end() ? 0 : Found->second->queuedBytes();
}

void TcpLinks::Impl::flush() {
  for (const LinkId Link : std::exchange(m_PendingLinks, {}))
    flush(Link);
  for (const ClosedLink &Closed : std::exchange(m_ClosedLinks, {}))
    reportDown(Closed.m_Link, Closed.m_Peer, CloseReason::Local);
}

void TcpLinks::Impl::reportDown(LinkId Link, const Peer &Remote,
                                CloseReason Reason) {
  updateOpenGauge();
  logEvent(LogEvent::LinkDown,
           {{"peer", Remote.m_Name}, {"why", closeReasonName(Reason)}});
  m_Listener.linkDown(Link, Remote, Reason);
}

void TcpLinks::Impl::connectionUp(Connection &Source) {
  if (const auto Found = m_Dials.find(Source.dialledAddress());
      Found != m_Dials.end())
    Found->second.m_Backoff = Duration::zero();
  updateOpenGauge();
  logEvent(LogEvent::LinkUp, {{"peer", Source.peer().m_Name},
                              {"link", std::to_string(Source.id().value())}});
  m_Listener.linkUp(Source.id(), Source.peer());
}

void TcpLinks::Impl::connectionFrame(Connection &Source,
                                     const wire::Frame &Frame) {
  m_Listener.linkFrame(Source.id(), Frame);
}

void TcpLinks::Impl::connectionFailed(Connection &Source, CloseReason Reason) {
  countClose(Reason);
  m_Connections.erase(Source.id());
  const Address Remote = Source.dialledAddress();
  if (m_Dials.contains(Remote))
    scheduleRetry(Remote);
  const std::string ReasonName = closeReasonName(Reason);
  if (Source.isUp()) {
    reportDown(Source.id(), Source.peer(), Reason);
  } else if (Remote != Address()) {
    logEvent(LogEvent::LinkDialFailed,
             {{"address", toString(Remote)}, {"why", ReasonName}});
    m_Listener.dialFailed(Remote, Reason);
  } else if (Reason != CloseReason::PeerClosed) {
    logEvent(LogEvent::LinkRejected, {{"why", ReasonName}});
  }
}

void TcpLinks::Impl::countClose(CloseReason Reason) {
  m_CloseCounts.at(static_cast<std::size_t>(Reason))->add();
}

void TcpLinks::Impl::updateOpenGauge() {
  m_OpenGauge.set(static_cast<double>(std::ranges::count_if(
      m_Connections, [](const auto &Entry) { return Entry.second->isUp(); })));
}

TcpLinks::TcpLinks(LinkConfig Config, Scheduler &Timers, Metrics &Stats,
                   LinkListener &Listener)
    : m_Impl(
          std::make_unique<Impl>(std::move(Config), Timers, Stats, Listener)) {}
TcpLinks::~TcpLinks() = default;
void TcpLinks::start() { m_Impl->start(); }
void TcpLinks::dial(const Address &Remote) { m_Impl->dial(Remote); }
void TcpLinks::disconnect(const Address &Remote) { m_Impl->disconnect(Remote); }
void TcpLinks::stopDialling(const Address &Remote) {
  m_Impl->stopDialling(Remote);
}
wire::FrameT &TcpLinks::outbox(LinkId Link) { return m_Impl->outbox(Link); }
void TcpLinks::flush(LinkId Link) { m_Impl->flush(Link); }
std::size_t TcpLinks::queuedBytes(LinkId Link) const {
  return m_Impl->queuedBytes(Link);
}
void TcpLinks::close(LinkId Link) { m_Impl->close(Link); }

} // namespace crowstep::link
