/// Conversion of upstreams and workspaces to and from frames.
#include "knowledge_wire.h"

#include "wire/wire_text.h"

namespace crowstep {

using wire::textOf;

std::unique_ptr<wire::UpstreamInfoT> toWire(const Upstream &Value) {
  auto Row = std::make_unique<wire::UpstreamInfoT>();
  Row->name = Value.m_Name;
  Row->service = Value.m_Service;
  Row->ip = Value.m_Address.m_Ip;
  Row->port = Value.m_Address.m_Port;
  Row->zone = Value.m_Zone.m_Name;
  Row->leaving = Value.m_Draining;
  if (const auto *AsEngine = std::get_if<Engine>(&Value.m_Kind)) {
    Row->engine = true;
    Row->slots = AsEngine->m_Slots;
    Row->resumes = AsEngine->m_CanResume;
    Row->checks_fencing = AsEngine->m_ChecksFencing;
    Row->models = AsEngine->m_Models;
  } else {
    Row->slots = std::get<PlainService>(Value.m_Kind).m_Slots;
  }
  return Row;
}

std::unique_ptr<wire::WorkspaceInfoT> toWire(const Workspace &Value) {
  auto Row = std::make_unique<wire::WorkspaceInfoT>();
  Row->id = Value.m_Id.value();
  Row->name = Value.m_Name;
  Row->key_hash = Value.m_KeyHash;
  Row->is_operator = Value.m_Operator;
  return Row;
}

Upstream fromWire(const wire::UpstreamInfo &Value) {
  Upstream Result;
  Result.m_Name = textOf(Value.name());
  Result.m_Id = upstreamIdOf(Result.m_Name);
  Result.m_Service = textOf(Value.service());
  Result.m_Address = {Value.ip(), Value.port()};
  Result.m_Zone.m_Name = textOf(Value.zone());
  Result.m_Draining = Value.leaving();
  if (!Value.engine()) {
    Result.m_Kind = PlainService{Value.slots()};
    return Result;
  }
  Engine Kind;
  Kind.m_Slots = Value.slots();
  Kind.m_CanResume = Value.resumes();
  Kind.m_ChecksFencing = Value.checks_fencing();
  if (Value.models() != nullptr)
    for (const flatbuffers::String *Model : *Value.models())
      Kind.m_Models.push_back(Model->str());
  Result.m_Kind = std::move(Kind);
  return Result;
}

Workspace fromWire(const wire::WorkspaceInfo &Value) {
  return {WorkspaceId(Value.id()), textOf(Value.name()),
          textOf(Value.key_hash()), Value.is_operator()};
}

} // namespace crowstep
