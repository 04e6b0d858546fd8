/// How fast engines read prompts, learned from first events.
#ifndef CROWSTEP_BALANCE_READING_SPEED_H
#define CROWSTEP_BALANCE_READING_SPEED_H

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace crowstep::balance {

/// A line through what was seen, by service: a fixed time and a time a token.
class ReadingSpeed {
public:
  /// A call to an engine with nothing else to read had its first event after
  /// \p Took, with \p Tokens to read.
  void seen(const std::string &Service, std::uint64_t Tokens, Duration Elapsed);

  /// Returns the time to a first event behind and with \p Tokens.
  [[nodiscard]] Duration timeFor(const std::string &Service,
                                 std::uint64_t Tokens) const;

private:
  struct Speed {
    double m_BaseUs;     ///< To a first event with nothing to read.
    double m_PerTokenUs; ///< For each token.
  };

  /// Before anything was seen: a mid-sized engine.
  static constexpr Speed Unseen = {60000, 25};

  std::unordered_map<std::string, Speed> m_Speeds; ///< By service.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_READING_SPEED_H
