/// Stand-ins for engines and the clients' side of a request.
#ifndef CROWSTEP_REVIEW_ENGINE_H
#define CROWSTEP_REVIEW_ENGINE_H

#include "lab.h"

#include <set>

namespace lab {

/// A sound engine. Below /stream/ it answers with a stream of events, else with
/// a short body after some time. It states its version in each event.
class Engine {
public:
  /// How long its work takes.
  struct Work {
    milliseconds m_Plain{100};    ///< Before a plain answer.
    milliseconds m_EventGap{100}; ///< Between the events of a stream.
    unsigned m_EventCount = 50;   ///< Of a stream.
  };

  Engine(std::string Id, std::string Version, Work Takes, Record &Log);

  /// Writes its entry into the store.
  void list(Store &Where) const;

  [[nodiscard]] const std::string &id() const { return m_Id; }
  [[nodiscard]] const std::string &version() const { return m_Version; }

  /// Returns whether it has begun the request of that attempt.
  bool hasBegun(const std::string &Attempt);

private:
  bool handle(const Message &Request, Connection &Peer);
  bool stream(const Message &Request, Connection &Peer) const;

  std::string m_Id;                 ///< Key of its entry.
  std::string m_Version;            ///< Of its software.
  Work m_Work;                      ///< See Work.
  Record &m_Record;                 ///< Outlives the engine.
  std::int64_t m_Born;              ///< Unix milliseconds of its start.
  std::mutex m_Mutex;               ///< Guards m_Begun.
  std::set<std::string> m_Begun;    ///< Attempts that it has begun.
  std::unique_ptr<Server> m_Server; ///< For the gateways.
};

/// Returns a manifest of version 1 with a plain and a stream route to the
/// service "s"; the key "key-1" belongs to the tenant "t".
Json manifest();

/// Returns a request to the host of manifest(); \p More are further headers,
/// each with its line end.
std::string requestText(const std::string &Method, const std::string &Target,
                        const std::string &Attempt, const std::string &More);

} // namespace lab

#endif // CROWSTEP_REVIEW_ENGINE_H
