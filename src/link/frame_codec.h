/// Framing of links: one preamble, then length-prefixed FlatBuffers frames.
///
/// The reader does no I/O: it consumes received bytes and returns verified
/// frames, or the reason for which the link must be closed.
#ifndef CROWSTEP_LINK_FRAME_CODEC_H
#define CROWSTEP_LINK_FRAME_CODEC_H

#include "link/link_type.h"

#include <array>
#include <span>
#include <variant>
#include <vector>

namespace crowstep::link {

/// Version of src/wire/crowstep.fbs that this build supports.
inline constexpr std::uint16_t SchemaVersion = 1;

/// Bytes of the preamble: 6 of magic number, 2 of schema version.
inline constexpr std::size_t PreambleSize = 8;

/// Bytes of the length (little-endian) before each frame.
inline constexpr std::size_t LengthSize = 4;

using Bytes = std::span<const std::uint8_t>;

/// Returns the bytes that each side sends first.
std::array<std::uint8_t, PreambleSize> preamble();

/// Appends the length and the encoding of \p Frame to \p Output. Returns a view
/// of the encoding there, which is valid until \p Output changes.
Bytes appendFrame(const wire::FrameT &Frame, std::vector<std::uint8_t> &Output);

/// More bytes are needed.
struct NeedMore {};

/// A complete, verified frame; valid until the next read.
struct FrameArrived {
  const wire::Frame *m_Frame = nullptr; ///< Never null.
  Bytes m_Bytes;                        ///< The encoded frame.
};

/// The bytes violate the protocol; the link must be closed.
struct Rejected {
  CloseReason m_Reason = CloseReason::BadFrame;
};

using ReadResult = std::variant<NeedMore, FrameArrived, Rejected>;

/// Splits a stream of bytes into verified frames.
class FrameReader {
public:
  explicit FrameReader(std::uint32_t MaxFrame) : m_MaxFrame(MaxFrame) {}

  /// Sets the limit for subsequent frames.
  void setMaxFrame(std::uint32_t MaxFrame) { m_MaxFrame = MaxFrame; }

  /// Consumes the front of \p Input, at most up to the end of one frame. The
  /// reader must not be used again after it returned Rejected.
  ReadResult read(Bytes &Input);

private:
  /// The part of the stream that the next bytes belong to.
  enum class Part : std::uint8_t { Preamble, Length, Body };

  bool fill(Bytes &Input, std::size_t Size);
  ReadResult parsePreamble();
  ReadResult parseLength();
  ReadResult parseBody();

  std::uint32_t m_MaxFrame;           ///< Bytes; longer frames are rejected.
  Part m_Part = Part::Preamble;       ///< The part that m_Buffer holds.
  std::uint32_t m_Length = 0;         ///< Of the body during Part::Body.
  std::vector<std::uint8_t> m_Buffer; ///< Bytes of m_Part read so far.
  std::vector<std::uint8_t> m_Frame;  ///< The frame returned last.
};

} // namespace crowstep::link

#endif // CROWSTEP_LINK_FRAME_CODEC_H
