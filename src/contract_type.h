/// Plain types of the operators' table, in which each row is a class of
/// request.
///
/// A Contract holds the limits and targets of one row for a workspace's
/// requests of the class.
#ifndef CROWSTEP_CONTRACT_TYPE_H
#define CROWSTEP_CONTRACT_TYPE_H

#include "core/clock.h"
#include "core/strong_id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crowstep {

/// Identifies a class of request; the number is in the row and never reused.
using ClassId = StrongId<struct ClassTag, std::uint16_t>;

/// Version of the operators' table; incremented by each accepted change.
using TableVersion = StrongId<struct TableVersionTag, std::uint64_t>;

/// One row. Limits of 0 mean "no limit".
struct Contract {
  ClassId m_Id;                  ///< Column id, 1 to 65535, unique.
  std::string m_Name;            ///< Column class, unique.
  std::string m_Service;         ///< Column service.
  std::string m_Model;           ///< Column model; empty for plain services.
  std::uint8_t m_Tier = 1;       ///< 1 is the most urgent, 6 the least.
  std::uint32_t m_Weight = 1;    ///< Floor share among all classes, 0 to 1000.
  Duration m_FirstTokenTarget{}; ///< Column first_token_ms; > 0.
  Duration m_TokenTarget{};      ///< Column token_ms; 0: no target.
  Duration m_TotalLimit{};       ///< Column total_ms: the longest wait, > 0.
  std::uint32_t m_MaxTokens = 0; ///< Longest output that a caller may ask for.
  std::uint32_t m_MaxConcurrent = 0;       ///< Running requests of the class.
  std::uint32_t m_MaxRate = 0;             ///< Requests a second.
  std::uint32_t m_MaxTokenRate = 0;        ///< Generated tokens a second.
  std::uint32_t m_MaxQueue = 0;            ///< Waiting requests of the class.
  std::uint32_t m_WorkspaceConcurrent = 0; ///< As above, a workspace.
  std::uint32_t m_WorkspaceRate = 0;       ///< As above, a workspace.
  std::uint32_t m_WorkspaceTokenRate = 0;  ///< As above, a workspace.
  bool m_Repeatable = true;          ///< False: at most once, key required.
  bool m_Preemptible = false;        ///< Running work may be preempted.
  std::uint32_t m_RetryPercent = 10; ///< Retries per 100 first attempts.

  bool operator==(const Contract &) const = default;
};

/// The whole table. Invariant: ids and names of the rows are unique.
struct ContractTable {
  TableVersion m_Version;            ///< 0: no table yet.
  std::vector<Contract> m_Contracts; ///< In the order of the rows.

  bool operator==(const ContractTable &) const = default;
};

} // namespace crowstep

#endif // CROWSTEP_CONTRACT_TYPE_H
