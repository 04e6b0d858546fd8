/// The waiting bids of a pool, by tier, class, workspace and target.
#ifndef CROWSTEP_DECISION_QUEUE_H
#define CROWSTEP_DECISION_QUEUE_H

#include "decision/class_base.h"

#include <map>
#include <string>
#include <vector>

namespace crowstep::decision {

/// Keeps the order of service. Every change costs a logarithm of the lengths
/// of one lane; nothing walks over all waiting bids but a change of the table.
class Queue {
public:
  /// Takes over the rows. Rows of another service than \p Service are no part
  /// of the pool, unless it is empty (not known yet). With \p IsFlat all rows
  /// stand in one tier, for the baselines. Bids keep their places; those of
  /// rows that left the pool are appended to \p Homeless and taken out.
  void setTable(const ContractTable &Table, const std::string &Service,
                bool IsFlat, TimePoint Now, std::vector<Request *> &Removed);

  /// Returns the row \p Id, or null when the table has none.
  [[nodiscard]] ClassState *find(ClassId Id);

  void push(Request &Waiting, bool IsLate);
  void remove(Request &Waiting);

  /// Adds \p Tokens to the account of \p Workspace in the tier of \p Class.
  void charge(ClassState &Class, WorkspaceId Workspace, double Tokens);

  /// Notes that a flow is served: later arrivals start from its account, so
  /// that a workspace can't save up service while it asks for none.
  static void noteServed(const Request &Waiting);

  /// Counts running work, and blocks or unblocks the workspace's flows.
  static void addRunning(ClassState &Class, WorkspaceId Workspace, int Change,
                         TimePoint Now);

  [[nodiscard]] TierMap &tiers() { return m_Tiers; }
  [[nodiscard]] const TierMap &tiers() const { return m_Tiers; }
  [[nodiscard]] const std::vector<ClassState *> &classes() const {
    return m_PoolClasses;
  }
  [[nodiscard]] std::size_t size() const { return m_Size; }

private:
  /// A bid on its way from one tier to another.
  struct Displacement {
    Request *m_Bid; ///< Never null; in no lane.
    bool m_IsLate;  ///< Which lane it comes from and goes to.
  };

  void rebuildTiers(const std::map<ClassId, std::uint8_t> &Numbers);
  void takeOut(ClassState &Class, std::vector<Displacement> &Moved);

  std::map<ClassId, ClassState> m_Classes; ///< All rows ever; never erased.
  std::vector<ClassState *> m_PoolClasses; ///< Rows of the pool's service.
  TierMap m_Tiers;                         ///< Of the pool's rows.
  std::size_t m_Size = 0;                  ///< Waiting bids.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_QUEUE_H
