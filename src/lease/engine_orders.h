/// Orders to engines, sent under a lease and with its fencing number.
///
/// POST /v1/orders {"order","name","fencing"}; an engine that checks the number
/// answers 409 {"fencing": highest seen} to an outdated one. An engine answers
/// 429 with Retry-After when the weight store is at its rate limit.
#ifndef CROWSTEP_LEASE_ENGINE_ORDERS_H
#define CROWSTEP_LEASE_ENGINE_ORDERS_H

#include "core/metrics.h"
#include "core/scheduler.h"
#include "http/http_client.h"
#include "lease/lease_client.h"
#include "lease/token_bucket.h"

#include <deque>
#include <functional>
#include <memory>

namespace crowstep::lease {

/// What an engine can be ordered to do. All are idempotent.
enum class OrderKind : std::uint8_t {
  LoadModel,   ///< Load a model, or another version of it.
  LoadAdapter, ///< Load an adapter on top of a model.
  UnloadModel, ///< Free the memory of a model.
  SetRole,     ///< For example prefill or decode.
};

struct EngineOrder {
  Address m_Engine; ///< Address of its HTTP server.
  OrderKind m_Kind = OrderKind::LoadModel;
  std::string m_Name; ///< Model, adapter or role.
};

/// Outcome of an order.
enum class OrderOutcome : std::uint8_t {
  Done,    ///< The engine carried it out.
  Refused, ///< Rejected by the engine, or no connection to it.
  Unknown, ///< No answer or a server error; it may be carried out.
};

struct OrderConfig {
  LeaseConfig m_Lease;                               ///< Lease on the engines.
  Duration m_OrderTimeout = std::chrono::seconds(2); ///< Of one call.
  Duration m_LoadInterval = std::chrono::milliseconds(200); ///< Between loads.
  unsigned m_LoadBurst = 2;                                 ///< Loads at once.
};

/// Sends orders while it holds the lease, and requests the lease while it has
/// orders to send.
class EngineOrders {
public:
  using Done = std::function<void(OrderOutcome)>;

  EngineOrders(OrderConfig Config, const Clock &Time, Scheduler &Timers,
               platform::TableService &Store, HttpClientInterface &Http,
               Metrics &Stats);
  ~EngineOrders();
  EngineOrders(const EngineOrders &) = delete;
  EngineOrders &operator=(const EngineOrders &) = delete;

  /// Queues an order; \p OnDone runs once it has an outcome.
  void order(const EngineOrder &Order, Done OnDone);

  /// Returns how many orders wait or are in flight.
  [[nodiscard]] std::size_t pendingCount() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl; ///< Never null.
};

} // namespace crowstep::lease

#endif // CROWSTEP_LEASE_ENGINE_ORDERS_H
