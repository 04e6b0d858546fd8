/// The HTTP side towards callers: what a request must look like to be read.
#ifndef CROWSTEP_ENTRY_FRONT_H
#define CROWSTEP_ENTRY_FRONT_H

#include "core/http_server.h"
#include "core/scheduler.h"
#include "entry/caller_request.h"
#include "entry/entry_settings.h"
#include "entry/entry_stats.h"

#include <functional>
#include <map>
#include <memory>

namespace crowstep::entry {

/// Listens for callers and enforces the limits on headers, bodies and time.
class Front {
public:
  /// Gets requests that arrived whole and within the limits.
  using Handler = std::function<void(SoupServerMessage *, const RawRequest &)>;

  Front(const RequestLimits &Limits, EntryStats &Stats, Scheduler &Timers);
  ~Front();
  Front(const Front &) = delete;
  Front &operator=(const Front &) = delete;

  /// Begins to serve. \throws ListenError.
  void listen(const Address &Where, Handler OnRequest);

  /// Returns how many requests have arrived whose answers are not yet written.
  [[nodiscard]] std::size_t unfinished() const { return m_Unfinished; }

private:
  /// A request whose body has not arrived whole.
  struct Arrival {
    std::unique_ptr<Timer> m_Limit; ///< Runs until it has.
    std::size_t m_Size = 0;         ///< Of the body so far.
  };

  static void onStarted(SoupServer *, SoupServerMessage *Message, void *Self);
  static void onHeaders(SoupServerMessage *Message, void *Self);
  static void onChunk(SoupServerMessage *Message, GBytes *Chunk, void *Self);
  static void onArrived(SoupServerMessage *Message, void *Self);
  static void onFinished(SoupServerMessage *Message, void *Self);
  void slow(SoupServerMessage *Message);
  void handle(SoupServerMessage *Message);
  void refuse(SoupServerMessage *Message, RefusalReason Reason);

  RequestLimits m_Limits;       ///< From the settings.
  EntryStats &m_Stats;          ///< Outlives this object.
  Scheduler &m_Timers;          ///< Outlives this object.
  HttpServer m_Server;          ///< Towards callers.
  Handler m_Handler;            ///< See listen().
  std::size_t m_Unfinished = 0; ///< Handed on and not yet answered.
  std::map<SoupServerMessage *, Arrival> m_Arrivals; ///< Not yet whole.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_FRONT_H
