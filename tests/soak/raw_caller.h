/// Callers that see each byte: whether an answer came whole, and whether a
/// connection may serve on. libsoup takes a close amid chunks for an end.
#ifndef CROWSTEP_TESTS_SOAK_RAW_CALLER_H
#define CROWSTEP_TESTS_SOAK_RAW_CALLER_H

#include "process/caller.h"

#include <list>
#include <set>

namespace crowstep::soak {

class RawCaller {
public:
  RawCaller() = default;
  ~RawCaller();
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

  /// Starts a call, on a kept connection if there is one and the call allows
  /// it; the result fills while the loop runs.
  std::shared_ptr<const test::Told> start(const test::Call &Request);

  /// Closes all connections, those of calls under way too.
  void hangUp();

private:
  struct Flight;
  struct Connection;

  void begin(const std::shared_ptr<Flight> &Exchange);
  void write(const std::shared_ptr<Flight> &Exchange);
  void read(const std::shared_ptr<Flight> &Exchange);
  void finish(const std::shared_ptr<Flight> &Exchange, bool Complete);
  void arm(const std::shared_ptr<Flight> &Exchange, Duration Limit);

  std::map<Address, std::list<std::shared_ptr<Connection>>> m_Kept; ///< Idle.
  std::set<std::shared_ptr<Flight>> m_Flights; ///< Calls under way.
};

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_RAW_CALLER_H
