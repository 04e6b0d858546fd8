/// The frame reader on valid, damaged and random bytes: each input yields
/// frames, a close reason or a request for more bytes, never a crash or a hang.
#define BOOST_TEST_MODULE link_codec
#include "link/frame_codec.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace crowstep;
using namespace crowstep::link;

namespace {

using Buffer = std::vector<std::uint8_t>;
constexpr std::uint32_t MaxFrame = 1U << 16;

/// The result of reading a whole stream.
struct Outcome {
  std::vector<wire::FrameT> m_Frames;
  std::optional<CloseReason> m_Reason;
};

/// Reads \p Stream in pieces of \p Step bytes and unpacks each frame, so that
/// all of its bytes are accessed.
Outcome readAll(const Buffer &Stream, std::size_t Step) {
  FrameReader Reader(MaxFrame);
  Outcome Result;
  for (std::size_t Start = 0; Start < Stream.size(); Start += Step) {
    Bytes Input =
        Bytes(Stream).subspan(Start, std::min(Step, Stream.size() - Start));
    while (true) {
      const ReadResult Read = Reader.read(Input);
      if (const auto *Rejection = std::get_if<Rejected>(&Read)) {
        Result.m_Reason = Rejection->m_Reason;
        return Result;
      }
      const auto *Received = std::get_if<FrameArrived>(&Read);
      if (Received == nullptr)
        break;
      Received->m_Frame->UnPackTo(&Result.m_Frames.emplace_back());
    }
  }
  return Result;
}

wire::FrameT randomFrame() {
  wire::FrameT Frame;
  const int Count = *rc::gen::inRange(0, 5);
  for (int Index = 0; Index < Count; ++Index) {
    auto Member = std::make_unique<wire::MemberT>();
    Member->instance = *rc::gen::arbitrary<std::string>();
    Member->incarnation = *rc::gen::arbitrary<std::uint64_t>();
    Frame.members.push_back(std::move(Member));
    Frame.refusals.emplace_back(*rc::gen::arbitrary<std::uint64_t>(), 1, 2);
  }
  if (*rc::gen::arbitrary<bool>()) {
    Frame.claim_requests.push_back(std::make_unique<wire::ClaimRequestT>());
    Frame.claim_requests.back()->answer = *rc::gen::arbitrary<std::string>();
  }
  return Frame;
}

Buffer streamOf(const std::vector<wire::FrameT> &Frames) {
  const auto Opening = preamble();
  Buffer Stream(Opening.begin(), Opening.end());
  for (const wire::FrameT &Frame : Frames)
    appendFrame(Frame, Stream);
  return Stream;
}

Buffer randomStream() {
  std::vector<wire::FrameT> Frames(*rc::gen::inRange<std::size_t>(1, 5));
  for (wire::FrameT &Frame : Frames)
    Frame = randomFrame();
  return streamOf(Frames);
}

} // namespace

RC_BOOST_PROP(FramesSurviveAnyCutOfTheStream, ()) {
  std::vector<wire::FrameT> Frames;
  Frames.push_back(randomFrame());
  Frames.push_back(randomFrame());
  const Buffer Stream = streamOf(Frames);
  const Outcome Read = readAll(Stream, *rc::gen::inRange<std::size_t>(1, 64));
  RC_ASSERT(!Read.m_Reason);
  RC_ASSERT(Read.m_Frames.size() == 2U);
  Buffer Before;
  Buffer After;
  for (std::size_t Index = 0; Index < 2; ++Index) {
    appendFrame(Frames[Index], Before);
    appendFrame(Read.m_Frames[Index], After);
  }
  RC_ASSERT(Before == After);
}

RC_BOOST_PROP(ForeignBytesAreRejectedAtThePreamble, (Buffer Noise)) {
  const auto Opening = preamble();
  Noise.resize(std::max(Noise.size(), PreambleSize));
  RC_PRE(!std::equal(Opening.begin(), Opening.end(), Noise.begin()));
  const Outcome Read = readAll(Noise, *rc::gen::inRange<std::size_t>(1, 64));
  const bool OnlySchema =
      std::equal(Opening.begin(), Opening.begin() + 6, Noise.begin());
  RC_ASSERT(Read.m_Reason ==
            (OnlySchema ? CloseReason::WrongSchema : CloseReason::Foreign));
}

RC_BOOST_PROP(NoiseAfterThePreambleNeverPasses, (const Buffer &Noise)) {
  Buffer Stream = streamOf({});
  const std::uint32_t Size = static_cast<std::uint32_t>(Noise.size());
  for (std::size_t Index = 0; Index < LengthSize; ++Index)
    Stream.push_back(static_cast<std::uint8_t>(Size >> (8U * Index)));
  Stream.insert(Stream.end(), Noise.begin(), Noise.end());
  const Outcome Read = readAll(Stream, *rc::gen::inRange<std::size_t>(1, 64));
  RC_ASSERT(Read.m_Reason.value_or(CloseReason::BadFrame) ==
            CloseReason::BadFrame);
}

/// Changed bytes in valid frames reach checks of the verifier that random bytes
/// do not reach, for offsets and lengths that point outside of the frame.
RC_BOOST_PROP(MutatedFramesAreReadOrRejected, ()) {
  Buffer Stream = randomStream();
  const int Changes = *rc::gen::inRange(1, 6);
  for (int Index = 0; Index < Changes; ++Index)
    Stream[*rc::gen::inRange<std::size_t>(PreambleSize, Stream.size())] =
        *rc::gen::arbitrary<std::uint8_t>();
  const Outcome Read = readAll(Stream, *rc::gen::inRange<std::size_t>(1, 64));
  const CloseReason Reason = Read.m_Reason.value_or(CloseReason::BadFrame);
  RC_ASSERT(Reason == CloseReason::BadFrame ||
            Reason == CloseReason::FrameTooLarge);
}

RC_BOOST_PROP(TruncatedStreamWaitsForMore, ()) {
  Buffer Stream = randomStream();
  const std::size_t FrameCount = readAll(Stream, 64).m_Frames.size();
  Stream.resize(Stream.size() - 1);
  const Outcome Read = readAll(Stream, 64);
  RC_ASSERT(!Read.m_Reason);
  RC_ASSERT(Read.m_Frames.size() == FrameCount - 1);
}

/// A length over the limit is rejected from its 4 bytes alone. The reader must
/// neither wait for the announced bytes nor allocate memory for them.
RC_BOOST_PROP(OversizedLengthIsRejectedAtOnce, ()) {
  Buffer Stream = streamOf({});
  const auto Size = *rc::gen::inRange<std::uint32_t>(MaxFrame + 1, UINT32_MAX);
  for (std::size_t Index = 0; Index < LengthSize; ++Index)
    Stream.push_back(static_cast<std::uint8_t>(Size >> (8U * Index)));
  RC_ASSERT(readAll(Stream, 64).m_Reason == CloseReason::FrameTooLarge);
}
