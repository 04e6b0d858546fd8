/// Sessions by upstream.
#include "http/session_pool.h"

#include <algorithm>
#include <libsoup/soup.h>

namespace crowstep {

namespace {

/// libsoup's defaults (10 and 2) would queue calls out of our sight.
constexpr int MaxConnections = 1024;

/// Upstreams close an idle connection after about ten seconds; one that is
/// given up before is never found closed by a call.
constexpr unsigned IdleConnectionSeconds = 8;

SoupSession *newSession() {
  // Upstreams are reached by address; the default proxy resolver would load
  // the desktop's settings service.
  SoupSession *Session = soup_session_new_with_options(
      "max-conns", MaxConnections, "max-conns-per-host", MaxConnections,
      "timeout", 0U, "idle-timeout", IdleConnectionSeconds, "proxy-resolver",
      nullptr, nullptr);
  // Bodies are passed on as they come, never decoded.
  soup_session_remove_feature_by_type(Session, SOUP_TYPE_CONTENT_DECODER);
  return Session;
}

} // namespace

SessionPool::~SessionPool() {
  for (auto &[Where, Slots] : m_Slots)
    for (Slot &Each : Slots) {
      soup_session_abort(Each.m_Session);
      g_object_unref(Each.m_Session);
    }
}

SessionPool::Place SessionPool::take(const Address &Upstream) {
  std::vector<Slot> &Slots = m_Slots[Upstream];
  auto Free = std::find_if(Slots.begin(), Slots.end(), [](const Slot &Each) {
    return *Each.m_Calls < CallsPerSession;
  });
  if (Free == Slots.end()) {
    Slots.push_back({newSession(), std::make_shared<std::size_t>(0)});
    Free = std::prev(Slots.end());
  }
  const std::shared_ptr<std::size_t> Calls = Free->m_Calls;
  ++*Calls;
  Place Result;
  Result.m_Session = Free->m_Session;
  Result.m_Count =
      std::shared_ptr<void>(nullptr, [Calls](void *) { --*Calls; });
  return Result;
}

} // namespace crowstep
