/// Framing of links: a preamble once, then length-prefixed FlatBuffers frames.
///
/// The reader does no I/O: it is fed whatever bytes have arrived and hands out
/// verified frames or the reason for which the link must close.
#ifndef CROWSTEP_LINK_FRAME_CODEC_H
#define CROWSTEP_LINK_FRAME_CODEC_H

#include "link/link_type.h"

#include <array>
#include <span>
#include <variant>
#include <vector>

namespace crowstep::link {

/// Version of src/wire/crowstep.fbs that this build speaks.
inline constexpr std::uint16_t SchemaVersion = 1;

/// Bytes of the preamble: six of magic, two of schema version.
inline constexpr std::size_t PreambleSize = 8;

/// Bytes of the length (little endian) before each frame.
inline constexpr std::size_t LengthSize = 4;

using Bytes = std::span<const std::uint8_t>;

/// Returns what each side sends first.
std::array<std::uint8_t, PreambleSize> preamble();

/// Appends \p Frame with its length to \p Out and returns the frame as it
/// stands there; the view is valid until \p Out changes.
Bytes appendFrame(const wire::FrameT &Frame, std::vector<std::uint8_t> &Out);

/// More bytes are needed.
struct NeedMore {};

/// One whole frame, verified; valid until the next read.
struct FrameArrived {
  const wire::Frame *m_Frame = nullptr; ///< Never null.
  Bytes m_Bytes;                        ///< The encoded frame.
};

/// The bytes are not acceptable; the link must close.
struct Rejected {
  CloseReason m_Why = CloseReason::BadFrame; ///< For the counter.
};

using ReadResult = std::variant<NeedMore, FrameArrived, Rejected>;

/// Cuts a stream of bytes into verified frames.
class FrameReader {
public:
  explicit FrameReader(std::uint32_t MaxFrame) : m_MaxFrame(MaxFrame) {}

  /// Sets the limit for the frames to come.
  void setMaxFrame(std::uint32_t MaxFrame) { m_MaxFrame = MaxFrame; }

  /// Takes bytes from the front of \p Input up to the end of one frame. After
  /// Rejected the reader must not be used again.
  ReadResult read(Bytes &Input);

private:
  /// What the next bytes are.
  enum class Part : std::uint8_t { Preamble, Length, Body };

  bool fill(Bytes &Input, std::size_t Wanted);
  ReadResult takePreamble();
  ReadResult takeLength();
  ReadResult takeBody();

  std::uint32_t m_MaxFrame;           ///< Bytes; longer frames are rejected.
  Part m_Part = Part::Preamble;       ///< What m_Buffer is filled with.
  std::uint32_t m_Length = 0;         ///< Of the body while Part::Body.
  std::vector<std::uint8_t> m_Buffer; ///< The part that is being read.
  std::vector<std::uint8_t> m_Frame;  ///< The frame handed out last.
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_FRAME_CODEC_H
