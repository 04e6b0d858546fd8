/// Where a request's slots come from, as the request sees it.
///
/// The daemon places through dispatchers, or decides alone; tests use fakes.
#ifndef CROWSTEP_ENTRY_PLACEMENT_H
#define CROWSTEP_ENTRY_PLACEMENT_H

#include "core/strong_id.h"
#include "entry/request_type.h"

#include <string>
#include <vector>

namespace crowstep::entry {

/// Names one bid. A request that bids again gets a new number, so that a grant
/// for an earlier bid, still on its way, is not taken for the new one's.
using BidNumber = StrongId<struct BidTag, std::uint64_t>;

/// What a bid says.
struct BidTerms {
  std::string m_Service;                 ///< Names the pool.
  ClassId m_Class;                       ///< Row of the table.
  WorkspaceId m_Workspace;               ///< Whose request.
  std::uint32_t m_PromptTokens = 0;      ///< Estimated.
  std::uint32_t m_MaxTokens = 0;         ///< Longest output asked for.
  std::vector<std::uint64_t> m_Prefixes; ///< Hashes of growing prefixes.
  PlaceBid m_Ask;                        ///< What the request's core asks for.
};

/// Who hears of one bid. No call comes from within a call of Placement.
class PlacementListener {
public:
  virtual ~PlacementListener() = default;
  virtual void slotGranted(const GrantedSlot &Slot) = 0;
  virtual void bidRefused(RefusalReason Reason, Duration RetryAfter) = 0;
  virtual void slotPreempted(UpstreamId Upstream) = 0;
  /// The bid's grant may be older than it looks.
  virtual void grantSuspect() = 0;
  /// The bid was sent again to a new dispatcher.
  virtual void bidMoved() = 0;
  /// Returns the tokens of the running call, for a new owner.
  [[nodiscard]] virtual std::uint32_t callTokens() const = 0;
};

/// Source of slots.
class Placement {
public:
  virtual ~Placement() = default;

  /// Asks for a slot until it is granted, refused or withdrawn. \p Listener
  /// must live until the bid is withdrawn, refused or its slot released.
  virtual BidNumber bid(const BidTerms &Terms, PlacementListener &Listener) = 0;
  virtual void withdraw(BidNumber Bid) = 0;
  virtual void firstToken(BidNumber Bid, Duration Latency) = 0;
  virtual void release(BidNumber Bid, const ReleaseSlot &How) = 0;
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_PLACEMENT_H
