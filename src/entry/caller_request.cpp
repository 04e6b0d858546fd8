/// Parsing and validation of callers' requests.
#include "entry/caller_request.h"

#include "core/untrusted_json.h"
#include "http/header_list.h"
#include "http/header_value.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <xxhash.h>

namespace crowstep::entry {

namespace {

constexpr const char *ChatPath = "/v1/chat/completions";
constexpr const char *CompletionPath = "/v1/completions";
constexpr const char *ServicePrefix = "/v1/services/";
constexpr std::size_t CharactersPerToken = 4;
constexpr std::size_t MaxIdempotencyKey = 256;

using Json = nlohmann::json;
using Outcome = std::variant<CallerRequest, ReadRefusal>;

/// Returns whether \p Target is \p Path, with a query or without.
bool isPath(std::string_view Target, std::string_view Path) {
  return Target.substr(0, Target.find('?')) == Path;
}

std::string bearerKey(const std::string &Authorization) {
  static const std::string Scheme = "Bearer ";
  if (!equalsIgnoreCase(Authorization.substr(0, Scheme.size()), Scheme))
    return {};
  return Authorization.substr(Scheme.size());
}

bool isJsonType(std::string_view ContentType) {
  const std::string_view Type = ContentType.substr(0, ContentType.find(';'));
  return equalsIgnoreCase(withoutBlanks(Type), "application/json");
}

/// Appends the text of a message's content, which is a string or an array of
/// typed parts.
void appendContent(const Json &Content, std::string &Out) {
  if (Content.is_string())
    Out += Content.get_ref<const std::string &>();
  else if (Content.is_array())
    for (const Json &Part : Content)
      if (Part.is_object() && Part.contains("text") && Part["text"].is_string())
        Out += Part["text"].get_ref<const std::string &>();
}

/// Returns the text of the prompt, or nothing if the body has no valid one.
std::optional<std::string> promptOf(const Json &Body, bool Chat) {
  std::string Result;
  if (!Chat) {
    const auto Prompt = Body.find("prompt");
    if (Prompt == Body.end() || !Prompt->is_string())
      return std::nullopt;
    return Prompt->get<std::string>();
  }
  const auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array() || Messages->empty())
    return std::nullopt;
  for (const Json &Message : *Messages) {
    if (!Message.is_object() || !Message.contains("content"))
      return std::nullopt;
    appendContent(Message["content"], Result);
  }
  return Result;
}

/// Returns the limit on the output: the caller's, but at most \p Max, or \p Max
/// if the caller sets none. 0 for \p Max means no limit. Returns nothing if the
/// caller's value is not a positive integer.
std::optional<std::uint32_t> maxTokensOf(const Json &Body, std::uint32_t Max) {
  for (const char *Name : {"max_completion_tokens", "max_tokens"}) {
    const auto Field = Body.find(Name);
    if (Field == Body.end() || Field->is_null())
      continue;
    if (!Field->is_number_unsigned() || *Field == 0U)
      return std::nullopt;
    const auto Requested = Field->get<std::uint64_t>();
    const std::uint64_t Limit = Max == 0 ? UINT32_MAX : Max;
    return static_cast<std::uint32_t>(std::min(Requested, Limit));
  }
  return Max;
}

bool readEngineCall(const RawRequest &Raw, CallerRequest &Out) {
  EngineCall Call;
  Call.m_Chat = isPath(Raw.m_Path, ChatPath);
  Call.m_Body = Json::parse(Raw.m_Body, nullptr, false);
  if (!Call.m_Body.is_object())
    return false;
  const std::optional<std::string> Prompt = promptOf(Call.m_Body, Call.m_Chat);
  const std::optional<std::uint32_t> MaxTokens =
      maxTokensOf(Call.m_Body, Out.m_Contract.m_MaxTokens);
  const auto Stream = Call.m_Body.find("stream");
  if (!Prompt || !MaxTokens ||
      (Stream != Call.m_Body.end() && !Stream->is_boolean()))
    return false;
  Call.m_Streamed = Stream != Call.m_Body.end() && Stream->get<bool>();
  if (!Out.m_Contract.m_Model.empty())
    Call.m_Body["model"] = Out.m_Contract.m_Model;
  if (*MaxTokens > 0) {
    // Of the two, an engine may go by the one that is left unlimited.
    Call.m_Body.erase("max_completion_tokens");
    Call.m_Body["max_tokens"] = *MaxTokens;
  }
  Out.m_MaxTokens = *MaxTokens;
  Out.m_PromptTokens =
      static_cast<std::uint32_t>(Prompt->size() / CharactersPerToken);
  Out.m_Prefixes = prefixHashes(*Prompt);
  Out.m_Call = std::move(Call);
  return true;
}

RefusalReason readServiceCall(const RawRequest &Raw, CallerRequest &Out) {
  const std::size_t Begin = std::string_view(ServicePrefix).size();
  const std::size_t Slash = Raw.m_Path.find('/', Begin);
  const std::string Name = Raw.m_Path.substr(Begin, Slash - Begin);
  if (Slash == std::string::npos || Name != Out.m_Contract.m_Service)
    return RefusalReason::UnknownPath;
  if (!Json::accept(Raw.m_Body))
    return RefusalReason::MalformedBody;
  Out.m_Call = ServiceCall{Raw.m_Path, Raw.m_Body, Raw.m_IdempotencyKey};
  return RefusalReason::None;
}

/// Returns a hash of workspace and key, so that a workspace can't address the
/// claim of another one.
claim::ClaimKey claimKeyOf(WorkspaceId Workspace, const std::string &Key) {
  const std::string Text = std::to_string(Workspace.value()) + "/" + Key;
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  std::array<char, 33> Hex{};
  std::snprintf(Hex.data(), Hex.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return Hex.data();
}

bool isEnginePath(const std::string &Path) {
  return isPath(Path, ChatPath) || isPath(Path, CompletionPath);
}

RefusalReason readEnvelope(const RawRequest &Raw, const Directory &Dir,
                           CallerRequest &Out) {
  if (Raw.m_Method != "POST" ||
      (!isEnginePath(Raw.m_Path) && Raw.m_Path.rfind(ServicePrefix, 0) != 0))
    return RefusalReason::UnknownPath;
  const std::string Key = bearerKey(Raw.m_Authorization);
  if (Key.empty())
    return RefusalReason::MissingKey;
  const std::optional<WorkspaceId> Workspace = Dir.workspaceOf(Key);
  if (!Workspace)
    return RefusalReason::UnknownKey;
  Out.m_Workspace = *Workspace;
  const Contract *Row = Dir.contract(Raw.m_Class);
  if (Row == nullptr)
    return RefusalReason::UnknownClass;
  Out.m_Contract = *Row;
  if (!isJsonType(Raw.m_ContentType))
    return RefusalReason::WrongContentType;
  if (nestsTooDeep(Raw.m_Body))
    return RefusalReason::MalformedBody;
  return RefusalReason::None;
}

RefusalReason readClaim(const RawRequest &Raw, CallerRequest &Out) {
  if (Out.m_Contract.m_Repeatable)
    return RefusalReason::None;
  if (Raw.m_IdempotencyKey.empty())
    return RefusalReason::KeyRequired;
  if (Raw.m_IdempotencyKey.size() > MaxIdempotencyKey)
    return RefusalReason::HeaderTooLarge;
  Out.m_ClaimKey = claimKeyOf(Out.m_Workspace, Raw.m_IdempotencyKey);
  const std::string Text = Raw.m_Class + "\n" + Raw.m_Path + "\n" + Raw.m_Body;
  Out.m_BodyHash = XXH3_64bits(Text.data(), Text.size());
  return RefusalReason::None;
}

RefusalReason readCall(const RawRequest &Raw, CallerRequest &Out) {
  if (!isEnginePath(Raw.m_Path))
    return readServiceCall(Raw, Out);
  return readEngineCall(Raw, Out) ? RefusalReason::None
                                  : RefusalReason::MalformedBody;
}

} // namespace

std::vector<std::uint64_t> prefixHashes(const std::string &Prompt) {
  std::vector<std::uint64_t> Result;
  for (std::size_t End = PrefixStep;
       End <= Prompt.size() && Result.size() < MaxPrefixes; End += PrefixStep)
    Result.push_back(XXH3_64bits(Prompt.data(), End));
  return Result;
}

Outcome readCallerRequest(const RawRequest &Raw, const Directory &Dir) {
  CallerRequest Result;
  RefusalReason Reason = readEnvelope(Raw, Dir, Result);
  if (Reason == RefusalReason::None)
    Reason = readClaim(Raw, Result);
  if (Reason == RefusalReason::None)
    Reason = readCall(Raw, Result);
  if (Reason != RefusalReason::None)
    return ReadRefusal{Reason, Result.m_Contract.m_Name};
  return Result;
}

} // namespace crowstep::entry
