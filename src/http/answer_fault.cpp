/// Names and counters of the faults of answers.
#include "http/answer_fault.h"

namespace crowstep {

namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(AnswerFault::Count)>
    FaultNames = {"cut_off", "malformed", "status_line", "header",
                  "transfer_coding"};

} // namespace

std::string_view nameOf(AnswerFault Fault) {
  return FaultNames.at(static_cast<std::size_t>(Fault));
}

BrokenAnswerStats::BrokenAnswerStats(Metrics &Stats) {
  for (std::size_t I = 0; I < m_Counters.size(); ++I)
    m_Counters.at(I) = &Stats.counter(
        "crowstep_broken_answers_total",
        {{"reason", std::string(nameOf(static_cast<AnswerFault>(I)))}});
}

void BrokenAnswerStats::count(AnswerFault Fault) {
  m_Counters.at(static_cast<std::size_t>(Fault))->add();
}

} // namespace crowstep
