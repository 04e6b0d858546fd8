/// The platform's tables and instance list, without HTTP.
#ifndef CROWSTEP_STANDIN_PLATFORM_STORE_H
#define CROWSTEP_STANDIN_PLATFORM_STORE_H

#include "core/clock.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace crowstep::standin {

/// Counts calls, in all and in the busiest second.
class RateCounter {
public:
  void recordCall(TimePoint Now);
  [[nodiscard]] std::uint64_t total() const { return m_Total; }
  [[nodiscard]] std::uint64_t peak() const { return m_Peak; }

private:
  std::int64_t m_CurrentSecond = 0; ///< Second being counted.
  std::uint64_t m_CurrentCount = 0; ///< Calls in that second.
  std::uint64_t m_Peak = 0;         ///< Most calls in one second.
  std::uint64_t m_Total = 0;        ///< Calls since the start.
};

/// Table service: rows with versions, conditional writes and call counts.
class PlatformStore {
public:
  /// Executes {"writes":[...]} and returns {"outcomes":[...]}.
  nlohmann::json write(const std::string &Table, const nlohmann::json &Body,
                       TimePoint Now);
  nlohmann::json read(const std::string &Table, const std::string &Key,
                      TimePoint Now);
  nlohmann::json list(const std::string &Table, const std::string &Prefix,
                      TimePoint Now);

  /// Fills the tables from the member "tables" of a seed file.
  void seed(const nlohmann::json &Tables);

  [[nodiscard]] nlohmann::json stats() const;

private:
  struct StoredRow {
    std::uint64_t m_Version = 0; ///< Unique within a table, for good.
    std::string m_Value;         ///< JSON text.
  };
  struct Table {
    std::map<std::string, StoredRow> m_Rows; ///< By key.
    std::uint64_t m_LastVersion = 0; ///< Grows with each write of a value.
    RateCounter m_Reads;             ///< Read calls.
    RateCounter m_Writes;            ///< Write calls.
  };
  static nlohmann::json writeRow(Table &Target, const nlohmann::json &Write);

  std::map<std::string, Table> m_Tables; ///< By name.
  RateCounter m_Reads;                   ///< Of all tables.
  RateCounter m_Writes;                  ///< Of all tables.
};

/// An instance list of which readers get an old version.
class LaggingListing {
public:
  void set(nlohmann::json Listing, TimePoint Now);
  void setLag(Duration Lag) { m_Lag = Lag; }

  /// Returns the newest list that is at least as old as the lag, or the oldest
  /// list if there is none. Drops the lists before it, so time must not go
  /// back.
  [[nodiscard]] nlohmann::json visible(TimePoint Now);

private:
  std::deque<std::pair<TimePoint, nlohmann::json>> m_History; ///< By time.
  Duration m_Lag{}; ///< Age of the list that readers get.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_PLATFORM_STORE_H
