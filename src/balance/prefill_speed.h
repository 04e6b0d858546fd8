/// Prefill speed of engines, estimated from times to first events.
#ifndef CROWSTEP_BALANCE_PREFILL_SPEED_H
#define CROWSTEP_BALANCE_PREFILL_SPEED_H

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace crowstep::balance {

/// A linear model for each service: a fixed time and a time per prompt token.
class PrefillSpeed {
public:
  /// A call with \p Tokens to prefill, to an engine with no other prefill, had
  /// its first event after \p Elapsed.
  void addSample(const std::string &Service, std::uint64_t Tokens,
                 Duration Elapsed);

  /// Returns the time to a first event after the prefill of \p Tokens, those
  /// of the call included.
  [[nodiscard]] Duration timeToFirstEvent(const std::string &Service,
                                          std::uint64_t Tokens) const;

  /// Returns the time that an engine takes to prefill one token.
  [[nodiscard]] std::chrono::duration<double, std::micro>
  perToken(const std::string &Service) const;

private:
  struct Speed {
    double m_BaseUs;     ///< Without tokens to prefill.
    double m_PerTokenUs; ///< For each token to prefill.
  };

  [[nodiscard]] Speed estimateOf(const std::string &Service) const;

  /// Of a mid-sized engine; used before the first sample.
  static constexpr Speed DefaultSpeed = {60000, 25};

  std::unordered_map<std::string, Speed> m_Speeds; ///< By service.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_PREFILL_SPEED_H
