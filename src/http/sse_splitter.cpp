/// Splitting of a byte stream into server-sent events.
#include "http/sse_splitter.h"

#include <charconv>

namespace crowstep {

namespace {

constexpr std::string_view LineEnds = "\r\n";

/// Returns the length of the line end at \p At: LF, CRLF or CR; 0: none.
std::size_t lineEndLength(std::string_view Text, std::size_t At) {
  if (LineEnds.find(Text[At]) == std::string_view::npos)
    return 0;
  return Text.substr(At).starts_with(LineEnds) ? LineEnds.size() : 1;
}

/// Returns the length through the first blank line, or npos if there is none.
std::size_t firstEventLength(std::string_view Text) {
  std::size_t At = Text.find_first_of(LineEnds);
  while (At != std::string_view::npos) {
    const std::size_t Length = lineEndLength(Text, At);
    const std::size_t Next = At + Length;
    if (Next == Text.size())
      break;
    const std::size_t NextLength = lineEndLength(Text, Next);
    // A CR that was received last may be half of a CRLF, unless lines end with
    // CR alone.
    const bool IsCrOnly = Length == 1 && Text[At] == '\r';
    if (NextLength > 0 && Text.substr(Next) == "\r" && !IsCrOnly)
      break;
    if (NextLength > 0)
      return Next + NextLength;
    At = Text.find_first_of(LineEnds, Next);
  }
  return std::string_view::npos;
}

std::optional<std::uint64_t> parseId(std::string_view Event) {
  std::optional<std::uint64_t> Result;
  while (!Event.empty()) {
    const std::size_t End =
        std::min(Event.find_first_of(LineEnds), Event.size() - 1);
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
