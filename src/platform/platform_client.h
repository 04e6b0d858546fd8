/// The platform's services over HTTP with JSON bodies.
///
/// POST /v1/tables/T/write {"writes":[{"key","expected","value"|null}]}
///   -> 200 {"outcomes":[{"written","row":{"key","version","value"}|null}]}
/// GET  /v1/tables/T/rows/KEY, /v1/tables/T/rows?prefix=P
///   -> 200 {"rows":[{"key","version","value"}]}
/// PUT, GET /v1/objects/NAME
/// GET  /v1/instances -> 200 {"instances":[{"name","link","zone","leaving"}],
///   "upstreams":[{"name","service","address","zone","leaving",
///   "kind":"engine"|"service","slots","models","can_resume",
///   "checks_fencing"}]}
/// A 503 means that nothing took effect. "value" is JSON text in a string.
#ifndef CROWSTEP_PLATFORM_PLATFORM_CLIENT_H
#define CROWSTEP_PLATFORM_PLATFORM_CLIENT_H

#include "core/metrics.h"
#include "http/http_client.h"
#include "platform/platform_type.h"

namespace crowstep::platform {

/// Client of all of the platform's services; counts reads, writes and failures.
///
/// The HTTP library may retry a conditional write if a kept connection turns
/// out to be stale. If the first attempt took effect, the retry reports "not
/// written" although the row is the caller's. A caller that must know whether
/// its own write took effect puts a unique id into the value and looks for it
/// in m_CurrentRow.
class PlatformClient final : public TableService,
                             public ObjectStore,
                             public InstanceList {
public:
  PlatformClient(HttpClientInterface &Http, Address Where, Duration Timeout,
                 Metrics &Stats);

  void write(const std::string &Table, std::vector<RowWrite> Writes,
             std::function<void(WriteResult)> Done) override;
  void read(const std::string &Table, const std::string &Key,
            std::function<void(ReadResult)> Done) override;
  void list(const std::string &Table, const std::string &Prefix,
            std::function<void(ReadResult)> Done) override;
  void put(const std::string &Name, const std::string &Content,
           std::function<void(PutResult)> Done) override;
  void get(const std::string &Name,
           std::function<void(GetResult)> Done) override;
  void fetch(std::function<void(Result)> Done) override;

private:
  void readRows(const std::string &Path, std::function<void(ReadResult)> Done);

  HttpClientInterface &m_Http; ///< Outlives the client.
  Address m_Address;           ///< The platform's server.
  Duration m_Timeout;          ///< Of each call.
  Counter &m_Reads;            ///< Calls that read the table service.
  Counter &m_Writes;           ///< Calls that write to it.
  Counter &m_Failures;         ///< Calls without an outcome.
};

} // namespace crowstep::platform

#endif // CROWSTEP_PLATFORM_PLATFORM_CLIENT_H
