/// A store in virtual time, as seen by one instance: its rows, and a connection
/// that can be cut, refused, throttled or left without change history.
#ifndef CROWSTEP_TESTS_UNIT_SIMULATED_STORE_H
#define CROWSTEP_TESTS_UNIT_SIMULATED_STORE_H

#include "core/scheduler.h"
#include "store_client.h"

#include <algorithm>
#include <list>
#include <map>
#include <memory>

namespace crowstep::test {

class SimulatedStore {
public:
  /// What happens to calls.
  enum class Mode : std::uint8_t {
    Up,        ///< Answered.
    Cut,       ///< No answer arrives.
    Silent,    ///< New calls are accepted and not answered; earlier ones are.
    Refusing,  ///< Refused at once.
    Throttling ///< Rejected at once because of too many calls.
  };

  /// \p Time advances with \p Timers; the store's own clock is an hour ahead.
  SimulatedStore(const Clock &Time, ManualScheduler &Timers)
      : m_Clock(Time), m_Timers(Timers) {}

  /// Returns a client for the instance; the store outlives it.
  std::unique_ptr<adapter::Store> client() {
    return std::make_unique<Client>(*this);
  }

  void put(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    m_Tables[Table][Key] = {Key, Value, adapter::StoreVersion(++m_Version)};
    answerChanged();
  }

  void remove(const std::string &Table, const std::string &Key) {
    m_Tables[Table][Key] = {Key, "", adapter::StoreVersion(++m_Version), true};
    answerChanged();
  }

  /// Ends waiting calls according to the mode: at once if refused or throttled,
  /// after the keepalive timeout of their connection if cut.
  void setMode(Mode NewMode) {
    m_Mode = NewMode;
    if (NewMode == Mode::Cut)
      m_Timers.runAfter(KeepaliveTimeout, [this] {
        if (m_Mode == Mode::Cut)
          failWaiting(adapter::StoreFailure::Unreachable);
      });
    else if (NewMode == Mode::Refusing || NewMode == Mode::Throttling)
      failWaiting(adapter::StoreFailure::Unreachable);
    else if (NewMode == Mode::Up)
      answerChanged();
  }

  /// Resets the connections of waiting calls.
  void reset() { failWaiting(adapter::StoreFailure::Unreachable); }

  /// Forgets all long polls without closing their connections: they get no
  /// answer, whatever the mode, until they time out.
  void forgetLongPolls() {
    for (const LongPoll &Poll : m_LongPolls)
      fail(adapter::StoreFailure::Unreachable,
           Poll.m_EndsAt + adapter::StoreClient::Timeout - m_Clock.now(),
           Poll.m_Done);
    m_LongPolls.clear();
  }

  /// Drops the history of all changes so far, which fails waiting calls.
  void dropHistory() {
    m_HistoryStart = m_Version;
    failWaiting(adapter::StoreFailure::HistoryDropped);
  }

  /// Keeps a copy of the present tables for restoreCopy().
  void takeCopy() {
    m_Copy = m_Tables;
    m_CopyVersion = m_Version;
  }

  /// Comes back from the copy: versions since then are given out again, and the
  /// era rises. Long polls fail, or get no answer until they time out.
  void restoreCopy(bool ForgetsLongPolls = false) {
    m_Tables = m_Copy;
    m_Version = m_CopyVersion;
    m_HistoryStart = std::min(m_HistoryStart, m_Version);
    ++m_Era;
    if (ForgetsLongPolls)
      forgetLongPolls();
    else
      reset();
  }

  /// Sets whether answers state the era.
  void setStatesEra(bool Enabled) { m_StatesEra = Enabled; }

  /// Answers reads of whole tables from the present tables until called with
  /// false.
  void serveStaleCopy(bool Enabled) {
    m_StaleTables = Enabled ? m_Tables : decltype(m_Tables)();
    m_StaleVersion = Enabled ? m_Version : 0;
    m_StaleEra = m_Era;
  }

  /// Returns the value of a row; empty: there is none.
  [[nodiscard]] std::string value(const std::string &Table,
                                  const std::string &Key) {
    const auto Found = m_Tables[Table].find(Key);
    return Found == m_Tables[Table].end() ? std::string()
                                          : Found->second.m_Value;
  }

  /// Sets how long the store takes for an answer.
  void setAnswerTime(Duration Time) { m_AnswerTime = Time; }

  /// Sets how many rows a read returns at most; 0: all.
  void setPageSize(std::size_t Rows) { m_PageSize = Rows; }

  /// Returns the number of calls so far.
  [[nodiscard]] std::uint64_t calls() const { return m_Calls; }

private:
  using Done = adapter::Store::ResultCallback;
  static constexpr Duration KeepaliveTimeout = std::chrono::seconds(3);

  /// A long poll for changes.
  struct LongPoll {
    std::string m_Table;        ///< To be watched.
    std::uint64_t m_After;      ///< Version.
    Done m_Done;                ///< Receives the result.
    std::uint64_t m_Number = 0; ///< Of the call.
    TimePoint m_EndsAt{};       ///< When it has waited for as long as it asked.
  };

  class Client final : public adapter::Store {
  public:
    explicit Client(SimulatedStore &Owner) : m_Store(Owner) {}
    void onEra(EraCallback OnEra) override { m_OnEra = std::move(OnEra); }
    void read(const std::string &Table, const std::string &From,
              ResultCallback OnDone) override {
      m_Store.call(Table, 0, Duration::zero(),
                   [this, From, OnDone = std::move(OnDone)](
                       const adapter::StoreResult &Result) {
                     reportEra(Result);
                     OnDone(m_Store.pageOf(Result, From));
                   });
    }
    void follow(const std::string &Table, adapter::StoreVersion After,
                Duration Wait, ResultCallback OnDone) override {
      m_Store.call(Table, After.value(), Wait,
                   [this, OnDone = std::move(OnDone)](
                       const adapter::StoreResult &Result) {
                     reportEra(Result);
                     OnDone(Result);
                   });
    }
    void write(const adapter::StoreWrite &Write,
               std::function<void(adapter::StoreWriteResult)> OnDone) override {
      const bool Up = m_Store.m_Mode == Mode::Up;
      const bool MayWrite = Up && m_Store.meetsCondition(Write);
      if (MayWrite && Write.m_Value)
        m_Store.put(Write.m_Table, Write.m_Key, *Write.m_Value);
      else if (MayWrite)
        m_Store.remove(Write.m_Table, Write.m_Key);
      ++m_Store.m_Calls;
      m_Store.m_Timers.runAfter(
          m_Store.m_AnswerTime, [Up, MayWrite, OnDone = std::move(OnDone)] {
            if (!Up)
              OnDone(adapter::StoreWriteResult::Unknown);
            else
              OnDone(MayWrite ? adapter::StoreWriteResult::Written
                              : adapter::StoreWriteResult::Conflict);
          });
    }

  private:
    /// Answers without rows, but for that of a store that is away, state it
    /// too.
    void reportEra(const adapter::StoreResult &Result) const {
      const auto *Failure = std::get_if<adapter::StoreFailure>(&Result);
      const auto *Rows = std::get_if<adapter::StoreRows>(&Result);
      if (m_OnEra && Rows != nullptr && Rows->m_Era)
        m_OnEra(*Rows->m_Era);
      else if (m_OnEra && Failure != nullptr && m_Store.m_StatesEra &&
               *Failure == adapter::StoreFailure::HistoryDropped)
        m_OnEra(adapter::StoreEra(m_Store.m_Era));
    }

    SimulatedStore &m_Store; ///< Outlives the client.
    EraCallback m_OnEra;     ///< May be empty.
  };

  [[nodiscard]] bool meetsCondition(const adapter::StoreWrite &Write) {
    if (!Write.m_Expected)
      return true;
    const auto Found = m_Tables[Write.m_Table].find(Write.m_Key);
    const bool Exists =
        Found != m_Tables[Write.m_Table].end() && !Found->second.m_Removed;
    return *Write.m_Expected ==
           (Exists ? Found->second.m_Version : adapter::StoreVersion());
  }

  /// Cuts a read of a whole table to the page that begins at \p From.
  [[nodiscard]] adapter::StoreResult pageOf(adapter::StoreResult Result,
                                            const std::string &From) const {
    auto *Whole = std::get_if<adapter::StoreRows>(&Result);
    if (Whole == nullptr)
      return Result;
    std::erase_if(Whole->m_Rows, [&](const adapter::StoreRow &Row) {
      return Row.m_Key < From;
    });
    Whole->m_HasMore = m_PageSize > 0 && Whole->m_Rows.size() > m_PageSize;
    if (Whole->m_HasMore)
      Whole->m_Rows.resize(m_PageSize);
    return Result;
  }

  void call(const std::string &Table, std::uint64_t After, Duration Wait,
            Done OnDone) {
    ++m_Calls;
    if (m_Mode == Mode::Cut || m_Mode == Mode::Silent) {
      const Duration Waited = m_Mode == Mode::Silent ? Wait : Duration::zero();
      fail(adapter::StoreFailure::Unreachable,
           Waited + adapter::StoreClient::Timeout, std::move(OnDone));
    } else if (m_Mode != Mode::Up) {
      fail(m_Mode == Mode::Refusing ? adapter::StoreFailure::Rejected
                                    : adapter::StoreFailure::Throttled,
           m_AnswerTime, std::move(OnDone));
    } else if (After > 0 && (After < m_HistoryStart || After > m_Version)) {
      fail(adapter::StoreFailure::HistoryDropped, m_AnswerTime,
           std::move(OnDone));
    } else if (Wait == Duration::zero() || changedAfter(Table, After)) {
      answer({Table, After, std::move(OnDone)});
    } else {
      m_LongPolls.push_back({Table, After, std::move(OnDone), ++m_LastPoll,
                             m_Clock.now() + Wait});
      m_Timers.runAfter(Wait, [this, Number = m_LastPoll] { endPoll(Number); });
    }
  }

  /// Answers a call that has waited as long as it asked for.
  void endPoll(std::uint64_t Number) {
    const auto Found = std::find_if(
        m_LongPolls.begin(), m_LongPolls.end(),
        [&](const LongPoll &Poll) { return Poll.m_Number == Number; });
    if (Found == m_LongPolls.end())
      return;
    const LongPoll Ended = *Found;
    m_LongPolls.erase(Found);
    answer(Ended);
  }

  /// The store's steady clock.
  [[nodiscard]] std::chrono::milliseconds time() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               m_Clock.now().time_since_epoch()) +
           std::chrono::hours(1);
  }

  void fail(adapter::StoreFailure Failure, Duration After, Done OnDone) {
    m_Timers.runAfter(
        After, [Failure, OnDone = std::move(OnDone)] { OnDone(Failure); });
  }

  bool changedAfter(const std::string &Table, std::uint64_t After) {
    for (const auto &[Key, Row] : m_Tables[Table])
      if (Row.m_Version.value() > After)
        return true;
    return false;
  }

  void answer(const LongPoll &Poll) {
    m_Timers.runAfter(m_AnswerTime, [this, Poll] {
      adapter::StoreRows Result;
      const bool IsStale = Poll.m_After == 0 && m_StaleVersion > 0;
      Result.m_Version =
          adapter::StoreVersion(IsStale ? m_StaleVersion : m_Version);
      Result.m_AnsweredAt = time();
      if (m_StatesEra)
        Result.m_Era = adapter::StoreEra(IsStale ? m_StaleEra : m_Era);
      for (const auto &[Key, Row] :
           (IsStale ? m_StaleTables : m_Tables)[Poll.m_Table])
        // A read of a whole table contains no removed rows.
        if (Row.m_Version.value() > Poll.m_After &&
            !(Poll.m_After == 0 && Row.m_Removed))
          Result.m_Rows.push_back(Row);
      Poll.m_Done(Result);
    });
  }

  void answerChanged() {
    if (m_Mode != Mode::Up)
      return;
    for (auto Next = m_LongPolls.begin(); Next != m_LongPolls.end();) {
      if (!changedAfter(Next->m_Table, Next->m_After)) {
        ++Next;
        continue;
      }
      answer(*Next);
      Next = m_LongPolls.erase(Next);
    }
  }

  void failWaiting(adapter::StoreFailure Failure) {
    const std::list<LongPoll> Ended = std::move(m_LongPolls);
    m_LongPolls.clear();
    for (const LongPoll &Poll : Ended)
      fail(Failure, Duration::zero(), Poll.m_Done);
  }

  const Clock &m_Clock;       ///< Advanced by the test.
  ManualScheduler &m_Timers;  ///< Advanced with it.
  Mode m_Mode = Mode::Up;     ///< See setMode().
  std::uint64_t m_Calls = 0;  ///< Of all clients.
  std::size_t m_PageSize = 0; ///< See setPageSize().
  Duration m_AnswerTime = std::chrono::milliseconds(4); ///< For each answer.
  std::uint64_t m_Version = 0;                          ///< Of the last change.
  std::uint64_t m_HistoryStart = 0; ///< History begins after it.
  std::map<std::string, std::map<std::string, adapter::StoreRow>>
      m_Tables;                     ///< Including removed rows.
  decltype(m_Tables) m_Copy;        ///< See takeCopy().
  std::uint64_t m_CopyVersion = 0;  ///< Of m_Copy.
  decltype(m_Tables) m_StaleTables; ///< See serveStaleCopy().
  std::uint64_t m_StaleVersion = 0; ///< Of m_StaleTables; 0: none.
  std::uint64_t m_StaleEra = 0;     ///< Of m_StaleTables.
  std::uint64_t m_Era = 1;          ///< Rises with each restoreCopy().
  bool m_StatesEra = true;          ///< See setStatesEra().
  std::list<LongPoll> m_LongPolls;  ///< Not answered yet.
  std::uint64_t m_LastPoll = 0;     ///< Number of the last long poll.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_SIMULATED_STORE_H
