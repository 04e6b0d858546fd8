/// Token texts with the hash of their prompt and their index in the answer.
#include "load/token_text.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace crowstep::load {

std::string promptOf(const nlohmann::json &Body) {
  if (Body.contains("prompt") && Body["prompt"].is_string())
    return Body["prompt"].get<std::string>();
  std::string Result;
  for (const nlohmann::json &Message :
       Body.value("messages", nlohmann::json::array())) {
    if (!Result.empty())
      Result += '\n';
    if (Message.contains("content") && Message["content"].is_string())
      Result += Message["content"].get<std::string>();
  }
  return Result;
}

std::uint32_t promptHashOf(const std::string &Prompt) {
  return static_cast<std::uint32_t>(XXH3_64bits(Prompt.data(), Prompt.size()));
}

std::string tokenText(std::uint64_t Index, std::uint32_t Hash) {
  std::array<char, 40> Text{};
  const int Size = std::snprintf(Text.data(), Text.size(), "t%llu.%08x ",
                                 static_cast<unsigned long long>(Index), Hash);
  return {Text.data(), static_cast<std::size_t>(Size)};
}

} // namespace crowstep::load
