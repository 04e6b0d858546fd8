/// TableKeeper over real links and membership: several nodes in one event loop
/// on loopback, with a table service in memory.
#define BOOST_TEST_MODULE table_keeper
#include "contract/contract_func.h"
#include "contract/table_document.h"
#include "contract/table_keeper.h"
#include "core/http_server.h"
#include "link/link_tcp.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <gio/gio.h>

using namespace crowstep;
using namespace crowstep::contract;
using namespace std::chrono_literals;

namespace {

void runUntil(const std::function<bool()> &Done, Duration Span = 20s) {
  const LoopClock Time;
  LoopScheduler Timers;
  const TimePoint Limit = Time.readNow() + Span;
  while (!Done() && Time.readNow() < Limit) {
    Timers.runAfter(1ms, [] {});
    g_main_context_iteration(nullptr, 1);
  }
  BOOST_REQUIRE(Done());
}

Address freeAddress() {
  GSocket *Socket = openListeningSocket({0x7F000001, 0});
  GSocketAddress *Bound = g_socket_get_local_address(Socket, nullptr);
  const auto Port =
      g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(Bound));
  g_object_unref(Bound);
  g_object_unref(Socket);
  return {0x7F000001, Port};
}

/// A table service with one row in memory; answers or refuses after 2 ms.
class MemoryStore final : public platform::TableService {
public:
  explicit MemoryStore(Scheduler &Timers) : m_Timers(Timers) {}
  void write(const std::string &, std::vector<platform::RowWrite> Writes,
             std::function<void(platform::WriteResult)> Done) override {
    ++m_Writes;
    platform::WriteResult Result = platform::PlatformFailure::Refused;
    if (m_Up)
      Result = std::vector<platform::RowOutcome>{put(Writes.front())};
    m_Timers.runAfter(2ms, [Done, Result] { Done(Result); });
  }
  void read(const std::string &, const std::string &,
            std::function<void(platform::ReadResult)> Done) override {
    ++m_Reads;
    platform::ReadResult Result = platform::PlatformFailure::Refused;
    if (m_Up)
      Result = std::vector<platform::Row>{m_Row};
    m_Timers.runAfter(2ms, [Done, Result] { Done(Result); });
  }
  void list(const std::string &, const std::string &,
            std::function<void(platform::ReadResult)>) override {}

  platform::Row m_Row;      ///< "current".
  bool m_Up = true;         ///< False: refuses every call.
  std::size_t m_Reads = 0;  ///< Number of calls.
  std::size_t m_Writes = 0; ///< Number of calls.

private:
  platform::RowOutcome put(const platform::RowWrite &Write) {
    if (Write.m_Expected != m_Row.m_Version)
      return {false, m_Row};
    m_Row = {Write.m_Key, platform::RowVersion(m_Row.m_Version.value() + 1),
             Write.m_Value};
    return {true, m_Row};
  }
  Scheduler &m_Timers; ///< Of the loop.
};

/// The parts of a dispatcher that keep the table.
struct Node final : link::LinkListener {
  Node(const std::string &Name, const Address &Listen, Scheduler &Timers,
       platform::TableService &Store)
      : m_Links(linkConfig(Name, Listen), Timers, m_Stats, *this),
        m_Fleet({}, self(Name, Listen), m_Clock, Timers, m_Links, m_Stats),
        m_Table(tableConfig(Name), m_Clock, Timers, Store, m_Fleet, m_Links,
                m_Stats) {
    m_Table.onChange([this] {
      m_ChangedAt = m_Clock.readNow();
      m_Table.setEntriesVersion(m_Table.table().m_Version);
    });
    m_Links.start();
    m_Fleet.start();
    m_Table.start();
  }
  static link::LinkConfig linkConfig(const std::string &Name,
                                     const Address &Listen) {
    link::LinkConfig Config;
    Config.m_Role = wire::Role::Dispatcher;
    Config.m_Name = Name;
    Config.m_Incarnation = Incarnation(1);
    Config.m_Zone = {"njiro"};
    Config.m_Listen = Listen;
    Config.m_Key = "secret";
    return Config;
  }
  static membership::Member self(const std::string &Name,
                                 const Address &Listen) {
    membership::Member Result;
    Result.m_Id = instanceIdOf(Name);
    Result.m_Name = Name;
    Result.m_Incarnation = Incarnation(1);
    Result.m_Address = Listen;
    Result.m_Zone = {"njiro"};
    return Result;
  }
  static TableKeeperConfig tableConfig(const std::string &Name) {
    TableKeeperConfig Config;
    Config.m_Name = Name;
    Config.m_Incarnation = Incarnation(1);
    Config.m_VoterReplacementDelay = 500ms;
    return Config;
  }
  void linkUp(link::LinkId Link, const link::Peer &Peer) override {
    m_Fleet.linkUp(Link, Peer);
    m_Table.linkUp(Link, Peer);
  }
  void linkFrame(link::LinkId Link, const wire::Frame &Frame) override {
    m_Fleet.linkFrame(Link, Frame);
    m_Table.linkFrame(Link, Frame);
  }
  void linkDown(link::LinkId Link, const link::Peer &Peer,
                link::CloseReason Reason) override {
    m_Fleet.linkDown(Link, Peer, Reason);
    m_Table.linkDown(Link, Peer, Reason);
  }
  void dialFailed(const Address &Target, link::CloseReason Reason) override {
    m_Fleet.dialFailed(Target, Reason);
  }

  LoopClock m_Clock;              ///< Of the loop.
  Metrics m_Stats;                ///< Of the node.
  link::TcpLinks m_Links;         ///< On loopback.
  membership::Membership m_Fleet; ///< With real heartbeats.
  TableKeeper m_Table;            ///< Under test.
  TimePoint m_ChangedAt;          ///< When the last version came into force.
};

struct Fleet {
  explicit Fleet(std::size_t Size) {
    TableDocument First;
    First.m_Table = tableOf(1);
    First.m_Table.m_Version = First.m_EditedVersion = TableVersion(1);
    m_Store.m_Row = {CurrentRowKey, platform::RowVersion(1),
                     encodeDocument(First)};
    std::vector<Address> Addresses;
    for (std::size_t Index = 0; Index < Size; ++Index)
      Addresses.push_back(freeAddress());
    for (std::size_t Index = 0; Index < Size; ++Index)
      m_Nodes.push_back(
          std::make_unique<Node>("instance-" + std::to_string(Index),
                                 Addresses[Index], m_Timers, m_Store));
    for (const auto &NodePtr : m_Nodes)
      NodePtr->m_Fleet.setHints(Addresses);
    runUntil([&] {
      return allServe() &&
             decodeDocument(m_Store.m_Row.m_Value).m_Voters.size() ==
                 std::min<std::size_t>(Size, 9);
    });
    // The version with the voters must reach all nodes.
    runUntil([&] {
      return std::ranges::all_of(m_Nodes, [&](const auto &NodePtr) {
        return NodePtr->m_Table.table().m_Version ==
               decodeDocument(m_Store.m_Row.m_Value).version();
      });
    });
  }
  static ContractTable tableOf(std::uint32_t Weight) {
    return readCsv("id,class,service,tier,weight,first_token_ms,total_ms\n"
                   "1,pass-check,pass-desk,1," +
                   std::to_string(Weight) + ",250,2000\n");
  }
  [[nodiscard]] bool allServe() const {
    return std::ranges::all_of(m_Nodes, [](const auto &NodePtr) {
      return NodePtr->m_Table.rightToServe();
    });
  }
  /// Changes the table at node \p Index and waits for the outcome.
  ChangeOutcome change(std::size_t Index, std::uint32_t Weight) {
    std::optional<ChangeOutcome> Outcome;
    TableKeeper &At = m_Nodes[Index]->m_Table;
    At.change(tableOf(Weight), At.table().m_Version, "operator",
              [&](ChangeOutcome Value) { Outcome = std::move(Value); });
    runUntil([&] { return Outcome.has_value(); });
    return *Outcome;
  }

  LoopScheduler m_Timers;                     ///< Of the loop.
  MemoryStore m_Store{m_Timers};              ///< Shared by all nodes.
  std::vector<std::unique_ptr<Node>> m_Nodes; ///< Of the fleet.
};

} // namespace

BOOST_AUTO_TEST_CASE(AChangeIsAcceptedOnceAllNodesHoldIt) {
  Fleet Cluster(3);
  const ChangeOutcome Outcome = Cluster.change(1, 7);
  BOOST_REQUIRE(std::holds_alternative<ChangeAccepted>(Outcome));
  for (const auto &NodePtr : Cluster.m_Nodes)
    BOOST_TEST(NodePtr->m_Table.table().m_Contracts.at(0).m_Weight == 7U);
  std::vector<HistoryEntry> History;
  Cluster.m_Nodes[2]->m_Table.history(
      [&](std::vector<HistoryEntry> Value) { History = std::move(Value); });
  BOOST_REQUIRE(History.size() == 1U);
  BOOST_TEST(History[0].m_Operator == "operator");
  const TableKeeper &At = Cluster.m_Nodes[0]->m_Table;
  BOOST_CHECK_THROW(static_cast<void>(At.tryChange(Fleet::tableOf(5000))),
                    Error);
}

/// Two operators request changes at two instances at the same time.
BOOST_AUTO_TEST_CASE(OfTwoOperatorsOneWins) {
  Fleet Cluster(2);
  std::vector<ChangeOutcome> Outcomes;
  for (const std::size_t Index : {0U, 1U}) {
    TableKeeper &At = Cluster.m_Nodes[Index]->m_Table;
    At.change(Cluster.tableOf(8 + static_cast<std::uint32_t>(Index)),
              At.table().m_Version, "operator",
              [&](const ChangeOutcome &Value) { Outcomes.push_back(Value); });
  }
  runUntil([&] { return Outcomes.size() == 2; });
  const auto *Conflict = std::get_if<ChangeConflict>(&Outcomes[0]);
  BOOST_REQUIRE(Conflict != nullptr);
  BOOST_TEST(Conflict->m_Difference.size() == 1U);
  BOOST_TEST(std::holds_alternative<ChangeAccepted>(Outcomes[1]));
}

/// The table service is down for longer than a right to serve lasts without it.
BOOST_AUTO_TEST_CASE(AnOutageLeavesTheRightToServe) {
  Fleet Cluster(3);
  Cluster.m_Store.m_Up = false;
  const TimePoint Until = LoopClock().readNow() + 4s;
  runUntil([&] {
    BOOST_REQUIRE(Cluster.allServe());
    return LoopClock().readNow() >= Until;
  });
  BOOST_TEST(std::holds_alternative<ChangeUnavailable>(Cluster.change(0, 9)));
}

/// Measures changes at 8 nodes; CROWSTEP_TABLE_CHANGES sets their number.
BOOST_AUTO_TEST_CASE(MeasuresTheSpread) {
  const char *Setting = std::getenv("CROWSTEP_TABLE_CHANGES");
  const int Changes = Setting == nullptr ? 2 : std::atoi(Setting);
  const TimePoint Start = LoopClock().readNow();
  Fleet Cluster(8);
  std::vector<Duration> Spread;
  std::vector<Duration> Accept;
  for (int Change = 0; Change < Changes; ++Change) {
    const TimePoint RequestedAt = LoopClock().readNow();
    const std::size_t At = static_cast<std::size_t>(Change) % 8;
    BOOST_REQUIRE(std::holds_alternative<ChangeAccepted>(
        Cluster.change(At, 2 + static_cast<std::uint32_t>(Change))));
    TimePoint Last;
    for (const auto &NodePtr : Cluster.m_Nodes)
      Last = std::max(Last, NodePtr->m_ChangedAt);
    Spread.push_back(Last - RequestedAt);
    Accept.push_back(LoopClock().readNow() - RequestedAt);
  }
  std::ranges::sort(Spread);
  std::ranges::sort(Accept);
  BOOST_TEST(Spread.back().count() < Duration(3s).count());
  const auto Seconds =
      std::chrono::duration<double>(LoopClock().readNow() - Start);
  BOOST_TEST_MESSAGE("asked to last node using it: median "
                     << Spread[Spread.size() / 2].count() << " us, max "
                     << Spread.back().count() << " us; to accepted: median "
                     << Accept[Accept.size() / 2].count() << " us, max "
                     << Accept.back().count() << " us; reads "
                     << Cluster.m_Store.m_Reads << ", writes "
                     << Cluster.m_Store.m_Writes << " in " << Seconds.count()
                     << " s");
}
