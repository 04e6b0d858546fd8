/// Joining of header fragments.
#include "http/header_collector.h"

#include <utility>

namespace crowstep {

void HeaderCollector::clear() {
  m_Headers.clear();
  m_LastWasValue = false;
}

void HeaderCollector::appendName(std::string_view Piece) {
  if (m_LastWasValue || m_Headers.empty())
    m_Headers.emplace_back();
  m_LastWasValue = false;
  m_Headers.back().m_Name.append(Piece);
}

void HeaderCollector::appendValue(std::string_view Piece) {
  m_LastWasValue = true;
  m_Headers.back().m_Value.append(Piece);
}

HeaderList HeaderCollector::take() {
  for (HeaderField &Field : m_Headers)
    Field.m_Value.resize(Field.m_Value.find_last_not_of(" \t") + 1);
  return std::exchange(m_Headers, {});
}

} // namespace crowstep
