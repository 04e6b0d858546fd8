/// Server-sent events, split into whole ones.
#ifndef CROWSTEP_HTTP_SSE_SPLITTER_H
#define CROWSTEP_HTTP_SSE_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crowstep {

/// A whole event.
struct SseEvent {
  std::string m_Bytes;               ///< As it came, with its blank line.
  std::optional<std::uint64_t> m_Id; ///< Its id field, if it is a number.
};

/// Splits a byte stream into whole events. Half an event is never handed out:
/// a stream that breaks off within one can then go on from another upstream.
class SseSplitter {
public:
  /// Takes bytes and returns the events that they complete.
  std::vector<SseEvent> feed(std::string_view Bytes);

  /// Returns whether bytes of an event that is not whole are held.
  [[nodiscard]] bool midEvent() const { return !m_Partial.empty(); }

private:
  std::string m_Partial; ///< Begin of an event that is not yet whole.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_SSE_SPLITTER_H
