/// Upstreams and workspaces in frames.
#include "knowledge_wire.h"

#include "wire/wire_text.h"

namespace crowstep {

using wire::textOf;

std::unique_ptr<wire::UpstreamInfoT> toWire(const Upstream &What) {
  auto Row = std::make_unique<wire::UpstreamInfoT>();
  Row->name = What.m_Name;
  Row->service = What.m_Service;
  Row->ip = What.m_Address.m_Ip;
  Row->port = What.m_Address.m_Port;
  Row->zone = What.m_Zone.m_Name;
  Row->leaving = What.m_Leaving;
  if (const auto *AsEngine = std::get_if<Engine>(&What.m_Kind)) {
    Row->engine = true;
    Row->slots = AsEngine->m_Slots;
    Row->resumes = AsEngine->m_CanResume;
    Row->checks_fencing = AsEngine->m_ChecksFencing;
    Row->models = AsEngine->m_Models;
  } else {
    Row->slots = std::get<PlainService>(What.m_Kind).m_Slots;
  }
  return Row;
}

std::unique_ptr<wire::WorkspaceInfoT> toWire(const Workspace &What) {
  auto Row = std::make_unique<wire::WorkspaceInfoT>();
  Row->id = What.m_Id.value();
  Row->name = What.m_Name;
  Row->key_hash = What.m_KeyHash;
  Row->is_operator = What.m_Operator;
  return Row;
}

Upstream fromWire(const wire::UpstreamInfo &What) {
  Upstream Result;
  Result.m_Name = textOf(What.name());
  Result.m_Id = upstreamIdOf(Result.m_Name);
  Result.m_Service = textOf(What.service());
  Result.m_Address = {What.ip(), What.port()};
  Result.m_Zone.m_Name = textOf(What.zone());
  Result.m_Leaving = What.leaving();
  if (!What.engine()) {
    Result.m_Kind = PlainService{What.slots()};
    return Result;
  }
  Engine Kind;
  Kind.m_Slots = What.slots();
  Kind.m_CanResume = What.resumes();
  Kind.m_ChecksFencing = What.checks_fencing();
  if (What.models() != nullptr)
    for (const flatbuffers::String *Model : *What.models())
      Kind.m_Models.push_back(Model->str());
  Result.m_Kind = std::move(Kind);
  return Result;
}

Workspace fromWire(const wire::WorkspaceInfo &What) {
  return {WorkspaceId(What.id()), textOf(What.name()), textOf(What.key_hash()),
          What.is_operator()};
}

} // namespace crowstep
