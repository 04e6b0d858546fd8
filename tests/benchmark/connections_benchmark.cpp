/// Processor time that the loop spends on one forwarded request, against the
/// number of connections that are open and silent. docs/CAPACITY.md has the
/// figures.
#include "http/front.h"
#include "http/upstream_call.h"
#include "unit/loopback_peer.h"

#include <atomic>
#include <benchmark/benchmark.h>
#include <thread>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

const std::string Request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Sends \p Text and reads until two bytes of a body have come.
void exchange(int Fd, const std::string &Text) {
  (void)::send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL);
  std::string Got;
  char Buffer[4096];
  while (!Got.ends_with("ok")) {
    const ssize_t Size = recv(Fd, Buffer, sizeof(Buffer), 0);
    if (Size <= 0)
      return;
    Got.append(Buffer, static_cast<std::size_t>(Size));
  }
}

int connectedTo(const Address &Where) {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Where.m_Port);
  To.sin_addr.s_addr = htonl(Where.m_Ip);
  (void)::connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To));
  return Fd;
}

/// Answers on every connection from a thread of its own, one at a time.
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

/// A caller's request on its way.
struct Forwarded final : UpstreamListener {
  void upstreamHeaders(unsigned, const HeaderList &) override {}
  void upstreamBytes(std::string_view Bytes) override { m_Body += Bytes; }
  void upstreamEnded(TransportEnd) override {
    CallerAnswer Whole;
    Whole.m_Body = m_Body;
    m_Caller->answer(Whole);
    m_Over = true;
  }

  std::unique_ptr<Caller> m_Caller;
  std::unique_ptr<UpstreamCall> m_Call;
  std::string m_Body;
  bool m_Over = false;
};

void forwarding(benchmark::State &State) {
  LoopClock Clock;
  LoopScheduler Timers;
  BusyUpstream Upstream;
  HttpUpstreamCaller Caller(Clock, Timers);
  std::vector<std::unique_ptr<Forwarded>> Open;
  Front Callers(
      {1000, 4096, 10s, 600s}, [](RefusalReason) {}, Timers);
  Address Where;
  {
    const FakeUpstream Free; // Only for a port that is free.
    Where = Free.m_Address;
  }
  Callers.listen(Where, [&](const IncomingRequest &,
                            std::unique_ptr<crowstep::Caller> From) {
    Open.push_back(std::make_unique<Forwarded>());
    Open.back()->m_Caller = std::move(From);
    UpstreamSend What;
    What.m_Where = Upstream.m_Address;
    What.m_Path = "/x";
    What.m_Repeatable = true;
    What.m_SendBefore = Clock.fresh() + 10s;
    Open.back()->m_Call = Caller.send(What, *Open.back());
  });
  std::atomic<bool> Served = false;
  const auto Serve = [&](int Fd) {
    Served = false;
    std::thread Client([&] {
      exchange(Fd, Request);
      Served = true;
      g_main_context_wakeup(nullptr);
    });
    while (!Served)
      g_main_context_iteration(nullptr, 1);
    Client.join();
    std::erase_if(Open, [](const auto &Each) { return Each->m_Over; });
  };
  std::vector<int> Silent;
  for (int Index = 0; Index < State.range(0); ++Index) {
    Silent.push_back(connectedTo(Where));
    Serve(Silent.back());
  }
  const int Active = connectedTo(Where);
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
