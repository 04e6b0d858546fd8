/// Server-sent events, split into whole ones.
#include "http/sse_splitter.h"

#include <charconv>

namespace crowstep {

namespace {

/// Returns the length up to and with the first blank line, or npos.
std::size_t lengthOfFirst(std::string_view Text) {
  const std::size_t Plain = Text.find("\n\n");
  const std::size_t Carriage = Text.find("\r\n\r\n");
  if (Carriage < Plain)
    return Carriage + 4;
  return Plain == std::string_view::npos ? Plain : Plain + 2;
}

std::optional<std::uint64_t> idOf(std::string_view Event) {
  std::optional<std::uint64_t> Result;
  while (!Event.empty()) {
    const std::size_t End = std::min(Event.find('\n'), Event.size() - 1);
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(End + 1);
    if (!Line.starts_with("id:"))
      continue;
    Line.remove_prefix(3);
    if (Line.starts_with(" "))
      Line.remove_prefix(1);
    std::uint64_t Id = 0;
    if (std::from_chars(Line.data(), Line.data() + Line.size(), Id).ec ==
        std::errc())
      Result = Id;
  }
  return Result;
}

} // namespace

std::vector<SseEvent> SseSplitter::feed(std::string_view Bytes) {
  m_Rest.append(Bytes);
  std::vector<SseEvent> Result;
  std::size_t Begin = 0;
  const std::string_view All = m_Rest;
  for (;;) {
    const std::string_view Left = All.substr(Begin);
    const std::size_t Length = lengthOfFirst(Left);
    if (Length == std::string_view::npos)
      break;
    const std::string_view Event = Left.substr(0, Length);
    Result.push_back({std::string(Event), idOf(Event)});
    Begin += Length;
  }
  m_Rest.erase(0, Begin);
  return Result;
}

} // namespace crowstep
