/// Orders to engines, given under a lease and with its fencing number.
///
/// POST /v1/orders {"order","name","fencing"}; an engine that checks answers
/// 409 {"fencing": highest seen} to an old number, and 429 with Retry-After
/// when the weight store is at its limit.
#ifndef CROWSTEP_LEASE_ENGINE_ORDERS_H
#define CROWSTEP_LEASE_ENGINE_ORDERS_H

#include "core/metrics.h"
#include "core/scheduler.h"
#include "http/http_client.h"
#include "lease/lease_core.h"
#include "lease/token_bucket.h"

#include <deque>
#include <functional>
#include <memory>

namespace crowstep::lease {

/// What an engine can be ordered to do. All are idempotent.
enum class OrderKind : std::uint8_t {
  LoadModel,   ///< Or another version of it.
  LoadAdapter, ///< On top of a model.
  UnloadModel, ///< Free its memory.
  SetRole,     ///< For example prefill or decode.
};

struct EngineOrder {
  Address m_Engine;                        ///< Its HTTP server.
  OrderKind m_Kind = OrderKind::LoadModel; ///< What to do.
  std::string m_Name;                      ///< Model, adapter or role.
};

/// What became of an order.
enum class OrderOutcome : std::uint8_t {
  Done,    ///< The engine carried it out.
  Refused, ///< The engine won't, whoever asks.
  Unknown, ///< No answer; it may have been carried out.
};

struct OrderConfig {
  LeaseConfig m_Lease;                                      ///< Of the engines.
  Duration m_OrderLimit = std::chrono::seconds(2);          ///< Of one call.
  Duration m_LoadInterval = std::chrono::milliseconds(200); ///< Between loads.
  unsigned m_LoadBurst = 2;                                 ///< Loads at once.
};

/// Gives orders while it holds the lease; wants the lease while it has any.
class EngineOrders {
public:
  using Done = std::function<void(OrderOutcome)>;

  EngineOrders(OrderConfig Config, const Clock &Time, Scheduler &Timers,
               platform::TableService &Store, HttpCaller &Http, Metrics &Stats);
  ~EngineOrders();
  EngineOrders(const EngineOrders &) = delete;
  EngineOrders &operator=(const EngineOrders &) = delete;

  /// Queues an order; \p OnDone runs once it has an outcome.
  void order(const EngineOrder &Order, Done OnDone);

  /// Returns how many orders wait or are under way.
  [[nodiscard]] std::size_t pending() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl; ///< Never null.
};

} // namespace crowstep::lease

#endif // CROWSTEP_LEASE_ENGINE_ORDERS_H
