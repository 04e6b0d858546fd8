/// HTTP, the store, and processes of the gateway for the review's scripts.
#include "lab.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point Begin = Clock::now();

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  Result.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Result;
}

/// Listens at a free port on loopback; returns the socket and the port.
std::pair<int, std::uint16_t> listenAnywhere() {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Where = loopback(0);
  bind(Socket, reinterpret_cast<sockaddr *>(&Where), sizeof(Where));
  listen(Socket, 512);
  socklen_t Size = sizeof(Where);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Where), &Size);
  return {Socket, ntohs(Where.sin_port)};
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Ch) { return std::tolower(Ch); });
  return Text;
}

std::string wordOf(const std::string &Line, int Index) {
  std::size_t From = 0;
  for (int I = 0; I < Index; ++I)
    From = Line.find(' ', From) + 1;
  return Line.substr(From, Line.find(' ', From) - From);
}

constexpr const char *Base64Letters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string base64Encoded(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); I += 3) {
    std::uint32_t Bits = 0;
    for (std::size_t K = 0; K < 3; ++K)
      Bits =
          Bits << 8U |
          (I + K < Text.size() ? static_cast<unsigned char>(Text[I + K]) : 0U);
    for (std::size_t K = 0; K < 4; ++K)
      Result += I + K > Text.size()
                    ? '='
                    : Base64Letters[Bits >> (18U - 6U * K) & 63U];
  }
  return Result;
}

std::string base64Decoded(const std::string &Text) {
  std::string Result;
  std::uint32_t Bits = 0;
  unsigned Count = 0;
  for (const char Ch : Text) {
    const char *Found = std::strchr(Base64Letters, Ch);
    if (Ch == '=' || Found == nullptr)
      continue;
    Bits = Bits << 6U | static_cast<std::uint32_t>(Found - Base64Letters);
    Count += 6;
    if (Count >= 8) {
      Count -= 8;
      Result += static_cast<char>(Bits >> Count & 255U);
    }
  }
  return Result;
}

/// Returns a parameter of a query, with percent encoding removed.
std::string queryValue(const std::string &Target, const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t End = std::min(Target.find('&', At + 1), Target.size());
    const std::string Item = Target.substr(At + 1, End - At - 1);
    if (Item.starts_with(Name + "=")) {
      std::string Result;
      for (std::size_t I = Name.size() + 1; I < Item.size(); ++I)
        if (Item[I] == '%') {
          Result +=
              static_cast<char>(std::stoi(Item.substr(I + 1, 2), nullptr, 16));
          I += 2;
        } else {
          Result += Item[I];
        }
      return Result;
    }
    At = End == Target.size() ? std::string::npos : End;
  }
  return {};
}

std::uint64_t numberOf(const std::string &Text) {
  return std::strtoull(Text.c_str(), nullptr, 10);
}

} // namespace

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

milliseconds elapsed() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - Begin);
}

void sleepFor(milliseconds Span) { std::this_thread::sleep_for(Span); }

bool waitFor(const std::function<bool()> &Condition, milliseconds Limit) {
  const milliseconds End = elapsed() + Limit;
  while (!Condition()) {
    if (elapsed() >= End)
      return false;
    sleepFor(milliseconds(20));
  }
  return true;
}

/// Ports below those that the kernel gives to outgoing connections, so that a
/// process that starts again finds its own free.
std::uint16_t freePort() {
  constexpr std::uint16_t First = 20000;
  constexpr std::uint16_t Count = 10000;
  static std::uint16_t Next = static_cast<std::uint16_t>(getpid() * 37 % Count);
  for (;;) {
    Next = static_cast<std::uint16_t>((Next + 1) % Count);
    const auto Port = static_cast<std::uint16_t>(First + Next);
    const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Where = loopback(Port);
    const bool IsFree =
        bind(Socket, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) == 0;
    close(Socket);
    if (IsFree)
      return Port;
  }
}

void Record::line(const std::string &Text) {
  const std::lock_guard Lock(m_Mutex);
  m_Out << elapsed().count() << " ms  " << Text << std::endl;
}

// ---- HTTP -------------------------------------------------------------------

std::string Message::header(const std::string &Name) const {
  const auto Found = m_Headers.find(Name);
  return Found == m_Headers.end() ? std::string() : Found->second;
}

std::string Message::method() const { return wordOf(m_Start, 0); }
std::string Message::target() const { return wordOf(m_Start, 1); }
int Message::status() const { return std::atoi(wordOf(m_Start, 1).c_str()); }

Connection::~Connection() { close(m_Socket); }

std::unique_ptr<Connection> Connection::open(std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Where = loopback(Port);
  auto Result = std::make_unique<Connection>(Socket);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) != 0)
    return nullptr;
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Result;
}

bool Connection::write(const std::string &Bytes) {
  std::size_t Written = 0;
  while (Written < Bytes.size()) {
    const ssize_t Size = send(m_Socket, Bytes.data() + Written,
                              Bytes.size() - Written, MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    Written += static_cast<std::size_t>(Size);
  }
  return true;
}

bool Connection::fill() {
  std::array<char, 16384> Buffer{};
  const ssize_t Size = recv(m_Socket, Buffer.data(), Buffer.size(), 0);
  if (Size <= 0)
    return false;
  m_Unread.append(Buffer.data(), static_cast<std::size_t>(Size));
  return true;
}

std::optional<std::string> Connection::readLine() {
  std::size_t End = m_Unread.find("\r\n");
  while (End == std::string::npos) {
    if (!fill())
      return std::nullopt;
    End = m_Unread.find("\r\n");
  }
  std::string Result = m_Unread.substr(0, End);
  m_Unread.erase(0, End + 2);
  return Result;
}

std::optional<std::string> Connection::readBytes(std::size_t Count) {
  while (m_Unread.size() < Count)
    if (!fill())
      return std::nullopt;
  std::string Result = m_Unread.substr(0, Count);
  m_Unread.erase(0, Count);
  return Result;
}

std::optional<Message> Connection::readHead() {
  Message Result;
  auto Line = readLine();
  if (!Line)
    return std::nullopt;
  Result.m_Start = *Line;
  while ((Line = readLine()) && !Line->empty()) {
    const std::size_t Colon = Line->find(':');
    if (Colon == std::string::npos)
      continue;
    const std::size_t Value = Line->find_first_not_of(' ', Colon + 1);
    Result.m_Headers[lowerCase(Line->substr(0, Colon))] =
        Value == std::string::npos ? "" : Line->substr(Value);
  }
  return Line ? std::optional(Result) : std::nullopt;
}

bool Connection::readBody(Message &Head) {
  if (lowerCase(Head.header("transfer-encoding")) != "chunked") {
    const auto Body = readBytes(numberOf(Head.header("content-length")));
    Head.m_Body = Body.value_or("");
    return Body.has_value();
  }
  for (;;) {
    const auto Chunk = readChunk();
    if (!Chunk)
      return false;
    if (Chunk->empty())
      return true;
    Head.m_Body += *Chunk;
  }
}

std::optional<std::string> Connection::readChunk() {
  const auto Size = readLine();
  if (!Size)
    return std::nullopt;
  auto Result = readBytes(std::strtoull(Size->c_str(), nullptr, 16));
  return Result && readLine() ? Result : std::nullopt;
}

void Connection::shutDown() const { shutdown(m_Socket, SHUT_RDWR); }

void Connection::setReadLimit(milliseconds Limit) const {
  const timeval Native = {Limit.count() / 1000, Limit.count() % 1000 * 1000};
  setsockopt(m_Socket, SOL_SOCKET, SO_RCVTIMEO, &Native, sizeof(Native));
}

Server::Server(Handler OnRequest) : m_Handler(std::move(OnRequest)) {
  std::tie(m_Socket, m_Port) = listenAnywhere();
  m_Acceptor = std::thread([this] { accept(); });
}

/// Threads of connections may still run; the script ends right after.
Server::~Server() {
  shutdown(m_Socket, SHUT_RDWR);
  m_Acceptor.join();
  close(m_Socket);
  closeAll();
}

std::string Server::address() const {
  return "127.0.0.1:" + std::to_string(m_Port);
}

void Server::closeAll() {
  const std::lock_guard Lock(m_Mutex);
  for (const auto &Known : m_Peers)
    if (const auto Peer = Known.lock())
      Peer->shutDown();
  m_Peers.clear();
}

void Server::accept() {
  for (;;) {
    const int Socket = accept4(m_Socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      return;
    const int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    const auto Peer = std::make_shared<Connection>(Socket);
    {
      const std::lock_guard Lock(m_Mutex);
      std::erase_if(m_Peers, [](const auto &Old) { return Old.expired(); });
      m_Peers.push_back(Peer);
    }
    std::thread([this, Peer] { serve(Peer); }).detach();
  }
}

void Server::serve(const std::shared_ptr<Connection> &Peer) {
  while (auto Request = Peer->readHead())
    if (!Peer->readBody(*Request) || !m_Handler(*Request, *Peer))
      return;
}

std::string answerText(int Status, const std::string &Headers,
                       const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

// ---- Store ------------------------------------------------------------------

Store::Store()
    : m_Server(std::make_unique<Server>(
          [this](const Message &Request, Connection &Peer) {
            return handle(Request, Peer);
          })) {}

void Store::apply(const std::string &Table, const std::string &Key,
                  Row Changed) {
  m_Tables[Table][Key] = std::move(Changed);
  m_Changed.notify_all();
}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  const std::lock_guard Lock(m_Mutex);
  apply(Table, Key, {Value, ++m_Version, false});
}

std::vector<std::string> Store::keys(const std::string &Table,
                                     const std::string &Prefix) {
  const std::lock_guard Lock(m_Mutex);
  std::vector<std::string> Result;
  for (const auto &[Key, Entry] : m_Tables[Table])
    if (!Entry.m_Removed && Key.starts_with(Prefix))
      Result.push_back(Key);
  return Result;
}

std::string Store::value(const std::string &Table, const std::string &Key) {
  const std::lock_guard Lock(m_Mutex);
  return m_Tables[Table][Key].m_Value;
}

void Store::takeCopy() {
  const std::lock_guard Lock(m_Mutex);
  m_Copy = m_Tables;
  m_CopyVersion = m_Version;
}

void Store::goAway() {
  {
    const std::lock_guard Lock(m_Mutex);
    m_IsAway = true;
    m_Changed.notify_all();
  }
  m_Server->closeAll();
}

void Store::comeBack() {
  const std::lock_guard Lock(m_Mutex);
  m_Tables = m_Copy;
  m_Version = m_CopyVersion;
  ++m_Era;
  m_IsAway = false;
  m_Changed.notify_all();
}

std::string Store::answer(int Status, Json Body) {
  Body["schemaVersion"] = m_Version;
  Body["nowMs"] = elapsed().count();
  return answerText(Status,
                    "Content-Type: application/json\r\nStore-Era: " +
                        std::to_string(m_Era) + "\r\n",
                    Body.dump());
}

Json Store::rowsAfter(const std::string &Table, std::uint64_t After,
                      bool WithRemoved) {
  std::map<std::pair<std::uint64_t, std::string>, Json> Ordered;
  for (const auto &[Key, Entry] : m_Tables[Table]) {
    if (Entry.m_Version <= After || (Entry.m_Removed && !WithRemoved))
      continue;
    Json Text = {{"table", Table},
                 {"part", ""},
                 {"key", Key},
                 {"schemaVersion", Entry.m_Version}};
    if (Entry.m_Removed)
      Text["deleted"] = true;
    else
      Text["value"] = base64Encoded(Entry.m_Value);
    // A feed is in the order of versions, a read in that of keys.
    Ordered[{WithRemoved ? Entry.m_Version : 0, Key}] = std::move(Text);
  }
  Json Result = Json::array();
  for (auto &[Order, Text] : Ordered)
    Result.push_back(std::move(Text));
  return Result;
}

std::string Store::transact(const Json &Body) {
  Json Found = Json::array();
  bool Matches = true;
  for (const Json &Expected : Body.value("expectedRevision", Json::array())) {
    const std::string Table = Expected.at("table");
    const std::string Key = Expected.at("key");
    const Row &Current = m_Tables[Table][Key];
    const std::uint64_t Version = Current.m_Removed ? 0 : Current.m_Version;
    Matches = Matches && Version == Expected.at("schemaVersion");
    if (Version != 0)
      Found.push_back({{"table", Table},
                       {"part", ""},
                       {"key", Key},
                       {"value", base64Encoded(Current.m_Value)},
                       {"schemaVersion", Version}});
  }
  if (!Matches)
    return answer(412, {{"rows", Found}});
  ++m_Version;
  for (const Json &Put : Body.value("puts", Json::array()))
    apply(
        Put.at("table"), Put.at("key"),
        {base64Decoded(Put.at("value").get<std::string>()), m_Version, false});
  for (const Json &Removed : Body.value("remove", Json::array()))
    apply(Removed.at("table"), Removed.at("key"), {"", m_Version, true});
  return answer(200, Json::object());
}

bool Store::feed(const Message &Request, Connection &Peer) {
  const std::string Table = queryValue(Request.target(), "table");
  const std::uint64_t After = numberOf(queryValue(Request.target(), "after"));
  const milliseconds Wait(numberOf(queryValue(Request.target(), "waitMs")));
  std::unique_lock Lock(m_Mutex);
  const std::uint64_t Era = m_Era;
  if (After > m_Version)
    return Peer.write(answer(410, Json::object()));
  m_Changed.wait_for(Lock, Wait, [&] {
    return m_IsAway || m_Era != Era || !rowsAfter(Table, After, true).empty();
  });
  if (m_IsAway || m_Era != Era)
    return false;
  return Peer.write(answer(200, {{"rows", rowsAfter(Table, After, true)}}));
}

bool Store::handle(const Message &Request, Connection &Peer) {
  const std::string Path =
      Request.target().substr(0, Request.target().find('?'));
  {
    const std::lock_guard Lock(m_Mutex);
    if (m_IsAway)
      return Peer.write(answer(503, Json::object()));
  }
  if (Path == "/rows-feed")
    return feed(Request, Peer);
  const std::lock_guard Lock(m_Mutex);
  if (Path == "/rows-tx")
    return Peer.write(transact(Json::parse(Request.m_Body)));
  if (Path != "/rows-get")
    return Peer.write(answer(404, Json::object()));
  const std::string From = queryValue(Request.target(), "from");
  const std::uint64_t Limit = numberOf(queryValue(Request.target(), "limit"));
  Json Rows = Json::array();
  bool HasMore = false;
  for (Json &Entry :
       rowsAfter(queryValue(Request.target(), "table"), 0, false)) {
    if (Entry.at("key").get<std::string>() < From)
      continue;
    HasMore = Limit > 0 && Rows.size() >= Limit;
    if (HasMore)
      break;
    Rows.push_back(std::move(Entry));
  }
  return Peer.write(answer(200, {{"rows", Rows}, {"hasMore", HasMore}}));
}

// ---- Processes --------------------------------------------------------------

TemporaryFolder::TemporaryFolder() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "crowstep-review-XXXXXX")
          .string();
  m_Path = mkdtemp(Name.data());
}

void TemporaryFolder::remove() const {
  std::error_code Ignored;
  std::filesystem::remove_all(m_Path, Ignored);
}

Gateway::Gateway(GatewaySettings Settings, std::string Folder)
    : m_Settings(std::move(Settings)), m_Folder(std::move(Folder)) {
  for (int I = 0; I < 4; ++I)
    m_Ports.push_back(freePort());
}

Gateway::~Gateway() { kill(); }

void Gateway::start() {
  const auto At = [this](std::size_t Index) {
    return "127.0.0.1:" + std::to_string(m_Ports.at(Index)) + "\n";
  };
  const std::string File = m_Folder + "/" + m_Settings.m_Name + ".ini";
  std::ofstream Out(File);
  // deploy/gateway.ini, filled in with the bounds of a small deployment.
  Out << "[instance]\nname=" << m_Settings.m_Name
      << "\nzone=suva-a\nweight=" << m_Settings.m_CpuShare
      << "\n[gateway]\nlisten=" << At(0) << "links=" << At(1)
      << "relays=" << At(2) << "probes=" << At(3)
      << "readiness_path=/readiness\ngrace_s=8\ndescriptors=4100\n"
      << "[retry_budget]\nratio=0.2\nslack=58\nwindow_s=10\n"
      << "[upstreams]\ndrain_ms=2000\n[store]\naddress=" << m_Settings.m_Store
      << "\napply_ms=2000\nsettle_ms=3000\n";
  if (!m_Settings.m_DutyAddress.empty())
    Out << "[duties]\naddress=" << m_Settings.m_DutyAddress
        << "\nlease_ms=3000\nlist=usage_reporting\ncalls_per_s=20\n"
        << "usage_window_s=5\nusage_due_s=10\n";
  Out << "[log]\nlevel=info\n";
  Out.close();
  const std::string Log = m_Folder + "/" + m_Settings.m_Name + ".log";
  m_Process = fork();
  if (m_Process != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Target = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(Target, STDOUT_FILENO);
  dup2(Target, STDERR_FILENO);
  setenv("CROWSTEP_CONFIG", File.c_str(), 1);
  execl("target/crowstep-gateway", "target/crowstep-gateway", nullptr);
  _exit(127);
}

void Gateway::signal(int Number) const {
  if (m_Process != 0)
    ::kill(m_Process, Number);
}

void Gateway::kill() {
  if (m_Process == 0)
    return;
  ::kill(m_Process, SIGKILL);
  waitpid(m_Process, nullptr, 0);
  m_Process = 0;
}

bool Gateway::hasEnded() {
  if (m_Process == 0 || waitpid(m_Process, nullptr, WNOHANG) != m_Process)
    return false;
  m_Process = 0;
  return true;
}

bool Gateway::isReady() const {
  const auto Peer = Connection::open(m_Ports[3]);
  if (Peer == nullptr)
    return false;
  Peer->setReadLimit(milliseconds(500));
  if (!Peer->write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n"))
    return false;
  const auto Head = Peer->readHead();
  return Head && Head->status() == 200;
}

bool areAllReady(const std::vector<std::unique_ptr<Gateway>> &Gateways,
                 milliseconds Limit) {
  return std::ranges::all_of(Gateways, [Limit](const auto &Started) {
    return waitFor([&] { return Started->isReady(); }, Limit);
  });
}

bool startAll(std::vector<std::unique_ptr<Gateway>> &Gateways) {
  for (const auto &Started : Gateways)
    Started->start();
  return areAllReady(Gateways, milliseconds(10000));
}

void endScript(int Code, std::vector<std::unique_ptr<Gateway>> &Gateways,
               TemporaryFolder &Folder) {
  for (const auto &Process : Gateways)
    Process->kill();
  Folder.remove();
  std::_Exit(Code);
}

} // namespace lab
