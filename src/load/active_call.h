/// One open request of the load tool.
#ifndef CROWSTEP_LOAD_ACTIVE_CALL_H
#define CROWSTEP_LOAD_ACTIVE_CALL_H

#include "load/answer_check.h"
#include "load/caller.h"

namespace crowstep::load {

/// Sends one request and reads its answer as it comes.
class ActiveCall {
public:
  ActiveCall(CallerPool &Owner, std::uint64_t Id, const PlannedCall &Call,
             const Address &Target, Duration Late);
  ~ActiveCall();
  ActiveCall(const ActiveCall &) = delete;
  ActiveCall &operator=(const ActiveCall &) = delete;

  /// Ends the call as timed out; the object may be gone afterwards.
  void giveUp();

private:
  void prepare(const PlannedCall &Call, const Address &Target);
  static void onHeaders(GObject *Session, GAsyncResult *Result, void *Self);
  static int onReadable(GObject *Stream, void *Self);
  void headersCame(GInputStream *Body);
  void watchBody();
  /// Reads what is there; returns false once the call has ended.
  bool readBody();
  void take(std::string_view Bytes);
  void bodyEnded();
  [[nodiscard]] CallEnd endOfBody();
  void readRefusal();
  void end(CallEnd How);

  CallerPool &m_Owner;              ///< Told of the end.
  std::uint64_t m_Id;               ///< Within the owner.
  const Source &m_Source;           ///< Of the plan.
  AnswerCheck m_Check;              ///< Of a completion's answer.
  std::string m_Body;               ///< Of a refusal or a short answer.
  CallOutcome m_Outcome;            ///< Filled as the call goes on.
  TimePoint m_Sent;                 ///< When it was sent.
  TimePoint m_LastToken;            ///< When the last token came.
  SoupMessage *m_Message = nullptr; ///< Owned.
  GCancellable *m_Cancel = nullptr; ///< Owned.
  GInputStream *m_Stream = nullptr; ///< Owned; null before the headers.
  GSource *m_Watch = nullptr;       ///< Owned; of m_Stream.
  Timer m_Limit;                    ///< The caller's patience.
  bool m_GaveUp = false;            ///< Ended by giveUp().
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_ACTIVE_CALL_H
