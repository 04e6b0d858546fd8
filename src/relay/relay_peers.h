/// Chooses the instances that carry calls for this one.
///
/// Few instances are asked, whatever the size of the fleet. They are drawn by
/// chance, so that the calls of many instances without paths spread over all
/// others, from this instance's zone and the other ones by turns: a lost path
/// often concerns a whole zone. Only those that have proven that they reach
/// upstreams get calls; of two by chance the one with fewer calls.
#ifndef CROWSTEP_RELAY_RELAY_PEERS_H
#define CROWSTEP_RELAY_RELAY_PEERS_H

#include "core/clock.h"
#include "instance_type.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace crowstep::relay {

/// An instance that may carry calls.
struct RelayCandidate {
  InstanceId m_Id;         ///< Of the instance.
  std::string m_Name;      ///< Of the instance.
  Address m_Address;       ///< For links with relayed calls.
  AvailabilityZone m_Zone; ///< Of the instance.
};

class RelayPeers {
public:
  /// Instances that are asked first, and that are kept once they have proven
  /// that they reach upstreams.
  static constexpr std::size_t InitialPeers = 6;
  static constexpr std::size_t ProvenPeers = 4;

  /// A proof holds for this long; instances are asked several times in it.
  static constexpr Duration ProofLifetime = std::chrono::seconds(3);

  /// One whose proof is younger than this need not connect to upstreams to give
  /// another one.
  static constexpr Duration FreshProof = std::chrono::seconds(1);

  /// An instance that has not reported for this long gets no new calls, and
  /// calls that may run again leave it.
  static constexpr Duration SilenceLimit = std::chrono::seconds(1);

  /// One without a proof after this long is replaced by another one.
  static constexpr Duration TrialTime = std::chrono::milliseconds(600);

  /// Time for which one that was replaced, or that refused a call, is left out.
  static constexpr Duration ReplacedTime = std::chrono::seconds(5);
  static constexpr Duration RefusedTime = std::chrono::milliseconds(200);

  RelayPeers(AvailabilityZone Zone, std::uint64_t Seed)
      : m_Zone(std::move(Zone)), m_Random(Seed) {}

  /// Sets all other instances that can carry calls.
  void setCandidates(std::vector<RelayCandidate> All);

  /// Replaces selected instances that have proven nothing, and draws others for
  /// those that are missing. Returns all that are to be asked.
  std::vector<RelayCandidate> select(TimePoint Now);

  /// Forgets which instances are selected.
  void clearSelection() { m_Selected.clear(); }

  [[nodiscard]] bool isSelected(InstanceId Peer) const {
    return m_Selected.contains(Peer);
  }

  /// \p Peer was asked, or has answered; \p ReachesAny: that it reaches one of
  /// the upstreams.
  void recordQuestion(InstanceId Peer, TimePoint Now);
  void recordReport(InstanceId Peer, bool ReachesAny, std::uint32_t OpenCalls,
                    TimePoint Now);

  /// An upstream has answered a call through \p Peer.
  void recordProof(InstanceId Peer, TimePoint Now);

  [[nodiscard]] bool hasFreshProof(InstanceId Peer, TimePoint Now) const;

  /// \p Peer could not connect to an upstream.
  void recordNoReach(InstanceId Peer, TimePoint Now);

  /// \p Peer refused a call, is shutting down, or its link has closed.
  void recordRefusal(InstanceId Peer, TimePoint Now);
  void recordStop(InstanceId Peer, TimePoint Now);

  /// A call was given to \p Peer, or has ended there.
  void recordCallBegin(InstanceId Peer);
  void recordCallEnd(InstanceId Peer);

  /// Returns an instance for a call that is none of \p Excluded, or nullopt.
  std::optional<InstanceId> choose(const std::vector<InstanceId> &Excluded,
                                   TimePoint Now);

  /// Returns whether choose() would return one.
  [[nodiscard]] bool hasUsable(TimePoint Now) const;

  /// Returns whether an instance that was asked has been silent for too long.
  [[nodiscard]] bool isSilent(InstanceId Peer, TimePoint Now) const;

private:
  /// A selected instance.
  struct Peer {
    TimePoint m_SelectedAt;        ///< Time of its selection.
    TimePoint m_ProvenAt{};        ///< Last proof; not set: none.
    TimePoint m_UnansweredSince{}; ///< First question since its last report;
                                   ///< not set: none.
    std::uint32_t m_ReportedCalls = 0; ///< From all instances.
    std::uint32_t m_OwnCalls = 0;      ///< From this instance.
  };

  [[nodiscard]] bool isProven(const Peer &Entry, TimePoint Now) const;
  [[nodiscard]] bool isUsable(InstanceId Id, const Peer &Entry,
                              TimePoint Now) const;
  void drawPeers(std::size_t Count, TimePoint Now);

  AvailabilityZone m_Zone;                        ///< Of this instance.
  std::mt19937_64 m_Random;                       ///< For all choices.
  std::vector<RelayCandidate> m_Candidates;       ///< All others.
  std::map<InstanceId, Peer> m_Selected;          ///< Part of m_Candidates.
  std::map<InstanceId, TimePoint> m_AvoidedUntil; ///< Left out until then.
};

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_RELAY_PEERS_H
