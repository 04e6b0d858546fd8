/// Counters, gauges and latency histograms, exported as Prometheus text.
///
/// Handles are looked up once, at start-up, so that a counter is exported with
/// the value 0 before its first increment.
#ifndef CROWSTEP_CORE_METRICS_H
#define CROWSTEP_CORE_METRICS_H

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crowstep {

/// Labels of one time series, in the order in which they are printed.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// A monotonically increasing value.
class Counter {
public:
  void add(std::uint64_t Step = 1) { m_Value += Step; }
  [[nodiscard]] std::uint64_t value() const { return m_Value; }

private:
  std::uint64_t m_Value = 0; ///< Since the start of the process.
};

/// A value that can go up and down.
class Gauge {
public:
  void set(double Value) { m_Value = Value; }
  [[nodiscard]] double value() const { return m_Value; }

private:
  double m_Value = 0; ///< Last value set.
};

/// Latencies on a logarithmic axis from 0.1 ms to 1,000 s (Boost.Histogram).
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram &&) noexcept;
  LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

  /// Adds one latency.
  void record(Duration Latency);

  /// Returns the upper edge of the bucket that holds the quantile \p Fraction
  /// (0 to 1), or zero if nothing was recorded.
  [[nodiscard]] Duration quantile(double Fraction) const;

  /// Returns the number of recorded latencies.
  [[nodiscard]] std::uint64_t count() const;

  /// Appends the buckets, sum and count in Prometheus text.
  void print(const std::string &Name, const Labels &SeriesLabels,
             std::string &Out) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl; ///< Null only after a move.
};

/// Every time series of a process. References stay valid for its lifetime.
class Metrics {
public:
  Counter &counter(const std::string &Name, const Labels &SeriesLabels = {});
  Gauge &gauge(const std::string &Name, const Labels &SeriesLabels = {});
  LatencyHistogram &latency(const std::string &Name,
                            const Labels &SeriesLabels = {});

  /// Returns all series in the Prometheus text format.
  [[nodiscard]] std::string text() const;

private:
  using Key = std::pair<std::string, Labels>;
  std::map<Key, Counter> m_Counters;           ///< By name and labels.
  std::map<Key, Gauge> m_Gauges;               ///< By name and labels.
  std::map<Key, LatencyHistogram> m_Latencies; ///< By name and labels.
};

} // namespace crowstep

#endif // CROWSTEP_CORE_METRICS_H
