/// The waiting bids of a pool, by tier, class, workspace and target.
#ifndef CROWSTEP_DECISION_QUEUE_H
#define CROWSTEP_DECISION_QUEUE_H

#include "decision/class_base.h"

#include <map>
#include <string>
#include <vector>

namespace crowstep::decision {

/// Keeps the order of service. Each change costs the logarithm of one lane's
/// length; only a change of the table visits all waiting bids.
class Queue {
public:
  /// Applies \p Table. Rows of a service other than \p Service are not part of
  /// the pool, unless \p Service is empty (not known yet). With \p IsFlat all
  /// rows are in one tier, for the baselines. Bids keep their places; those of
  /// rows that left the pool are taken out and appended to \p Removed.
  void setTable(const ContractTable &Table, const std::string &Service,
                bool IsFlat, TimePoint Now, std::vector<Request *> &Removed);

  /// Returns the state of row \p Id, or null if the table has no such row.
  [[nodiscard]] ClassState *find(ClassId Id);

  void push(Request &Waiting, bool IsLate);
  void remove(Request &Waiting);

  /// Adds \p Tokens to the virtual time of \p Workspace in the tier of \p
  /// Class.
  void charge(ClassState &Class, WorkspaceId Workspace, double Tokens);

  /// Advances the tier's virtual time to that of the flow being served.
  /// Workspaces that become active start from it, so that an idle one saves up
  /// no service.
  static void advanceVirtualTime(const Request &Waiting);

  /// Adds \p Change to the count of running work, and blocks or unblocks the
  /// workspace's flows.
  static void addRunning(ClassState &Class, WorkspaceId Workspace, int Change,
                         TimePoint Now);

  [[nodiscard]] TierMap &tiers() { return m_Tiers; }
  [[nodiscard]] const TierMap &tiers() const { return m_Tiers; }
  [[nodiscard]] const std::vector<ClassState *> &classes() const {
    return m_PoolClasses;
  }
  [[nodiscard]] std::size_t size() const { return m_Size; }

private:
  /// A waiting bid that moves from one tier to another.
  struct MovedBid {
    Request *m_Bid; ///< Never null; in no lane.
    bool m_IsLate;  ///< In the late lane, before and after.
  };

  void rebuildTiers(const std::map<ClassId, std::uint8_t> &Numbers);
  void removeAll(ClassState &Class, std::vector<MovedBid> &Moved);

  /// All rows ever listed; never erased.
  std::map<ClassId, ClassState> m_Classes;
  std::vector<ClassState *> m_PoolClasses; ///< Rows of the pool's service.
  TierMap m_Tiers;                         ///< Tiers of the pool's rows.
  std::size_t m_Size = 0;                  ///< Waiting bids.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_QUEUE_H
