/// An engine's server-sent events, split and understood.
#ifndef CROWSTEP_ENTRY_EVENT_STREAM_H
#define CROWSTEP_ENTRY_EVENT_STREAM_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace crowstep::entry {

/// What a run of bytes from an engine held.
struct EventBatch {
  std::string m_Events;       ///< Whole events, as they came, [DONE] included.
  std::uint32_t m_Tokens = 0; ///< Events with text.
  bool m_Done = false;        ///< The stream says that it is whole.
  bool m_Failed = false;      ///< The engine reports an error.
};

/// Splits a byte stream into whole events. Only whole ones are passed on: a
/// stream that breaks off within an event can then be resumed by another
/// engine without half an event before its first one.
class EventSplitter {
public:
  /// Takes bytes and returns the events that they complete.
  EventBatch feed(std::string_view Bytes);

private:
  std::string m_Rest; ///< Begin of an event that is not yet whole.
};

/// Collects the chunks of a stream into one plain answer.
class AnswerAssembler {
public:
  explicit AnswerAssembler(bool Chat) : m_Chat(Chat) {}

  /// Takes whole events. Returns false where one is not understood.
  bool feed(const std::string &Events);

  /// Forgets everything: another engine begins again.
  void clear();

  /// Returns the plain answer's JSON.
  [[nodiscard]] std::string answer(std::uint32_t PromptTokens,
                                   std::uint32_t Tokens) const;

private:
  bool feedChunk(const nlohmann::json &Chunk);

  bool m_Chat;                   ///< Form of the answer.
  nlohmann::json m_First;        ///< First chunk: id, model and the like.
  std::string m_Text;            ///< Joined.
  std::string m_Finish = "stop"; ///< Why the engine ended.
  nlohmann::json m_Usage;        ///< As the engine says; may be null.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_EVENT_STREAM_H
