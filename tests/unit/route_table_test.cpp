/// Lookups in the route table and the admission checks of a request.
#define BOOST_TEST_MODULE route_table
#include "gateway/admission.h"
#include "unit/plain_codec.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::gateway;

namespace {

Route route(const std::string &Prefix, unsigned Priority,
            const std::string &Host = "api.example") {
  Route Result;
  Result.m_Name = Host + Prefix;
  Result.m_Host = Host;
  Result.m_Prefix = Prefix;
  Result.m_Kind = PlainCall{true};
  Result.m_Priority = Priority;
  Result.m_Services = {{"s", 1}};
  return Result;
}

RouteTablePtr table() {
  RouteTableData Data;
  Data.m_Version = RouteTableVersion(3);
  Data.m_Routes = {route("/a/", 0), route("/a/b/", 2),
                   route("/a/", 1, "other.example")};
  Route Open = route("/open/", 1);
  Open.m_NeedsKey = false;
  Data.m_Routes.push_back(Open);
  Data.m_Workspaces = {{"first", {"k1", "k2"}, 0}, {"plain", {"k3"}, {}}};
  return std::make_shared<const RouteTable>(std::move(Data));
}

IncomingRequest request(const std::string &Target, HeaderList More = {}) {
  IncomingRequest Result{"GET", Target, {{"Host", "API.example:80"}}, ""};
  Result.m_Headers.push_back({"Call-Id", "id-1"});
  Result.m_Headers.insert(Result.m_Headers.end(), More.begin(), More.end());
  return Result;
}

RefusalReason refusal(const IncomingRequest &Request,
                      const RouteTablePtr &Table) {
  const auto Result = admit(Request, Table, test::PlainCodec());
  const auto *Refused = std::get_if<RefusedRequest>(&Result);
  return Refused == nullptr ? RefusalReason::None : Refused->m_Reason;
}

} // namespace

// Guards against a 404 for callers who name an IPv6 address without a port.
BOOST_AUTO_TEST_CASE(AnAddressInBracketsIsFoundWithAndWithoutItsPort) {
  RouteTableData Data;
  Data.m_Routes = {route("/a/", 0, "[2001:db8::1]")};
  const RouteTable Table(std::move(Data));
  for (const char *Host : {"[2001:db8::1]", "[2001:DB8::1]:8080"})
    BOOST_TEST(Table.find(Host, "/a/x") != nullptr, Host);
  for (const char *Host : {"[2001:db8::2]", "[2001:db8:"})
    BOOST_TEST(Table.find(Host, "/a/x") == nullptr, Host);
}

BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostWins) {
  const RouteTablePtr Table = table();
  BOOST_TEST(Table->find("api.example", "/a/x")->m_Name == "api.example/a/");
  BOOST_TEST(Table->find("API.Example:8080", "/a/b/x/y")->m_Name ==
             "api.example/a/b/");
  BOOST_TEST(Table->find("other.example", "/a/b/x")->m_Name ==
             "other.example/a/");
  BOOST_TEST(Table->find("api.example", "/a") == nullptr);
  BOOST_TEST(Table->find("api.example", "/b/a/") == nullptr);
  BOOST_TEST(Table->find("none.example", "/a/") == nullptr);
}

/// In the wait queue the workspace's priority decides, then the route's: calls
/// of one workspace on routes of different priority have different ranks.
BOOST_AUTO_TEST_CASE(QueueRankIsByWorkspaceThenRoute) {
  const RouteTablePtr Table = table();
  const Route &Urgent = *Table->find("api.example", "/a/x");
  const Route &Slow = *Table->find("api.example", "/a/b/x");
  const WorkspaceEntry *First = Table->workspaceOfKey("k2");
  const WorkspaceEntry *Plain = Table->workspaceOfKey("k3");
  BOOST_TEST(Table->queueRank(Urgent, First) < Table->queueRank(Slow, First));
  BOOST_TEST(Table->queueRank(Slow, First) < Table->queueRank(Slow, Plain));
  BOOST_TEST(Table->queueRank(Urgent, Plain) ==
             Table->queueRank(Urgent, First));
}

/// Guards against an engine that preempts a call of an urgent route while one
/// of a less urgent route runs on because of its workspace's priority.
BOOST_AUTO_TEST_CASE(EngineRankIsByRouteThenWorkspace) {
  RouteTableData Data;
  Data.m_Routes = {route("/urgent/", 0), route("/slow/", 2)};
  Data.m_Workspaces = {{"first", {"k1"}, 0}, {"later", {"k2"}, 1}};
  const RouteTable Table(std::move(Data));
  const Route &Urgent = *Table.find("api.example", "/urgent/x");
  const Route &Slow = *Table.find("api.example", "/slow/x");
  const WorkspaceEntry *First = Table.workspaceOfKey("k1");
  const WorkspaceEntry *Later = Table.workspaceOfKey("k2");
  for (const WorkspaceEntry *Some : {First, Later})
    for (const WorkspaceEntry *Other : {First, Later})
      BOOST_TEST(Table.engineRank(Urgent, Some) <
                 Table.engineRank(Slow, Other));
  BOOST_TEST(Table.engineRank(Urgent, First) < Table.engineRank(Urgent, Later));
  BOOST_TEST(Table.engineRank(Slow, First) < Table.engineRank(Slow, Later));
  // In the wait queue the workspace decides first.
  BOOST_TEST(Table.queueRank(Slow, First) < Table.queueRank(Urgent, Later));
}

BOOST_AUTO_TEST_CASE(EveryRefusalHasItsReason) {
  const RouteTablePtr Table = table();
  // Without a table it is unknown whether a path exists.
  BOOST_TEST((refusal(request("/none"), nullptr) == RefusalReason::NotInForce));
  BOOST_TEST((refusal(request("/none"), Table) == RefusalReason::UnknownPath));
  BOOST_TEST((refusal(request("/a/x"), Table) == RefusalReason::MissingKey));
  BOOST_TEST((refusal(request("/a/x", {{"Call-Key", "k9"}}), Table) ==
              RefusalReason::UnknownKey));
  BOOST_TEST((refusal(request("/open/x"), Table) == RefusalReason::None));
  BOOST_TEST((refusal(request("/a/x?q", {{"Call-Key", "k1"}}), Table) ==
              RefusalReason::None));
  BOOST_TEST((refusal(request("/open/x", {{"Call-Id", "id-2"}}), Table) ==
              RefusalReason::MalformedHeader));
}
