/// An open request of the load tool.
#ifndef CROWSTEP_LOAD_ACTIVE_CALL_H
#define CROWSTEP_LOAD_ACTIVE_CALL_H

#include "load/answer_check.h"
#include "load/caller.h"

namespace crowstep::load {

/// Sends one request and measures its answer while it is received.
class ActiveCall final : private UpstreamListener {
public:
  ActiveCall(CallerPool &Owner, std::uint64_t Id, const PlannedCall &Call,
             const Address &Target, Duration Late);
  ActiveCall(const ActiveCall &) = delete;
  ActiveCall &operator=(const ActiveCall &) = delete;

  /// Ends the call as timed out; destroys this object.
  void timeOut() { finish(CallEnd::TimedOut); }

private:
  void upstreamHeaders(unsigned Status, const HeaderList &Headers) override;
  void upstreamBytes(std::string_view Bytes) override;
  void upstreamEnded(TransportEnd End) override;

  [[nodiscard]] UpstreamRequest requestOf(const PlannedCall &Call,
                                          const Address &Target) const;
  [[nodiscard]] CallEnd classifyBodyEnd();
  void parseRefusal();
  void finish(CallEnd End);

  CallerPool &m_Pool;        ///< Receives the outcome.
  std::uint64_t m_Id;        ///< Unique within the pool.
  const Source &m_Source;    ///< Part of the plan.
  AnswerCheck m_AnswerCheck; ///< Checks a completion's answer.
  std::string m_Body;        ///< Of a refusal or a plain service's answer.
  CallOutcome m_Outcome;     ///< Filled while the call runs.
  TimePoint m_SentAt;        ///< When the request was sent.
  TimePoint m_LastTokenAt;   ///< When the last token was received.
  Timer m_TimeoutTimer;      ///< The caller's timeout.
  std::unique_ptr<UpstreamCall> m_Call; ///< Never null.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_ACTIVE_CALL_H
