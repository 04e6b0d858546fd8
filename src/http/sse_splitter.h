/// Splits a byte stream into server-sent events.
#ifndef CROWSTEP_HTTP_SSE_SPLITTER_H
#define CROWSTEP_HTTP_SSE_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crowstep {

/// A complete event.
struct SseEvent {
  std::string m_Bytes;               ///< As received, with its blank line.
  std::optional<std::uint64_t> m_Id; ///< Of its id field, if numeric.
};

/// Splits a byte stream into complete events. An incomplete event is never
/// returned, so a stream that breaks off within one can be resumed from another
/// upstream.
class SseSplitter {
public:
  /// Appends bytes and returns the events that they complete.
  std::vector<SseEvent> feed(std::string_view Bytes);

  /// Returns how much of an incomplete event has been received.
  [[nodiscard]] std::size_t partialBytes() const { return m_Partial.size(); }

  /// Returns whether part of an event has been received.
  [[nodiscard]] bool isMidEvent() const { return !m_Partial.empty(); }

private:
  std::string m_Partial; ///< Start of an incomplete event.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_SSE_SPLITTER_H
