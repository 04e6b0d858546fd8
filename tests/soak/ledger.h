/// What callers asked and were told, what upstreams ran, and what must hold.
#ifndef CROWSTEP_TESTS_SOAK_LEDGER_H
#define CROWSTEP_TESTS_SOAK_LEDGER_H

#include "core/clock.h"
#include "process/caller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crowstep::soak {

/// Kinds of routes.
enum class Kind : std::uint8_t {
  Once,      ///< At most once.
  Again,     ///< May run again.
  Stream,    ///< Not resumable.
  Resumable, ///< Resumable.
};

/// A run at an upstream.
struct Run {
  std::string m_Upstream; ///< Name of that start of it.
  TimePoint m_At;         ///< When it began.
  bool m_Continues;       ///< It began after an event that was given.
};

/// One call of a caller.
struct Asked {
  Kind m_Kind = Kind::Once;                 ///< Of its route.
  int m_Gateway = 0;                        ///< Who was asked.
  unsigned m_Lifetime = 0;                  ///< Which start of it.
  unsigned m_TableVersion = 0;              ///< Its route's; 0: in all.
  TimePoint m_At;                           ///< When it was sent.
  std::shared_ptr<const test::Told> m_Told; ///< Fills while the loop runs.
  std::vector<Run> m_Runs;                  ///< So far.
  bool m_Crashing = false;                  ///< Crashes what runs it.
  TimePoint m_GatewayStart;                 ///< Of that start of it.
  bool m_Judged = false;                    ///< After its end.
};

/// A promise that was broken.
struct Violation {
  std::string m_Check; ///< Name of the promise.
  std::string m_What;  ///< The call and what was seen.
};

/// Spans of time in which something is excused.
using Spans = std::vector<std::pair<TimePoint, TimePoint>>;

class Ledger {
public:
  void asked(const std::string &Id, Asked Request) {
    m_Calls[Id] = std::move(Request);
  }
  void ran(const std::string &Id, Run Started);

  /// A request reached \p Upstream, whether it ran or not.
  void arrived(const std::string &Id, TimePoint Now);

  /// The store has acknowledged that \p Upstream leaves.
  void leaves(const std::string &Upstream, TimePoint Now) {
    m_Leaving.emplace(Upstream, Now);
  }

  /// An upstream crashed under the crashing request; its row goes at \p Gone.
  void crashed(TimePoint RowRemoved) { m_CrashesKnown.push_back(RowRemoved); }

  /// The store holds a newer table.
  void tableChanged(unsigned Version, TimePoint Now) {
    m_Tables.emplace(Version, Now);
  }

  /// A gateway can't know what the store holds.
  void blind(TimePoint From, TimePoint To) { m_Blind.emplace_back(From, To); }

  /// The driver, and the store with it, did not run.
  void stalled(TimePoint From, TimePoint To) {
    blind(From, To);
    m_Stalled.push_back(To - From);
  }

  /// A gateway was told to stop in a time without other troubles.
  void calmStop(int Gateway, TimePoint From, TimePoint To) {
    m_CalmStops.push_back({Gateway, From, To});
  }

  /// Judges the calls that have ended since the last time.
  void judge();

  /// Whether service came back in time after the last trouble.
  void judgeRecovery(bool Recovered) {
    ++m_Checked["recovery"];
    if (!Recovered)
      violated("recovery", "service did not recover in time");
  }

  /// Judges what only the end shows.
  void judgeAll();

  /// Returns the share of calls served among those sent and ended in a span,
  /// or 0 where there are none.
  [[nodiscard]] double servedShare(TimePoint From, TimePoint To) const;

  /// Prints calls by outcome, checks and violations.
  void report() const;

  [[nodiscard]] const std::vector<Violation> &violations() const {
    return m_Violations;
  }

private:
  struct CalmStop {
    int m_Gateway;    ///< Which.
    TimePoint m_From; ///< The signal.
    TimePoint m_To;   ///< Its end.
  };

  void violated(const std::string &Check, const std::string &Details) {
    m_Violations.push_back({Check, Details});
  }
  void judgeAnswer(const std::string &Id, const Asked &Request);
  void judgeStream(const std::string &Id, const Asked &Request);
  void judgeVersion(const std::string &Id, const Asked &Request);
  void judgeStops(const std::string &Id, const Asked &Request);
  void judgeRuns(const std::string &Id, const Asked &Request);
  void judgeLeaving(const std::string &Id, const Asked &Request);
  void judgeBudget();
  void judgeCrashing();
  [[nodiscard]] bool inTouch(const Asked &Request, TimePoint At) const;
  [[nodiscard]] TimePoint knownBy(TimePoint Written) const;

  std::map<std::string, Asked> m_Calls;       ///< By attempt's id.
  std::map<std::string, int> m_Arrivals;      ///< By attempt's id.
  std::vector<TimePoint> m_Again;             ///< Arrivals after the first.
  std::vector<TimePoint> m_CrashesKnown;      ///< See crashed().
  std::map<std::string, TimePoint> m_Leaving; ///< By upstream.
  std::map<unsigned, TimePoint> m_Tables;     ///< When each was written.
  Spans m_Blind;                              ///< See blind().
  std::vector<Duration> m_Stalled;            ///< See stalled().
  std::vector<CalmStop> m_CalmStops;          ///< See calmStop().
  /// The newest table seen in force, by gateway and its start.
  std::map<std::pair<int, unsigned>, std::pair<unsigned, TimePoint>> m_Newest;
  std::map<std::string, int> m_Checked; ///< By promise.
  std::vector<Violation> m_Violations;  ///< All.
};

/// Bound on repeats that the fleet under test is given: so small that some
/// seconds of errors everywhere would go beyond it.
inline constexpr double RetryRatio = 0.05;
inline constexpr double RetrySlack = 20;
inline constexpr Duration RetryWindow = std::chrono::seconds(10);

/// Nothing may begin at a leaving upstream this long after the store has
/// acknowledged its leave.
inline constexpr std::chrono::milliseconds DrainBound{2000};

/// A gateway must know what the store holds this long after a trouble between
/// them.
inline constexpr std::chrono::milliseconds SettleBound{3000};

/// Runs of a request that has crashed three upstreams, by gateways that can
/// know of it.
inline constexpr std::size_t RunsAfterCrashes = 3;

/// Events of a stream.
inline constexpr int EventsOfStream = 8;

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_LEDGER_H
