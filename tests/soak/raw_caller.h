/// An HTTP/1.1 client that tells complete answers from truncated ones and
/// whether a connection may be reused. libsoup takes a close between chunks for
/// the end of the body.
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

  /// Starts a call, on an idle connection if there is one and the call allows
  /// reuse; the result is filled while the main loop runs.
  std::shared_ptr<const test::Told> start(const test::Call &Request);

  /// Closes all connections, idle or in use; open calls end as broken.
  void hangUp();

private:
  struct Flight;
  struct Connection;

  void begin(const std::shared_ptr<Flight> &Exchange);
  void write(const std::shared_ptr<Flight> &Exchange);
  void read(const std::shared_ptr<Flight> &Exchange);
  void finish(const std::shared_ptr<Flight> &Exchange, bool Complete);
  void arm(const std::shared_ptr<Flight> &Exchange, Duration Limit);

  std::map<Address, std::list<std::shared_ptr<Connection>>>
      m_Kept;                                  ///< By peer.
  std::set<std::shared_ptr<Flight>> m_Flights; ///< Not ended.
};

} // namespace crowstep::soak

#endif // CROWSTEP_TESTS_SOAK_RAW_CALLER_H
