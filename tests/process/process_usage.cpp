/// Reading of a process's usage from the kernel.
#include "process/process_usage.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace crowstep::test {

namespace {

constexpr int HexBase = 16;

} // namespace

void ProcessUsage::sample() {
  m_MostBytes = std::max(m_MostBytes, residentBytesOf(m_Pid) + unreadBytes());
  m_MostDescriptors = std::max(m_MostDescriptors, openDescriptors());
}

bool ProcessUsage::watchUntil(const std::function<bool()> &Done,
                              Duration Limit) {
  return runUntil(
      [&] {
        sample();
        return Done();
      },
      Limit);
}

void ProcessUsage::check() {
  sample();
  BOOST_TEST_MESSAGE("used " << (m_MostBytes >> 10U) << " KiB and "
                             << m_MostDescriptors << " descriptors");
  BOOST_TEST(m_MostBytes <= SmallMachine.m_DataBytes);
  BOOST_TEST(m_MostDescriptors <= SmallMachine.m_Descriptors);
}

std::size_t residentBytesOf(pid_t Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// A line has a number, the local and the remote address as IP:PORT, the state
/// and the queues as SEND:RECEIVE, all in hexadecimal.
std::size_t ProcessUsage::unreadBytes() const {
  constexpr unsigned Listening = 0x0A;
  std::ifstream File("/proc/net/tcp");
  std::string Line;
  std::getline(File, Line); // The names of the columns.
  std::size_t Result = 0;
  while (std::getline(File, Line)) {
    std::istringstream Fields(Line);
    std::string Number;
    std::string Local;
    std::string Remote;
    std::string State;
    std::string Queues;
    Fields >> Number >> Local >> Remote >> State >> Queues;
    const auto Port = static_cast<std::uint16_t>(
        std::stoul(Local.substr(Local.find(':') + 1), nullptr, HexBase));
    if (m_Ports.contains(Port) &&
        std::stoul(State, nullptr, HexBase) != Listening)
      Result +=
          std::stoul(Queues.substr(Queues.find(':') + 1), nullptr, HexBase);
  }
  return Result;
}

std::size_t ProcessUsage::openDescriptors() const {
  std::error_code Failed;
  const std::filesystem::directory_iterator Open(
      "/proc/" + std::to_string(m_Pid) + "/fd", Failed);
  return Failed ? 0
                : static_cast<std::size_t>(
                      std::distance(begin(Open), std::filesystem::end(Open)));
}

} // namespace crowstep::test
