/// Reads the workspaces' rows.
#include "dispatcher/workspace_directory.h"

#include "core/digest.h"
#include "core/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crowstep::dispatcher {

namespace {

/// Between readings until the first one succeeds: until then callers are
/// refused because their keys are unknown.
constexpr Duration FirstReadInterval = std::chrono::milliseconds(500);

/// Returns the workspace of a row, or nothing if the row is invalid. An invalid
/// row is logged and left out, so that it does not lock out all the others.
std::optional<Workspace> parseWorkspace(const platform::Row &Row) {
  try {
    const nlohmann::json Value = nlohmann::json::parse(Row.m_Value);
    Workspace Result;
    Result.m_Id = WorkspaceId(Value.at("id").get<std::uint32_t>());
    Result.m_Name = Value.at("name").get<std::string>();
    Result.m_KeyHash = Value.at("key_hash").get<std::string>();
    Result.m_Operator = Value.value("operator", false);
    return Result;
  } catch (const nlohmann::json::exception &) {
    logEvent(LogEvent::WorkspaceRowBad, {{"row", Row.m_Key}});
    return std::nullopt;
  }
}

} // namespace

WorkspaceDirectory::WorkspaceDirectory(Scheduler &Timers,
                                       platform::TableService &Store,
                                       Duration Interval)
    : m_Store(Store), m_Interval(Interval), m_Timer(Timers) {}

void WorkspaceDirectory::read() {
  m_Store.list(
      platform::WorkspaceTableName, "", [this](platform::ReadResult Read) {
        if (const auto *Rows = std::get_if<std::vector<platform::Row>>(&Read)) {
          std::vector<Workspace> Updated;
          for (const platform::Row &Row : *Rows)
            if (std::optional<Workspace> Parsed = parseWorkspace(Row))
              Updated.push_back(std::move(*Parsed));
          m_HasRead = true;
          replace(std::move(Updated));
        }
        m_Timer.start(m_HasRead ? m_Interval : FirstReadInterval,
                      [this] { read(); });
      });
}

void WorkspaceDirectory::setFromPeer(std::vector<Workspace> FromPeer) {
  if (!m_HasRead && !FromPeer.empty())
    replace(std::move(FromPeer));
}

void WorkspaceDirectory::replace(std::vector<Workspace> Updated) {
  const bool Changed = Updated != m_Workspaces;
  m_Workspaces = std::move(Updated);
  if (Changed && m_Changed)
    m_Changed();
}

const Workspace *
WorkspaceDirectory::findOperator(const std::string &Key) const {
  const std::string Hash = sha256Hex(Key);
  const auto Found = std::find_if(
      m_Workspaces.begin(), m_Workspaces.end(), [&](const Workspace &Info) {
        return Info.m_Operator && Info.m_KeyHash == Hash;
      });
  return Found == m_Workspaces.end() ? nullptr : &*Found;
}

} // namespace crowstep::dispatcher
