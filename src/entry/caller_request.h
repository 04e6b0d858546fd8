/// Reading and checking what a caller sent.
#ifndef CROWSTEP_ENTRY_CALLER_REQUEST_H
#define CROWSTEP_ENTRY_CALLER_REQUEST_H

#include "claim/claim_type.h"
#include "entry/directory.h"
#include "refusal_type.h"

#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace crowstep::entry {

/// A request as it arrived.
struct RawRequest {
  std::string m_Method;         ///< HTTP method.
  std::string m_Path;           ///< Decoded.
  std::string m_Authorization;  ///< Header, or empty.
  std::string m_Class;          ///< Header Crowstep-Class, or empty.
  std::string m_IdempotencyKey; ///< Header, or empty.
  std::string m_ContentType;    ///< Header, or empty.
  std::string m_Body;           ///< Whole.
};

/// A model call; the entry always asks the engine for a stream.
struct EngineCall {
  bool m_Chat = true;      ///< False: /v1/completions.
  bool m_Streamed = false; ///< The caller wants events.
  nlohmann::json m_Body;   ///< As the caller sent it, with the class's model.
};

/// A call of a plain service, forwarded whole.
struct ServiceCall {
  std::string m_Path; ///< At the upstream.
  std::string m_Body; ///< As the caller sent it.
  std::string m_Key;  ///< The caller's Idempotency-Key, passed on.
};

/// A request that may be placed.
struct CallerRequest {
  Contract m_Contract;     ///< Row of its class, as it stood.
  WorkspaceId m_Workspace; ///< Whose key it bears.
  std::variant<EngineCall, ServiceCall> m_Call; ///< What to send.
  claim::ClaimKey m_ClaimKey;            ///< Empty for repeatable classes.
  std::uint64_t m_BodyHash = 0;          ///< Of path and body.
  std::uint32_t m_PromptTokens = 0;      ///< Estimated.
  std::uint32_t m_MaxTokens = 0;         ///< Longest output.
  std::vector<std::uint64_t> m_Prefixes; ///< At most MaxPrefixes.

  [[nodiscard]] bool streamed() const {
    const auto *Model = std::get_if<EngineCall>(&m_Call);
    return Model != nullptr && Model->m_Streamed;
  }
};

/// Why a request was not read, with the class for the counter.
struct ReadRefusal {
  RefusalReason m_Reason; ///< Never None.
  std::string m_Class;    ///< Row's name, or empty while unknown.
};

/// Step of the growing prompt prefixes and how many of them a bid carries.
inline constexpr std::size_t PrefixStep = 256;
inline constexpr std::size_t MaxPrefixes = 16;

/// Reads \p Raw against the table and workspaces in force.
std::variant<CallerRequest, ReadRefusal>
readCallerRequest(const RawRequest &Raw, const Directory &Known);

/// Returns the hashes of the prompt's growing prefixes.
std::vector<std::uint64_t> prefixHashes(const std::string &Prompt);

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_CALLER_REQUEST_H
