/// One lease, as a state machine without I/O.
#include "lease/lease_core.h"

#include "core/untrusted_json.h"
#include "lease/lease_error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crowstep::lease {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t LeaseFormat = 1;
constexpr int RenewalsPerDuration = 3;

/// A longer validity is no lease's: it would never be taken over.
constexpr milliseconds MaxDuration = std::chrono::hours(1);

/// Higher numbers could overflow when eras and renewals raise them.
constexpr std::uint64_t MaxFencing = std::uint64_t{1} << 62U;

/// Eras before the current one whose writes are prevented: as many as one write
/// can hold with room to spare.
constexpr std::uint64_t EndedEras = 64;

/// Returns the key of the row that exists once the lease was acquired in a
/// later era than \p Era.
std::string endOfEraKey(const std::string &LeaseKey, std::uint64_t Era) {
  return LeaseKey + "/after/" + std::to_string(Era);
}

} // namespace

std::string encodeLease(const LeaseRow &Row) {
  const auto Length = std::chrono::ceil<milliseconds>(Row.m_Duration).count();
  json Result = {{"format", LeaseFormat},
                 {"holder", Row.m_Holder},
                 {"fencing", Row.m_Fencing.value()},
                 {"length_ms", Length}};
  if (Row.m_Era)
    Result["era"] = Row.m_Era->value();
  return Result.dump();
}

LeaseRow decodeLease(const platform::Row &Row) {
  try {
    const json Value = parseUntrustedJson(Row.m_Value);
    if (Value.at("format").get<std::int64_t>() != LeaseFormat)
      throw LeaseRowError("unsupported format " + Value.at("format").dump());
    LeaseRow Result{Row.m_Version, Value.at("holder").get<std::string>(),
                    FencingNumber(wholeNumberOf(Value.at("fencing"), "fencing",
                                                MaxFencing)),
                    milliseconds(wholeNumberOf(
                        Value.at("length_ms"), "length_ms",
                        static_cast<std::uint64_t>(MaxDuration.count())))};
    if (Value.contains("era"))
      Result.m_Era = platform::TableEra(Value.at("era").get<std::uint64_t>());
    return Result;
  } catch (const json::exception &Failure) {
    throw LeaseRowError(Failure.what());
  }
}

LeaseCore::LeaseCore(LeaseConfig Config) : m_Config(std::move(Config)) {}

LeaseActions LeaseCore::handle(TimePoint Now, const LeaseEvent &Event) {
  m_Now = std::max(m_Now, Now);
  m_Actions.clear();
  std::visit([this](const auto &Alternative) { on(Alternative); }, Event);
  startNextCall();
  return std::move(m_Actions);
}

std::optional<FencingNumber>
LeaseCore::fencingForOrder(TimePoint Now, Duration Timeout) const {
  if (!m_Wanted || !isHolder() || !isOfThisEra() ||
      Now + Timeout > m_ValidUntil)
    return std::nullopt;
  return m_Row->m_Fencing;
}

bool LeaseCore::isHolder() const {
  return m_RowKnown && m_Row && m_Row->m_Holder == m_Config.m_Holder;
}

void LeaseCore::on(const LeaseWanted &Event) { m_Wanted = Event.m_Wanted; }
void LeaseCore::on(const OrderStarted &) { ++m_OrdersInFlight; }
void LeaseCore::on(const OrderEnded &) {
  m_OrdersInFlight -= m_OrdersInFlight > 0 ? 1 : 0;
}
void LeaseCore::on(const LeaseTick &) {}

void LeaseCore::on(const LeaseRead &Event) {
  m_CallInFlight = false;
  applyRow(Event.m_Row);
}

/// The holder measures the duration from before it sent the write, a contender
/// from after it observed the row. Whatever the delays, the holder's validity
/// ends first.
void LeaseCore::on(const LeaseWritten &Event) {
  m_CallInFlight = false;
  applyRow(Event.m_Outcome.m_CurrentRow);
  if (!Event.m_Outcome.m_Written || !isHolder() || !isOfThisEra())
    return;
  m_ValidUntil = Event.m_SentAt + m_Config.m_Duration;
  m_NextCallAt = Event.m_SentAt + m_Config.m_Duration / RenewalsPerDuration;
}

/// The answer to a write may be lost after the write took effect. The retry
/// finds that out: its condition fails, and the row names this process, which
/// then renews. Only an answered write extends the validity.
void LeaseCore::on(const LeaseCallFailed &) {
  m_CallInFlight = false;
  m_NextCallAt = m_Now + m_Config.m_ReadInterval / 2;
}

/// Either another process took the lease, or the table service was restored
/// from an older state and fencing numbers repeat. The row tells which; in the
/// second case the next number must exceed the highest one seen. A receiver
/// that does not state it has seen a higher one at least: with the same number,
/// every further call would be rejected as well.
void LeaseCore::on(const LeaseFenced &Event) {
  const FencingNumber Higher(m_Row ? m_Row->m_Fencing.value() + 1 : 1);
  const bool Stated = Event.m_HighestSeen > FencingNumber();
  m_HighestSeen =
      std::max(m_HighestSeen, Stated ? Event.m_HighestSeen : Higher);
  m_ValidUntil = m_Now;
  m_NextCallAt = m_Now;
}

/// The table service may have lost rows that it has acknowledged, this
/// process's too: whoever holds the lease is not known. While this process's
/// own validity lasts, however, nobody else does: another one waits for as long
/// from the restore on.
void LeaseCore::on(const LeaseEraSeen &Event) {
  if (m_Era && Event.m_Era <= *m_Era)
    return;
  const bool IsRestored = m_Era.has_value();
  if (fencingForOrder(m_Now, Duration::zero()))
    m_ContinuesUntil = m_ValidUntil;
  m_Era = Event.m_Era;
  if (!IsRestored)
    return;
  if (m_Row)
    m_HighestSeen = std::max(m_HighestSeen, m_Row->m_Fencing);
  m_RowKnown = false;
  m_ValidUntil = m_Now;
  m_NextCallAt = m_Now;
}

/// A row of an earlier era, and the lack of one, may hide a later holder.
bool LeaseCore::isOfThisEra() const {
  return !m_Era || (m_Row && m_Row->m_Era == m_Era);
}

/// Returns whether no holder that the row doesn't name can still be valid. Such
/// a one got its last answer before the era began. A table service that is
/// empty as nothing was ever written looks like one that was restored from an
/// empty copy.
bool LeaseCore::mayAcquire() const {
  if (!m_Row && !m_Era)
    return true;
  const Duration Validity = m_Row ? m_Row->m_Duration : m_Config.m_Duration;
  return isOfThisEra() || m_Now >= m_RowSeenAt +
                                       std::max(Validity, m_Config.m_Duration) +
                                       m_Config.m_Margin;
}

void LeaseCore::applyRow(const std::optional<platform::Row> &Row) {
  std::optional<LeaseRow> NewRow;
  m_RowUnreadable = false;
  try {
    if (Row)
      NewRow = decodeLease(*Row);
  } catch (const LeaseRowError &) {
    m_RowUnreadable = true;
    m_RowKnown = false; // The holder is unknown: leave the row alone.
    m_NextCallAt = m_Now + m_Config.m_ReadInterval;
    return;
  }
  if (!m_RowKnown || NewRow != m_Row)
    m_RowSeenAt = m_Now;
  m_RowKnown = true;
  m_Row = NewRow;
  const bool HeldByOther = NewRow && !NewRow->m_Holder.empty() && !isHolder();
  const bool MustWait = !mayContinue(m_Now) && (HeldByOther || !mayAcquire());
  m_NextCallAt = MustWait ? m_Now + m_Config.m_ReadInterval : m_Now;
}

void LeaseCore::startNextCall() {
  if (m_CallInFlight || m_Now < m_NextCallAt)
    return;
  if (!m_Wanted) {
    // An order in flight may still reach the upstream. After a release, the
    // next holder starts without waiting, so none may be in flight.
    if (m_Config.m_Releases && isHolder() && isOfThisEra() &&
        m_OrdersInFlight == 0) {
      // The release may take effect at any time from now on. If the lease is
      // wanted again meanwhile, it counts as held only after an answered
      // renewal; otherwise this holder and the next would both send orders.
      m_ValidUntil = m_Now;
      write({}, m_Row->m_Fencing);
    }
    return;
  }
  const bool IsFree = m_RowKnown && (!m_Row || m_Row->m_Holder.empty());
  const bool Expired =
      m_RowKnown && m_Row && !isHolder() &&
      m_Now >= m_RowSeenAt + m_Row->m_Duration + m_Config.m_Margin;
  if (isHolder() && isOfThisEra() && m_HighestSeen <= m_Row->m_Fencing) {
    write(m_Config.m_Holder, m_Row->m_Fencing);
  } else if ((m_RowKnown && mayContinue(m_Now)) ||
             ((isHolder() || IsFree || Expired) && mayAcquire())) {
    acquire();
  } else {
    m_CallInFlight = true;
    m_Actions.emplace_back(std::in_place_type<ReadLease>);
  }
}

void LeaseCore::acquire() {
  const FencingNumber Number = nextFencingNumber();
  if (!mayContinue(m_Now))
    m_HeldSince = Number;
  m_IsFirstOfEra = !isOfThisEra();
  write(m_Config.m_Holder, Number);
}

FencingNumber LeaseCore::nextFencingNumber() const {
  std::uint64_t Last = m_Row ? m_Row->m_Fencing.value() : 0;
  if (!isOfThisEra()) {
    const std::uint64_t RowEra =
        m_Row && m_Row->m_Era ? m_Row->m_Era->value() : 0;
    Last += (m_Era->value() - std::min(RowEra, m_Era->value())) * NumbersPerEra;
  }
  return FencingNumber(std::max(Last, m_HighestSeen.value()) + 1);
}

/// A restored table service gives versions out again. A write of an earlier era
/// whose condition holds by chance would put back a holder that others have
/// succeeded, and a number that they go beyond.
void LeaseCore::write(const HolderId &Holder, FencingNumber Fencing) {
  const LeaseRow NewRow{{}, Holder, Fencing, m_Config.m_Duration, m_Era};
  const platform::RowVersion Expected =
      m_Row ? m_Row->m_Version : platform::RowVersion();
  platform::RowWrite Write{m_Config.m_Key, Expected, encodeLease(NewRow)};
  if (m_Era) {
    Write.m_UnlessKey = endOfEraKey(m_Config.m_Key, m_Era->value());
    if (!isOfThisEra())
      Write.m_MarkerKeys = endedEraKeys();
  }
  m_CallInFlight = true;
  m_Actions.push_back(WriteLease{std::move(Write)});
}

std::vector<std::string> LeaseCore::endedEraKeys() const {
  const std::uint64_t Era = m_Era->value();
  std::vector<std::string> Result;
  for (std::uint64_t Ended = Era - std::min(Era, EndedEras); Ended < Era;
       ++Ended)
    Result.push_back(endOfEraKey(m_Config.m_Key, Ended));
  return Result;
}

} // namespace crowstep::lease
