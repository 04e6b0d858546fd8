/// HTTP client of the process tests: asynchronous calls and their results.
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

/// One HTTP request.
struct Call {
  std::string m_Method = "POST"; ///< HTTP method.
  Address m_Address;             ///< Server: entry, dispatcher or stand-in.
  std::string m_Path;            ///< Path, without scheme and host.
  std::string m_Body;            ///< JSON; empty: no body.
  std::map<std::string, std::string> m_Headers;  ///< Additional headers.
  Duration m_Timeout = std::chrono::seconds(30); ///< Of the whole call.
  bool m_KeepAlive = false; ///< Honoured by RawCaller only.
};

/// Result of a call; m_Ended is false while the call is in progress.
struct CallResult {
  bool m_Ended = false;            ///< The call has completed or failed.
  unsigned m_Status = 0;           ///< HTTP status; 0: no response head.
  std::string m_Run;               ///< Header Crowstep-Run.
  std::string m_RetryAfter;        ///< Header Retry-After.
  std::string m_LeavingUpstream;   ///< Signature of an answer with the header
                                   ///< Server-Leaving; by RawCaller only.
  std::string m_Body;              ///< Bytes received so far.
  bool m_ConnectionBroken = false; ///< The response is incomplete.
  Duration m_Elapsed{};            ///< From the start to the end.
  Duration m_FirstByteTime{};      ///< From the start to the first body byte.

  /// Returns the error code in the JSON body, or an empty string.
  [[nodiscard]] std::string errorCode() const;

  /// Returns the text of a completion, whether plain or streamed.
  [[nodiscard]] std::string completionText() const;

  /// Returns whether a streamed answer ended with "data: [DONE]".
  [[nodiscard]] bool isStreamComplete() const;
};

/// Returns how often \p Part occurs in \p Text.
std::size_t countOf(const std::string &Part, const std::string &Text);

/// Sends requests on the test's main loop.
class Caller {
public:
  Caller();
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  /// Starts a call; the result is filled in while the loop runs.
  std::shared_ptr<const CallResult> start(const Call &Request);

  /// Makes a call and runs the loop until it ends.
  CallResult call(const Call &Request);

  /// Calls a stand-in or an administration API, with \p Key as bearer token
  /// unless it is empty. Returns the JSON answer, or null if it is not JSON.
  nlohmann::json json(const std::string &Method, const Address &Server,
                      const std::string &Path,
                      const nlohmann::json &Body = nullptr,
                      const std::string &Key = {});

  /// Aborts all calls in progress, as callers that disconnect do.
  void cancelAll();

private:
  SoupSession *m_Session; ///< Owned.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_CALLER_H
