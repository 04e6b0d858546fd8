/// Names and HTTP statuses of refusal and retry reasons.
#include "refusal_type.h"

#include <array>

namespace crowstep {

namespace {

struct RefusalRow {
  std::string_view m_Name; ///< Stable name.
  unsigned m_Status;       ///< HTTP status.
};

/// In the order of RefusalReason.
constexpr std::array<RefusalRow, static_cast<std::size_t>(RefusalReason::Count)>
    RefusalRows = {{
        {"none", 200},
        {"malformed_body", 400},
        {"wrong_content_type", 415},
        {"body_too_large", 413},
        {"header_too_large", 431},
        {"slow_caller", 408},
        {"unknown_class", 404},
        {"missing_key", 401},
        {"unknown_key", 401},
        {"unknown_path", 404},
        {"key_required", 400},
        {"key_reused", 422},
        {"key_in_progress", 409},
        {"outcome_unknown", 409},
        {"class_concurrency", 429},
        {"class_rate", 429},
        {"class_tokens", 429},
        {"queue_full", 429},
        {"workspace_concurrency", 429},
        {"workspace_rate", 429},
        {"workspace_tokens", 429},
        {"target_unreachable", 503},
        {"displaced", 503},
        {"no_upstream", 503},
        {"no_dispatcher", 503},
        {"claim_unavailable", 503},
        {"retry_budget", 503},
        {"upstream_failed", 502},
        {"grant_expired", 503},
        {"shutting_down", 503},
        {"not_in_force", 503},
        {"caller_gone", 499},
        {"ambiguous_framing", 400},
        {"malformed_header", 400},
        {"timed_out", 504},
        {"upstream_refused", 503},
        {"quarantined", 503},
        {"upstream_limited", 503},
        {"upstream_paused", 503},
        {"upstream_brittle", 503},
        {"software_gone", 503},
        {"origin_unknown", 503},
        {"segment_quarantined", 503},
        {"no_memory", 503},
        {"internal_error", 500},
    }};

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(RetryReason::Count)>
    RetryNames = {"connect_failed",     "upstream_refused",  "upstream_leaving",
                  "closed_before_byte", "closed_mid_stream", "preempted",
                  "grant_expired",      "dispatcher_lost",   "path_lost"};

} // namespace

std::string_view nameOf(RefusalReason Reason) {
  return RefusalRows.at(static_cast<std::size_t>(Reason)).m_Name;
}

std::string_view nameOf(RetryReason Reason) {
  return RetryNames.at(static_cast<std::size_t>(Reason));
}

std::string_view nameOf(RunState State) {
  switch (State) {
  case RunState::NotRun:
    return "not-run";
  case RunState::Ran:
    return "run";
  case RunState::Unknown:
    return "unknown";
  }
  return "unknown";
}

unsigned httpStatusOf(RefusalReason Reason) {
  return RefusalRows.at(static_cast<std::size_t>(Reason)).m_Status;
}

} // namespace crowstep
