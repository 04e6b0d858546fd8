/// A stand-in for an upstream that speaks the platform's published protocol,
/// keeps a ledger of its runs and has troubles.
#ifndef CROWSTEP_TESTS_SOAK_SOAK_UPSTREAM_H
#define CROWSTEP_TESTS_SOAK_SOAK_UPSTREAM_H

#include "core/http_server.h"
#include "soak/ledger.h"
#include "standin/held_answer.h"

#include <functional>
#include <random>

namespace crowstep::soak {

/// What is wrong with an upstream.
enum class Trouble : std::uint8_t {
  None,       ///< Nothing.
  Busy,       ///< It has no room: says that it did not run the call.
  Errors,     ///< Some of its answers are 500.
  Cuts,       ///< It breaks off some of its answers.
  AnswerLost, ///< It runs some calls and closes without an answer.
  Mute,       ///< It runs some calls and says nothing.
};

/// A request with this body crashes the upstream that runs it.
inline constexpr const char *CrashingBody = "crash";

class SoakUpstream {
public:
  /// \p OnCrash is called as a crashing request begins to run.
  SoakUpstream(std::string Name, Address Listen, Ledger &Runs,
               const Clock &Time, std::uint64_t Seed,
               std::function<void()> OnCrash);
  ~SoakUpstream();
  SoakUpstream(const SoakUpstream &) = delete;
  SoakUpstream &operator=(const SoakUpstream &) = delete;

  void setTrouble(Trouble Next) { m_Trouble = Next; }

  /// Says from now on that it closes its connections.
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

  std::string m_Name;                  ///< Of this start.
  Ledger &m_Ledger;                    ///< Outlives it.
  const Clock &m_Clock;                ///< Outlives it.
  std::mt19937_64 m_Random;            ///< Seeded.
  Trouble m_Trouble = Trouble::None;   ///< Now.
  bool m_Leaving = false;              ///< See leave().
  std::map<Answer *, unsigned> m_Open; ///< Answers and their timers.
  std::function<void()> m_OnCrash;     ///< Never empty.
  HttpServer m_Server;                 ///< Towards gateways.
};

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_SOAK_UPSTREAM_H
