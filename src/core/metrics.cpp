/// Metrics and their Prometheus text.
#include "core/metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace crowstep {

namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr int BucketCount = 56;        ///< 8 per decade.
constexpr double LowestSeconds = 1e-4; ///< Lower edge of the first bucket.
constexpr double HighestSeconds = 1e3; ///< Upper edge of the last bucket.

std::string labelText(const Labels &SeriesLabels,
                      const std::string &Extra = {}) {
  std::string Result;
  for (const auto &[Name, Value] : SeriesLabels) {
    Result += Result.empty() ? "" : ",";
    Result += Name;
    Result += "=\"";
    Result += Value;
    Result += "\"";
  }
  if (!Extra.empty())
    Result += (Result.empty() ? "" : ",") + Extra;
  return Result.empty() ? Result : "{" + Result + "}";
}

std::string numberText(double Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

/// Prints the type line once per run of series with the same name; \p Last is
/// the name printed last.
void printType(const std::string &Name, const char *Type, std::string &Last,
               std::string &Out) {
  if (Last == Name)
    return;
  Last = Name;
  Out += "# TYPE " + Name + " " + Type + "\n";
}

} // namespace

struct LatencyHistogram::Impl {
  bh::histogram<std::tuple<LogAxis>> m_Buckets =
      bh::make_histogram(LogAxis(BucketCount, LowestSeconds, HighestSeconds));
  double m_Sum = 0;          ///< Seconds.
  std::uint64_t m_Count = 0; ///< Recorded latencies.
};

LatencyHistogram::LatencyHistogram() : m_Impl(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &
LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::record(Duration Latency) {
  const double Seconds = std::chrono::duration<double>(Latency).count();
  m_Impl->m_Buckets(Seconds);
  m_Impl->m_Sum += Seconds;
  ++m_Impl->m_Count;
}

std::uint64_t LatencyHistogram::count() const { return m_Impl->m_Count; }

Duration LatencyHistogram::quantile(double Fraction) const {
  if (m_Impl->m_Count == 0)
    return Duration::zero();
  const double Target = Fraction * static_cast<double>(m_Impl->m_Count);
  double Cumulative = 0;
  const auto &Axis = m_Impl->m_Buckets.axis();
  for (int Index = -1; Index < BucketCount; ++Index) {
    Cumulative += static_cast<double>(m_Impl->m_Buckets.at(Index));
    if (Cumulative >= Target)
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Axis.value(Index + 1)));
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(HighestSeconds));
}

void LatencyHistogram::print(const std::string &Name,
                             const Labels &SeriesLabels,
                             std::string &Out) const {
  double Cumulative = static_cast<double>(m_Impl->m_Buckets.at(-1));
  const auto &Axis = m_Impl->m_Buckets.axis();
  for (int Index = 0; Index < BucketCount; ++Index) {
    Cumulative += static_cast<double>(m_Impl->m_Buckets.at(Index));
    const std::string Edge = "le=\"" + numberText(Axis.value(Index + 1)) + "\"";
    Out += Name + "_bucket" + labelText(SeriesLabels, Edge) + " " +
           std::to_string(static_cast<std::uint64_t>(Cumulative)) + "\n";
  }
  const std::string Count = std::to_string(m_Impl->m_Count);
  Out += Name + "_bucket" + labelText(SeriesLabels, "le=\"+Inf\"") + " " +
         Count + "\n";
  Out += Name + "_sum" + labelText(SeriesLabels) + " " +
         numberText(m_Impl->m_Sum) + "\n";
  Out += Name + "_count" + labelText(SeriesLabels) + " " + Count + "\n";
}

Counter &Metrics::counter(const std::string &Name, const Labels &SeriesLabels) {
  return m_Counters[{Name, SeriesLabels}];
}

Gauge &Metrics::gauge(const std::string &Name, const Labels &SeriesLabels) {
  return m_Gauges[{Name, SeriesLabels}];
}

LatencyHistogram &Metrics::latency(const std::string &Name,
                                   const Labels &SeriesLabels) {
  return m_Latencies[{Name, SeriesLabels}];
}

std::string Metrics::text() const {
  std::string Out;
  std::string Last;
  for (const auto &[Series, Value] : m_Counters) {
    printType(Series.first, "counter", Last, Out);
    Out += Series.first + labelText(Series.second) + " " +
           std::to_string(Value.value()) + "\n";
  }
  for (const auto &[Series, Value] : m_Gauges) {
    printType(Series.first, "gauge", Last, Out);
    Out += Series.first + labelText(Series.second) + " " +
           numberText(Value.value()) + "\n";
  }
  for (const auto &[Series, Value] : m_Latencies) {
    printType(Series.first, "histogram", Last, Out);
    Value.print(Series.first, Series.second, Out);
  }
  return Out;
}

} // namespace crowstep
