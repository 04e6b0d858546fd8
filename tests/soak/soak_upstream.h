/// A stand-in for an upstream that speaks the platform's published protocol,
/// records its runs in the ledger and can be made to fail.
#ifndef CROWSTEP_TESTS_SOAK_SOAK_UPSTREAM_H
#define CROWSTEP_TESTS_SOAK_SOAK_UPSTREAM_H

#include "core/http_server.h"
#include "soak/ledger.h"
#include "standin/deferred_answer.h"

#include <functional>
#include <random>

namespace crowstep::soak {

/// Faults of an upstream. Each but None affects a random share of its requests.
enum class UpstreamFault : std::uint8_t {
  None,       ///< Works as it should.
  Busy,       ///< Answers 503, marked as not executed.
  Errors,     ///< Runs the request and answers 500.
  Cuts,       ///< Closes the connection amid the answer.
  AnswerLost, ///< Runs the request, closes without an answer.
  Mute,       ///< Runs the request and never answers.
  Pauses,     ///< Answers 503, not executed, and requests a pause.
};

/// Body of a request that crashes the upstream that runs it.
inline constexpr const char *CrashingBody = "crash";

/// Segment of a prompt that does so, as the header states it.
inline const std::string CrashingSegment = "dead";

/// Prefixes of paths whose answers outlast a shutdown, event by event or before
/// their begin, or are longer than a caller that doesn't read can take.
inline const std::string LongStreamPath = "/long-stream/";
inline const std::string HeldPath = "/held/";
inline const std::string LargePath = "/large/";

class SoakUpstream {
public:
  /// \p OnCrash is called as a crashing request starts to run. \p Name names
  /// this incarnation.
  SoakUpstream(std::string Name, Address Listen, Ledger &Runs,
               const Clock &Time, std::uint64_t Seed,
               std::function<void()> OnCrash);
  ~SoakUpstream();
  SoakUpstream(const SoakUpstream &) = delete;
  SoakUpstream &operator=(const SoakUpstream &) = delete;

  void setFault(UpstreamFault Next) { m_Fault = Next; }

  /// States in all answers from now on that it leaves, and closes their
  /// connections.
  void startDraining() { m_Draining = true; }

  [[nodiscard]] const std::string &name() const { return m_Name; }

  /// Returns its software version, with which its name ends.
  [[nodiscard]] std::string version() const { return versionOfRun(m_Name); }

private:
  struct OpenAnswer;

  void handle(SoupServerMessage *Message, const std::string &Path);
  void answerNotExecuted(SoupServerMessage *Message, unsigned Status) const;
  static int onTick(void *Data);
  bool continueAnswer(OpenAnswer &Open);
  bool sendNextPiece(OpenAnswer &Open);
  void fillHeaders(const OpenAnswer &Open) const;
  bool drawFault();

  std::string m_Name;                             ///< Of this incarnation.
  Ledger &m_Ledger;                               ///< Outlives it.
  const Clock &m_Clock;                           ///< Outlives it.
  std::mt19937_64 m_Random;                       ///< Decides about faults.
  UpstreamFault m_Fault = UpstreamFault::None;    ///< Currently.
  bool m_Draining = false;                        ///< See startDraining().
  std::map<OpenAnswer *, unsigned> m_OpenAnswers; ///< With their timers.
  std::function<void()> m_OnCrash;                ///< Never empty.
  HttpServer m_Server;                            ///< Towards gateways.
};

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_SOAK_UPSTREAM_H
