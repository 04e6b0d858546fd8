/// Accepting and owning callers' connections.
#include "http/frontend.h"

#include "core/log.h"

#include <algorithm>
#include <functional>

namespace crowstep {

Frontend::Frontend(const ReceiveLimits &Limits, RefusedHandler OnRefused,
                   Scheduler &Timers)
    : m_Limits(Limits), m_OnRefused(std::move(OnRefused)), m_Timers(Timers),
      m_Acceptor(Timers), m_CleanupTimer(Timers), m_ReclaimTimer(Timers) {}

Frontend::~Frontend() = default;

void Frontend::listen(const Address &ListenAddress, Handler OnRequest) {
  m_Handler = std::move(OnRequest);
  m_Acceptor.listen(ListenAddress, [this](SocketPtr Accepted) {
    return accept(std::move(Accepted));
  });
}

void Frontend::setAdmission(const ConnectionAdmission &Admission,
                            ShedHandler OnShed) {
  m_Admission = &Admission;
  m_OnShed = std::move(OnShed);
}

void Frontend::stopListening() {
  closeAfterAnswers();
  m_Acceptor.stop();
}

bool Frontend::accept(SocketPtr Accepted) {
  if (m_Admission != nullptr)
    if (const auto Reason = m_Admission->reasonToShed(m_Connections.size())) {
      g_socket_close(Accepted.get(), nullptr);
      m_OnShed(*Reason);
      return false;
    }
  auto NewConnection =
      std::make_unique<CallerConnection>(std::move(Accepted), *this, m_Timers);
  CallerConnection *Key = NewConnection.get();
  m_Connections.emplace(Key, std::move(NewConnection));
  return true;
}

void Frontend::requestReceived(IncomingRequest Request,
                               std::unique_ptr<Caller> From) {
  m_Handler(std::move(Request), std::move(From));
}

void Frontend::requestFailed(const std::exception &Failure) {
  logEvent(LogEvent::CallerRequestFailed, {{"why", Failure.what()}});
  m_OnRefused(RefusalReason::InternalError);
}

void Frontend::requestRefused(RefusalReason Reason) { m_OnRefused(Reason); }

void Frontend::connectionClosed(CallerConnection &Connection) {
  auto Node = m_Connections.extract(&Connection);
  m_ClosedConnections.push_back(std::move(Node.mapped()));
  if (!m_CleanupTimer.isRunning())
    m_CleanupTimer.start(Duration::zero(),
                         [this] { m_ClosedConnections.clear(); });
}

// ---- Memory -----------------------------------------------------------------

void Frontend::setMemory(const MemoryPlan &Plan) {
  m_Memory = Plan;
  m_Unread.setMaxBytes(Plan.m_Unread);
  m_Received.setMaxBytes(Plan.m_Requests);
}

void Frontend::roomNeeded() {
  if (!m_ReclaimTimer.isRunning())
    startMeasuringProgress();
}

void Frontend::startMeasuringProgress() {
  for (const auto &[Key, Owned] : m_Connections)
    Key->startMeasuringProgress();
  m_ReclaimTimer.start(ReclaimInterval, [this] { reclaimMemory(); });
}

/// Returns the requests to be given up, the largest first: those whose callers
/// send nothing, or, if there are none, those that are not read for lack of
/// room, as together they can't be completed.
std::vector<CallerConnection *> Frontend::withoutProgress() const {
  std::vector<CallerConnection *> Silent;
  std::vector<CallerConnection *> Waiting;
  for (const auto &[Key, Owned] : m_Connections)
    if (Key->hasStalled())
      (Key->isWaitingForRoom() ? Waiting : Silent).push_back(Key);
  std::vector<CallerConnection *> &Result = Silent.empty() ? Waiting : Silent;
  std::ranges::sort(Result, std::greater(), &CallerConnection::receivedBytes);
  return Result;
}

/// Gives up so many requests that the others can go on, the largest first.
void Frontend::reclaimMemory() {
  if (!m_Received.hasWaiting())
    return;
  constexpr std::size_t ReclaimedParts = 4;
  const std::size_t Enough = m_Received.maxBytes() / ReclaimedParts;
  std::size_t Freed = 0;
  for (CallerConnection *Connection : withoutProgress()) {
    if (Freed >= Enough)
      break;
    Freed += Connection->receivedBytes();
    Connection->giveUp(Connection->isWaitingForRoom()
                           ? RefusalReason::NoMemory
                           : RefusalReason::SlowCaller);
  }
  if (Freed > 0)
    logEvent(LogEvent::CallerRequestsGivenUp,
             {{"bytes", std::to_string(Freed)},
              {"used", std::to_string(m_Received.usedBytes())}});
  startMeasuringProgress();
}

/// Closed connections stay valid meanwhile: m_CleanupTimer destroys them.
std::vector<CallerConnection *> Frontend::allConnections() const {
  std::vector<CallerConnection *> Result;
  Result.reserve(m_Connections.size());
  for (const auto &[Key, Owned] : m_Connections)
    Result.push_back(Key);
  return Result;
}

void Frontend::closeIdleConnections() {
  for (CallerConnection *Connection : allConnections())
    Connection->closeIfIdle();
}

void Frontend::writeFinishedAnswers() {
  for (CallerConnection *Connection : allConnections())
    Connection->writeFinishedAnswer();
}

std::size_t Frontend::unansweredRequests() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_Connections, [](const auto &Entry) {
        return Entry.second->isAnswering();
      }));
}

std::size_t Frontend::openRequests() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_Connections, [](const auto &Entry) { return Entry.second->isBusy(); }));
}

std::size_t Frontend::lingeringConnections() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_Connections, [](const auto &Entry) {
        return Entry.second->isLingering();
      }));
}

} // namespace crowstep
