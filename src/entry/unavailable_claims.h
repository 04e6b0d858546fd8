/// Claims of an entry that knows no claim home: none can be made.
#ifndef CROWSTEP_ENTRY_UNAVAILABLE_CLAIMS_H
#define CROWSTEP_ENTRY_UNAVAILABLE_CLAIMS_H

#include "claim/claim_type.h"
#include "core/scheduler.h"

namespace crowstep::entry {

/// Every claim is refused, so that a call that may not be repeated is never
/// sent without one.
class UnavailableClaims final : public claim::Claims {
public:
  explicit UnavailableClaims(Scheduler &Timers) : m_Timers(Timers) {}

  void claim(const claim::ClaimKey &, std::uint64_t, const claim::AttemptId &,
             Duration, Done OnDone) override {
    later(std::move(OnDone), claim::ClaimStatus::Unavailable);
  }
  void recordNotRun(const claim::ClaimKey &, const claim::AttemptId &,
                    Done OnDone) override {
    later(std::move(OnDone), claim::ClaimStatus::Done);
  }
  void recordRan(const claim::ClaimKey &, const claim::AttemptId &,
                 const claim::KeptAnswer &, Done OnDone) override {
    later(std::move(OnDone), claim::ClaimStatus::Uncertain);
  }
  void read(const claim::ClaimKey &, std::uint64_t, Done OnDone) override {
    later(std::move(OnDone), claim::ClaimStatus::Unavailable);
  }

private:
  void later(Done OnDone, claim::ClaimStatus Status) {
    m_Timers.after(Duration::zero(), [OnDone = std::move(OnDone), Status] {
      OnDone({Status, {}});
    });
  }

  Scheduler &m_Timers; ///< Outlives this object.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_UNAVAILABLE_CLAIMS_H
