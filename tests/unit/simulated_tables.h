/// The store's table of origins in virtual time.
#ifndef CROWSTEP_TESTS_UNIT_SIMULATED_TABLES_H
#define CROWSTEP_TESTS_UNIT_SIMULATED_TABLES_H

#include "core/scheduler.h"
#include "platform/platform_type.h"
#include "resume/origin_archive.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>

namespace crowstep::test {

using namespace std::chrono_literals;

class SimulatedTables final : public platform::TableService {
public:
  explicit SimulatedTables(ManualScheduler &Timers) : m_Timers(Timers) {}

  void write(const std::string &Table, std::vector<platform::RowWrite> Writes,
             std::function<void(platform::WriteResult)> Done) override {
    BOOST_TEST(Table == resume::OriginArchive::TableName);
    BOOST_TEST(Writes.size() == 1U);
    BOOST_TEST(Writes[0].m_Value.size() <= 65536U);
    ++m_Writes;
    ++m_Open;
    m_MostOpen = std::max(m_MostOpen, m_Open);
    m_Timers.runAfter(m_AnswerTime, [this, Write = Writes[0],
                                     Done = std::move(Done)] {
      --m_Open;
      if (m_IsAway) {
        Done(platform::PlatformFailure::Uncertain);
        return;
      }
      if (m_AnswersNothing) {
        Done(std::vector<platform::RowOutcome>());
        return;
      }
      platform::Row &Row = m_Rows[Write.m_Key];
      const bool Fits = Row.m_Version == Write.m_Expected;
      if (Fits)
        Row = {Write.m_Key, platform::RowVersion(++m_Version), Write.m_Value};
      m_StatedEra = m_Era;
      Done(std::vector{platform::RowOutcome{Fits, Row}});
    });
  }
  void read(const std::string &, const std::string &,
            std::function<void(platform::ReadResult)>) override {}
  void list(const std::string &, const std::string &,
            std::function<void(platform::ReadResult)> Done) override {
    ++m_Reads;
    m_Timers.runAfter(m_AnswerTime, [this, Done = std::move(Done)] {
      if (m_IsAway) {
        Done(platform::PlatformFailure::Refused);
        return;
      }
      std::vector<platform::Row> Result;
      for (const auto &[Key, Row] : m_Rows)
        Result.push_back(Row);
      Done(std::move(Result));
    });
  }
  [[nodiscard]] std::optional<platform::TableEra> era() const override {
    return platform::TableEra(m_StatedEra);
  }

  void put(const std::string &Key, const std::string &Value) {
    m_Rows[Key] = {Key, platform::RowVersion(++m_Version), Value};
  }
  /// Returns the tables as one instance calls them: with that, the outcomes of
  /// its calls are lost, but not the calls.
  std::unique_ptr<platform::TableService> client() {
    return std::make_unique<Client>(*this);
  }

  [[nodiscard]] std::size_t calls() const { return m_Writes + m_Reads; }

  ManualScheduler &m_Timers;
  Duration m_AnswerTime = 5ms;
  bool m_IsAway = false;
  bool m_AnswersNothing = false; ///< Writes get an answer without a row.
  std::map<std::string, platform::Row> m_Rows;
  std::uint64_t m_Version = 0;
  std::uint64_t m_Era = 1;
  std::uint64_t m_StatedEra = 1; ///< Of the last answer.
  std::size_t m_Writes = 0;
  std::size_t m_Reads = 0;
  std::size_t m_Open = 0;     ///< Writes that are not answered.
  std::size_t m_MostOpen = 0; ///< At a time.

private:
  class Client final : public platform::TableService {
  public:
    explicit Client(SimulatedTables &Shared) : m_Shared(Shared) {}
    void write(const std::string &Table, std::vector<platform::RowWrite> Writes,
               std::function<void(platform::WriteResult)> Done) override {
      m_Shared.write(Table, std::move(Writes), whileHere(std::move(Done)));
    }
    void read(const std::string &, const std::string &,
              std::function<void(platform::ReadResult)>) override {}
    void list(const std::string &Table, const std::string &Prefix,
              std::function<void(platform::ReadResult)> Done) override {
      m_Shared.list(Table, Prefix, whileHere(std::move(Done)));
    }
    [[nodiscard]] std::optional<platform::TableEra> era() const override {
      return m_Shared.era();
    }

  private:
    template <typename Result>
    std::function<void(Result)> whileHere(std::function<void(Result)> Done) {
      return [Alive = std::weak_ptr(m_Alive),
              Done = std::move(Done)](Result Outcome) {
        if (!Alive.expired())
          Done(std::move(Outcome));
      };
    }

    SimulatedTables &m_Shared; ///< Outlives it.
    std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  };
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_SIMULATED_TABLES_H
