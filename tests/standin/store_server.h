/// A stand-in for the platform's store: rows of tables, a feed of changes by
/// long polls, and faults that a test sets.
#ifndef CROWSTEP_TESTS_STANDIN_STORE_SERVER_H
#define CROWSTEP_TESTS_STANDIN_STORE_SERVER_H

#include "core/http_server.h"
#include "core/scheduler.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crowstep::standin {

class StoreServer {
public:
  /// How requests are answered.
  enum class Mode : std::uint8_t {
    Up,     ///< According to the protocol.
    Busy,   ///< 503 without effect.
    Silent, ///< Not answered, calls that wait for changes neither.
  };

  /// Starts the server. \throws ListenError.
  void listen(const Address &Endpoint);

  /// Writes a row, or removes it if \p Value is empty, without a condition.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

  void setMode(Mode NewMode);

  /// Answers reads from a copy of the present tables until called with false,
  /// also after restoreCopy(). They state the era of the copy. A copy of a
  /// store without any change is not served.
  void serveStaleCopy(bool Enabled);

  /// Keeps a copy of the present tables for restoreCopy().
  void takeCopy();

  /// Comes back from the copy: what was written since is gone, its versions are
  /// given out again, the era rises, and long polls end.
  void restoreCopy();

  /// Sets whether answers state the era.
  void setStatesEra(bool Enabled) { m_StatesEra = Enabled; }

  /// Returns the value of a row; empty: there is none.
  [[nodiscard]] std::string value(const std::string &Table,
                                  const std::string &Key) const;

  /// Drops the history of changes: feed requests for an earlier version get
  /// 410. A silent store also forgets the ones that wait; their connections
  /// stay open.
  void dropHistory();

private:
  struct Row {
    std::string m_Value;         ///< Empty: removed.
    std::uint64_t m_Version = 0; ///< Version of its last change.
  };
  using Table = std::map<std::string, Row>;

  /// A feed request that waits for changes.
  struct LongPoll {
    SoupServerMessage *m_Message; ///< Paused; a reference is held.
    std::string m_Table;          ///< Name of the table.
    std::uint64_t m_AfterVersion; ///< Waits for later versions.
    std::uint64_t m_Number;       ///< Of the request.
  };

  void handle(SoupServerMessage *Message, const std::string &Path);
  void handleRead(SoupServerMessage *Message, const std::string &Name);
  void handleFeed(SoupServerMessage *Message, const std::string &Name,
                  std::uint64_t After, Duration Wait);
  void endLongPoll(std::uint64_t Number);
  void handleTransaction(SoupServerMessage *Message);
  void answerLongPolls();
  nlohmann::json changes(const std::string &Name, std::uint64_t After);
  void answer(SoupServerMessage *Message, nlohmann::json Body,
              std::uint64_t Version) const;
  void stateEra(SoupServerMessage *Message, std::uint64_t Era) const;

  HttpServer m_Server;                      ///< Serves the gateways.
  std::map<std::string, Table> m_Tables;    ///< By name.
  std::vector<LongPoll> m_LongPolls;        ///< Paused feed requests.
  std::map<std::string, Table> m_StaleCopy; ///< See serveStaleCopy().
  std::uint64_t m_StaleVersion = 0; ///< Version of the copy; 0: none is served.
  std::uint64_t m_StaleEra = 0;     ///< Era of the copy.
  std::uint64_t m_Version = 0;      ///< Version of the newest change.
  std::map<std::string, Table> m_Copy; ///< See takeCopy().
  std::uint64_t m_CopyVersion = 0;     ///< Version of m_Copy.
  std::uint64_t m_Era = 1;             ///< Rises with each restoreCopy().
  bool m_StatesEra = true;             ///< See setStatesEra().
  std::uint64_t m_OldestVersion = 0;   ///< Feeds from earlier versions get 410.
  Mode m_Mode = Mode::Up;              ///< See Mode.
  LoopScheduler m_Timers;              ///< Ends long polls.
  std::uint64_t m_LastPoll = 0;        ///< Number of the last long poll.
};

} // namespace crowstep::standin

#endif // CROWSTEP_TESTS_STANDIN_STORE_SERVER_H
