/// A class of request in one pool: its contract, queues, limits and history.
#ifndef CROWSTEP_DECISION_CLASS_BASE_H
#define CROWSTEP_DECISION_CLASS_BASE_H

#include "decision/flow_base.h"
#include "decision/learned.h"
#include "decision/token_bucket.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace crowstep::decision {

struct Tier;

/// What one workspace uses of one class.
struct WorkspaceUse {
  std::uint32_t m_Running = 0;                ///< Granted and not ended.
  TokenBucket m_Rate;                         ///< Column workspace_rate.
  TokenBucket m_Tokens;                       ///< Column workspace_tokens.
  Quantile m_Lengths{tuning::LengthQuantile}; ///< Of whole answers.
};

/// One row of the table at work.
struct ClassState {
  Contract m_Contract;         ///< The row in force.
  bool m_Listed = true;        ///< False: the row is gone, its work runs out.
  bool m_MayProbe = false;     ///< Its bids may try an ejected upstream.
  Tier *m_Tier = nullptr;      ///< Null while the row is no part of the pool.
  Lane m_OnTime;               ///< Bids that can still meet their targets.
  Lane m_Late;                 ///< Bids that only wait for their limit.
  std::uint32_t m_Running = 0; ///< Granted and not ended.
  VictimQueue m_Victims; ///< Running work, the least wasteful to stop first.
  std::unordered_map<WorkspaceId, WorkspaceUse> m_Workspaces; ///< By use.

  TokenBucket m_Rate;    ///< Column rate.
  TokenBucket m_Tokens;  ///< Column tokens.
  RetryBudget m_Retries; ///< Column retry_percent.

  Quantile m_Lengths{tuning::LengthQuantile};         ///< Of whole answers.
  Quantile m_FirstTokens{tuning::FirstTokenQuantile}; ///< Milliseconds.
  Duration m_Allowance{}; ///< To be left before a target for the first token;
                          ///< never more than half the target.
  Mean m_FirstTokenMean;  ///< Seconds from the grant.
  Mean m_TokenMean;       ///< Seconds a generated token.
  Mean m_Service{tuning::ServiceGain};         ///< Seconds that a slot is held.
  RateMeter m_Offered{tuning::OfferedSeconds}; ///< Bids within limits.

  std::vector<Serving *> m_Eligible; ///< Upstreams with its model.
  double m_Slots = 0.0;              ///< Of the eligible ones that are in use.
  double m_FloorSlots = 0.0;         ///< Its share of them.
  double m_Debt = 0.0; ///< Slot-seconds of the floor not served, >= 0.

  mutable double m_FreeRate = 0.0; ///< See freeRate(); as of the stamp.
  mutable std::uint64_t m_FreeRateStamp = 0; ///< Fleet::changes() then.

  [[nodiscard]] std::size_t waiting() const {
    return m_OnTime.m_ByDeadline.size() + m_Late.m_ByDeadline.size();
  }

  /// Returns how many waiting bids a free slot could serve just now.
  [[nodiscard]] std::size_t demand() const;

  /// Returns the slots that it may keep ahead of more urgent bids: its floor,
  /// and up to half as much again while it is owed for long.
  [[nodiscard]] double floorNow() const;

  /// Returns the account of \p Workspace; a new one starts with full buckets.
  WorkspaceUse &useOf(WorkspaceId Workspace, TimePoint Now);

  /// Tells whether running work of the class may be taken back.
  [[nodiscard]] bool isPreemptible() const {
    return m_Contract.m_Preemptible && m_Contract.m_Repeatable;
  }

  /// Takes in the time from a grant to a first token.
  void learnFirstToken(Duration Latency);

  /// Returns what must be left before the deadlines of a lane: late bids have
  /// no target left to meet.
  [[nodiscard]] Duration allowanceOf(const Lane &L) const {
    return &L == &m_OnTime ? m_Allowance : Duration::zero();
  }

  /// Works out m_Allowance from what is learned and the row.
  void updateAllowance();

  /// Returns the seconds that a slot is held; 0 while unknown.
  [[nodiscard]] double serviceSeconds() const { return m_Service.value(); }
};

/// Classes of equal urgency and the workspaces' accounts among them.
struct Tier {
  std::uint8_t m_Number = 1;           ///< 1 is the most urgent.
  double m_Virtual = 0.0;              ///< Of the flow served last, at most.
  double m_Offered = 0.0;              ///< Slots that its arrivals ask for.
  double m_OfferedTo = 0.0;            ///< The same with all more urgent tiers.
  std::vector<ClassState *> m_Classes; ///< In the order of the table.
  std::unordered_map<WorkspaceId, WorkspaceShare> m_Shares; ///< By use.
};

using TierMap = std::map<std::uint8_t, Tier>;

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_CLASS_BASE_H
