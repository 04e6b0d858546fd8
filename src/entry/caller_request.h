/// Parsing and validation of callers' requests.
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

/// The parts of an HTTP request that an entry reads.
struct RawRequest {
  std::string m_Method;         ///< HTTP method.
  std::string m_Path;           ///< Path and query, escaped as received.
  std::string m_Authorization;  ///< Header, or empty.
  std::string m_Class;          ///< Header Crowstep-Class, or empty.
  std::string m_IdempotencyKey; ///< Header, or empty.
  std::string m_ContentType;    ///< Header, or empty.
  std::string m_Body;           ///< Complete.
};

/// A call to an engine. The entry always requests a stream from the engine.
struct EngineCall {
  bool m_Chat = true;      ///< False: /v1/completions.
  bool m_Streamed = false; ///< The caller requested a stream.
  nlohmann::json m_Body;   ///< The caller's, with the class's model and limit.
};

/// A call to a service that is not an engine, forwarded unchanged.
struct ServiceCall {
  std::string m_Path;           ///< At the upstream.
  std::string m_Body;           ///< As the caller sent it.
  std::string m_IdempotencyKey; ///< The caller's Idempotency-Key; may be empty.
};

/// A valid request.
struct CallerRequest {
  Contract m_Contract;     ///< Row of its class when it was read.
  WorkspaceId m_Workspace; ///< Owner of its key.
  std::variant<EngineCall, ServiceCall> m_Call; ///< What to send.
  claim::ClaimKey m_ClaimKey;       ///< Empty for repeatable classes.
  std::uint64_t m_BodyHash = 0;     ///< Of class, path and body; for the claim.
  std::uint32_t m_PromptTokens = 0; ///< Estimated.
  std::uint32_t m_MaxTokens = 0;    ///< Limit on the output; 0: none.
  std::vector<std::uint64_t> m_Prefixes; ///< As prefixHashes() returns.

  [[nodiscard]] bool isStreamed() const {
    const auto *Model = std::get_if<EngineCall>(&m_Call);
    return Model != nullptr && Model->m_Streamed;
  }
};

/// Why a request was refused, and the class under which it is counted.
struct ReadRefusal {
  RefusalReason m_Reason; ///< Never None.
  std::string m_Class;    ///< Empty if it is not known yet.
};

/// Length in bytes by which each prompt prefix is longer than the one before,
/// and limit on the number of prefixes in a bid.
inline constexpr std::size_t PrefixStep = 256;
inline constexpr std::size_t MaxPrefixes = 16;

/// Parses \p Raw and checks it against the table and workspaces in \p Dir.
std::variant<CallerRequest, ReadRefusal>
readCallerRequest(const RawRequest &Raw, const Directory &Dir);

/// Returns the hashes of the prefixes of \p Prompt with one, two, ... times
/// PrefixStep bytes; at most MaxPrefixes.
std::vector<std::uint64_t> prefixHashes(const std::string &Prompt);

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_CALLER_REQUEST_H
