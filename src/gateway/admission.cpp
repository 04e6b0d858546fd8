/// Checks of a request before placement.
#include "gateway/admission.h"

namespace crowstep::gateway {

namespace {

std::string_view pathOf(const IncomingRequest &Request) {
  const std::string_view Target = Request.m_Target;
  return Target.substr(0, Target.find('?'));
}

const Route *routeOf(const IncomingRequest &Request, const RouteTable &Table) {
  const std::string *Host = findHeader(Request.m_Headers, "Host");
  if (Host == nullptr)
    return nullptr;
  return Table.find(*Host, pathOf(Request));
}

} // namespace

std::variant<AdmittedRequest, RefusedRequest>
admit(const IncomingRequest &Request, const RouteTablePtr &Table,
      const HeaderCodec &Codec) {
  auto Read = Codec.readRequest(Request.m_Headers);
  if (std::holds_alternative<UnreadableHeader>(Read))
    return RefusedRequest{RefusalReason::MalformedHeader, {}};
  auto &Facts = std::get<RequestFacts>(Read);
  // Without a table it is unknown whether a route or key exists.
  if (Table == nullptr)
    return RefusedRequest{RefusalReason::NotInForce, Facts.m_Id};
  const Route *Found = routeOf(Request, *Table);
  if (Found == nullptr)
    return RefusedRequest{RefusalReason::UnknownPath, Facts.m_Id};
  AdmittedRequest Result;
  Result.m_Table = Table;
  Result.m_Route = Found;
  const WorkspaceEntry *KeyOwner = nullptr;
  if (Table->hasKeys() && Found->m_NeedsKey) {
    if (Facts.m_Key.empty())
      return RefusedRequest{RefusalReason::MissingKey, Facts.m_Id};
    KeyOwner = Table->workspaceOfKey(Facts.m_Key);
    if (KeyOwner == nullptr)
      return RefusedRequest{RefusalReason::UnknownKey, Facts.m_Id};
    Result.m_Workspace = KeyOwner->m_Name;
  }
  Result.m_QueueRank = Table->queueRank(*Found, KeyOwner);
  Result.m_EngineRank = Table->engineRank(*Found, KeyOwner);
  Result.m_Facts = std::move(Facts);
  return Result;
}

} // namespace crowstep::gateway
