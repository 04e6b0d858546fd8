/// Processor time per forwarded request as a function of the number of idle
/// open connections. docs/CAPACITY.md has the results.
#include "http/frontend.h"
#include "http/upstream_call.h"
#include "unit/loopback_peer.h"

#include <atomic>
#include <benchmark/benchmark.h>
#include <thread>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

const std::string RequestText = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Sends \p Text and reads until the body of the answer, "ok", has arrived.
void exchange(int Fd, const std::string &Text) {
  (void)::send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL);
  std::string Received;
  char Buffer[4096];
  while (!Received.ends_with("ok")) {
    const ssize_t Size = recv(Fd, Buffer, sizeof(Buffer), 0);
    if (Size <= 0)
      return;
    Received.append(Buffer, static_cast<std::size_t>(Size));
  }
}

int connectedTo(const Address &Server) {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Remote{};
  Remote.sin_family = AF_INET;
  Remote.sin_port = htons(Server.m_Port);
  Remote.sin_addr.s_addr = htonl(Server.m_Ip);
  (void)::connect(Fd, reinterpret_cast<sockaddr *>(&Remote), sizeof(Remote));
  return Fd;
}

/// An upstream on its own thread that serves one connection at a time.
class BusyUpstream {
public:
  BusyUpstream() {
    std::tie(m_Fd, m_Address) = listenOnLoopback();
    m_Thread = std::thread([this] { serve(); });
  }
  ~BusyUpstream() {
    shutdown(m_Fd, SHUT_RDWR);
    m_Thread.join();
    ::close(m_Fd);
  }
  BusyUpstream(const BusyUpstream &) = delete;
  BusyUpstream &operator=(const BusyUpstream &) = delete;

  Address m_Address;

private:
  void serve() const {
    for (;;) {
      const int Fd = ::accept(m_Fd, nullptr, nullptr);
      if (Fd < 0)
        return;
      char Buffer[4096];
      while (recv(Fd, Buffer, sizeof(Buffer), 0) > 0)
        (void)::send(Fd, Answer.data(), Answer.size(), MSG_NOSIGNAL);
      ::close(Fd);
    }
  }

  int m_Fd;
  std::thread m_Thread;
};

/// A caller's request while it is being forwarded.
struct ForwardedCall final : UpstreamListener {
  void upstreamHeaders(unsigned, const HeaderList &) override {}
  void upstreamBytes(std::string_view Bytes) override { m_Body += Bytes; }
  void upstreamEnded(TransportEnd) override {
    CallerAnswer FullAnswer;
    FullAnswer.m_Body = m_Body;
    m_Caller->answer(FullAnswer);
    m_IsDone = true;
  }

  std::unique_ptr<Caller> m_Caller;
  std::unique_ptr<UpstreamCall> m_Call;
  std::string m_Body;
  bool m_IsDone = false;
};

void forwarding(benchmark::State &State) {
  LoopClock Clock;
  LoopScheduler Timers;
  BusyUpstream Upstream;
  HttpUpstreamClient Caller(Clock, Timers);
  std::vector<std::unique_ptr<ForwardedCall>> Open;
  Frontend Callers(
      {1000, 4096, 10s, 600s}, [](RefusalReason) {}, Timers);
  Address ListenAddress;
  {
    const FakeUpstream Free; // Only to find a free port.
    ListenAddress = Free.m_Address;
  }
  Callers.listen(
      ListenAddress,
      [&](const IncomingRequest &, std::unique_ptr<crowstep::Caller> AnswerTo) {
        Open.push_back(std::make_unique<ForwardedCall>());
        Open.back()->m_Caller = std::move(AnswerTo);
        UpstreamRequest Request;
        Request.m_Address = Upstream.m_Address;
        Request.m_Path = "/x";
        Request.m_Repeatable = true;
        Request.m_SendDeadline = Clock.readNow() + 10s;
        Open.back()->m_Call = Caller.send(Request, *Open.back());
      });
  std::atomic<bool> Served = false;
  const auto Serve = [&](int Fd) {
    Served = false;
    std::thread Client([&] {
      exchange(Fd, RequestText);
      Served = true;
      g_main_context_wakeup(nullptr);
    });
    while (!Served)
      g_main_context_iteration(nullptr, 1);
    Client.join();
    std::erase_if(Open,
                  [](const auto &Exchange) { return Exchange->m_IsDone; });
  };
  std::vector<int> Silent;
  for (int Index = 0; Index < State.range(0); ++Index) {
    Silent.push_back(connectedTo(ListenAddress));
    Serve(Silent.back());
  }
  const int Active = connectedTo(ListenAddress);
  for ([[maybe_unused]] auto Iteration : State)
    Serve(Active);
  ::close(Active);
  for (const int Fd : Silent)
    ::close(Fd);
  pumpFor(50ms);
}

} // namespace

BENCHMARK(forwarding)->Arg(10)->Arg(100)->Arg(500);

BENCHMARK_MAIN();
