/// Orders to engines, sent under a lease.
#include "lease/engine_orders.h"

#include "core/log.h"

#include <nlohmann/json.hpp>

namespace crowstep::lease {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds DefaultRetryAfter{1};

/// An order that is fenced this often is refused: each attempt renews the
/// lease, so an engine that answers 409 for another reason would cause an
/// endless series of writes to the table service.
constexpr unsigned MaxFencedAttempts = 4;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned MinServerError = 500; ///< This status and higher.

const char *nameOf(OrderKind Kind) {
  switch (Kind) {
  case OrderKind::LoadModel:
    return "load_model";
  case OrderKind::LoadAdapter:
    return "load_adapter";
  case OrderKind::UnloadModel:
    return "unload_model";
  case OrderKind::SetRole:
    return "set_role";
  }
  return "";
}

/// Loads read the weight store, which limits their rate.
bool readsWeights(OrderKind Kind) {
  return Kind == OrderKind::LoadModel || Kind == OrderKind::LoadAdapter;
}

FencingNumber highestSeen(const HttpAnswer &Answer) {
  const json Body = json::parse(Answer.m_Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("fencing") ||
      !Body["fencing"].is_number_unsigned())
    return {};
  return FencingNumber(Body["fencing"].get<std::uint64_t>());
}

} // namespace

/// Callbacks hold a weak reference to m_Alive: those of calls that are still in
/// flight when this object is destroyed do nothing.
class EngineOrders::Impl {
public:
  Impl(OrderConfig Config, const Clock &Time, Scheduler &Timers,
       platform::TableService &Store, HttpClientInterface &Http, Metrics &Stats)
      : m_Config(std::move(Config)), m_Clock(Time), m_HttpClient(Http),
        m_Lease(m_Config.m_Lease, Time, Timers, Store, Stats,
                [this] { processQueue(); }),
        m_LoadBucket(m_Config.m_LoadInterval, m_Config.m_LoadBurst, Time.now()),
        m_Sent(Stats.counter("crowstep_orders_total", {{"event", "sent"}})),
        m_Fenced(Stats.counter("crowstep_orders_total", {{"event", "fenced"}})),
        m_RateLimited(
            Stats.counter("crowstep_orders_total", {{"event", "limited"}})) {}

  void order(const EngineOrder &Order, Done OnDone) {
    m_Waiting.push_back({Order, std::move(OnDone), 0});
    processQueue();
  }

  [[nodiscard]] std::size_t pendingCount() const {
    return m_Waiting.size() + m_InFlight;
  }

private:
  struct PendingOrder {
    EngineOrder m_Order;
    Done m_OnDone;              ///< Runs once.
    unsigned m_FencedCount = 0; ///< Attempts that were fenced.
  };

  template <typename Result, typename Function>
  std::function<void(Result)> guarded(Function Callback) {
    return [Alive = std::weak_ptr<bool>(m_Alive), Callback](Result Value) {
      if (!Alive.expired())
        Callback(Value);
    };
  }

  void processQueue() {
    m_Lease.setWanted(pendingCount() > 0);
    while (!m_Waiting.empty() && trySendFirst()) {
    }
  }

  /// Sends the first order if the lease and the rate limit of loads allow it.
  bool trySendFirst() {
    const TimePoint Now = m_Clock.readNow();
    if (!m_Lease.fencingFor(m_Config.m_OrderTimeout))
      return false;
    const bool Load = readsWeights(m_Waiting.front().m_Order.m_Kind);
    if (Load && !m_LoadBucket.tryTake(Now))
      return false;
    PendingOrder Next = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    // Check again with a fresh clock reading as the last step: the process may
    // have been frozen since the check above, and the lease have expired.
    const auto Fencing = m_Lease.fencingFor(m_Config.m_OrderTimeout);
    if (!Fencing) {
      m_Waiting.push_front(std::move(Next));
      return false;
    }
    send(std::move(Next), *Fencing);
    return true;
  }

  void send(PendingOrder Next, FencingNumber Fencing) {
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Address = Next.m_Order.m_Engine;
    Call.m_Path = "/v1/orders";
    Call.m_Body = json{{"order", nameOf(Next.m_Order.m_Kind)},
                       {"name", Next.m_Order.m_Name},
                       {"fencing", Fencing.value()}}
                      .dump();
    Call.m_Timeout = m_Config.m_OrderTimeout;
    m_Sent.add();
    ++m_InFlight;
    m_Lease.recordCallStarted();
    logEvent(LogEvent::OrderSent,
             {{"order", nameOf(Next.m_Order.m_Kind)},
              {"engine", toString(Next.m_Order.m_Engine)},
              {"fencing", std::to_string(Fencing.value())}});
    m_HttpClient.call(Call, guarded<HttpResult>([this, Next = std::move(Next)](
                                                    const HttpResult &Result) {
                        --m_InFlight;
                        m_Lease.recordCallEnded();
                        handleResult(Next, Result);
                        processQueue();
                      }));
  }

  void handleResult(const PendingOrder &Sent, const HttpResult &Result) {
    const auto *Answer = std::get_if<HttpAnswer>(&Result);
    if (Answer == nullptr) {
      const bool NotSent =
          std::get<HttpFailure>(Result) == HttpFailure::NotSent;
      Sent.m_OnDone(NotSent ? OrderOutcome::Refused : OrderOutcome::Unknown);
    } else if (Answer->m_Status == StatusConflict) {
      handleFenced(Sent, *Answer);
    } else if (Answer->m_Status == StatusTooManyRequests) {
      m_RateLimited.add();
      const bool HasRetryAfter = Answer->m_RetryAfter > Duration::zero();
      m_LoadBucket.pauseUntil(m_Clock.now() + (HasRetryAfter
                                                   ? Answer->m_RetryAfter
                                                   : DefaultRetryAfter));
      m_Waiting.push_front(Sent);
    } else if (Answer->m_Status == StatusOk) {
      Sent.m_OnDone(OrderOutcome::Done);
    } else {
      Sent.m_OnDone(Answer->m_Status >= MinServerError ? OrderOutcome::Unknown
                                                       : OrderOutcome::Refused);
    }
  }

  void handleFenced(PendingOrder Sent, const HttpAnswer &Answer) {
    m_Fenced.add();
    logEvent(LogEvent::OrderFenced,
             {{"engine", toString(Sent.m_Order.m_Engine)}});
    const bool IsRefused = ++Sent.m_FencedCount == MaxFencedAttempts;
    if (!IsRefused)
      m_Waiting.push_front(Sent);
    m_Lease.recordFenced(highestSeen(Answer));
    if (IsRefused)
      Sent.m_OnDone(OrderOutcome::Refused);
  }

  OrderConfig m_Config;              ///< As given.
  const Clock &m_Clock;              ///< Read anew before each order.
  HttpClientInterface &m_HttpClient; ///< Sends orders.
  LeaseClient m_Lease;               ///< Under which orders are sent.
  TokenBucket m_LoadBucket;          ///< Limits loads from the weight store.
  Counter &m_Sent;                   ///< Orders sent.
  Counter &m_Fenced;      ///< Orders rejected for an outdated number.
  Counter &m_RateLimited; ///< Orders that got 429 from an engine.
  std::deque<PendingOrder> m_Waiting; ///< In the order of sending.
  std::size_t m_InFlight = 0;         ///< Sent and not answered.
  /// Expires with this object; see the class comment.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

EngineOrders::EngineOrders(OrderConfig Config, const Clock &Time,
                           Scheduler &Timers, platform::TableService &Store,
                           HttpClientInterface &Http, Metrics &Stats)
    : m_Impl(std::make_unique<Impl>(std::move(Config), Time, Timers, Store,
                                    Http, Stats)) {}

EngineOrders::~EngineOrders() = default;

void EngineOrders::order(const EngineOrder &Order, Done OnDone) {
  m_Impl->order(Order, std::move(OnDone));
}

std::size_t EngineOrders::pendingCount() const {
  return m_Impl->pendingCount();
}

} // namespace crowstep::lease
