/// How fresh this process's knowledge is of what others hold.
///
/// A vouch says: "this instance had that version in force no earlier than ...".
/// Vouches travel from process to process in answers to probes. Each process
/// counts the age from before it asked, so that its time for a vouch is never
/// later than the moment at which the instance spoke: a slow link or a frozen
/// process makes a vouch look older, never fresher.
#ifndef CROWSTEP_CONTRACT_TABLE_VOUCH_H
#define CROWSTEP_CONTRACT_TABLE_VOUCH_H

#include "contract/table_document.h"
#include "core/clock.h"
#include "instance_type.h"

#include <map>
#include <optional>
#include <vector>

namespace crowstep::contract {

/// What an instance was known to hold.
struct Vouch {
  Incarnation m_Start;    ///< Of the instance, so that a restart is seen.
  TableVersion m_Version; ///< In force there.
  TimePoint m_Time;       ///< On this process's clock; never too late.
};

/// What a read of the table service returned.
struct StoreVouch {
  TableVersion m_Version; ///< Of the row; 0: there was none.
  TimePoint m_Time;       ///< When the read was sent, or earlier.
};

/// The freshest known vouches.
class VouchTable {
public:
  /// Keeps \p What unless a fresher one is known.
  void add(InstanceId Who, const Vouch &What);
  void addStore(const StoreVouch &What);

  [[nodiscard]] const std::map<InstanceId, Vouch> &voters() const {
    return m_Voters;
  }
  [[nodiscard]] const std::optional<StoreVouch> &store() const {
    return m_Store;
  }

  /// Returns the latest time at which more than half of \p Quorum are known
  /// to have held \p Version or a lower one, or none. \p Self is left out;
  /// \p OwnVoice says that it counts as vouching at any time.
  [[nodiscard]] std::optional<TimePoint> majorityAtMost(const Voters &Quorum,
                                                        TableVersion Version,
                                                        InstanceId Self,
                                                        bool OwnVoice) const;

  /// Forgets vouches older than \p Oldest.
  void expire(TimePoint Oldest);

private:
  std::map<InstanceId, Vouch> m_Voters; ///< One for each voter.
  std::optional<StoreVouch> m_Store;    ///< None before the first.
};

/// Returns how many of \p Size voters are more than half.
constexpr std::size_t majorityOf(std::size_t Size) { return Size / 2 + 1; }

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_VOUCH_H
