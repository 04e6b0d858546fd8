/// JSON encoding of TableDocument.
#include "contract/table_document.h"

#include "contract/contract_error.h"
#include "contract/contract_func.h"
#include "contract/contract_json.h"
#include "core/untrusted_json.h"

#include <algorithm>

namespace crowstep::contract {

namespace {

using nlohmann::json;

json headerToJson(const CommitHeader &Header) {
  return {{"version", Header.m_Version.value()},
          {"commit", Header.m_Commit},
          {"operator", Header.m_Operator},
          {"time", Header.m_Time}};
}

CommitHeader headerFromJson(const json &Value) {
  return {TableVersion(Value.at("version").get<std::uint64_t>()),
          Value.at("commit").get<std::string>(),
          Value.at("operator").get<std::string>(),
          Value.at("time").get<std::string>()};
}

} // namespace

bool holdsCommit(const TableDocument &Document, const CommitId &Commit) {
  return Document.m_Commit == Commit ||
         std::ranges::any_of(Document.m_History,
                             [&](const CommitHeader &Header) {
                               return Header.m_Commit == Commit;
                             });
}

std::string encodeDocument(const TableDocument &Value) {
  json Result = tableToJson(Value.m_Table);
  Result["edited"] = Value.m_EditedVersion.value();
  Result["commit"] = Value.m_Commit;
  Result["voters"] = Value.m_Voters;
  Result["quorums"] = Value.m_Quorums;
  Result["history"] = json::array();
  for (const CommitHeader &Header : Value.m_History)
    Result["history"].push_back(headerToJson(Header));
  return Result.dump();
}

TableDocument decodeDocument(const std::string &Text) {
  const json Value = parseUntrustedJsonOrDiscard(Text);
  if (Value.is_discarded())
    throw TableFormatError("no JSON");
  TableDocument Result;
  Result.m_Table = tableFromJson(Value);
  validate(Result.m_Table);
  try {
    // A row that was written by hand may hold only the table.
    Result.m_EditedVersion =
        TableVersion(Value.value("edited", Result.version().value()));
    Result.m_Commit = Value.value("commit", CommitId());
    Result.m_Voters = Value.value("voters", Voters());
    Result.m_Quorums = Value.value("quorums", std::vector<Voters>());
    for (const json &Header : Value.value("history", json::array()))
      Result.m_History.push_back(headerFromJson(Header));
  } catch (const json::exception &Failure) {
    throw TableFormatError(Failure.what());
  }
  return Result;
}

} // namespace crowstep::contract
