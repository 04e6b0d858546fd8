/// A row of the table service with the state of a duty, as the holder of the
/// duties reads and writes it.
///
/// Writes are conditional, so that a holder that has lost the lease without
/// noticing changes nothing that its successor has written.
#ifndef CROWSTEP_DUTY_DUTY_ROW_H
#define CROWSTEP_DUTY_DUTY_ROW_H

#include "core/clock.h"
#include "core/metrics.h"
#include "platform/platform_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crowstep::duty {

class DutyRow {
public:
  /// Delay before a call is repeated that has not succeeded.
  static constexpr Duration RetryDelay = std::chrono::milliseconds(500);

  /// Takes the row's text whenever it has been read or written; none: there is
  /// no row. Throws DutyRowError for a text that can't be read.
  using Handler = std::function<void(const std::optional<std::string> &Text)>;

  /// Everything outlives this object.
  DutyRow(std::string Key, const Clock &Time, platform::TableService &Store,
          Metrics &Stats, Handler OnText);
  DutyRow(const DutyRow &) = delete;
  DutyRow &operator=(const DutyRow &) = delete;

  /// Another process may have changed the row.
  void invalidate() { m_Known = false; }

  /// Returns whether the row is as the handler got it last.
  [[nodiscard]] bool isKnown() const {
    return m_Known && m_Era == m_Store.era();
  }

  /// Returns whether a call may be made now.
  [[nodiscard]] bool mayCall() const {
    return !m_Busy && m_Clock.now() >= m_RetryAt;
  }

  /// Reads the row.
  void load();

  /// Replaces the row if it has not changed. Otherwise, and if the outcome is
  /// not known, it has to be loaded.
  void write(const std::string &Text);

private:
  void handleLoaded(const platform::ReadResult &Result);
  void handleWritten(const platform::WriteResult &Result);
  void apply(const std::optional<platform::Row> &Row);

  std::string m_Key;               ///< Of the row.
  const Clock &m_Clock;            ///< Outlives this object.
  platform::TableService &m_Store; ///< Holds the row.
  Counter &m_Unreadable;           ///< Times that the row could not be read.
  Handler m_OnText;                ///< Never empty.
  platform::RowVersion m_Version;  ///< As last observed; 0: no row.
  std::optional<platform::TableEra> m_Era; ///< Of m_Version.
  bool m_Known = false;                    ///< See isKnown().
  bool m_Busy = false;                     ///< A call is in flight.
  TimePoint m_RetryAt{};                   ///< No call before.

  /// Expires with this object: callbacks that come later do nothing.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_DUTY_ROW_H
