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

std::variant<Admitted, NotAdmitted> admit(const IncomingRequest &Request,
                                          const RouteTablePtr &Table,
                                          const HeaderCodec &Codec) {
  auto Read = Codec.readRequest(Request.m_Headers);
  if (std::holds_alternative<UnreadableHeader>(Read))
    return NotAdmitted{RefusalReason::MalformedHeader, {}};
  auto &Facts = std::get<RequestFacts>(Read);
  // Without a table it is unknown whether a route or key exists.
  if (Table == nullptr)
    return NotAdmitted{RefusalReason::NotInForce, Facts.m_Id};
  const Route *Found = routeOf(Request, *Table);
  if (Found == nullptr)
    return NotAdmitted{RefusalReason::UnknownPath, Facts.m_Id};
  Admitted Result;
  Result.m_Table = Table;
  Result.m_Route = Found;
  const KeyHolder *KeyOwner = nullptr;
  if (Table->hasKeys() && Found->m_NeedsKey) {
    if (Facts.m_Key.empty())
      return NotAdmitted{RefusalReason::MissingKey, Facts.m_Id};
    KeyOwner = Table->holderOf(Facts.m_Key);
    if (KeyOwner == nullptr)
      return NotAdmitted{RefusalReason::UnknownKey, Facts.m_Id};
    Result.m_Workspace = KeyOwner->m_Name;
  }
  Result.m_Turn = Table->urgency(*Found, KeyOwner);
  Result.m_Urgency = Table->engineRank(*Found, KeyOwner);
  Result.m_Facts = std::move(Facts);
  return Result;
}

} // namespace crowstep::gateway
