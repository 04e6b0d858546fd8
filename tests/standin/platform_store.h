/// The platform's tables, objects and instance list, without HTTP.
#ifndef CROWSTEP_STANDIN_PLATFORM_STORE_H
#define CROWSTEP_STANDIN_PLATFORM_STORE_H

#include "core/clock.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace crowstep::standin {

/// Calls of one second and the highest second so far.
class RatePeak {
public:
  void count(TimePoint Now);
  [[nodiscard]] std::uint64_t total() const { return m_Total; }
  [[nodiscard]] std::uint64_t peak() const { return m_Peak; }

private:
  std::int64_t m_Second = 0;   ///< The second being counted.
  std::uint64_t m_Present = 0; ///< Calls in it.
  std::uint64_t m_Peak = 0;    ///< Of any second.
  std::uint64_t m_Total = 0;   ///< Of all.
};

/// Table service and object store.
class PlatformStore {
public:
  /// Carries out {"writes":[...]} and returns {"outcomes":[...]}.
  nlohmann::json write(const std::string &Table, const nlohmann::json &Body,
                       TimePoint Now);
  nlohmann::json read(const std::string &Table, const std::string &Key,
                      TimePoint Now);
  nlohmann::json list(const std::string &Table, const std::string &Prefix,
                      TimePoint Now);

  /// Fills tables from the "tables" of a seed file.
  void seed(const nlohmann::json &Tables);

  [[nodiscard]] nlohmann::json stats() const;

private:
  struct StoredRow {
    std::uint64_t m_Version = 0; ///< Never repeats within a table.
    std::string m_Value;         ///< JSON text.
  };
  struct Table {
    std::map<std::string, StoredRow> m_Rows; ///< By key.
    std::uint64_t m_LastVersion = 0; ///< Grows with each write, also deletes.
    RatePeak m_Reads;                ///< Calls that read it.
    RatePeak m_Writes;               ///< Calls that write it.
  };
  static nlohmann::json writeRow(Table &Where, const nlohmann::json &Write);

  std::map<std::string, Table> m_Tables; ///< By name.
  RatePeak m_Reads;                      ///< Of all tables.
  RatePeak m_Writes;                     ///< Of all tables.
};

/// A listing that lags.
class LaggingListing {
public:
  void set(nlohmann::json Listing, TimePoint Now);
  void setLag(Duration Lag) { m_Lag = Lag; }

  /// Returns the newest listing that is as old as the lag.
  [[nodiscard]] nlohmann::json visible(TimePoint Now);

private:
  std::deque<std::pair<TimePoint, nlohmann::json>> m_History; ///< By time.
  Duration m_Lag{}; ///< Age of what readers see.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_PLATFORM_STORE_H
