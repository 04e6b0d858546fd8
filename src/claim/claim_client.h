/// Client of the claim homes, used by entries.
#ifndef CROWSTEP_CLAIM_CLAIM_CLIENT_H
#define CROWSTEP_CLAIM_CLAIM_CLIENT_H

#include "claim/claim_type.h"
#include "core/scheduler.h"
#include "link/link_type.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crowstep::claim {

/// Number of claim homes that the keys are divided among, whatever the number
/// of dispatchers. It bounds the rate of writes to the table service, at
/// ClaimHomeCount / ClaimHomeConfig::m_Window.
inline constexpr std::uint64_t ClaimHomeCount = 4;

/// Returns the index of the home of \p Key, 0 to ClaimHomeCount - 1.
std::uint64_t homeIndexOf(const ClaimKey &Key);

/// Sends requests to the claim homes, and resends them when a reply is lost or
/// a home moves to another dispatcher. Requests are idempotent by their
/// attempt, so a duplicate does no harm.
class ClaimClient final : public Claims {
public:
  /// Returns the link to the dispatcher that is home \p Index at present, if
  /// there is one.
  using FindHome =
      std::function<std::optional<link::LinkId>(std::uint64_t Index)>;

  ClaimClient(const Clock &Time, Scheduler &Timers, link::Links &Links,
              FindHome Find);

  void claim(const ClaimKey &Key, std::uint64_t BodyHash,
             const AttemptId &Attempt, Duration Limit, Done OnDone) override;
  void recordNotRun(const ClaimKey &Key, const AttemptId &Attempt,
                    Done OnDone) override;
  void recordRan(const ClaimKey &Key, const AttemptId &Attempt,
                 const KeptAnswer &Answer, Done OnDone) override;
  void read(const ClaimKey &Key, std::uint64_t BodyHash, Done OnDone) override;

  /// Processes the claim replies in \p Frame.
  void linkFrame(const wire::Frame &Frame);

  /// Returns how many requests have no reply yet; a graceful shutdown waits
  /// until the records among them are written.
  [[nodiscard]] std::size_t pendingCount() const { return m_Pending.size(); }

private:
  struct PendingRequest {
    wire::ClaimRequestT m_Request; ///< Resent unchanged.
    TimePoint m_Deadline;          ///< Given up after this.
    TimePoint m_ResendAt;          ///< If no reply arrives before.
    bool m_Sent = false;           ///< A home may have received it.
    bool m_Uncertain = false;      ///< A write may have taken effect.
    Done m_OnDone;                 ///< Runs once.
  };
  /// The row of a claim that an attempt of this entry holds.
  struct HeldRow {
    std::uint64_t m_Version = 0;  ///< Of the row.
    std::uint64_t m_BodyHash = 0; ///< In the row.
  };

  void add(wire::ClaimRequestT Request, Duration Limit, Done OnDone);
  void send(PendingRequest &Request);
  void tick();
  void handleReply(const wire::ClaimReply &Reply);
  void finish(std::map<std::uint64_t, PendingRequest>::iterator Found,
              const ClaimOutcome &Outcome);

  const Clock &m_Clock;       ///< Outlives this object.
  link::Links &m_Links;       ///< Outlives this object.
  FindHome m_FindHome;        ///< Looks up the link to a home.
  Timer m_Timer;              ///< Runs while a request is pending.
  std::uint64_t m_LastId = 0; ///< Of requests; never reused.
  std::map<std::uint64_t, PendingRequest> m_Pending; ///< By request id.
  std::map<AttemptId, HeldRow> m_HeldRows; ///< By attempt, until its record.
};

} // namespace crowstep::claim

#endif // CROWSTEP_CLAIM_CLAIM_CLIENT_H
