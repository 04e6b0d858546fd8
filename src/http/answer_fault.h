/// Why answers of upstreams are not taken.
#ifndef CROWSTEP_HTTP_ANSWER_FAULT_H
#define CROWSTEP_HTTP_ANSWER_FAULT_H

#include "core/metrics.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace crowstep {

/// Why received bytes are no complete answer.
enum class AnswerFault : std::uint8_t {
  CutOff,         ///< The connection ended or failed within the answer.
  Malformed,      ///< Not HTTP, or longer than its limits.
  StatusLine,     ///< An invalid status, or a version other than 1.x.
  Header,         ///< A header with an invalid name or value.
  TransferCoding, ///< A body of an unknown coding, and so without a known end.
  Count,          ///< Number of faults; not a fault.
};

std::string_view nameOf(AnswerFault Fault);

/// Counts broken answers by fault.
class BrokenAnswerStats {
public:
  explicit BrokenAnswerStats(Metrics &Stats);

  void count(AnswerFault Fault);

private:
  std::array<Counter *, static_cast<std::size_t>(AnswerFault::Count)>
      m_Counters; ///< By fault.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_ANSWER_FAULT_H
