/// The log of the process under test.
#ifndef CROWSTEP_TESTS_UNIT_CAPTURED_LOG_H
#define CROWSTEP_TESTS_UNIT_CAPTURED_LOG_H

#include "core/log.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace crowstep::test {

/// Redirects standard error to a pipe, which the test reads when it wants.
/// Redirects standard error to a pipe, which the test reads when it wants.
class CapturedLog {
public:
  CapturedLog() : m_Saved(dup(STDERR_FILENO)) {
    std::array<int, 2> Ends{};
    BOOST_REQUIRE(pipe(Ends.data()) == 0);
    m_Read = Ends[0];
    fcntl(m_Read, F_SETFL, O_NONBLOCK);
    dup2(Ends[1], STDERR_FILENO);
    close(Ends[1]);
    startLogging("info", "test", LogTarget::StandardError);
  }
  ~CapturedLog() {
    dup2(m_Saved, STDERR_FILENO);
    close(m_Saved);
    close(m_Read);
  }
  CapturedLog(const CapturedLog &) = delete;
  CapturedLog &operator=(const CapturedLog &) = delete;

  /// Returns what was logged since the last call.
  std::string read() const {
    std::string Result;
    std::array<char, 4096> Buffer{};
    for (;;) {
      const ssize_t Size = ::read(m_Read, Buffer.data(), Buffer.size());
      if (Size <= 0)
        return Result;
      Result.append(Buffer.data(), static_cast<std::size_t>(Size));
    }
  }

private:
  int m_Saved;     ///< The original standard error.
  int m_Read = -1; ///< Read end of the pipe.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_CAPTURED_LOG_H
