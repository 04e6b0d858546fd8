/// libsoup sessions for the calls to upstreams.
///
/// A session looks at all of its calls and connections for every call, so its
/// cost grows with their square. Each session therefore carries a bounded
/// number of calls to one upstream at a time; few calls share a session and its
/// kept connections, many are spread.
#ifndef CROWSTEP_HTTP_SESSION_POOL_H
#define CROWSTEP_HTTP_SESSION_POOL_H

#include "instance_type.h"

#include <cstddef>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <vector>

namespace crowstep {

/// Calls of one session at once.
inline constexpr std::size_t CallsPerSession = 16;

class SessionPool {
public:
  /// Holds a place in a session; given back when it goes.
  class Place {
  public:
    Place() = default;

    [[nodiscard]] SoupSession *session() const { return m_Session; }

  private:
    friend class SessionPool;
    SoupSession *m_Session = nullptr; ///< Of the pool.
    std::shared_ptr<void> m_Count;    ///< Its deleter counts down.
  };

  SessionPool() = default;
  ~SessionPool();
  SessionPool(const SessionPool &) = delete;
  SessionPool &operator=(const SessionPool &) = delete;

  /// Returns a place in the first session to \p Upstream that has room.
  Place take(const Address &Upstream);

private:
  struct Slot {
    SoupSession *m_Session = nullptr;     ///< Owned.
    std::shared_ptr<std::size_t> m_Calls; ///< Places taken; never null.
  };

  std::map<Address, std::vector<Slot>> m_Slots; ///< Grow as they are needed.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_SESSION_POOL_H
