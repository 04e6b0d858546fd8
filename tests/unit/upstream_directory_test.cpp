/// A dispatcher's list of upstreams and the operators' drains.
#define BOOST_TEST_MODULE upstream_directory
#include "dispatcher/upstream_directory.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::dispatcher;
using namespace std::chrono_literals;

namespace {

constexpr Duration Interval = 1s;

/// A platform's list that answers at once.
class FakeList final : public platform::InstanceList {
public:
  void fetch(std::function<void(Result)> Done) override { Done(m_Listing); }

  platform::InstanceListing m_Listing; ///< The answer.
};

/// Rows of one table in memory, which answer at once.
class MemoryTable final : public platform::TableService {
public:
  void write(const std::string &, std::vector<platform::RowWrite> Writes,
             std::function<void(platform::WriteResult)> Done) override {
    ++m_Writes;
    Done(std::vector<platform::RowOutcome>{put(Writes.front())});
  }
  void read(const std::string &, const std::string &Key,
            std::function<void(platform::ReadResult)> Done) override {
    std::vector<platform::Row> Result;
    if (const auto Found = m_Rows.find(Key); Found != m_Rows.end())
      Result.push_back(Found->second);
    Done(Result);
  }
  void list(const std::string &, const std::string &,
            std::function<void(platform::ReadResult)> Done) override {
    std::vector<platform::Row> Result;
    for (const auto &[Key, Row] : m_Rows)
      Result.push_back(Row);
    Done(Result);
  }

  /// Another process writes a row, or deletes it if \p Value is empty.
  void putFromElsewhere(const std::string &Key, const std::string &Value) {
    const auto Found = m_Rows.find(Key);
    put({Key,
         Found == m_Rows.end() ? platform::RowVersion()
                               : Found->second.m_Version,
         Value});
  }

  std::map<std::string, platform::Row> m_Rows; ///< By key.
  int m_Writes = 0;                            ///< Calls.

private:
  platform::RowOutcome put(const platform::RowWrite &Write) {
    const auto Found = m_Rows.find(Write.m_Key);
    const platform::RowVersion Current = Found == m_Rows.end()
                                             ? platform::RowVersion()
                                             : Found->second.m_Version;
    if (Write.m_Expected != Current)
      return {};
    m_Rows.erase(Write.m_Key);
    if (!Write.m_Value.empty())
      m_Rows[Write.m_Key] = {Write.m_Key, platform::RowVersion(++m_LastVersion),
                             Write.m_Value};
    return {true, {}};
  }

  std::uint64_t m_LastVersion = 0; ///< Of the last write.
};

Upstream engine(std::uint32_t Slots) {
  return {upstreamIdOf("e"), "e", "writer", {1, 1}, {"a"}, Engine{Slots}};
}

struct Fixture {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  FakeList m_List;
  MemoryTable m_Table;
  UpstreamDirectory m_Directory{m_Timers, m_List, m_Table, Interval, 0};
  int m_Changes = 0;

  Fixture() {
    m_List.m_Listing.m_Upstreams = {engine(8)};
    m_Directory.onChange([this] { ++m_Changes; });
    m_Directory.start();
    m_Timers.advance(10ms);
  }

  /// Sets a drain; returns what the operator is told.
  std::optional<bool> setDrained(bool Drained) {
    std::optional<bool> Result;
    m_Directory.setDrained("upstream/e", Drained,
                           [&](bool Written) { Result = Written; });
    return Result;
  }
};

} // namespace

// Guards against changes of an upstream that are read and never passed on.
BOOST_AUTO_TEST_CASE(AnyChangeOfAnUpstreamIsReported) {
  Fixture Test;
  const int Before = Test.m_Changes;
  Test.m_List.m_Listing.m_Upstreams = {engine(16)};
  Test.m_Timers.advance(Interval);
  BOOST_TEST(Test.m_Changes == Before + 1);
  Test.m_Timers.advance(Interval);
  BOOST_TEST(Test.m_Changes == Before + 1);
}

// Guards against an operator who is told that an upstream is drained, or is
// not, although another dispatcher has changed that since the last reading.
BOOST_AUTO_TEST_CASE(ADrainIsDecidedOnAFreshReading) {
  Fixture Test;
  BOOST_TEST(Test.setDrained(true).value());
  Test.m_Table.putFromElsewhere("upstream/e", "");
  BOOST_TEST(Test.setDrained(true).value());
  BOOST_TEST(Test.m_Table.m_Rows.contains("upstream/e"));
  BOOST_TEST(Test.setDrained(false).value());
  Test.m_Table.putFromElsewhere("upstream/e", "{}");
  BOOST_TEST(Test.setDrained(false).value());
  BOOST_TEST(Test.m_Table.m_Rows.empty());
}

// Guards against a write that changes nothing.
BOOST_AUTO_TEST_CASE(ADrainInTheWantedStateIsNotWritten) {
  Fixture Test;
  BOOST_TEST(Test.setDrained(true).value());
  BOOST_TEST(Test.setDrained(true).value());
  BOOST_TEST(Test.m_Table.m_Writes == 1);
}
