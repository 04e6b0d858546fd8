/// Callers of the fleet under test: HTTP calls and what came of them.
#ifndef CROWSTEP_TESTS_PROCESS_CALLER_H
#define CROWSTEP_TESTS_PROCESS_CALLER_H

#include "core/clock.h"
#include "instance_type.h"

#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crowstep::test {

/// One call.
struct Call {
  std::string m_Method = "POST"; ///< HTTP method.
  Address m_Where;               ///< Entry, dispatcher or stand-in.
  std::string m_Path;            ///< Path.
  std::string m_Body;            ///< JSON, or empty.
  std::map<std::string, std::string> m_Headers; ///< Further headers.
  Duration m_Limit = std::chrono::seconds(30);  ///< For the whole call.
  bool m_KeepsOpen = false; ///< Its connection may serve further calls.
};

/// What a caller was told; m_Ended is false while the call goes on.
struct Told {
  bool m_Ended = false;     ///< The call is over.
  unsigned m_Status = 0;    ///< 0: no answer at all.
  std::string m_Run;        ///< Crowstep-Run.
  std::string m_RetryAfter; ///< Retry-After.
  std::string m_Body;       ///< As far as it came.
  bool m_Broken = false;    ///< The connection broke before the end.
  Duration m_Elapsed{};     ///< From the start to the end.
  Duration m_FirstByte{};   ///< From the start to the first byte.

  /// Returns the error's code, or an empty text.
  [[nodiscard]] std::string code() const;

  /// Returns the text of a completion, plain or streamed.
  [[nodiscard]] std::string text() const;

  /// Returns whether a streamed answer came to its regular end.
  [[nodiscard]] bool streamEnded() const;
};

/// Starts calls on the test's loop.
class Caller {
public:
  Caller();
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  /// Starts a call; the result fills while the loop runs.
  std::shared_ptr<const Told> start(const Call &Request);

  /// Makes a call and waits for its end.
  Told call(const Call &Request);

  /// Makes a call to a stand-in or an administration API and returns its JSON
  /// answer, or null.
  nlohmann::json json(const std::string &Method, const Address &Server,
                      const std::string &Path,
                      const nlohmann::json &Body = nullptr,
                      const std::string &Key = {});

  /// Gives up all calls on their way, as callers that go away.
  void hangUp();

private:
  SoupSession *m_Session; ///< Owned.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_CALLER_H
