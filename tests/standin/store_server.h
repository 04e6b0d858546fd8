/// A stand-in for the platform's store: rows of tables, with changes to wait
/// for and troubles to switch on.
#ifndef CROWSTEP_TESTS_STANDIN_STORE_SERVER_H
#define CROWSTEP_TESTS_STANDIN_STORE_SERVER_H

#include "core/http_server.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crowstep::standin {

class StoreServer {
public:
  /// How calls are answered.
  enum class Mode : std::uint8_t {
    Up,     ///< As the protocol says.
    Busy,   ///< 503: nothing was done.
    Silent, ///< Not at all.
  };

  /// Begins to serve. \throws ListenError.
  void listen(const Address &Where);

  /// Writes or, with an empty value, removes a row, as its owner would.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

  void setMode(Mode Next) { m_Mode = Next; }

  /// Answers reads from a copy of now until it is called with false.
  void serveOldCopy(bool Old);

  /// Forgets the changes so far: who waits for them gets 410.
  void dropHistory();

private:
  struct Row {
    std::string m_Value;         ///< Empty: gone.
    std::uint64_t m_Version = 0; ///< Of its last change.
  };
  using Table = std::map<std::string, Row>;

  /// A call that waits for changes.
  struct Waiting {
    SoupServerMessage *m_Message; ///< Paused; a reference is held.
    std::string m_Table;          ///< Whose changes.
    std::uint64_t m_After;        ///< Later ones.
  };

  void handle(SoupServerMessage *Message, const std::string &Path);
  void read(SoupServerMessage *Message, const std::string &Name);
  void follow(SoupServerMessage *Message, const std::string &Name,
              std::uint64_t After, bool Waits);
  void transact(SoupServerMessage *Message);
  void answerWaiting();
  nlohmann::json changes(const std::string &Name, std::uint64_t After);
  void answer(SoupServerMessage *Message, nlohmann::json Body,
              std::uint64_t Version) const;

  HttpServer m_Server;                   ///< Towards the gateways.
  std::map<std::string, Table> m_Tables; ///< By name.
  std::vector<Waiting> m_Waiting;        ///< Paused calls.
  std::map<std::string, Table> m_Copy;   ///< See serveOldCopy().
  std::uint64_t m_CopyVersion = 0;       ///< Its version; 0: none is served.
  std::uint64_t m_Version = 0;           ///< Of the newest change.
  std::uint64_t m_Oldest = 0;            ///< History before it is gone.
  Mode m_Mode = Mode::Up;                ///< See Mode.
};

} // namespace crowstep::standin

#endif // CROWSTEP_TESTS_STANDIN_STORE_SERVER_H
