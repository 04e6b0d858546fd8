/// Memory for bytes that wait for slow peers.
#include "core/buffer_budget.h"

#include <algorithm>

namespace crowstep {

BufferBudget::Part::~Part() {
  if (m_IsWaiting)
    m_Owner.m_Waiting.erase({m_Bytes, this});
  m_IsWaiting = false;
  resize(0);
}

void BufferBudget::Part::resize(std::size_t Bytes) {
  if (Bytes == m_Bytes)
    return;
  if (m_IsWaiting) {
    m_Owner.m_Waiting.erase({m_Bytes, this});
    m_Owner.m_Waiting.insert({Bytes, this});
  }
  const bool IsLess = Bytes < m_Bytes;
  m_Owner.m_UsedBytes -= m_Bytes;
  m_Owner.m_UsedBytes += Bytes;
  m_Bytes = Bytes;
  if (IsLess)
    m_Owner.notifyWaiting();
}

bool BufferBudget::Part::hasRoom() {
  if (m_Bytes == 0 || m_Bytes < m_Owner.maxPart())
    return true;
  wait();
  return false;
}

bool BufferBudget::Part::tryResize(std::size_t Bytes) {
  const std::size_t Others = m_Owner.m_UsedBytes - m_Bytes;
  const std::size_t Left =
      m_Owner.m_MaxBytes - std::min(m_Owner.m_MaxBytes, Others + Bytes);
  if (Bytes > m_Bytes && Others > 0 && Bytes > Left * FreeMultiple) {
    wait();
    return false;
  }
  resize(Bytes);
  return true;
}

void BufferBudget::Part::wait() {
  if (!m_IsWaiting)
    m_Owner.m_Waiting.insert({m_Bytes, this});
  m_IsWaiting = true;
}

/// A part that has waited goes on at half of what it may hold, so that it is
/// not stopped again by its next piece.
void BufferBudget::notifyWaiting() {
  if (m_IsNotifying)
    return;
  m_IsNotifying = true;
  while (!m_Waiting.empty()) {
    const auto [Bytes, First] = *m_Waiting.begin();
    if (Bytes > maxPart() / 2)
      break;
    m_Waiting.erase(m_Waiting.begin());
    First->m_IsWaiting = false;
    First->m_OnRoom();
  }
  m_IsNotifying = false;
}

} // namespace crowstep
