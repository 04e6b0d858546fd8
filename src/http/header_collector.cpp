/// Joining of header fragments.
#include "http/header_collector.h"

namespace crowstep {

void HeaderCollector::clear() { *this = HeaderCollector(); }

void HeaderCollector::appendName(std::string_view Piece) {
  if (m_LastWasValue || m_Sizes.empty())
    m_Sizes.emplace_back();
  m_LastWasValue = false;
  m_Sizes.back().m_Name += static_cast<std::uint32_t>(Piece.size());
  m_Text.append(Piece);
}

void HeaderCollector::appendValue(std::string_view Piece) {
  m_LastWasValue = true;
  m_Sizes.back().m_Value += static_cast<std::uint32_t>(Piece.size());
  m_Text.append(Piece);
}

HeaderList HeaderCollector::take() {
  HeaderList Result;
  Result.reserve(m_Sizes.size());
  std::string_view Rest = m_Text;
  for (const FieldSize &Size : m_Sizes) {
    const std::string_view Name = Rest.substr(0, Size.m_Name);
    std::string_view Value = Rest.substr(Size.m_Name, Size.m_Value);
    Value = Value.substr(0, Value.find_last_not_of(" \t") + 1);
    Result.push_back({std::string(Name), std::string(Value)});
    Rest.remove_prefix(Size.m_Name + Size.m_Value);
  }
  clear();
  return Result;
}

std::size_t HeaderCollector::memoryBytes() const {
  return m_Text.capacity() + m_Sizes.capacity() * sizeof(FieldSize) +
         m_Text.size() + m_Sizes.size() * sizeof(HeaderField);
}

} // namespace crowstep
