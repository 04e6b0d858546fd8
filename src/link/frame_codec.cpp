/// Framing of links.
#include "link/frame_codec.h"

#include <algorithm>

namespace crowstep::link {

namespace {

constexpr std::array<std::uint8_t, 6> Magic = {'C', 'R', 'W', 'S', 'T', 'P'};

// Limits of the verifier: a small frame whose offsets point at shared tables
// could otherwise occupy it for long.
constexpr std::uint32_t MaxDepth = 8;
constexpr std::uint32_t MaxTables = 200'000;

std::uint32_t readLittleEndian(const std::uint8_t *Data, std::size_t Size) {
  std::uint32_t Value = 0;
  for (std::size_t Index = Size; Index-- > 0;)
    Value = (Value << 8U) | Data[Index];
  return Value;
}

} // namespace

std::array<std::uint8_t, PreambleSize> preamble() {
  std::array<std::uint8_t, PreambleSize> Result{};
  std::copy(Magic.begin(), Magic.end(), Result.begin());
  Result[Magic.size()] = SchemaVersion & 0xFFU;
  Result[Magic.size() + 1] = SchemaVersion >> 8U;
  return Result;
}

Bytes appendFrame(const wire::FrameT &Frame,
                  std::vector<std::uint8_t> &Output) {
  flatbuffers::FlatBufferBuilder Builder(512);
  Builder.Finish(wire::Frame::Pack(Builder, &Frame));
  const std::uint32_t Size = Builder.GetSize();
  for (std::size_t Index = 0; Index < LengthSize; ++Index)
    Output.push_back(static_cast<std::uint8_t>(Size >> (8U * Index)));
  const std::size_t Start = Output.size();
  Output.insert(Output.end(), Builder.GetBufferPointer(),
                Builder.GetBufferPointer() + Size);
  return Bytes(Output).subspan(Start);
}

bool FrameReader::fill(Bytes &Input, std::size_t Size) {
  const std::size_t Count = std::min(Size - m_Buffer.size(), Input.size());
  m_Buffer.insert(m_Buffer.end(), Input.data(), Input.data() + Count);
  Input = Input.subspan(Count);
  return m_Buffer.size() == Size;
}

ReadResult FrameReader::read(Bytes &Input) {
  while (true) {
    const std::size_t Size = m_Part == Part::Preamble ? PreambleSize
                             : m_Part == Part::Length ? LengthSize
                                                      : m_Length;
    if (!fill(Input, Size))
      return NeedMore{};
    ReadResult Result = m_Part == Part::Preamble ? parsePreamble()
                        : m_Part == Part::Length ? parseLength()
                                                 : parseBody();
    if (!std::holds_alternative<NeedMore>(Result))
      return Result;
  }
}

ReadResult FrameReader::parsePreamble() {
  if (!std::equal(Magic.begin(), Magic.end(), m_Buffer.begin()))
    return Rejected{CloseReason::Foreign};
  if (readLittleEndian(m_Buffer.data() + Magic.size(), 2) != SchemaVersion)
    return Rejected{CloseReason::WrongSchema};
  m_Buffer.clear();
  m_Part = Part::Length;
  return NeedMore{};
}

ReadResult FrameReader::parseLength() {
  m_Length = readLittleEndian(m_Buffer.data(), LengthSize);
  if (m_Length > m_MaxFrame)
    return Rejected{CloseReason::FrameTooLarge};
  m_Buffer.clear();
  m_Part = Part::Body;
  return NeedMore{};
}

ReadResult FrameReader::parseBody() {
  // The body is at the start of its own vector and thus aligned as FlatBuffers'
  // accessors require, wherever it started in a read from the socket.
  m_Frame.swap(m_Buffer);
  m_Buffer.clear();
  m_Part = Part::Length;
  flatbuffers::Verifier Verifier(m_Frame.data(), m_Frame.size(), MaxDepth,
                                 MaxTables);
  if (!wire::VerifyFrameBuffer(Verifier))
    return Rejected{CloseReason::BadFrame};
  return FrameArrived{wire::GetFrame(m_Frame.data()), Bytes(m_Frame)};
}

} // namespace crowstep::link
