/// Child processes, temporary directories and the loop that tests wait in.
#include "process/process.h"

#include "core/error.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <glib.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace crowstep::test {

using namespace std::chrono_literals;

namespace {

void setLimit(int Resource, std::size_t Value) {
  const rlimit Limit = {Value, Value};
  if (Value > 0)
    setrlimit(static_cast<__rlimit_resource>(Resource), &Limit);
}

/// The shadow memory of the address sanitizer counts as data.
void applyLimits(const ProcessLimits &Limits) {
#ifndef __SANITIZE_ADDRESS__
  setLimit(RLIMIT_DATA, Limits.m_DataBytes);
#endif
  setLimit(RLIMIT_STACK, Limits.m_StackBytes);
  setLimit(RLIMIT_NOFILE, Limits.m_Descriptors);
}

} // namespace

TemporaryFolder::TemporaryFolder() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "crowstep-XXXXXX").string();
  if (mkdtemp(Pattern.data()) == nullptr)
    throw Error("can't create a temporary directory");
  m_Path = Pattern;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code Ignored;
  std::filesystem::remove_all(m_Path, Ignored);
}

std::string TemporaryFolder::write(const std::string &Name,
                                   const std::string &Text) const {
  std::string Path = m_Path + "/" + Name;
  std::ofstream(Path) << Text;
  return Path;
}

Process::Process(const TemporaryFolder &Folder, const std::string &Program,
                 const std::string &Name, const std::string &Settings,
                 const ProcessLimits &Limits)
    : m_LogPath(Folder.path() + "/" + Name + ".log") {
  const std::string Config = Folder.write(Name + ".ini", Settings);
  const std::string Path = std::string(CROWSTEP_BINARY_DIR) + "/" + Program;
  const pid_t Parent = getpid();
  m_Pid = fork();
  if (m_Pid != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(126);
  const int LogFd =
      open(m_LogPath.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  dup2(LogFd, STDOUT_FILENO);
  dup2(LogFd, STDERR_FILENO);
  applyLimits(Limits);
  execl(Path.c_str(), Path.c_str(), "--config", Config.c_str(), nullptr);
  _exit(127);
}

Process::~Process() { kill(); }

void Process::signal(int Number) const {
  if (m_Pid != 0)
    ::kill(m_Pid, Number);
}

bool Process::reap() {
  int Status = 0;
  if (m_Pid == 0 || waitpid(m_Pid, &Status, WNOHANG) != m_Pid)
    return m_Pid == 0;
  m_ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
  m_Pid = 0;
  return true;
}

std::optional<int> Process::wait(Duration Limit) {
  runUntil([this] { return reap(); }, Limit);
  return m_ExitCode;
}

void Process::kill() {
  signal(SIGKILL);
  wait(10s);
}

bool Process::isRunning() { return !reap(); }

std::string Process::log() const {
  std::ifstream File(m_LogPath);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::uint16_t freePort() {
  // The socket stays bound until this process ends, so that the kernel assigns
  // the port to no other connection. Listeners with SO_REUSEADDR can bind it.
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int Enabled = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(SocketAddress);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&SocketAddress),
           sizeof(SocketAddress)) != 0 ||
      getsockname(Socket, reinterpret_cast<sockaddr *>(&SocketAddress),
                  &Size) != 0)
    throw Error("can't bind a free loopback port");
  return ntohs(SocketAddress.sin_port);
}

bool runUntil(const std::function<bool()> &Done, Duration Limit) {
  constexpr int PollIntervalMs = 5;
  const gint64 Deadline = g_get_monotonic_time() + Limit.count();
  // The timer wakes the loop so that conditions which no event source signals
  // are checked too.
  const guint PollTimer = g_timeout_add(
      PollIntervalMs, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; },
      nullptr);
  bool IsDone = Done();
  while (!IsDone && g_get_monotonic_time() < Deadline) {
    g_main_context_iteration(nullptr, 1);
    IsDone = Done();
  }
  g_source_remove(PollTimer);
  return IsDone;
}

void runFor(Duration Span) {
  runUntil([] { return false; }, Span);
}

} // namespace crowstep::test
