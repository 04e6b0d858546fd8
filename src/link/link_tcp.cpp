/// Links over TCP: accepts, dials with backoff, and joins messages into frames.
#include "link/link_tcp.h"

#include "core/http_server.h"
#include "core/log.h"
#include "link/connection.h"
#include "link/link_func.h"

#include <algorithm>
#include <map>
#include <random>

namespace crowstep::link {

namespace {

/// An address to which a link is kept open.
struct Dial {
  explicit Dial(Scheduler &Timers) : m_Retry(Timers) {}

  LinkId m_Attempt;                      ///< None between attempts.
  Timer m_Retry;                         ///< Runs between attempts.
  Duration m_Backoff = Duration::zero(); ///< After the next failure.
};

/// A link that this process closed and of which the listener is not yet
/// notified.
struct Ended {
  LinkId m_Link;
  Peer m_Peer;
};

} // namespace

class TcpLinks::Impl final : public ConnectionOwner {
public:
  Impl(LinkConfig Config, Scheduler &Timers, Metrics &Stats,
       LinkListener &Listener);
  ~Impl() override;
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void start();
  void dial(const Address &Where);
  void hangUp(const Address &Where);
  wire::FrameT &outbox(LinkId Link);
  void close(LinkId Link);

  void connectionUp(Connection &Which) override;
  void connectionFrame(Connection &Which, const wire::Frame &Frame) override;
  void connectionFailed(Connection &Which, CloseReason Why) override;

private:
  static int acceptable(GSocket *Socket, GIOCondition Why, void *Self);

  std::shared_ptr<Connection> open(const Address &Where);
  void attempt(const Address &Where);
  void retry(const Address &Where);
  Duration jittered(Duration Longest);
  void scheduleFlush();
  void flush();
  void countClose(CloseReason Why);
  void showOpen();

  LinkConfig m_Config;
  Scheduler &m_Timers;            ///< Outlives this.
  LinkListener &m_Listener;       ///< Outlives this.
  ConnectionShared m_Shared;      ///< Used by the connections.
  GSocket *m_Socket = nullptr;    ///< Listens; null if nothing is accepted.
  GSource *m_Accepting = nullptr; ///< Set with m_Socket.
  std::uint64_t m_LastId = 0;     ///< Ids start at 1.
  std::map<LinkId, std::shared_ptr<Connection>> m_Connections; ///< All open.
  std::map<Address, Dial> m_Dials; ///< Until disconnect().
  std::vector<LinkId> m_Dirty;     ///< Links whose outbox may have messages.
  std::vector<Ended> m_Ended;      ///< Reported by the next flush.
  Timer m_Flush;                   ///< Runs while a flush is due.
  wire::FrameT m_Nowhere;          ///< Outbox of links that are not up.
  std::mt19937_64 m_Random;        ///< Only for jitter.
  std::vector<Counter *> m_Closed; ///< By CloseReason.
  Counter &m_DialCount;            ///< Attempts to connect.
  Gauge &m_Open;                   ///< Links that are up.
};

TcpLinks::Impl::Impl(LinkConfig Config, Scheduler &Timers, Metrics &Stats,
                     LinkListener &Listener)
    : m_Config(std::move(Config)), m_Timers(Timers),
      m_Listener(Listener), m_Shared{m_Config, Timers, *this,
                                     FrameAccount(Stats, "in"),
                                     FrameAccount(Stats, "out")},
      m_Flush(Timers), m_Random(std::random_device()()),
      m_DialCount(Stats.counter("crowstep_link_dials_total")),
      m_Open(Stats.gauge("crowstep_link_open")) {
  for (int Why = 0; Why < static_cast<int>(CloseReason::Count); ++Why)
    m_Closed.push_back(&Stats.counter(
        "crowstep_link_closed_total",
        {{"reason", closeReasonName(static_cast<CloseReason>(Why))}}));
}

TcpLinks::Impl::~Impl() {
  if (m_Accepting != nullptr) {
    g_source_destroy(m_Accepting);
    g_source_unref(m_Accepting);
  }
  if (m_Socket != nullptr)
    g_object_unref(m_Socket);
}

void TcpLinks::Impl::start() {
  if (m_Config.m_Listen.m_Port == 0)
    return;
  m_Socket = listeningSocket(m_Config.m_Listen);
  g_socket_set_blocking(m_Socket, 0);
  m_Accepting = g_socket_create_source(m_Socket, G_IO_IN, nullptr);
  g_source_set_callback(m_Accepting, G_SOURCE_FUNC(acceptable), this, nullptr);
  g_source_attach(m_Accepting, nullptr);
}

int TcpLinks::Impl::acceptable(GSocket *Socket, GIOCondition, void *Self) {
  GSocket *Accepted = g_socket_accept(Socket, nullptr, nullptr);
  if (Accepted != nullptr)
    static_cast<Impl *>(Self)->open(Address())->adopt(Accepted);
  return G_SOURCE_CONTINUE;
}

std::shared_ptr<Connection> TcpLinks::Impl::open(const Address &Where) {
  const LinkId Id(++m_LastId);
  auto Made = std::make_shared<Connection>(m_Shared, Id, Where);
  m_Connections[Id] = Made;
  return Made;
}

void TcpLinks::Impl::dial(const Address &Where) {
  if (m_Dials.try_emplace(Where, m_Timers).second)
    attempt(Where);
}

void TcpLinks::Impl::attempt(const Address &Where) {
  m_DialCount.add();
  const auto Made = open(Where);
  m_Dials.at(Where).m_Attempt = Made->id();
  Made->connect();
}

/// Schedules the next attempt with exponential backoff. The first delay is the
/// shortest, so that a killed process is soon distinguished from a lost
/// connection; the delays then double, so that a peer that is down for long
/// costs little.
void TcpLinks::Impl::retry(const Address &Where) {
  Dial &Which = m_Dials.at(Where);
  Which.m_Attempt = LinkId();
  const Duration Longest = std::max(Which.m_Backoff, m_Config.m_MinBackoff);
  Which.m_Backoff = std::min(Longest * 2, m_Config.m_MaxBackoff);
  Which.m_Retry.start(jittered(Longest), [this, Where] { attempt(Where); });
}

/// Returns a random delay between half of \p Longest and all of it, to spread
/// the dials of many processes that lost the same peer at once.
Duration TcpLinks::Impl::jittered(Duration Longest) {
  std::uniform_int_distribution<Duration::rep> Spread(Longest.count() / 2,
                                                      Longest.count());
  return Duration(Spread(m_Random));
}

void TcpLinks::Impl::hangUp(const Address &Where) {
  const auto Found = m_Dials.find(Where);
  if (Found == m_Dials.end())
    return;
  const LinkId Attempt = Found->second.m_Attempt;
  m_Dials.erase(Found);
  close(Attempt);
}

void TcpLinks::Impl::close(LinkId Link) {
  const auto Found = m_Connections.find(Link);
  if (Found == m_Connections.end())
    return;
  const std::shared_ptr<Connection> Which = Found->second;
  Which->flush(); // Messages put in just now, like a leave, are still sent.
  if (m_Connections.erase(Link) == 0)
    return; // The flush failed and reported the failure.
  Which->close();
  countClose(CloseReason::Local);
  // The listener is notified from the loop and not from here: a caller may be
  // iterating over links that the listener changes.
  if (Which->isUp())
    m_Ended.push_back({Link, Which->peer()});
  if (m_Dials.contains(Which->dialled()))
    retry(Which->dialled());
  scheduleFlush();
}

wire::FrameT &TcpLinks::Impl::outbox(LinkId Link) {
  const auto Found = m_Connections.find(Link);
  if (Found == m_Connections.end() || !Found->second->isUp()) {
    m_Nowhere = wire::FrameT();
    return m_Nowhere;
  }
  if (std::ranges::find(m_Dirty, Link) == m_Dirty.end())
    m_Dirty.push_back(Link);
  scheduleFlush();
  return Found->second->outbox();
}

/// A timer without delay runs after the sources that are ready now, so that all
/// messages that these send are joined into one frame per link.
void TcpLinks::Impl::scheduleFlush() {
  if (!m_Flush.running())
    m_Flush.start(Duration::zero(), [this] { flush(); });
}

void TcpLinks::Impl::flush() {
  for (const LinkId Link : std::exchange(m_Dirty, {})) {
    const auto Found = m_Connections.find(Link);
    if (Found == m_Connections.end())
      continue;
    const std::shared_ptr<Connection> Which = Found->second;
    Which->flush();
  }
  for (const Ended &Each : std::exchange(m_Ended, {})) {
    showOpen();
    m_Listener.linkDown(Each.m_Link, Each.m_Peer, CloseReason::Local);
  }
}

void TcpLinks::Impl::connectionUp(Connection &Which) {
  if (const auto Found = m_Dials.find(Which.dialled()); Found != m_Dials.end())
    Found->second.m_Backoff = Duration::zero();
  showOpen();
  logEvent(LogEvent::LinkUp, {{"peer", Which.peer().m_Name},
                              {"link", std::to_string(Which.id().value())}});
  m_Listener.linkUp(Which.id(), Which.peer());
}

void TcpLinks::Impl::connectionFrame(Connection &Which,
                                     const wire::Frame &Frame) {
  m_Listener.linkFrame(Which.id(), Frame);
}

void TcpLinks::Impl::connectionFailed(Connection &Which, CloseReason Why) {
  countClose(Why);
  m_Connections.erase(Which.id());
  const Address Where = Which.dialled();
  if (m_Dials.contains(Where))
    retry(Where);
  const std::string Reason = closeReasonName(Why);
  if (Which.isUp()) {
    showOpen();
    logEvent(LogEvent::LinkDown,
             {{"peer", Which.peer().m_Name}, {"why", Reason}});
    m_Listener.linkDown(Which.id(), Which.peer(), Why);
  } else if (Where != Address()) {
    logEvent(LogEvent::LinkDialFailed,
             {{"address", toString(Where)}, {"why", Reason}});
    m_Listener.dialFailed(Where, Why);
  } else if (Why != CloseReason::PeerClosed) {
    logEvent(LogEvent::LinkRejected, {{"why", Reason}});
  }
}

void TcpLinks::Impl::countClose(CloseReason Why) {
  m_Closed.at(static_cast<std::size_t>(Why))->add();
}

void TcpLinks::Impl::showOpen() {
  m_Open.set(static_cast<double>(std::ranges::count_if(
      m_Connections, [](const auto &Each) { return Each.second->isUp(); })));
}

TcpLinks::TcpLinks(LinkConfig Config, Scheduler &Timers, Metrics &Stats,
                   LinkListener &Listener)
    : m_Impl(
          std::make_unique<Impl>(std::move(Config), Timers, Stats, Listener)) {}
TcpLinks::~TcpLinks() = default;
void TcpLinks::start() { m_Impl->start(); }
void TcpLinks::dial(const Address &Where) { m_Impl->dial(Where); }
void TcpLinks::hangUp(const Address &Where) { m_Impl->hangUp(Where); }
wire::FrameT &TcpLinks::outbox(LinkId Link) { return m_Impl->outbox(Link); }
void TcpLinks::close(LinkId Link) { m_Impl->close(Link); }

} // namespace crowstep::link
