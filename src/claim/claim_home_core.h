/// The claim home's state machine, without I/O.
///
/// Requests of many entries are joined into one conditional write to the table
/// service. At most one write is on its way, and two begin at least a window
/// apart, which bounds this home's writes a second whatever the load.
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

/// Names a request within one home.
using RequestNumber = StrongId<struct ClaimRequestTag, std::uint64_t>;

/// An entry asks something of a claim.
struct RequestCame {
  RequestNumber m_Number;         ///< For the reply.
  ClaimKey m_Key;                 ///< Which claim.
  Wanted m_What;                  ///< What is asked.
  platform::RowVersion m_Version; ///< Of the row as the asker left it; 0: none.
  std::uint64_t m_BodyHash = 0;   ///< Of the row as the asker left it.
};
/// The write on its way ended.
struct WriteEnded {
  platform::WriteResult m_Result; ///< Outcomes in the order of the writes.
};
/// A read ended.
struct ReadEnded {
  ClaimKey m_Key;                ///< Which row.
  platform::ReadResult m_Result; ///< No row, or one.
};
/// The time given by nextDeadline() has come.
struct HomeTick {};
using HomeEvent = std::variant<RequestCame, WriteEnded, ReadEnded, HomeTick>;

/// Send these conditional writes in one call.
struct StartWrite {
  std::vector<platform::RowWrite> m_Writes; ///< Never empty.
};
/// Read one row.
struct StartRead {
  ClaimKey m_Key; ///< Which row.
};
/// Tell the asker.
struct Reply {
  RequestNumber m_Number;         ///< Of the request.
  ClaimOutcome m_Outcome;         ///< What came of it.
  platform::RowVersion m_Version; ///< Of the row, where known.
};
using HomeAction = std::variant<StartWrite, StartRead, Reply>;

struct ClaimHomeConfig {
  Duration m_Window = std::chrono::milliseconds(20); ///< Between writes, > 0.
  std::size_t m_MaxBatch = 256;                      ///< Writes in one call.
  Duration m_MaxAge = std::chrono::seconds(5); ///< Of a request, then dropped.
};

class ClaimHomeCore {
public:
  explicit ClaimHomeCore(const ClaimHomeConfig &Config) : m_Config(Config) {}

  /// Takes one event and appends what is to be done.
  void handle(const HomeEvent &Event, TimePoint Now,
              std::vector<HomeAction> &Actions);

  /// Returns when the next tick is due, or nothing while there is none.
  [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
  struct PendingRequest {
    RequestCame m_Request;              ///< As it came.
    TimePoint m_ReceivedAt;             ///< When.
    std::optional<ClaimRow> m_KnownRow; ///< The row as last known.
    platform::RowVersion m_Version;     ///< Of m_Present; 0: no row.
    ClaimOutcome m_OutcomeIfWritten;    ///< While it is being written.
  };

  void on(const RequestCame &Event, TimePoint Now);
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
  std::vector<PendingRequest> m_Writing; ///< In the write on its way; at most
                                         ///< one of each key.
  std::vector<PendingRequest> m_Reading; ///< For a read to end.
  TimePoint m_NextWrite;                 ///< No write begins earlier.
  std::vector<HomeAction> *m_Actions = nullptr; ///< Set during handle().
};

} // namespace crowstep::claim

#endif // CROWSTEP_CLAIM_CLAIM_HOME_CORE_H
