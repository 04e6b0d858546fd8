/// Splitting of a byte stream into server-sent events.
#include "http/sse_splitter.h"

#include <charconv>

namespace crowstep {

namespace {

/// Returns the length through the first blank line, or npos if there is none.
std::size_t firstEventLength(std::string_view Text) {
  const std::size_t LfEnd = Text.find("\n\n");
  const std::size_t CrLfEnd = Text.find("\r\n\r\n");
  if (CrLfEnd < LfEnd)
    return CrLfEnd + 4;
  return LfEnd == std::string_view::npos ? LfEnd : LfEnd + 2;
}

std::optional<std::uint64_t> parseId(std::string_view Event) {
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
  m_Partial.append(Bytes);
  std::vector<SseEvent> Result;
  std::size_t Begin = 0;
  const std::string_view All = m_Partial;
  for (;;) {
    const std::string_view Remaining = All.substr(Begin);
    const std::size_t Length = firstEventLength(Remaining);
    if (Length == std::string_view::npos)
      break;
    const std::string_view Event = Remaining.substr(0, Length);
    Result.push_back({std::string(Event), parseId(Event)});
    Begin += Length;
  }
  m_Partial.erase(0, Begin);
  return Result;
}

} // namespace crowstep
