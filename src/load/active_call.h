/// An open request of the load tool.
#ifndef CROWSTEP_LOAD_ACTIVE_CALL_H
#define CROWSTEP_LOAD_ACTIVE_CALL_H

#include "load/answer_check.h"
#include "load/caller.h"

namespace crowstep::load {

/// Sends one request and measures its answer while it is received.
class ActiveCall {
public:
  ActiveCall(CallerPool &Owner, std::uint64_t Id, const PlannedCall &Call,
             const Address &Target, Duration Late);
  ~ActiveCall();
  ActiveCall(const ActiveCall &) = delete;
  ActiveCall &operator=(const ActiveCall &) = delete;

  /// Ends the call as timed out; may destroy this object.
  void timeOut();

private:
  void prepare(const PlannedCall &Call, const Address &Target);
  static void onHeaders(GObject *Session, GAsyncResult *Result, void *Self);
  static int onReadable(GObject *Stream, void *Self);
  void handleHeaders(GInputStream *Body);
  void watchBody();
  /// Reads the available bytes without blocking; returns false, and has
  /// destroyed this object, once the call has ended.
  bool readBody();
  void handleBytes(std::string_view Bytes);
  void handleBodyEnd();
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
  SoupMessage *m_Message = nullptr;      ///< Owned.
  GCancellable *m_Cancellable = nullptr; ///< Owned.
  GInputStream *m_Stream = nullptr;      ///< Owned; null until headers arrive.
  GSource *m_Watch = nullptr; ///< Owned; signals that m_Stream is readable.
  Timer m_TimeoutTimer;       ///< The caller's timeout.
  bool m_TimedOut = false;    ///< Set by timeOut().
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_ACTIVE_CALL_H
