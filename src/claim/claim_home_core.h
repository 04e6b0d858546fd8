/// The claim home's state machine, without I/O.
///
/// Requests of many entries are batched into one call of conditional writes to
/// the table service. At most one such call is in flight, and calls start at
/// least a window apart, which bounds this home's write rate whatever the load.
#ifndef CROWSTEP_CLAIM_CLAIM_HOME_CORE_H
#define CROWSTEP_CLAIM_CLAIM_HOME_CORE_H

#include "claim/claim_row.h"
#include "core/clock.h"
#include "core/strong_id.h"

#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crowstep::claim {

/// Identifies a request within one home.
using RequestNumber = StrongId<struct ClaimRequestTag, std::uint64_t>;

/// A request of an entry arrived.
struct RequestReceived {
  RequestNumber m_Number;         ///< For the reply.
  ClaimKey m_Key;                 ///< Key of the claim.
  RowOperation m_Operation;       ///< Requested operation.
  platform::RowVersion m_Version; ///< Of the row the requester holds; 0: none.
  std::uint64_t m_BodyHash = 0;   ///< In the row the requester holds.
};
/// The write in flight ended.
struct WriteEnded {
  platform::WriteResult m_Result; ///< Outcomes in the order of the writes.
};
/// A read ended.
struct ReadEnded {
  ClaimKey m_Key;                ///< Key of the row.
  platform::ReadResult m_Result; ///< No row, or one.
};
/// The time given by nextDeadline() is reached.
struct HomeTick {};
using HomeEvent =
    std::variant<RequestReceived, WriteEnded, ReadEnded, HomeTick>;

/// Send these conditional writes in one call.
struct StartWrite {
  std::vector<platform::RowWrite> m_Writes; ///< Never empty.
};
/// Read one row.
struct StartRead {
  ClaimKey m_Key; ///< Key of the row.
};
/// Reply to the requester.
struct SendReply {
  RequestNumber m_Number;         ///< Of the request.
  ClaimOutcome m_Outcome;         ///< Result of the operation.
  platform::RowVersion m_Version; ///< Of the row, where known.
};
using HomeAction = std::variant<StartWrite, StartRead, SendReply>;

struct ClaimHomeConfig {
  Duration m_Window = std::chrono::milliseconds(20); ///< Between writes, > 0.
  std::size_t m_MaxBatchSize = 256;                  ///< Rows in one call.
  /// Requests that have waited longer for a write are not written.
  Duration m_MaxRequestAge = std::chrono::seconds(5);
};

class ClaimHomeCore {
public:
  explicit ClaimHomeCore(const ClaimHomeConfig &Config) : m_Config(Config) {}

  /// Processes one event and appends the resulting actions.
  void handle(const HomeEvent &Event, TimePoint Now,
              std::vector<HomeAction> &Actions);

  /// Returns when the next tick is due, or nothing if none is needed.
  [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
  struct PendingRequest {
    RequestReceived m_Request; ///< As received.
    TimePoint m_ReceivedAt;
    std::optional<ClaimRow> m_KnownRow; ///< The row as last known.
    platform::RowVersion m_Version;     ///< Of m_KnownRow; 0: no row.
    ClaimOutcome m_OutcomeIfWritten;    ///< Set while in m_Writing.
  };

  void on(const RequestReceived &Event, TimePoint Now);
  void on(const WriteEnded &Event, TimePoint Now);
  void on(const ReadEnded &Event, TimePoint Now);
  void on(const HomeTick &Event, TimePoint Now);
  void handleRowOutcome(PendingRequest Request,
                        const platform::RowOutcome &Outcome);
  void replyOrQueue(PendingRequest Request);
  void reply(const PendingRequest &Request, const ClaimOutcome &Outcome);
  void startWrite(TimePoint Now);

  ClaimHomeConfig m_Config;              ///< As given.
  std::deque<PendingRequest> m_Waiting;  ///< For the next write, in order.
  std::vector<PendingRequest> m_Writing; ///< In flight; one a key at most.
  std::vector<PendingRequest> m_Reading; ///< Waiting for a read.
  TimePoint m_NextWrite;                 ///< No write begins earlier.
  std::vector<HomeAction> *m_Actions = nullptr; ///< Set during handle().
};

} // namespace crowstep::claim

#endif // CROWSTEP_CLAIM_CLAIM_HOME_CORE_H
