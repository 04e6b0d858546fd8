/// Stand-ins for the scripts of the second review: the platform's store,
/// upstream servers, callers, and the gateways as separate processes. Threads
/// with blocking sockets; everything listens on loopback addresses and free
/// ports.
#ifndef CROWSTEP_REVIEW_LAB2_H
#define CROWSTEP_REVIEW_LAB2_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

// ---- Record -----------------------------------------------------------------

/// What was sent, answered and run, with the time since the start in seconds.
class Record {
public:
  static Record &get() {
    static Record Instance;
    return Instance;
  }
  void open(const std::string &File) { m_File = fopen(File.c_str(), "w"); }
  double now() const {
    return std::chrono::duration<double>(Clock::now() - m_Start).count();
  }
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard Lock(m_Mutex);
    if (m_File == nullptr)
      return;
    fprintf(m_File, "%8.3f ", now());
    va_list Arguments;
    va_start(Arguments, Format);
    vfprintf(m_File, Format, Arguments);
    va_end(Arguments);
    fputc('\n', m_File);
    fflush(m_File);
  }

private:
  std::mutex m_Mutex;
  FILE *m_File = nullptr;
  Clock::time_point m_Start = Clock::now();
};

#define LAB_RECORD(...) ::lab::Record::get().line(__VA_ARGS__)

inline double now() { return Record::get().now(); }
inline void sleepFor(std::chrono::duration<double> Span) {
  std::this_thread::sleep_for(Span);
}

/// Returns whether \p Condition held within \p Limit.
inline bool waitUntil(const std::function<bool()> &Condition,
                      std::chrono::duration<double> Limit) {
  const auto End = Clock::now() + Limit;
  while (Clock::now() < End) {
    if (Condition())
      return true;
    sleepFor(20ms);
  }
  return Condition();
}

// ---- Text -------------------------------------------------------------------

inline std::string base64(const std::string &Text) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); I += 3) {
    unsigned Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group =
          Group << 8 |
          (I + J < Text.size() ? static_cast<unsigned char>(Text[I + J]) : 0);
    for (std::size_t J = 0; J < 4; ++J)
      Result += I + J > Text.size() ? '=' : Digits[Group >> (18 - 6 * J) & 63];
  }
  return Result;
}

inline std::string lower(std::string Text) {
  for (char &Ch : Text)
    Ch = static_cast<char>(tolower(static_cast<unsigned char>(Ch)));
  return Text;
}

inline std::string unescaped(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I)
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result +=
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I] == '+' ? ' ' : Text[I];
    }
  return Result;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string headerOf(const Headers &List, const std::string &Name) {
  for (const auto &[Key, Value] : List)
    if (lower(Key) == lower(Name))
      return Value;
  return {};
}

// ---- Sockets ----------------------------------------------------------------

struct Address {
  std::string m_Ip;
  int m_Port = 0;
  std::string text() const { return m_Ip + ":" + std::to_string(m_Port); }
  sockaddr_in native() const {
    sockaddr_in Result{};
    Result.sin_family = AF_INET;
    Result.sin_port = htons(static_cast<std::uint16_t>(m_Port));
    inet_pton(AF_INET, m_Ip.c_str(), &Result.sin_addr);
    return Result;
  }
};

/// Returns a listening socket, or -1.
inline int listenAt(const Address &At) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Native = At.native();
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Native),
           sizeof(Native)) != 0 ||
      listen(Socket, 512) != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

/// Returns a port that is free on all of \p Ips.
inline int freePort(const std::vector<std::string> &Ips) {
  static std::mt19937 Random(std::random_device{}());
  static std::set<int> Given;
  for (int Try = 0; Try < 2000; ++Try) {
    const int Port = std::uniform_int_distribution<>(12000, 30000)(Random);
    if (Given.contains(Port))
      continue;
    bool Free = true;
    for (const std::string &Ip : Ips) {
      const int Socket = listenAt({Ip, Port});
      Free = Free && Socket >= 0;
      if (Socket >= 0)
        close(Socket);
    }
    if (Free) {
      Given.insert(Port);
      return Port;
    }
  }
  throw std::runtime_error("no free port");
}

/// A connection with a read buffer; all calls block.
class Connection {
public:
  explicit Connection(int Socket) : m_Socket(Socket) {
    const int On = 1;
    setsockopt(m_Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  ~Connection() { shut(); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  static std::unique_ptr<Connection> open(const Address &To,
                                          int LimitMs = 1000) {
    const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval Limit = {LimitMs / 1000, LimitMs % 1000 * 1000};
    setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
    const sockaddr_in Native = To.native();
    if (connect(Socket, reinterpret_cast<const sockaddr *>(&Native),
                sizeof(Native)) != 0) {
      close(Socket);
      return nullptr;
    }
    return std::make_unique<Connection>(Socket);
  }

  bool write(const std::string &Text) {
    std::size_t Done = 0;
    while (Done < Text.size()) {
      const ssize_t Size = ::send(m_Socket, Text.data() + Done,
                                  Text.size() - Done, MSG_NOSIGNAL);
      if (Size <= 0)
        return false;
      Done += static_cast<std::size_t>(Size);
    }
    return true;
  }
  /// Reads more into the buffer; false: closed, reset or too late.
  bool fill(std::optional<Clock::time_point> Until = {}) {
    if (Until) {
      const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
                            *Until - Clock::now())
                            .count();
      pollfd Poll = {m_Socket, POLLIN, 0};
      if (Left <= 0 || poll(&Poll, 1, static_cast<int>(Left)) <= 0) {
        m_TimedOut = true;
        return false;
      }
    }
    char Buffer[65536];
    const ssize_t Size = recv(m_Socket, Buffer, sizeof(Buffer), 0);
    m_WasReset = Size < 0;
    if (Size <= 0)
      return false;
    m_Buffer.append(Buffer, static_cast<std::size_t>(Size));
    return true;
  }
  bool readLine(std::string &Line,
                std::optional<Clock::time_point> Until = {}) {
    std::size_t End = 0;
    while ((End = m_Buffer.find("\r\n")) == std::string::npos)
      if (!fill(Until))
        return false;
    Line = m_Buffer.substr(0, End);
    m_Buffer.erase(0, End + 2);
    return true;
  }
  bool readBytes(std::size_t Count, std::string &Into,
                 std::optional<Clock::time_point> Until = {}) {
    while (m_Buffer.size() < Count)
      if (!fill(Until))
        return false;
    Into = m_Buffer.substr(0, Count);
    m_Buffer.erase(0, Count);
    return true;
  }
  bool readHeaders(Headers &Into, std::optional<Clock::time_point> Until = {}) {
    std::string Line;
    while (readLine(Line, Until)) {
      if (Line.empty())
        return true;
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        return false;
      std::size_t Begin = Colon + 1;
      while (Begin < Line.size() && Line[Begin] == ' ')
        ++Begin;
      Into.emplace_back(Line.substr(0, Colon), Line.substr(Begin));
    }
    return false;
  }
  /// Returns whether the other end has closed.
  bool isClosed() const {
    char Byte = 0;
    const ssize_t Size = recv(m_Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Size == 0 || (Size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  void resetOnClose() {
    const linger Reset = {1, 0};
    setsockopt(m_Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  }
  void shut() {
    if (m_Socket >= 0)
      close(m_Socket);
    m_Socket = -1;
  }
  int socketNumber() const { return m_Socket; }
  bool m_TimedOut = false;
  bool m_WasReset = false;

private:
  int m_Socket;
  std::string m_Buffer;
};

// ---- Server -----------------------------------------------------------------

struct Request {
  std::string m_Method, m_Path, m_Query, m_Body;
  Headers m_Headers;
  std::string header(const std::string &Name) const {
    return headerOf(m_Headers, Name);
  }
  std::string query(const std::string &Name) const {
    std::stringstream Items(m_Query);
    for (std::string Item; std::getline(Items, Item, '&');)
      if (Item.starts_with(Name + "="))
        return unescaped(Item.substr(Name.size() + 1));
    return {};
  }
};

inline std::string answerText(int Status, const Headers &Fields,
                              const std::string &Body) {
  std::string Result = "HTTP/1.1 " + std::to_string(Status) + " S\r\n";
  for (const auto &[Name, Value] : Fields)
    Result += Name + ": " + Value + "\r\n";
  return Result + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/// A thread for each connection. The handler returns whether the connection is
/// kept.
class Server {
public:
  using Handler = std::function<bool(const Request &, Connection &)>;

  Server(const Address &At, Handler OnRequest)
      : m_Address(At), m_Handler(std::move(OnRequest)), m_Listen(listenAt(At)) {
    if (m_Listen < 0)
      throw std::runtime_error("cannot listen at " + At.text());
    std::thread([this, Socket = m_Listen] { accept(Socket); }).detach();
  }
  const Address m_Address;

  /// Closes the listener and resets all connections, like a crash.
  void end() {
    const std::lock_guard Lock(m_Mutex);
    m_Ended = true;
    shutdown(m_Listen, SHUT_RDWR);
    close(m_Listen);
    const linger Reset = {1, 0};
    for (const int Socket : m_Open) {
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
      shutdown(Socket, SHUT_RD);
    }
  }

private:
  void accept(int Listen) {
    while (true) {
      const int Socket = accept4(Listen, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      {
        const std::lock_guard Lock(m_Mutex);
        if (m_Ended) {
          close(Socket);
          return;
        }
        m_Open.insert(Socket);
      }
      std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }
  void serve(int Socket) {
    Connection Channel(Socket);
    while (true) {
      Request Received;
      std::string Line;
      if (!Channel.readLine(Line))
        break;
      std::istringstream Words(Line);
      std::string Target;
      Words >> Received.m_Method >> Target;
      const std::size_t Mark = Target.find('?');
      Received.m_Path = Target.substr(0, Mark);
      if (Mark != std::string::npos)
        Received.m_Query = Target.substr(Mark + 1);
      if (!Channel.readHeaders(Received.m_Headers))
        break;
      const std::string Length = Received.header("Content-Length");
      if (!Length.empty() &&
          !Channel.readBytes(std::stoul(Length), Received.m_Body))
        break;
      if (!m_Handler(Received, Channel))
        break;
    }
    const std::lock_guard Lock(m_Mutex);
    m_Open.erase(Socket);
    Channel.shut();
  }

  Handler m_Handler;
  int m_Listen;
  std::mutex m_Mutex;
  std::set<int> m_Open;
  bool m_Ended = false;
};

// ---- The platform's store ---------------------------------------------------

/// Rows by table and key (all of the empty part), versions from one counter,
/// and the whole history. Values are Base64, as on the wire.
class Store {
public:
  explicit Store(const Address &At)
      : m_Server(At, [this](const Request &R, Connection &C) {
          return handle(R, C);
        }) {}
  const Address &address() const { return m_Server.m_Address; }

  void put(const std::string &Table, const std::string &Key,
           const Json &Value) {
    const std::lock_guard Lock(m_Mutex);
    set(Table, Key, base64(Value.dump()));
    m_Changed.notify_all();
  }
  void remove(const std::string &Table, const std::string &Key) {
    const std::lock_guard Lock(m_Mutex);
    set(Table, Key, "");
    m_Changed.notify_all();
  }
  bool contains(const std::string &Table, const std::string &Key) {
    const std::lock_guard Lock(m_Mutex);
    return !m_Tables[Table][Key].m_Value.empty();
  }

private:
  struct Row {
    std::string m_Value; ///< Empty: removed.
    std::uint64_t m_Version = 0;
  };

  void set(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    m_Tables[Table][Key] = {Value, ++m_Version};
  }
  static Json rowJson(const std::string &Table, const std::string &Key,
                      const Row &Entry) {
    Json Result = {{"table", Table},
                   {"part", ""},
                   {"key", Key},
                   {"schemaVersion", Entry.m_Version}};
    if (Entry.m_Value.empty())
      Result["deleted"] = true;
    else
      Result["value"] = Entry.m_Value;
    return Result;
  }
  bool answer(Connection &To, int Status, Json Body, std::uint64_t Version) {
    Body["schemaVersion"] = Version;
    Body["nowMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                        Clock::now().time_since_epoch())
                        .count();
    return To.write(answerText(Status,
                               {{"Content-Type", "application/json"},
                                {"Store-Era", std::to_string(m_Era)}},
                               Body.dump()));
  }
  bool handle(const Request &R, Connection &C) {
    if (R.m_Path == "/rows-get")
      return handleRead(R, C);
    if (R.m_Path == "/rows-feed")
      return handleFeed(R, C);
    if (R.m_Path == "/rows-tx")
      return handleTransaction(R, C);
    return C.write(answerText(404, {}, ""));
  }
  bool handleRead(const Request &R, Connection &C) {
    const std::string Table = R.query("table"), From = R.query("from"),
                      To = R.query("to"), Limit = R.query("limit");
    const std::size_t Most =
        std::min<std::size_t>(500, Limit.empty() ? 500 : std::stoul(Limit));
    Json Rows = Json::array();
    bool HasMore = false;
    std::uint64_t Version = 0;
    {
      const std::lock_guard Lock(m_Mutex);
      Version = m_Version;
      for (const auto &[Key, Entry] : m_Tables[Table]) {
        if (Entry.m_Value.empty() || Key < From || (!To.empty() && Key >= To))
          continue;
        if (Rows.size() == Most) {
          HasMore = true;
          break;
        }
        Rows.push_back(rowJson(Table, Key, Entry));
      }
    }
    sleepFor(2ms);
    return answer(C, 200, {{"rows", Rows}, {"hasMore", HasMore}}, Version);
  }
  bool handleFeed(const Request &R, Connection &C) {
    const std::string Table = R.query("table");
    const std::uint64_t After = std::stoull("0" + R.query("after"));
    const auto Until = Clock::now() + std::chrono::milliseconds(
                                          std::stoul("0" + R.query("waitMs")));
    std::map<std::uint64_t, Json> Rows;
    std::uint64_t Version = 0;
    {
      std::unique_lock Lock(m_Mutex);
      while (true) {
        for (const auto &[Key, Entry] : m_Tables[Table])
          if (Entry.m_Version > After)
            Rows[Entry.m_Version * 1000 + Rows.size()] =
                rowJson(Table, Key, Entry);
        Version = m_Version;
        if (!Rows.empty() ||
            m_Changed.wait_until(Lock, Until) == std::cv_status::timeout)
          break;
        if (C.isClosed())
          return false;
      }
    }
    Json List = Json::array();
    for (auto &[Number, Entry] : Rows)
      List.push_back(std::move(Entry));
    return answer(C, 200, {{"rows", List}}, Version);
  }
  bool handleTransaction(const Request &R, Connection &C) {
    const Json Body = Json::parse(R.m_Body);
    sleepFor(4ms);
    std::uint64_t Version = 0;
    Json Conflicts = Json::array();
    {
      const std::lock_guard Lock(m_Mutex);
      bool Holds = true;
      for (const Json &Expected :
           Body.value("expectedRevision", Json::array())) {
        const std::string Table = Expected.at("table"),
                          Key = Expected.at("key");
        const Row &Current = m_Tables[Table][Key];
        const std::uint64_t Has =
            Current.m_Value.empty() ? 0 : Current.m_Version;
        if (Has != Expected.at("schemaVersion").get<std::uint64_t>())
          Holds = false;
        if (Has != 0)
          Conflicts.push_back(rowJson(Table, Key, Current));
      }
      if (Holds) {
        Conflicts = Json::array();
        ++m_Version;
        for (const Json &Put : Body.value("puts", Json::array()))
          m_Tables[Put.at("table")][Put.at("key")] = {Put.at("value"),
                                                      m_Version};
        for (const Json &Gone : Body.value("remove", Json::array()))
          m_Tables[Gone.at("table")][Gone.at("key")] = {"", m_Version};
        m_Changed.notify_all();
      }
      Version = m_Version;
      if (!Holds)
        Version = 0;
    }
    return Version != 0 ? answer(C, 200, Json::object(), Version)
                        : answer(C, 412, {{"rows", Conflicts}}, m_Version);
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::uint64_t m_Version = 0;
  int m_Era = 1;
  Server m_Server;
};

// ---- Callers ----------------------------------------------------------------

struct Answer {
  int m_Status = 0;      ///< 0: none.
  bool m_Whole = false;  ///< The body ended as HTTP ends it.
  std::string m_Failure; ///< Why there is no whole answer.
  Headers m_Headers;
  std::string m_Body;
};

/// Reads an answer; \p OnBytes gets the pieces of the body as they come and
/// returns whether to read on.
inline Answer
readAnswer(Connection &Channel, Clock::time_point Until,
           const std::function<bool(const std::string &)> &OnBytes = {}) {
  Answer Result;
  const auto Fail = [&](const char *Where) {
    Result.m_Failure = std::string(Where) + (Channel.m_TimedOut   ? " late"
                                             : Channel.m_WasReset ? " reset"
                                                                  : " closed");
    return Result;
  };
  std::string Line;
  do {
    Result.m_Headers.clear();
    if (!Channel.readLine(Line, Until))
      return Fail("head");
    if (Line.size() < 12)
      return Fail("status");
    if (!Channel.readHeaders(Result.m_Headers, Until))
      return Fail("head");
    Result.m_Status = std::atoi(Line.c_str() + 9);
  } while (Result.m_Status < 200);
  const auto Take = [&](const std::string &Bytes) {
    Result.m_Body += Bytes;
    return !OnBytes || OnBytes(Bytes);
  };
  if (lower(headerOf(Result.m_Headers, "Transfer-Encoding")) == "chunked") {
    while (true) {
      if (!Channel.readLine(Line, Until))
        return Fail("body");
      const std::size_t Size = std::stoul(Line, nullptr, 16);
      std::string Bytes;
      if (!Channel.readBytes(Size + 2, Bytes, Until))
        return Fail("body");
      if (Size == 0)
        break;
      if (!Take(Bytes.substr(0, Size)))
        return Fail("left");
    }
  } else {
    std::string Bytes;
    const std::string Length = headerOf(Result.m_Headers, "Content-Length");
    if (!Channel.readBytes(Length.empty() ? 0 : std::stoul(Length), Bytes,
                           Until))
      return Fail("body");
    Take(Bytes);
  }
  Result.m_Whole = true;
  return Result;
}

inline std::string requestText(const std::string &Method,
                               const std::string &Path, const Headers &Fields,
                               const std::string &Body) {
  std::string Result = Method + " " + Path + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Fields)
    Result += Name + ": " + Value + "\r\n";
  if (Method != "GET")
    Result += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Result + "\r\n" + Body;
}

/// One request on a new connection.
inline Answer
call(const Address &To, const std::string &Method, const std::string &Path,
     const Headers &Fields, const std::string &Body,
     std::chrono::duration<double> Limit,
     const std::function<bool(const std::string &)> &OnBytes = {}) {
  const auto Channel = Connection::open(To);
  if (Channel == nullptr) {
    Answer Result;
    Result.m_Failure = "no connection";
    return Result;
  }
  if (!Channel->write(requestText(Method, Path, Fields, Body))) {
    Answer Result;
    Result.m_Failure = "not sent";
    return Result;
  }
  return readAnswer(*Channel,
                    Clock::now() +
                        std::chrono::duration_cast<Clock::duration>(Limit),
                    OnBytes);
}

inline std::string newId() {
  static std::atomic<unsigned> Last = 0;
  static const unsigned Salt = std::random_device{}();
  char Text[32];
  snprintf(Text, sizeof(Text), "%08x%08x", Salt, ++Last);
  return Text;
}

// ---- Gateways ---------------------------------------------------------------

/// Fills in a template as the pages describe: {{a.b}}, {{a.0}}, {{#a}}..{{/a}}
/// and {{^a}}..{{/a}}.
class Template {
public:
  static std::string fill(const std::string &Text, const Json &Values) {
    std::string Result;
    std::size_t At = 0;
    while (true) {
      const std::size_t Open = Text.find("{{", At);
      if (Open == std::string::npos)
        return Result + Text.substr(At);
      Result += Text.substr(At, Open - At);
      const std::size_t Close = Text.find("}}", Open);
      const std::string Name = Text.substr(Open + 2, Close - Open - 2);
      At = Close + 2;
      if (Name[0] == '#' || Name[0] == '^') {
        const std::string End = "{{/" + Name.substr(1) + "}}";
        const std::size_t EndAt = Text.find(End, At);
        const Json Value = valueOf(Values, Name.substr(1));
        const bool Present =
            !Value.is_null() && !(Value.is_boolean() && !Value.get<bool>());
        if (Present == (Name[0] == '#'))
          Result += fill(Text.substr(At, EndAt - At), Values);
        At = EndAt + End.size();
      } else {
        const Json Value = valueOf(Values, Name);
        Result += Value.is_string() ? Value.get<std::string>()
                  : Value.is_null() ? ""
                                    : Value.dump();
      }
    }
  }

private:
  static Json valueOf(const Json &Values, const std::string &Path) {
    Json Result = Values;
    std::stringstream Parts(Path);
    for (std::string Part; std::getline(Parts, Part, '.');) {
      if (Result.is_array() && std::stoul(Part) < Result.size())
        Result = Json(Result[std::stoul(Part)]);
      else if (Result.is_object() && Result.contains(Part))
        Result = Json(Result[Part]);
      else
        return nullptr;
    }
    return Result;
  }
};

/// Reads the command and the template of the deploy file's only role.
struct DeployFile {
  std::string m_Run, m_Template;
  explicit DeployFile(const std::string &Root) {
    std::ifstream File(Root + "/deploy/system.toml");
    for (std::string Line; std::getline(File, Line);) {
      const std::size_t Quote = Line.find('"');
      if (Quote == std::string::npos)
        continue;
      const std::string Value =
          Line.substr(Quote + 1, Line.rfind('"') - Quote - 1);
      if (Line.starts_with("run "))
        m_Run = Value;
      if (Line.starts_with("template "))
        m_Template = Value;
    }
  }
};

/// One gateway process with the command of the deploy file.
class Gateway {
public:
  Gateway(const std::string &Root, const std::string &Folder, Json Settings)
      : m_Name(Settings.at("nodeName")), m_Root(Root), m_Folder(Folder),
        m_Settings(std::move(Settings)) {
    const auto Parse = [&](const char *Name) {
      const std::string Text = m_Settings.at("listen").at(Name);
      const std::size_t Colon = Text.find(':');
      return Address{Text.substr(0, Colon), std::stoi(Text.substr(Colon + 1))};
    };
    m_Frontend = Parse("frontend");
    m_Readiness = Parse("readiness");
  }
  ~Gateway() { kill(SIGKILL); }
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  bool start() {
    const DeployFile Deploy(m_Root);
    std::ifstream In(m_Root + "/" + Deploy.m_Template);
    std::stringstream Text;
    Text << In.rdbuf();
    const std::string File = m_Folder + "/" + m_Name + ".conf";
    std::ofstream(File) << Template::fill(Text.str(), m_Settings);
    const std::string Program = m_Root + "/" + Deploy.m_Run;
    const std::string Log = m_Folder + "/" + m_Name + ".log";
    const pid_t Parent = getpid();
    m_Pid = fork();
    if (m_Pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != Parent)
        _exit(1);
      const int Output = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Output, 1);
      dup2(Output, 2);
      if (chdir(m_Root.c_str()) != 0)
        _exit(1);
      setenv("CROWSTEP_CONFIG", File.c_str(), 1);
      execl(Program.c_str(), Program.c_str(), nullptr);
      _exit(127);
    }
    LAB_RECORD("%s starts", m_Name.c_str());
    return m_Pid > 0;
  }
  bool isReady() const {
    return call(m_Readiness, "GET", "/readiness", {{"Host", "x"}}, "", 1s)
               .m_Status == 200;
  }
  bool isRunning() {
    if (m_Pid <= 0)
      return false;
    int Status = 0;
    if (waitpid(m_Pid, &Status, WNOHANG) == m_Pid) {
      LAB_RECORD("%s has ended (%s %d)", m_Name.c_str(),
                 WIFSIGNALED(Status) ? "signal" : "exit",
                 WIFSIGNALED(Status) ? WTERMSIG(Status) : WEXITSTATUS(Status));
      m_Pid = -1;
      return false;
    }
    return true;
  }
  void signal(int Number) {
    if (m_Pid > 0) {
      LAB_RECORD("%s gets signal %d", m_Name.c_str(), Number);
      ::kill(m_Pid, Number);
    }
  }
  void kill(int Number) {
    if (m_Pid <= 0)
      return;
    ::kill(m_Pid, Number);
    waitpid(m_Pid, nullptr, 0);
    m_Pid = -1;
  }
  /// Returns the resident memory in MB.
  double memoryMb() const {
    std::ifstream File("/proc/" + std::to_string(m_Pid) + "/status");
    for (std::string Line; std::getline(File, Line);)
      if (Line.starts_with("VmRSS:"))
        return std::atof(Line.c_str() + 6) / 1024;
    return 0;
  }
  std::string metric(const std::string &Name) const {
    const Answer Got =
        call(m_Readiness, "GET", "/metrics", {{"Host", "x"}}, "", 2s);
    std::stringstream Lines(Got.m_Body);
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.starts_with(Name))
        return Line;
    return {};
  }

  const std::string m_Name;
  Address m_Frontend, m_Readiness;
  pid_t m_Pid = -1;

private:
  std::string m_Root, m_Folder;
  Json m_Settings;
};

// ---- Deployment -------------------------------------------------------------

/// The figures of the sheet of a small deployment, fccls-intake.
struct Sheet {
  int m_Gateways = 8;
  int m_MemoryMb = 110;
  int m_Descriptors = 4100;
  int m_ContactMs = 3000, m_DrainMs = 2000, m_ConfigApplyMs = 2000;
  int m_GraceS = 8;
  double m_RetryRatio = 0.2;
  int m_RetrySlack = 56, m_BudgetWindowS = 10;
  std::vector<std::string> m_Zones = {"surrey-hall", "burnaby-hall",
                                      "richmond-hall", "vancouver-hall"};
};

class Deployment {
public:
  explicit Deployment(const Sheet &Figures) : m_Sheet(Figures) {
    signal(SIGPIPE, SIG_IGN);
    const char *Root = getenv("LAB_ROOT");
    m_Root = Root == nullptr ? "." : Root;
    char Folder[] = "/tmp/crowstep-review-XXXXXX";
    m_Folder = mkdtemp(Folder);
    std::vector<std::string> Ips;
    for (int I = 0; I < Figures.m_Gateways; ++I)
      Ips.push_back("127.0.40." + std::to_string(I + 1));
    const int Front = freePort(Ips), Ready = freePort(Ips),
              Links = freePort(Ips), Relays = freePort(Ips);
    m_Store = std::make_unique<Store>(
        Address{"127.0.41.1", freePort({"127.0.41.1"})});
    for (int I = 0; I < Figures.m_Gateways; ++I) {
      const std::string Ip = Ips[static_cast<std::size_t>(I)];
      const std::string Zone =
          Figures.m_Zones[static_cast<std::size_t>(I) % Figures.m_Zones.size()];
      m_Gateways.push_back(std::make_unique<Gateway>(
          m_Root, m_Folder,
          Json{{"nodeName",
                "edge-" + Zone + "-" +
                    std::to_string(
                        1 + I / static_cast<int>(Figures.m_Zones.size()))},
               {"zone", Zone},
               {"ip", Ip},
               {"internalPorts", {Links, Relays}},
               {"listen",
                {{"frontend", Ip + ":" + std::to_string(Front)},
                 {"readiness", Ip + ":" + std::to_string(Ready)}}},
               {"limits",
                {{"cpuShare", 0.25},
                 {"memoryMb", Figures.m_MemoryMb},
                 {"fileDescriptors", Figures.m_Descriptors}}},
               {"bounds",
                {{"graceS", Figures.m_GraceS},
                 {"contactMs", Figures.m_ContactMs},
                 {"drainMs", Figures.m_DrainMs},
                 {"configApplyMs", Figures.m_ConfigApplyMs},
                 {"retryBudgetRatio", Figures.m_RetryRatio},
                 {"retryBudgetSlack", Figures.m_RetrySlack},
                 {"budgetWindowS", Figures.m_BudgetWindowS}}},
               {"platform", {{"address", m_Store->address().text()}}}}));
    }
  }
  ~Deployment() {
    m_Gateways.clear();
    if (getenv("LAB_KEEP") == nullptr)
      std::filesystem::remove_all(m_Folder);
  }
  /// Starts all gateways; returns whether all got ready.
  bool startAll() {
    for (const auto &Started : m_Gateways)
      if (!Started->start())
        return false;
    return waitUntil(
        [&] {
          for (const auto &Started : m_Gateways)
            if (!Started->isReady())
              return false;
          return true;
        },
        15s);
  }
  Sheet m_Sheet;
  std::string m_Root, m_Folder;
  std::unique_ptr<Store> m_Store;
  std::vector<std::unique_ptr<Gateway>> m_Gateways;
};

inline Json limitsJson() {
  return {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}};
}

inline Json engineServiceJson(const std::string &Name) {
  return {{"name", Name},
          {"healthPath", "/health"},
          {"maxConnections", 370},
          {"protocol", "h1"},
          {"tls", false},
          {"engine",
           {{"slots", 64},
            {"kvCapacityTokens", 384008},
            {"kvTokenBytes", 163840},
            {"models", Json::array({{{"name", "m"}}})}}}};
}

inline Json plainServiceJson(const std::string &Name) {
  return {{"name", Name},
          {"healthPath", "/health"},
          {"maxConnections", 110},
          {"protocol", "h1"},
          {"tls", false}};
}

/// Ends the case without waiting for the threads of stand-ins.
[[noreturn]] inline void finish(Deployment &Ended, int Code, const char *Why) {
  LAB_RECORD("%s: %s",
             Code == Held     ? "HELD"
             : Code == Broken ? "BROKEN"
                              : "COULD NOT RUN",
             Why);
  printf("%s: %s\n",
         Code == Held     ? "held"
         : Code == Broken ? "broken"
                          : "could not run",
         Why);
  fflush(stdout);
  for (const auto &Process : Ended.m_Gateways)
    Process->kill(SIGKILL);
  if (getenv("LAB_KEEP") == nullptr)
    std::filesystem::remove_all(Ended.m_Folder);
  else
    printf("logs: %s\n", Ended.m_Folder.c_str());
  fflush(stdout);
  _exit(Code);
}

inline bool hasTrouble() {
  const char *Value = getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace lab

#endif // CROWSTEP_REVIEW_LAB2_H
