/// Counts the bytes and messages of frames by mechanism.
#include "link/frame_counters.h"

#include <algorithm>

namespace crowstep::link {

namespace {

/// How one field of a frame is counted.
struct FieldRow {
  flatbuffers::voffset_t m_Field; ///< Offset of its slot in the vtable.
  Mechanism m_Mechanism;          ///< Counts its bytes and messages.
  bool m_IsVector;                ///< Contains several messages.
};

using F = wire::Frame;
using M = Mechanism;
constexpr FieldRow Fields[] = {
    {F::VT_HELLO, M::Framing, false},
    {F::VT_PROOF, M::Framing, false},
    {F::VT_BIDS, M::Serving, true},
    {F::VT_GRANTS, M::Serving, true},
    {F::VT_REFUSALS, M::Serving, true},
    {F::VT_PREEMPTS, M::Serving, true},
    {F::VT_WITHDRAWALS, M::Serving, true},
    {F::VT_FIRST_TOKENS, M::Serving, true},
    {F::VT_WORK_ENDS, M::Serving, true},
    {F::VT_RUNNING, M::Serving, true},
    {F::VT_NOT_OWNER, M::Serving, true},
    {F::VT_MEMBERS, M::Membership, true},
    {F::VT_HEARTBEAT, M::Membership, false},
    {F::VT_TABLE_UPDATE, M::Table, false},
    {F::VT_TABLE_REQUEST, M::Table, false},
    {F::VT_ATTACHMENT, M::Attachment, false},
    {F::VT_ATTACHMENT_ACK, M::Attachment, false},
    {F::VT_CLAIM_REQUESTS, M::Claims, true},
    {F::VT_CLAIM_REPLIES, M::Claims, true},
    {F::VT_MEMBER_NEWS, M::Membership, true},
    {F::VT_TABLE_PROBE, M::Table, false},
    {F::VT_TABLE_PROBE_ACK, M::Table, false},
    {F::VT_KNOWLEDGE, M::Attachment, false},
};

constexpr const char *MechanismNames[] = {"framing", "serving",    "membership",
                                          "table",   "attachment", "claims"};

/// The part of an encoded frame that one field occupies.
struct FieldExtent {
  const std::uint8_t *m_Start; ///< Lowest address.
  Mechanism m_Mechanism;       ///< Of the field.
  std::uint32_t m_Messages;    ///< Number of messages.
};

std::vector<FieldExtent> extentsOf(const wire::Frame &Frame) {
  // Frame inherits Table privately; the accessors below are those of Table.
  const auto *Root = reinterpret_cast<const flatbuffers::Table *>(&Frame);
  std::vector<FieldExtent> Result;
  for (const FieldRow &Row : Fields) {
    const auto *Start = Root->GetPointer<const std::uint8_t *>(Row.m_Field);
    if (Start == nullptr)
      continue;
    const std::uint32_t Count =
        Row.m_IsVector ? flatbuffers::ReadScalar<std::uint32_t>(Start) : 1;
    Result.push_back({Start, Row.m_Mechanism, Count});
  }
  return Result;
}

} // namespace

bool hasMessages(const wire::Frame &Frame) {
  // Checks the slots of the vtable instead of the rows above: a field that is
  // in the schema but missing in the rows must not pass the handshake.
  const auto *Root = reinterpret_cast<const flatbuffers::Table *>(&Frame);
  const auto Slots =
      flatbuffers::ReadScalar<flatbuffers::voffset_t>(Root->GetVTable());
  constexpr auto SlotSize = sizeof(flatbuffers::voffset_t);
  for (flatbuffers::voffset_t Slot = F::VT_HELLO; Slot < Slots;
       Slot += SlotSize)
    if (Slot != F::VT_HELLO && Slot != F::VT_PROOF && Root->CheckField(Slot))
      return true;
  return false;
}

FrameCounters::FrameCounters(Metrics &Stats, const std::string &Direction)
    : m_Bytes(&Stats.counter("crowstep_link_bytes_total",
                             {{"direction", Direction}})),
      m_Frames(&Stats.counter("crowstep_link_frames_total",
                              {{"direction", Direction}})) {
  for (std::size_t Index = 0; Index < MechanismCount; ++Index) {
    const Labels Series = {{"direction", Direction},
                           {"mechanism", MechanismNames[Index]}};
    m_MechanismBytes[Index] =
        &Stats.counter("crowstep_link_mechanism_bytes_total", Series);
    m_MechanismMessages[Index] =
        &Stats.counter("crowstep_link_messages_total", Series);
  }
}

void FrameCounters::count(const wire::Frame &Frame, Bytes Encoded) {
  m_Bytes->add(Encoded.size() + LengthSize);
  m_Frames->add();
  // The encoder writes one field after the other from the highest address
  // downwards, so that each field ends where the previous one starts.
  std::vector<FieldExtent> Extents = extentsOf(Frame);
  std::ranges::sort(Extents,
                    [](const FieldExtent &Left, const FieldExtent &Right) {
                      return Left.m_Start > Right.m_Start;
                    });
  const std::uint8_t *End = Encoded.data() + Encoded.size();
  for (const FieldExtent &Field : Extents) {
    const auto Index = static_cast<std::size_t>(Field.m_Mechanism);
    m_MechanismBytes[Index]->add(
        static_cast<std::uint64_t>(End - Field.m_Start));
    m_MechanismMessages[Index]->add(Field.m_Messages);
    End = Field.m_Start;
  }
  m_MechanismBytes[0]->add(static_cast<std::uint64_t>(End - Encoded.data()) +
                           LengthSize);
}

} // namespace crowstep::link
