/// Updates about speeds that wait to be sent, added up.
#ifndef CROWSTEP_SPEED_SPEED_SUMS_H
#define CROWSTEP_SPEED_SPEED_SUMS_H

#include "speed/decayed_sum.h"
#include "speed/speed_type.h"

#include <map>
#include <utility>
#include <vector>

namespace crowstep::speed {

/// Limits what is sent to a number of bytes a second, and more for more
/// upstreams. What
/// does not fit is added to what comes later; the sums that differ most from
/// what was last sent go first, so that changes don't wait.
class SpeedSums {
public:
  /// The limits are those for up to FewUpstreams, and grow in proportion to
  /// their number. No link carries more than 1 KB a second for these: those
  /// between hubs carry the sum of a zone, the others what an instance has
  /// learned and, from a hub, the sum of the other zones.
  static constexpr std::size_t FewUpstreams = 90;
  static constexpr double OwnLimit = 450;
  static constexpr double ZoneSumLimit = 950;
  static constexpr double OtherZonesLimit = 450;

  explicit SpeedSums(double BytesPerSecond) : m_Limit(BytesPerSecond) {}

  /// Samples of upstreams are sent at most this often, so that several of them
  /// share one entry, and those of services less often, as these change slowly.
  static constexpr Duration UpstreamInterval = std::chrono::milliseconds(250);
  static constexpr Duration ServiceInterval = std::chrono::seconds(1);

  void add(const SpeedUpdate &Update, TimePoint Now);

  /// Returns what may be sent now, and forgets it.
  std::vector<SpeedUpdate> take(TimePoint Now);

  void clear() { *this = SpeedSums(m_Limit); }

private:
  /// Samples that were added up.
  struct Sum {
    std::uint32_t m_Samples = 0; ///< Not sent yet.
    double m_LogSum = 0;         ///< Of them.
    DecayedSum m_Sent;           ///< As receivers add up what was sent.
    TimePoint m_AddedAt;         ///< Last sample.

    void add(std::uint32_t Samples, double LogSum, TimePoint Now);
    [[nodiscard]] double urgency() const;
  };

  void fillAllowance(TimePoint Now);
  bool spend(double Bytes, double Reserve);
  template <typename Map, typename Function>
  void takeSums(Map &From, double EntryBytes, double Reserve, TimePoint Now,
                Function Append);
  void takePaces(TimePoint Now, std::vector<SpeedUpdate> &Out);

  std::map<std::pair<UpstreamId, bool>, Sum> m_Upstreams;    ///< Also by half.
  std::map<std::pair<PoolId, std::uint8_t>, Sum> m_Services; ///< Also by state.
  std::map<UpstreamId, std::pair<std::uint32_t, TimePoint>>
      m_Paces;                    ///< Percent, and when it was stated.
  double m_Limit;                 ///< In bytes a second, for FewUpstreams.
  double m_BytesLeft = 0;         ///< That may be sent, at m_FilledAt.
  double m_BytesPerSecond = 0;    ///< For the number of upstreams.
  TimePoint m_FilledAt{};         ///< Last time.
  TimePoint m_UpstreamsTakenAt{}; ///< Last time.
  TimePoint m_ServicesTakenAt{};  ///< Last time.
};

} // namespace crowstep::speed

#endif // CROWSTEP_SPEED_SPEED_SUMS_H
