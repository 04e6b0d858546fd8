/// A process that only takes part in the membership protocol, over real links,
/// for measurements and tests with many processes. GET /view lists the members
/// and their states, /deaths returns when the number of live members last
/// fell, /metrics the counters.
#include "core/http_server.h"
#include "core/program.h"
#include "link/link_tcp.h"
#include "membership/member_func.h"
#include "membership/membership.h"

#include <algorithm>
#include <glib.h>
#include <memory>

namespace crowstep::standin {

namespace {

constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

class MemberDaemon final : public Daemon, public link::LinkListener {
public:
  explicit MemberDaemon(Settings &File)
      : m_HttpAddress(File.address("member", "http")),
        m_Hints(File.addresses("member", "hints")), m_Config(configOf(File)),
        m_Links(m_Config, m_Scheduler, m_Metrics, *this),
        m_Membership({}, selfOf(m_Config), m_Clock, m_Scheduler, m_Links,
                     m_Metrics) {}

  void start() override {
    m_Links.start();
    m_Server.listen(m_HttpAddress,
                    [this](SoupServerMessage *Message, const char *Path) {
                      answer(Message, Path);
                    });
    m_Membership.onChange([this] { recordDeaths(); });
    m_Membership.start();
    m_Membership.setHints(m_Hints);
  }

  void stop(std::function<void()> Done) override {
    m_Membership.leave();
    // The notification of leaving is sent at the end of this loop iteration.
    m_Scheduler.runAfter(std::chrono::milliseconds(50), std::move(Done));
  }

  void linkUp(link::LinkId Link, const link::Peer &Peer) override {
    m_Membership.linkUp(Link, Peer);
  }
  void linkFrame(link::LinkId Link, const wire::Frame &Frame) override {
    m_Membership.linkFrame(Link, Frame);
  }
  void linkDown(link::LinkId Link, const link::Peer &Peer,
                link::CloseReason Reason) override {
    m_Membership.linkDown(Link, Peer, Reason);
  }
  void dialFailed(const Address &Target, link::CloseReason Reason) override {
    m_Membership.dialFailed(Target, Reason);
  }

private:
  static link::LinkConfig configOf(Settings &File) {
    link::LinkConfig Result;
    Result.m_Role = wire::Role::Dispatcher;
    Result.m_Name = File.text("member", "name");
    Result.m_Incarnation = membership::freshIncarnation();
    Result.m_Zone = {File.text("member", "zone", "njiro")};
    Result.m_Listen = File.address("member", "listen");
    Result.m_Key = File.text("member", "key", "test");
    return Result;
  }

  static membership::Member selfOf(const link::LinkConfig &Config) {
    membership::Member Result;
    Result.m_Name = Config.m_Name;
    Result.m_Id = instanceIdOf(Config.m_Name);
    Result.m_Incarnation = Config.m_Incarnation;
    Result.m_Address = Config.m_Listen;
    Result.m_Zone = Config.m_Zone;
    return Result;
  }

  void answer(SoupServerMessage *Message, const std::string &Path) {
    if (Path == "/metrics")
      respond(Message, SOUP_STATUS_OK, "text/plain", m_Metrics.text());
    else if (Path == "/view")
      respond(Message, SOUP_STATUS_OK, "text/plain", view());
    else if (Path == "/deaths")
      respond(Message, SOUP_STATUS_OK, "text/plain",
              std::to_string(m_LastDeath) + "\n");
    else
      respond(Message, SOUP_STATUS_NOT_FOUND, "text/plain", "");
  }

  [[nodiscard]] std::string view() const {
    std::string Result;
    for (const membership::Member &Current : m_Membership.members())
      Result +=
          Current.m_Name + " " + membership::stateName(Current.m_State) + "\n";
    return Result;
  }

  void recordDeaths() {
    const auto LiveCount = std::ranges::count_if(
        m_Membership.members(), [](const membership::Member &Current) {
          return membership::isLive(Current.m_State);
        });
    if (LiveCount < m_LiveCount)
      m_LastDeath = g_get_real_time() / MicrosecondsPerMillisecond;
    m_LiveCount = LiveCount;
  }

  Address m_HttpAddress;               ///< Listen address of m_Server.
  std::vector<Address> m_Hints;        ///< Addresses of possible members.
  link::LinkConfig m_Config;           ///< Own name, incarnation and address.
  LoopClock m_Clock;                   ///< Of the main loop.
  LoopScheduler m_Scheduler;           ///< Of the main loop.
  Metrics m_Metrics;                   ///< Returned by /metrics.
  link::TcpLinks m_Links;              ///< Links to the other members.
  membership::Membership m_Membership; ///< The protocol under test.
  HttpServer m_Server;                 ///< For the requests of tests.
  std::ptrdiff_t m_LiveCount = 0;      ///< Live members at the last change.
  std::int64_t m_LastDeath = 0;        ///< Wall clock in ms, so that
                                       ///< processes of one machine compare.
};

} // namespace

} // namespace crowstep::standin

int main(int Argc, char **Argv) {
  return crowstep::runDaemon(
      Argc, Argv, "standin-member", "a member of the fleet and nothing else",
      [](crowstep::Settings &File) {
        return std::make_unique<crowstep::standin::MemberDaemon>(File);
      });
}
