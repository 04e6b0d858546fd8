/// Interface through which a request gets a slot at an upstream.
///
/// The daemon places through dispatchers or decides locally; tests use fakes.
#ifndef CROWSTEP_ENTRY_PLACEMENT_H
#define CROWSTEP_ENTRY_PLACEMENT_H

#include "core/strong_id.h"
#include "entry/request_type.h"

#include <string>
#include <vector>

namespace crowstep::entry {

/// Identifies one bid. A request that bids again gets a new number, so that a
/// grant for an earlier bid that arrives late is not taken for the new one.
using BidNumber = StrongId<struct BidTag, std::uint64_t>;

/// Contents of a bid.
struct BidTerms {
  std::string m_Service;                 ///< Service of the pool.
  ClassId m_Class;                       ///< Class in the table.
  WorkspaceId m_Workspace;               ///< Owner of the request.
  std::uint32_t m_PromptTokens = 0;      ///< Estimated.
  std::uint32_t m_MaxTokens = 0;         ///< Limit on the output.
  std::vector<std::uint64_t> m_Prefixes; ///< As prefixHashes() returns.
  PlaceBid m_Bid;                        ///< As the state machine placed it.
};

/// Receives the results of one bid. It is never called from within a call of
/// Placement.
class PlacementListener {
public:
  virtual ~PlacementListener() = default;
  virtual void slotGranted(const GrantedSlot &Slot) = 0;
  virtual void bidRefused(RefusalReason Reason, Duration RetryAfter) = 0;
  virtual void slotPreempted(UpstreamId Upstream) = 0;
  /// The grant may be older than its receipt suggests, because this process was
  /// paused.
  virtual void grantBecameSuspect() = 0;
  /// The owner of the pool has changed, or the link to it was lost.
  virtual void bidMoved() = 0;
  /// Returns the tokens that the running call has produced, for a new owner of
  /// the pool.
  [[nodiscard]] virtual std::uint32_t callTokens() const = 0;
};

/// Places bids and holds the granted slots.
class Placement {
public:
  virtual ~Placement() = default;

  /// Bids for a slot. \p Listener must live until the bid is withdrawn or
  /// refused, or its slot released.
  virtual BidNumber bid(const BidTerms &Terms, PlacementListener &Listener) = 0;
  virtual void withdraw(BidNumber Bid) = 0;
  virtual void reportFirstToken(BidNumber Bid, Duration Latency) = 0;
  virtual void release(BidNumber Bid, const ReleaseSlot &Release) = 0;
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_PLACEMENT_H
