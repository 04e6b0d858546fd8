/// Clients that keep to no limit, many at once.
#ifndef CROWSTEP_TESTS_PROCESS_CROWD_H
#define CROWSTEP_TESTS_PROCESS_CROWD_H

#include "instance_type.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace crowstep::test {

/// What each client of a crowd sends, on one connection.
struct CrowdScript {
  std::string m_Begin;    ///< Sent first; "{n}" stands for the client's number.
  std::string m_Repeated; ///< Sent over and over after it; may be empty.
  std::size_t m_RepeatedBytes = 0;     ///< When that ends.
  std::chrono::milliseconds m_Pause{}; ///< After each m_Repeated; 0: none.
};

/// A crowd of a test.
struct CrowdCase {
  const char *m_Name;
  std::size_t m_ClientCount;
  CrowdScript m_Script;
};

/// Returns a chunk of a body of 4 KiB: its size in hexadecimal digits, the
/// bytes and a line break.
[[nodiscard]] std::string bodyChunk();

/// Returns crowds at a port that gets short requests from few clients.
[[nodiscard]] std::vector<CrowdCase> sidePortCrowds(const std::string &Path);

/// Connects all clients and then sends, from a thread of its own and as fast as
/// the server reads.
/// Each client keeps its connection open until the server closes it.
class Crowd {
public:
  Crowd(const Address &Server, std::size_t Count, CrowdScript Script);
  ~Crowd();
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /// Returns whether all clients have connected, and for a second none of them
  /// has sent anything or was closed.
  [[nodiscard]] bool hasSettled() const { return m_HasSettled; }

  /// Returns how many connections the server has closed.
  [[nodiscard]] std::size_t closedCount() const { return m_ClosedCount; }

private:
  using SteadyClock = std::chrono::steady_clock;

  struct Client {
    int m_Fd = -1;                        ///< -1: not connected yet, or closed.
    bool m_IsConnecting = false;          ///< The connection is not up.
    std::string m_Begin;                  ///< See CrowdScript.
    std::size_t m_Sent = 0;               ///< Bytes so far.
    SteadyClock::time_point m_NextSend{}; ///< End of a pause.
  };

  void run(const std::stop_token &Stop);
  void connectSome(std::size_t &Next);
  void pollOnce();
  void handleEvents(Client &From, short Events);
  void send(Client &From);
  void close(Client &From);
  [[nodiscard]] bool hasSentAll(const Client &From) const;
  [[nodiscard]] std::string_view nextBytes(const Client &From) const;

  Address m_Server;
  CrowdScript m_Script;                     ///< m_Repeated many times over.
  std::size_t m_UnitBytes;                  ///< Of the original m_Repeated.
  std::vector<Client> m_Clients;            ///< By number.
  bool m_IsSending = false;                 ///< All have connected.
  SteadyClock::time_point m_LastProgress{}; ///< Of any client.
  std::atomic<bool> m_HasSettled = false;
  std::atomic<std::size_t> m_ClosedCount = 0;
  std::jthread m_Thread; ///< Must come last.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_CROWD_H
