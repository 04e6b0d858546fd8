/// Writes rows of origins and reads the table of all writers.
#include "resume/origin_archive.h"

#include "core/log.h"
#include "resume/origin_row.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace crowstep::resume {

namespace {

/// Bytes of a row besides its origins and streams.
constexpr std::size_t RowFrameBytes = 512;

/// Returns the slot in a row's key after its last slash; none: it has none.
std::optional<std::size_t> slotOf(const std::string &Key) {
  constexpr std::size_t Digits = 2;
  const std::size_t Slash = Key.find_last_of('/');
  if (Slash == std::string::npos || Key.size() != Slash + 1 + Digits)
    return std::nullopt;
  std::size_t Result = 0;
  const char *End = Key.data() + Key.size();
  const auto [Last, Code] =
      std::from_chars(Key.data() + Slash + 1, End, Result);
  if (Code != std::errc() || Last != End || Result >= OriginArchive::SlotCount)
    return std::nullopt;
  return Result;
}

} // namespace

OriginArchive::OriginArchive(std::string Writer, platform::TableService &Tables,
                             const Clock &Time, Scheduler &Timers,
                             Metrics &Stats)
    : m_Writer(std::move(Writer)), m_Tables(Tables), m_Clock(Time),
      m_WriteTimer(Timers), m_ReadTimer(Timers),
      m_Reads(Stats.counter("crowstep_origin_archive_reads_total")),
      m_Writes(Stats.counter("crowstep_origin_archive_writes_total")),
      m_Failures(Stats.counter("crowstep_origin_archive_failures_total")),
      m_Saved(Stats.counter("crowstep_origin_archive_saved_total")),
      m_Dropped(Stats.counter("crowstep_origin_archive_dropped_total")),
      m_Pending(Stats.gauge("crowstep_origin_archive_pending")) {}

// ---- Streams ----------------------------------------------------------------

/// Streams share few origins, and a hub has those of its whole zone.
OriginArchive::OriginPtr OriginArchive::intern(const StreamOrigin &Origin) {
  for (const OriginPtr &Known : m_Interned)
    if (*Known == Origin)
      return Known;
  std::erase_if(m_Interned,
                [](const OriginPtr &Known) { return Known.use_count() == 1; });
  m_Interned.push_back(std::make_shared<const StreamOrigin>(Origin));
  return m_Interned.back();
}

void OriginArchive::dropExpired() {
  const TimePoint Now = m_Clock.now();
  while (!m_Open.empty() && (m_Open.front().m_ExpiresAt <= Now ||
                             m_Open.size() > StreamOrigins::MaxStreams))
    m_Open.pop_front();
}

void OriginArchive::add(const StreamRecord &Begun) {
  if (Begun.m_Origin.m_Service.size() > StreamOrigins::MaxNameBytes ||
      Begun.m_Origin.m_Software.text().size() > StreamOrigins::MaxNameBytes)
    return;
  const TimePoint Now = m_Clock.now();
  m_Open.push_back(
      {Begun.m_Key, Now,
       Now + std::min(Begun.m_Lifetime, StreamOrigins::MaxLifetime),
       intern(Begun.m_Origin)});
  dropExpired();
  if (m_IsWriter && !m_Open.empty() &&
      m_Mixed.contains(Begun.m_Origin.m_Service))
    enqueue(m_Open.back());
}

void OriginArchive::enqueue(const OpenStream &Stream) {
  m_Queue.push_back(Stream);
  if (m_Queue.size() > StreamOrigins::MaxStreams) {
    m_Queue.pop_front();
    m_Dropped.add();
  }
  m_Pending.set(static_cast<double>(m_Queue.size()));
  if (!m_WriteTimer.isRunning() && !m_IsWriting)
    scheduleWrite(writeDelay());
}

/// Queues the open streams of \p Services that were added since \p Begin.
void OriginArchive::queueSince(TimePoint Begin,
                               const std::set<std::string> &Services) {
  dropExpired();
  for (const OpenStream &Stream : m_Open)
    if (Stream.m_Since >= Begin && Stream.m_ExpiresAt > m_Clock.now() &&
        Services.contains(Stream.m_Origin->m_Service))
      enqueue(Stream);
  if (!m_Queue.empty() && !m_IsWriting)
    scheduleWrite(Duration::zero());
}

void OriginArchive::setMixedServices(const std::set<std::string> &Services) {
  std::set<std::string> New;
  for (const std::string &Service : Services)
    if (!m_Mixed.contains(Service))
      New.insert(Service);
  m_Mixed = Services;
  if (!New.empty())
    m_MixedSince = m_Clock.now();
  if (m_ReadState == ReadState::Undecided) {
    m_ReadState = Services.empty() ? ReadState::Done : ReadState::Needed;
    m_HasRead = Services.empty();
    if (m_ReadState == ReadState::Done && m_Events.m_OnReadEnd)
      m_Events.m_OnReadEnd();
    else if (m_IsReader)
      read();
  }
  if (m_IsWriter && !New.empty())
    queueSince(TimePoint::min(), New);
}

/// The writer before may have been lost while it wrote what was open when the
/// second version appeared.
void OriginArchive::setRoles(bool IsWriter, bool IsReader,
                             std::size_t Writers) {
  m_WriteCost =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(Writers) / MaxWritesPerSecond));
  const bool TakesOver = IsWriter && !m_IsWriter;
  m_IsWriter = IsWriter;
  m_IsReader = IsReader;
  if (!IsWriter) {
    m_Queue.clear();
    m_Pending.set(0);
  }
  if (IsReader && m_ReadState == ReadState::Needed && !m_ReadTimer.isRunning())
    read();
  const TimePoint Begin = m_Clock.now() - TakeoverMemory;
  if (TakesOver && !m_Mixed.empty())
    queueSince(m_MixedSince >= Begin ? TimePoint::min() : Begin, m_Mixed);
}

// ---- Reading ----------------------------------------------------------------

bool OriginArchive::needsRead(TimePoint Since) const {
  return !m_Mixed.empty() && m_ReadBeganAt < Since;
}

/// Further losses within the pause share a call.
void OriginArchive::readSince(TimePoint Since) {
  if (!needsRead(Since))
    return;
  m_ReadSince = std::max(m_ReadSince, Since);
  if (m_ReadState != ReadState::Reading && !m_ReadTimer.isRunning())
    scheduleRead(m_ReadBeganAt == TimePoint::min()
                     ? Duration::zero()
                     : m_ReadBeganAt + MinReadPause - m_Clock.now());
}

bool OriginArchive::isReadPending() const {
  return m_ReadState == ReadState::Undecided ||
         (m_ReadState != ReadState::Done &&
          (m_IsReader || m_ReadSince != TimePoint::min()));
}

void OriginArchive::scheduleRead(Duration Delay) {
  m_ReadState = ReadState::Needed;
  m_ReadTimer.start(std::max(Delay, Duration::zero()), [this] { read(); });
}

void OriginArchive::read() {
  m_ReadState = ReadState::Reading;
  m_ReadBeganAt = m_Clock.now();
  m_Reads.add();
  m_Tables.list(TableName, "", [this](const platform::ReadResult &Result) {
    handleRead(Result);
  });
}

void OriginArchive::handleRead(const platform::ReadResult &Result) {
  const auto *Rows = std::get_if<std::vector<platform::Row>>(&Result);
  recordOutcome(Rows != nullptr);
  if (Rows == nullptr) {
    m_ReadBeganAt = TimePoint::min();
    scheduleRead(m_ReadPause);
    m_ReadPause = std::min(m_ReadPause * 2, MaxReadPause);
    if (m_Events.m_OnReadEnd)
      m_Events.m_OnReadEnd();
    return;
  }
  std::vector<const platform::Row *> Newest;
  for (const platform::Row &Row : *Rows)
    Newest.push_back(&Row);
  std::ranges::sort(Newest, std::greater(),
                    [](const platform::Row *Row) { return Row->m_Version; });
  std::size_t Unreadable = 0;
  std::size_t ReadCount = 0;
  for (const platform::Row *Row : Newest)
    Unreadable += readRow(*Row, ReadCount) ? 0 : 1;
  m_ReadState = ReadState::Done;
  m_ReadPause = MinReadPause;
  // The own rows of an earlier process are overwritten last.
  const auto Last = std::ranges::max_element(m_Versions);
  const bool IsFirst = !std::exchange(m_HasRead, true);
  if (IsFirst && *Last != platform::RowVersion())
    m_Slot =
        (static_cast<std::size_t>(Last - m_Versions.begin()) + 1) % SlotCount;
  logEvent(LogEvent::OriginArchiveRead,
           {{"rows", std::to_string(Rows->size())},
            {"unreadable", std::to_string(Unreadable)},
            {"origins", std::to_string(ReadCount)}});
  checkEra();
  if (m_ReadBeganAt < m_ReadSince)
    scheduleRead(m_ReadBeganAt + MinReadPause - m_Clock.now());
  if (m_Events.m_OnReadEnd)
    m_Events.m_OnReadEnd();
  if (IsFirst && !m_Queue.empty())
    scheduleWrite(Duration::zero());
}

/// Returns whether the row is one of the archive's.
bool OriginArchive::readRow(const platform::Row &Row, std::size_t &ReadCount) {
  const auto Slot = slotOf(Row.m_Key);
  if (!Slot)
    return false;
  if (Row.m_Key == slotKey(*Slot) && !m_HasRead)
    m_Versions[*Slot] = Row.m_Version;
  const auto Records = readOriginRow(Row.m_Key, Row.m_Value);
  if (!Records)
    return false;
  if (!m_Events.m_OnRecord || ReadCount + Records->size() > MaxRead)
    return true;
  ReadCount += Records->size();
  for (const StreamRecord &Record : *Records)
    m_Events.m_OnRecord(Record);
  return true;
}

// ---- Writing ----------------------------------------------------------------

std::string OriginArchive::slotKey(std::size_t Slot) const {
  constexpr std::size_t TwoDigits = 10;
  return m_Writer + (Slot < TwoDigits ? "/0" : "/") + std::to_string(Slot);
}

/// Returns the time until this writer may write again.
Duration OriginArchive::writeDelay() const {
  return std::max(WriteInterval,
                  m_PaidUntil - m_WriteCost * WriteBurst - m_Clock.now());
}

void OriginArchive::scheduleWrite(Duration Delay) {
  m_WriteTimer.start(Delay, [this] { write(); });
}

/// Moves origins from the queue to the current row, or to the next one if that
/// is old or full. Returns whether there is something to be written.
bool OriginArchive::fillRow() {
  const TimePoint Now = m_Clock.now();
  std::set<OriginPtr> Origins;
  std::size_t Bytes = RowFrameBytes + m_Writer.size();
  const auto Count = [&](const OpenStream &Stream) {
    Bytes += RowBytesOfStream;
    if (Origins.insert(Stream.m_Origin).second)
      Bytes += rowBytesOf(*Stream.m_Origin);
  };
  std::ranges::for_each(m_Row, Count);
  if (!m_Row.empty() && !m_IsRowDirty && !m_Queue.empty() &&
      (Now - m_SlotSince >= SlotSpan || Bytes >= MaxRowBytes)) {
    m_Slot = (m_Slot + 1) % SlotCount;
    m_Row.clear();
    Origins.clear();
    Bytes = RowFrameBytes + m_Writer.size();
  }
  while (!m_Queue.empty() && Bytes < MaxRowBytes) {
    if (m_Row.empty())
      m_SlotSince = Now;
    Count(m_Queue.front());
    m_Row.push_back(std::move(m_Queue.front()));
    m_Queue.pop_front();
    m_IsRowDirty = true;
  }
  m_Pending.set(static_cast<double>(m_Queue.size()));
  return m_IsRowDirty;
}

/// One call at a time: a slow store gets fewer and fuller rows. Before the
/// archive was read, rows of an earlier process must not be overwritten.
void OriginArchive::write() {
  if (m_IsWriting || !m_IsWriter || !m_HasRead || !fillRow())
    return;
  std::vector<StreamRecord> Records;
  const TimePoint Now = m_Clock.now();
  for (const OpenStream &Stream : m_Row)
    if (Stream.m_ExpiresAt > Now)
      Records.push_back(
          {Stream.m_Key, *Stream.m_Origin, Stream.m_ExpiresAt - Now});
  m_IsWriting = true;
  m_PaidUntil = std::max(m_PaidUntil, Now) + m_WriteCost;
  m_IsRowDirty = false;
  m_Writes.add();
  m_Tables.write(
      TableName,
      {{slotKey(m_Slot), m_Versions[m_Slot],
        originRowValue(m_Writer, Records)}},
      [this](const platform::WriteResult &Result) { handleWritten(Result); });
}

/// A row with another version than expected is this instance's own, from an
/// earlier process or an older copy of the store, and is overwritten.
void OriginArchive::handleWritten(const platform::WriteResult &Result) {
  m_IsWriting = false;
  const auto *Outcomes =
      std::get_if<std::vector<platform::RowOutcome>>(&Result);
  recordOutcome(Outcomes != nullptr);
  const bool IsAnswered = Outcomes != nullptr && !Outcomes->empty();
  const bool IsWritten = IsAnswered && Outcomes->front().m_Written;
  if (IsAnswered) {
    const auto &Current = Outcomes->front().m_CurrentRow;
    m_Versions[m_Slot] = Current ? Current->m_Version : platform::RowVersion();
  }
  if (IsWritten)
    m_Saved.add(m_Row.size());
  else
    m_IsRowDirty = true;
  checkEra();
  const bool IsFull = IsWritten && !m_Queue.empty() &&
                      m_Row.size() * RowBytesOfStream >= MaxRowBytes / 2;
  if (IsAnswered && (!IsWritten || IsFull))
    scheduleWrite(Duration::zero());
  else if (m_IsRowDirty || !m_Queue.empty())
    scheduleWrite(writeDelay());
}

/// A store that came back from an older copy has lost rows, so all that may be
/// resumed is written again.
void OriginArchive::checkEra() {
  const auto Stated = m_Tables.era();
  if (Stated && m_Era && *Stated > *m_Era)
    queueSince(TimePoint::min(), m_Mixed);
  if (Stated)
    m_Era = Stated;
}

void OriginArchive::recordOutcome(bool IsAnswered) {
  if (!IsAnswered)
    m_Failures.add();
  if (IsAnswered == m_IsAvailable)
    return;
  m_IsAvailable = IsAnswered;
  logEvent(IsAnswered ? LogEvent::OriginArchiveAnswers
                      : LogEvent::OriginArchiveUnavailable,
           {{"pending", std::to_string(m_Queue.size() + m_Row.size())}});
}

} // namespace crowstep::resume
