/// Stand-ins and tools for the review's scripts: the platform's store, engines,
/// clients and processes of the gateway, all on loopback addresses.
///
/// The stand-ins run in threads of the script; only the gateways are processes.
#ifndef CROWSTEP_REVIEW_LAB_H
#define CROWSTEP_REVIEW_LAB_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// Exit codes of a script.
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CouldNotRun = 2;

/// Returns whether the script plays the disruption.
bool hasTrouble();

/// Returns the time since the script began.
milliseconds elapsed();

void sleepFor(milliseconds Span);

/// Waits until \p Condition holds; returns whether it did within \p Limit.
bool waitFor(const std::function<bool()> &Condition, milliseconds Limit);

/// Returns a TCP port on loopback that is free now.
std::uint16_t freePort();

/// Writes lines to record.txt, each with the time since the script began.
class Record {
public:
  explicit Record(const std::string &File) : m_Out(File) {}
  void line(const std::string &Text);

private:
  std::mutex m_Mutex;  ///< Guards m_Out.
  std::ofstream m_Out; ///< The file.
};

/// One HTTP message. Names of headers are in lower case.
struct Message {
  std::string m_Start; ///< Request or status line.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;

  [[nodiscard]] std::string header(const std::string &Name) const;
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string target() const;
  [[nodiscard]] int status() const;
};

/// A connected TCP socket; closed when destroyed.
class Connection {
public:
  explicit Connection(int Socket) : m_Socket(Socket) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Connects to a port on loopback; null if that fails.
  static std::unique_ptr<Connection> open(std::uint16_t Port);

  bool write(const std::string &Bytes);

  /// Reads a head up to its blank line; none at the end of the connection.
  std::optional<Message> readHead();

  /// Reads the body of \p Head into it; returns whether it is complete.
  bool readBody(Message &Head);

  /// Reads one chunk of a chunked body. Returns none if the connection ended
  /// before it, and an empty chunk at the body's end.
  std::optional<std::string> readChunk();

  /// Ends reads and writes, also those of other threads.
  void shutDown() const;

  /// Sets the longest time that a read waits.
  void setReadLimit(milliseconds Limit) const;

private:
  bool fill();
  std::optional<std::string> readLine();
  std::optional<std::string> readBytes(std::size_t Count);

  int m_Socket;         ///< Owned.
  std::string m_Unread; ///< Received and not yet returned.
};

/// An HTTP/1.1 server with a thread for each connection.
class Server {
public:
  /// Handles one request; returns whether the connection stays open.
  using Handler = std::function<bool(const Message &, Connection &)>;

  explicit Server(Handler OnRequest);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  [[nodiscard]] std::uint16_t port() const { return m_Port; }
  [[nodiscard]] std::string address() const;

  /// Closes the connections that are open now.
  void closeAll();

private:
  void accept();
  void serve(const std::shared_ptr<Connection> &Peer);

  Handler m_Handler;                              ///< Called by many threads.
  int m_Socket = -1;                              ///< Listens.
  std::uint16_t m_Port;                           ///< Of m_Socket.
  std::mutex m_Mutex;                             ///< Guards m_Peers.
  std::vector<std::weak_ptr<Connection>> m_Peers; ///< Open ones among them.
  std::thread m_Acceptor;                         ///< Runs accept().
};

std::string answerText(int Status, const std::string &Headers,
                       const std::string &Body);

/// The platform's store: rows of tables, conditional transactions and a feed of
/// changes. For a drill it can be away and come back from an older copy.
class Store {
public:
  Store();

  [[nodiscard]] std::string address() const { return m_Server->address(); }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

  /// Returns the keys of a table that begin with \p Prefix.
  std::vector<std::string> keys(const std::string &Table,
                                const std::string &Prefix);

  /// Returns the value of a row, or an empty string.
  std::string value(const std::string &Table, const std::string &Key);

  /// Keeps a copy of all tables for comeBack().
  void takeCopy();

  /// Answers 503 and ends calls that wait, until comeBack().
  void goAway();

  /// Comes back from the copy: versions go back, and the era rises.
  void comeBack();

private:
  struct Row {
    std::string m_Value;
    std::uint64_t m_Version = 0;
    bool m_Removed = false;
  };
  using Tables = std::map<std::string, std::map<std::string, Row>>;

  bool handle(const Message &Request, Connection &Peer);
  bool feed(const Message &Request, Connection &Peer);
  std::string transact(const Json &Body);
  Json rowsAfter(const std::string &Table, std::uint64_t After,
                 bool WithRemoved);
  std::string answer(int Status, Json Body);
  void apply(const std::string &Table, const std::string &Key, Row Changed);

  std::mutex m_Mutex;                ///< Guards everything below.
  std::condition_variable m_Changed; ///< After each change.
  Tables m_Tables;                   ///< By name and key.
  std::uint64_t m_Version = 1;       ///< Of the newest change.
  Tables m_Copy;                     ///< See takeCopy().
  std::uint64_t m_CopyVersion = 0;   ///< Version of m_Copy.
  std::uint64_t m_Era = 1;           ///< Rises with each comeBack().
  bool m_IsAway = false;             ///< See goAway().
  std::unique_ptr<Server> m_Server;  ///< Serves the gateways.
};

/// Addresses and settings of a gateway.
struct GatewaySettings {
  std::string m_Name = "edge-1";
  std::string m_Store;       ///< Address of the store.
  std::string m_DutyAddress; ///< Empty: no duties.
  double m_CpuShare = 0.25;  ///< Of the machine.
};

/// One process of the gateway, started as the deploy file says.
class Gateway {
public:
  Gateway(GatewaySettings Settings, std::string Folder);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  void start();
  void signal(int Number) const;

  /// Kills the process and waits for its end.
  void kill();

  /// Returns whether the process has ended by itself.
  bool hasEnded();

  [[nodiscard]] bool isReady() const;
  [[nodiscard]] std::uint16_t port() const { return m_Ports[0]; }
  [[nodiscard]] const std::string &name() const { return m_Settings.m_Name; }

private:
  GatewaySettings m_Settings;         ///< As given.
  std::string m_Folder;               ///< For the settings file and the log.
  std::vector<std::uint16_t> m_Ports; ///< Front end, links, relays, readiness.
  pid_t m_Process = 0;                ///< 0: not running.
};

/// A temporary folder; removed when destroyed.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder() { remove(); }
  void remove() const;
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
  [[nodiscard]] const std::string &path() const { return m_Path; }

private:
  std::string m_Path; ///< Absolute.
};

/// Waits until all gateways are ready; returns whether each was within \p
/// Limit.
bool areAllReady(const std::vector<std::unique_ptr<Gateway>> &Gateways,
                 milliseconds Limit);

/// Starts all gateways and waits until they are ready; returns whether they
/// were in time.
bool startAll(std::vector<std::unique_ptr<Gateway>> &Gateways);

/// Ends all gateways, removes the folder and ends the script. Threads of the
/// stand-ins may still run, so nothing else is destroyed.
[[noreturn]] void endScript(int Code,
                            std::vector<std::unique_ptr<Gateway>> &Gateways,
                            TemporaryFolder &Folder);

} // namespace lab

#endif // CROWSTEP_REVIEW_LAB_H
