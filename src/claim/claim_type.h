/// Claims make a call that may not be repeated run at most once.
///
/// An entry asks the claim home of the key (a dispatcher), which writes rows of
/// many entries in one call to the table service. These are the plain types.
#ifndef CROWSTEP_CLAIM_CLAIM_TYPE_H
#define CROWSTEP_CLAIM_CLAIM_TYPE_H

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <string>

namespace crowstep::claim {

/// Hash of workspace and idempotency key: the key of the claim's row. A
/// workspace can't name another's claim, as its own id is part of the hash.
using ClaimKey = std::string;

/// Unique for every attempt to make a claim, in all processes and for ever
/// (random); the attempt that reads itself in the row holds the claim.
using AttemptId = std::string;

/// The answer of a call that ran, kept for the key's repetition.
struct KeptAnswer {
  std::uint16_t m_Status = 0; ///< HTTP status.
  std::string m_ContentType;  ///< Of the body.
  std::string m_Body;         ///< Whole.

  bool operator==(const KeptAnswer &) const = default;
};

/// How long a claim is remembered; after that a key counts as new.
inline constexpr std::chrono::hours ClaimLifetime{24};

/// What came of asking for a claim.
enum class ClaimStatus : std::uint8_t {
  Owned,       ///< This attempt holds the claim: it, and nobody else, may send.
  InProgress,  ///< Another attempt holds it and its call has not ended.
  Ran,         ///< The key's call ran; its answer is given.
  OtherBody,   ///< The key came with another body before.
  Unavailable, ///< The table service is down; nothing was written.
  Done,        ///< The end of the call is recorded.
  Uncertain,   ///< The write may have taken effect.
};

struct ClaimOutcome {
  ClaimStatus m_Status = ClaimStatus::Unavailable; ///< See above.
  KeptAnswer m_Answer;                             ///< Of status Ran only.
};

/// Claims as an entry asks for them; mocked in tests. Each callback runs
/// exactly once and never from within the call that got it.
class Claims {
public:
  using Done = std::function<void(const ClaimOutcome &)>;
  virtual ~Claims() = default;

  /// Asks for the claim of \p Key by \p Attempt: Owned, InProgress, Ran,
  /// OtherBody, Unavailable or Uncertain. Asking again with the same attempt
  /// is idempotent.
  virtual void claim(const ClaimKey &Key, std::uint64_t BodyHash,
                     const AttemptId &Attempt, Duration Limit, Done OnDone) = 0;

  /// Gives the claim back: the call provably never ran, and the key may be
  /// tried again by anyone. Done or Uncertain.
  virtual void recordNotRun(const ClaimKey &Key, const AttemptId &Attempt,
                            Done OnDone) = 0;

  /// Keeps the answer for the key's repetition. Done, InProgress (the row is
  /// not this attempt's any more) or Uncertain.
  virtual void recordRan(const ClaimKey &Key, const AttemptId &Attempt,
                         const KeptAnswer &Answer, Done OnDone) = 0;

  /// Reads the state of another attempt's claim: InProgress, Ran, OtherBody,
  /// Done (no attempt holds it: it may be claimed) or Unavailable.
  virtual void read(const ClaimKey &Key, std::uint64_t BodyHash,
                    Done OnDone) = 0;
};

} // namespace crowstep::claim

#endif // CROWSTEP_CLAIM_CLAIM_TYPE_H
