/// Splitting and parsing of engines' server-sent events.
#ifndef CROWSTEP_ENTRY_EVENT_STREAM_H
#define CROWSTEP_ENTRY_EVENT_STREAM_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace crowstep::entry {

/// Events in bytes received from an engine.
struct EventBatch {
  std::string m_Events;       ///< Complete events, unchanged, with [DONE].
  std::uint32_t m_Tokens = 0; ///< Number of events with text.
  bool m_Done = false;        ///< [DONE] was received.
  bool m_Failed = false;      ///< The engine reports an error.
};

/// Splits a byte stream into events. Only complete events are passed on, so
/// that a stream that breaks off within an event can be resumed by another
/// engine without a partial event before the first one of that engine.
class EventSplitter {
public:
  /// Adds \p Bytes and returns the events that they complete.
  EventBatch feed(std::string_view Bytes);

private:
  std::string m_Incomplete; ///< Start of an incomplete event.
};

/// Assembles the chunks of a stream into an answer without streaming.
class AnswerAssembler {
public:
  explicit AnswerAssembler(bool Chat) : m_Chat(Chat) {}

  /// Adds complete events. Returns false if one can't be parsed.
  bool feed(const std::string &Events);

  /// Discards all chunks, as another engine starts from the beginning.
  void clear();

  /// Returns the answer as JSON.
  [[nodiscard]] std::string buildAnswer(std::uint32_t PromptTokens,
                                        std::uint32_t Tokens) const;

private:
  bool feedChunk(const nlohmann::json &Chunk);

  bool m_Chat;                         ///< Format of the answer.
  nlohmann::json m_FirstChunk;         ///< Source of id, model and created.
  std::string m_Text;                  ///< Text so far.
  std::string m_FinishReason = "stop"; ///< As the engine reports it.
  nlohmann::json m_Usage; ///< As the engine reports it; may be null.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_EVENT_STREAM_H
