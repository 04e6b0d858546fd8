/// Claims: a non-idempotent call runs at most once for its idempotency key.
///
/// An entry sends its requests to the claim home of the key. That is a
/// dispatcher, which batches the rows of many entries into one call to the
/// table service. This file has the plain types and the entry's interface.
#ifndef CROWSTEP_CLAIM_CLAIM_TYPE_H
#define CROWSTEP_CLAIM_CLAIM_TYPE_H

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <string>

namespace crowstep::claim {

/// Hash of workspace and idempotency key: the key of the claim's row. As the
/// workspace's id is hashed too, no workspace can reach another's claims.
using ClaimKey = std::string;

/// Random id of one attempt to claim a key, unique over all processes and all
/// time. The attempt whose id is in the row holds the claim.
using AttemptId = std::string;

/// The stored answer of a call that ran; replayed when the key is used again.
struct KeptAnswer {
  std::uint16_t m_Status = 0; ///< HTTP status.
  std::string m_ContentType;  ///< Of the body.
  std::string m_Body;         ///< Complete.

  bool operator==(const KeptAnswer &) const = default;
};

/// Retention of a claim; after that its key counts as new.
inline constexpr std::chrono::hours ClaimLifetime{24};

/// Result of a claim request.
enum class ClaimStatus : std::uint8_t {
  Owned,       ///< This attempt holds the claim: only it may send the call.
  InProgress,  ///< Another attempt holds it and its call has not ended.
  Ran,         ///< The key's call ran; its stored answer is attached.
  OtherBody,   ///< The key was used with another body before.
  Unavailable, ///< Table service or claim home unreachable; nothing written.
  Done,        ///< Recorded; of a read: no attempt holds the claim.
  Uncertain,   ///< The write may have taken effect.
};

struct ClaimOutcome {
  ClaimStatus m_Status = ClaimStatus::Unavailable;
  KeptAnswer m_Answer; ///< With status Ran only.
};

/// The interface through which an entry makes claims; tests use a fake. Each
/// callback runs exactly once, and never from within the function it is passed
/// to.
class Claims {
public:
  using Done = std::function<void(const ClaimOutcome &)>;
  virtual ~Claims() = default;

  /// Requests the claim of \p Key for \p Attempt and waits for \p Limit at
  /// most: Owned, InProgress, Ran, OtherBody, Unavailable or Uncertain. A
  /// second request for the same attempt is idempotent.
  virtual void claim(const ClaimKey &Key, std::uint64_t BodyHash,
                     const AttemptId &Attempt, Duration Limit, Done OnDone) = 0;

  /// Releases the claim: the call provably never ran, and any attempt may
  /// claim the key again. Done, Uncertain, or Unavailable if it was never
  /// sent.
  virtual void recordNotRun(const ClaimKey &Key, const AttemptId &Attempt,
                            Done OnDone) = 0;

  /// Stores the answer for later uses of the key. Done, InProgress (the row is
  /// no longer this attempt's), Uncertain, or Unavailable if it was never sent.
  virtual void recordRan(const ClaimKey &Key, const AttemptId &Attempt,
                         const KeptAnswer &Answer, Done OnDone) = 0;

  /// Reads the state of another attempt's claim: InProgress, Ran, OtherBody,
  /// Done (no attempt holds it: it may be claimed), Unavailable, or Uncertain
  /// (no reply in time).
  virtual void read(const ClaimKey &Key, std::uint64_t BodyHash,
                    Done OnDone) = 0;
};

} // namespace crowstep::claim

#endif // CROWSTEP_CLAIM_CLAIM_TYPE_H
