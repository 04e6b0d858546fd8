/// The epoll instance that watches all sockets.
#include "core/socket_watch.h"

#include <array>
#include <glib-unix.h>
#include <glib.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>

namespace crowstep {

namespace {

/// Maximum number of sockets reported per iteration; others follow in the next.
constexpr std::size_t MaxReady = 64;

std::uint32_t maskOf(SocketEvents Events) {
  std::uint32_t Result = 0;
  if (Events.m_Read)
    Result |= EPOLLIN;
  if (Events.m_Write)
    Result |= EPOLLOUT;
  if (Events.m_HungUp)
    Result |= EPOLLRDHUP;
  return Result;
}

SocketEvents eventsOf(std::uint32_t Mask) {
  const bool Failed = (Mask & (EPOLLHUP | EPOLLERR)) != 0;
  return {Failed || (Mask & EPOLLIN) != 0, Failed || (Mask & EPOLLOUT) != 0,
          Failed || (Mask & EPOLLRDHUP) != 0};
}

} // namespace

/// One epoll instance in one GLib source; lives as long as the process.
class SocketPoller {
public:
  static SocketPoller &instance() {
    static SocketPoller Instance;
    return Instance;
  }
  SocketPoller(const SocketPoller &) = delete;
  SocketPoller &operator=(const SocketPoller &) = delete;

  void add(SocketWatch &Watch, SocketEvents Events) {
    Watch.m_Id = ++m_LastId;
    epoll_event Event = eventFor(Watch, Events);
    m_Watches[Watch.m_Id] = &Watch;
    m_IdOf[Watch.m_Socket] = Watch.m_Id;
    // The descriptor may still be registered by a watch whose socket was closed
    // and its number reused.
    if (epoll_ctl(m_Epoll, EPOLL_CTL_ADD, Watch.m_Socket, &Event) != 0)
      epoll_ctl(m_Epoll, EPOLL_CTL_MOD, Watch.m_Socket, &Event);
  }

  void change(const SocketWatch &Watch, SocketEvents Events) {
    epoll_event Event = eventFor(Watch, Events);
    if (owns(Watch))
      epoll_ctl(m_Epoll, EPOLL_CTL_MOD, Watch.m_Socket, &Event);
  }

  void remove(SocketWatch &Watch) {
    if (owns(Watch)) {
      epoll_ctl(m_Epoll, EPOLL_CTL_DEL, Watch.m_Socket, nullptr);
      m_IdOf.erase(Watch.m_Socket);
    }
    m_Watches.erase(Watch.m_Id);
    Watch.m_Id = 0;
  }

private:
  SocketPoller() : m_Epoll(epoll_create1(EPOLL_CLOEXEC)) {
    static GSourceFuncs Functions = {nullptr, nullptr, dispatch,
                                     nullptr, nullptr, nullptr};
    m_Source = g_source_new(&Functions, sizeof(GSource));
    g_source_add_unix_fd(m_Source, m_Epoll, G_IO_IN);
    g_source_attach(m_Source, nullptr);
  }
  ~SocketPoller() {
    g_source_destroy(m_Source);
    g_source_unref(m_Source);
    close(m_Epoll);
  }

  static gboolean dispatch(GSource *, GSourceFunc, gpointer) {
    instance().report();
    return G_SOURCE_CONTINUE;
  }

  static epoll_event eventFor(const SocketWatch &Watch, SocketEvents Events) {
    epoll_event Result{};
    Result.events = maskOf(Events);
    Result.data.u64 = Watch.m_Id;
    return Result;
  }

  /// Returns whether the socket's number is still that of \p Watch: after a
  /// close another watch may have it.
  [[nodiscard]] bool owns(const SocketWatch &Watch) const {
    const auto Found = m_IdOf.find(Watch.m_Socket);
    return Found != m_IdOf.end() && Found->second == Watch.m_Id;
  }

  void report() {
    std::array<epoll_event, MaxReady> Ready{};
    const int Count = epoll_wait(m_Epoll, Ready.data(), MaxReady, 0);
    for (int Index = 0; Index < Count; ++Index) {
      // A listener called earlier in this loop may have destroyed this watch.
      const auto Found = m_Watches.find(Ready[Index].data.u64);
      if (Found != m_Watches.end())
        Found->second->m_Listener->socketReady(eventsOf(Ready[Index].events));
    }
  }

  int m_Epoll;                ///< Owned.
  GSource *m_Source;          ///< Owned.
  std::uint64_t m_LastId = 0; ///< Ids start at 1.
  std::unordered_map<std::uint64_t, SocketWatch *> m_Watches; ///< By id.
  std::unordered_map<int, std::uint64_t> m_IdOf; ///< Latest watch of each
                                                 ///< descriptor.
};

SocketWatch::SocketWatch(int Socket, SocketListener &Listener)
    : m_Socket(Socket), m_Listener(&Listener) {}

SocketWatch::~SocketWatch() { setEvents({}); }

void SocketWatch::setEvents(SocketEvents Events) {
  if (Events == m_Events)
    return;
  if (m_Id == 0)
    SocketPoller::instance().add(*this, Events);
  else if (Events == SocketEvents())
    SocketPoller::instance().remove(*this);
  else
    SocketPoller::instance().change(*this, Events);
  m_Events = Events;
}

} // namespace crowstep
