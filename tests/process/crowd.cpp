/// The thread in which a crowd connects and sends.
#include "process/crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace crowstep::test {

using namespace std::chrono_literals;

namespace {

/// Connections that are being established at once: more would fill the
/// server's listen queue.
constexpr std::ptrdiff_t MaxConnecting = 16;

constexpr std::size_t MaxPieceBytes = 65536;
constexpr auto SettleTime = 1s;

/// For the server to accept the connections.
constexpr auto AcceptTime = 300ms;
constexpr int PollMs = 5;

std::string withNumber(std::string Text, std::size_t Number) {
  const std::string Placeholder = "{n}";
  for (auto At = Text.find(Placeholder); At != std::string::npos;
       At = Text.find(Placeholder, At))
    Text.replace(At, Placeholder.size(), std::to_string(Number));
  return Text;
}

} // namespace

std::string bodyChunk() {
  return "1000\r\n" + std::string(0x1000, 'b') + "\r\n";
}

std::vector<CrowdCase> sidePortCrowds(const std::string &Path) {
  constexpr std::size_t BodyBytes = 16 << 20;
  const std::string Head = "POST " + Path + " HTTP/1.1\r\nHost: h\r\n";
  return {
      {"bodies",
       20,
       {Head + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n", "b",
        BodyBytes - 1}},
      {"bodies in chunks",
       20,
       {Head + "Transfer-Encoding: chunked\r\n\r\n", bodyChunk(), BodyBytes}},
      {"heads without end", 400, {Head, "a:\r\n", 200'000}},
      {"connections", 1100, {"", "", 0}}};
}

Crowd::Crowd(const Address &Server, std::size_t Count, CrowdScript Script)
    : m_Server(Server), m_Script(std::move(Script)),
      m_UnitBytes(m_Script.m_Repeated.size()), m_Clients(Count),
      m_LastProgress(SteadyClock::now()) {
  for (std::size_t Number = 0; Number < Count; ++Number)
    m_Clients[Number].m_Begin = withNumber(m_Script.m_Begin, Number);
  while (m_Script.m_Pause == 0ms && m_UnitBytes > 0 &&
         m_Script.m_Repeated.size() < MaxPieceBytes)
    m_Script.m_Repeated += m_Script.m_Repeated.substr(0, m_UnitBytes);
  m_Thread = std::jthread([this](const std::stop_token &Stop) { run(Stop); });
}

Crowd::~Crowd() {
  m_Thread.request_stop();
  m_Thread.join();
  for (const Client &Left : m_Clients)
    if (Left.m_Fd >= 0)
      ::close(Left.m_Fd);
}

void Crowd::run(const std::stop_token &Stop) {
  std::size_t NextClient = 0;
  while (!Stop.stop_requested()) {
    connectSome(NextClient);
    pollOnce();
    if (!m_IsSending)
      m_IsSending = NextClient == m_Clients.size() &&
                    SteadyClock::now() - m_LastProgress > AcceptTime;
    m_HasSettled =
        m_IsSending && SteadyClock::now() - m_LastProgress > SettleTime;
  }
}

void Crowd::connectSome(std::size_t &Next) {
  auto Connecting = std::ranges::count_if(
      m_Clients, [](const Client &C) { return C.m_IsConnecting; });
  for (; Next < m_Clients.size() && Connecting < MaxConnecting;
       ++Next, ++Connecting) {
    Client &New = m_Clients[Next];
    New.m_Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in Remote{};
    Remote.sin_family = AF_INET;
    Remote.sin_port = htons(m_Server.m_Port);
    Remote.sin_addr.s_addr = htonl(m_Server.m_Ip);
    (void)connect(New.m_Fd, reinterpret_cast<sockaddr *>(&Remote),
                  sizeof(Remote));
    New.m_IsConnecting = true;
  }
}

void Crowd::pollOnce() {
  const auto Now = SteadyClock::now();
  std::vector<pollfd> Polled;
  std::vector<Client *> Owners;
  for (Client &C : m_Clients) {
    if (C.m_Fd < 0)
      continue;
    const bool Sends = C.m_IsConnecting ||
                       (m_IsSending && !hasSentAll(C) && Now >= C.m_NextSend);
    Polled.push_back(
        {C.m_Fd, static_cast<short>(POLLIN | (Sends ? POLLOUT : 0)), 0});
    Owners.push_back(&C);
  }
  if (poll(Polled.data(), Polled.size(), PollMs) <= 0)
    return;
  for (std::size_t I = 0; I < Polled.size(); ++I)
    if (Polled[I].revents != 0)
      handleEvents(*Owners[I], Polled[I].revents);
}

void Crowd::handleEvents(Client &From, short Events) {
  if (std::exchange(From.m_IsConnecting, false))
    m_LastProgress = SteadyClock::now();
  if ((Events & (POLLIN | POLLHUP | POLLERR)) != 0) {
    std::array<char, MaxPieceBytes> Answer{};
    const ssize_t Size =
        recv(From.m_Fd, Answer.data(), Answer.size(), MSG_DONTWAIT);
    if (Size == 0 || (Size < 0 && errno != EAGAIN)) {
      close(From);
      return;
    }
  }
  if ((Events & POLLOUT) != 0 && m_IsSending && !hasSentAll(From))
    send(From);
}

bool Crowd::hasSentAll(const Client &From) const {
  return From.m_Sent >= From.m_Begin.size() + m_Script.m_RepeatedBytes;
}

std::string_view Crowd::nextBytes(const Client &From) const {
  if (From.m_Sent < From.m_Begin.size())
    return std::string_view(From.m_Begin).substr(From.m_Sent);
  const std::size_t Done = From.m_Sent - From.m_Begin.size();
  const std::string_view Repeated = m_Script.m_Repeated;
  return Repeated.substr(Done % m_UnitBytes)
      .substr(0, m_Script.m_RepeatedBytes - Done);
}

void Crowd::send(Client &From) {
  const std::string_view Bytes = nextBytes(From);
  const ssize_t Size = ::send(From.m_Fd, Bytes.data(), Bytes.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Size < 0 && errno != EAGAIN) {
    close(From);
    return;
  }
  if (Size <= 0)
    return;
  From.m_Sent += static_cast<std::size_t>(Size);
  m_LastProgress = SteadyClock::now();
  From.m_NextSend = m_LastProgress + m_Script.m_Pause;
}

void Crowd::close(Client &From) {
  ::close(From.m_Fd);
  From.m_Fd = -1;
  ++m_ClosedCount;
  m_LastProgress = SteadyClock::now();
}

} // namespace crowstep::test
