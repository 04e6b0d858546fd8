/// Claims as an entry makes them, through the claim home of each key.
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

/// Number of homes that share all keys, however many dispatchers there are: the
/// writes a second to the table service are bounded by homes over window.
inline constexpr std::uint64_t ClaimHomeCount = 4;

/// Returns which of the homes serves \p Key, 0 to ClaimHomeCount - 1.
std::uint64_t homeIndexOf(const ClaimKey &Key);

/// Asks the homes; asks again where an answer is lost or a home moves. Every
/// request is idempotent by its attempt, so asking twice does no harm.
class ClaimClient final : public Claims {
public:
  /// Returns the link to the dispatcher that is the home \p Index now, if
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

  /// Takes the replies in \p Frame.
  void linkFrame(const wire::Frame &Frame);

  /// Returns how many requests have no reply yet; a graceful shutdown waits
  /// until the records among them are written.
  [[nodiscard]] std::size_t pending() const { return m_Pending.size(); }

private:
  struct PendingRequest {
    wire::ClaimRequestT m_Request; ///< Sent again as it is.
    TimePoint m_Deadline;          ///< Then it is given up.
    TimePoint m_ResendAt;          ///< When no reply came.
    bool m_Sent = false;           ///< A home may have seen it.
    bool m_Uncertain = false;      ///< A write may have taken effect.
    Done m_OnDone;                 ///< Runs once.
  };
  /// What is known of a row that an attempt of this entry holds.
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
  FindHome m_FindHome;        ///< See above.
  Timer m_Timer;              ///< Runs while anything is pending.
  std::uint64_t m_LastId = 0; ///< Of requests; never reused.
  std::map<std::uint64_t, PendingRequest> m_Pending; ///< Without a final reply.
  std::map<AttemptId, HeldRow> m_HeldRows; ///< Rows that attempts here hold.
};

} // namespace crowstep::claim

#endif // CROWSTEP_CLAIM_CLAIM_CLIENT_H
