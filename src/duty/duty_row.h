/// A row of the table service with the state of a duty, as the holder of the
/// duties reads and writes it.
///
/// Writes are conditional, so that a holder that has lost the lease without
/// noticing changes nothing that its successor has written.
///
/// The row says in which era of the table service it was written. After a
/// restore the table service holds an older row, or one that a late write has
/// put back: what was done since is missing in it, so that it is no state to
/// continue from. A holder that knows the state keeps it, and any other one
/// begins anew.
#ifndef CROWSTEP_DUTY_DUTY_ROW_H
#define CROWSTEP_DUTY_DUTY_ROW_H

#include "core/clock.h"
#include "core/metrics.h"
#include "lease/lease_type.h"
#include "platform/platform_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crowstep::duty {

/// What a row that was read or written means for the state of the duty.
enum class RowUse : std::uint8_t {
  Adopt, ///< The row is the state.
  Begin, ///< The state is not known: there is no row, or one of another era.
  Keep,  ///< The same, but the state is known since an earlier call.
};

class DutyRow {
public:
  /// Delay before a call is repeated that has not succeeded.
  static constexpr Duration RetryDelay = std::chrono::milliseconds(500);

  /// Takes the row's text whenever it has been read or written; none: there is
  /// no row. Throws DutyRowError for a text that can't be read, whatever its
  /// use.
  using Handler =
      std::function<void(const std::optional<std::string> &Text, RowUse Use)>;

  /// Everything outlives this object.
  DutyRow(std::string Key, const Clock &Time, platform::TableService &Store,
          Metrics &Stats, Handler OnText);
  DutyRow(const DutyRow &) = delete;
  DutyRow &operator=(const DutyRow &) = delete;

  /// The lease has been held since it was acquired under \p HeldSince. Returns
  /// whether this is news: another process may have changed the row and acted
  /// by it.
  bool setTerm(lease::FencingNumber HeldSince);

  /// Returns whether the row's version is known, and the state too.
  [[nodiscard]] bool isKnown() const {
    return m_Known && m_Era == m_Store.era();
  }

  /// Returns whether the row holds the state. To be asked if it is known.
  [[nodiscard]] bool isStored() const { return m_IsStored; }

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
  /// What a call was based on when it was sent.
  struct CallBasis {
    std::optional<lease::FencingNumber> m_Term; ///< Of the lease.
    std::optional<platform::TableEra> m_Era;    ///< Of the table service.

    bool operator==(const CallBasis &) const = default;
  };

  [[nodiscard]] CallBasis basis() const { return {m_Term, m_Store.era()}; }
  void handleLoaded(const platform::ReadResult &Result,
                    const CallBasis &SentOn);
  void handleWritten(const platform::WriteResult &Result,
                     const CallBasis &SentOn);
  void apply(const std::optional<platform::Row> &Row);
  [[nodiscard]] RowUse useOf(const std::optional<platform::Row> &Row) const;
  void reportOutdated(const platform::Row &Row, RowUse Use);

  std::string m_Key;               ///< Of the row.
  const Clock &m_Clock;            ///< Outlives this object.
  platform::TableService &m_Store; ///< Holds the row.
  Counter &m_Unreadable;           ///< Times that the row could not be read.
  Counter &m_Outdated;             ///< Rows of another era that were read.
  Handler m_OnText;                ///< Never empty.
  platform::RowVersion m_Version;  ///< As last observed; 0: no row.
  std::optional<platform::TableEra> m_Era;    ///< Of m_Version.
  std::optional<lease::FencingNumber> m_Term; ///< See setTerm().
  bool m_HasState = false; ///< The owner got the state in m_Term.
  bool m_Known = false;    ///< See isKnown().
  bool m_IsStored = false; ///< See isStored().
  bool m_Busy = false;     ///< A call is in flight.
  TimePoint m_RetryAt{};   ///< No call before.

  /// Expires with this object: callbacks that come later do nothing.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_DUTY_ROW_H
