/// A stand-in for an upstream that speaks the platform's published protocol,
/// records its runs in the ledger and can be made to fail.
#ifndef CROWSTEP_TESTS_SOAK_SOAK_UPSTREAM_H
#define CROWSTEP_TESTS_SOAK_SOAK_UPSTREAM_H

#include "core/http_server.h"
#include "soak/ledger.h"
#include "standin/held_answer.h"

#include <functional>
#include <random>

namespace crowstep::soak {

/// Faults of an upstream. Each but None affects a random share of its requests.
enum class Trouble : std::uint8_t {
  None,       ///< Works as it should.
  Busy,       ///< Answers 503, marked as not executed.
  Errors,     ///< Runs the request and answers 500.
  Cuts,       ///< Closes the connection amid the answer.
  AnswerLost, ///< Runs the request, closes without an answer.
  Mute,       ///< Runs the request and never answers.
};

/// Body of a request that crashes the upstream that runs it.
inline constexpr const char *CrashingBody = "crash";

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

  void setTrouble(Trouble Next) { m_Trouble = Next; }

  /// Answers with Connection: close from now on.
  void leave() { m_Leaving = true; }

  [[nodiscard]] const std::string &name() const { return m_Name; }

private:
  struct Answer;

  void handle(SoupServerMessage *Message, const std::string &Path);
  void refuse(SoupServerMessage *Message, unsigned Status) const;
  static int onTick(void *Data);
  bool step(Answer &Open);
  bool sendNext(Answer &Open);
  void fillHeaders(const Answer &Open) const;
  bool happens();

  std::string m_Name;                  ///< Of this incarnation.
  Ledger &m_Ledger;                    ///< Outlives it.
  const Clock &m_Clock;                ///< Outlives it.
  std::mt19937_64 m_Random;            ///< Decides about faults.
  Trouble m_Trouble = Trouble::None;   ///< Currently.
  bool m_Leaving = false;              ///< See startDraining().
  std::map<Answer *, unsigned> m_Open; ///< With their timers.
  std::function<void()> m_OnCrash;     ///< Never empty.
  HttpServer m_Server;                 ///< Towards gateways.
};

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_SOAK_UPSTREAM_H
