/// The platform's services over HTTP, with injected faults for each.
#ifndef CROWSTEP_STANDIN_PLATFORM_SERVER_H
#define CROWSTEP_STANDIN_PLATFORM_SERVER_H

#include "core/http_server.h"
#include "core/program.h"
#include "core/scheduler.h"
#include "standin/exchange.h"
#include "standin/fault.h"
#include "standin/platform_store.h"

namespace crowstep::standin {

/// Settings of the platform stand-in.
struct PlatformSettings {
  Address m_Listen;       ///< One server for all services.
  std::string m_SeedFile; ///< JSON file with initial contents, or empty.
  std::int64_t m_MaxWeightReads{}; ///< Weight reads a second; more get 429.
};

/// Table service, object store, instance list and weight store in one server.
class PlatformServer final : public Daemon {
public:
  explicit PlatformServer(Settings &File);
  void start() override;
  void stop(std::function<void()> Done) override;

private:
  struct Reply {
    unsigned m_Status = 200;             ///< HTTP status.
    std::string m_Body;                  ///< JSON, or an object's content.
    std::chrono::seconds m_RetryAfter{}; ///< 0: header is omitted.
  };
  struct Call {
    std::string m_Method; ///< HTTP method.
    std::string m_Path;   ///< Decoded, without the query.
    std::string m_Prefix; ///< Query parameter "prefix".
    std::string m_Body;   ///< Request body.
  };

  void handle(SoupServerMessage *Message, const std::string &Path);
  void sendReply(const Call &Request, const ExchangePtr &Answer,
                 FaultMode Mode);
  Reply serve(const Call &Request);
  Reply handleControl(const Call &Request);
  Reply handleTables(const Call &Request);
  Reply handleObjects(const Call &Request);
  Reply handleInstances(const Call &Request);
  Reply handleWeights();

  PlatformSettings m_Settings; ///< Read at construction.
  LoopClock m_Clock;           ///< For call rates and the listing's lag.
  LoopScheduler m_Scheduler;   ///< For FaultMode::Delay.
  HttpServer m_Server;         ///< One for all services.
  PlatformStore m_Store;       ///< Table service.
  std::map<std::string, std::string> m_Objects; ///< Object store, by name.
  LaggingListing m_Listing;                     ///< Instance list.
  std::map<std::string, Fault> m_Faults; ///< By service, or "table_writes".
  std::int64_t m_WeightSecond = 0;       ///< Second being counted.
  std::int64_t m_WeightCount = 0;        ///< Weight reads in it.
  std::vector<ExchangePtr> m_UnansweredCalls; ///< Held until a fault is set.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_PLATFORM_SERVER_H
