/// Saves the origins of streams in the store, from which they are read after
/// the loss of those that kept them.
///
/// Only services with several software versions need it: where there is one, it
/// began every stream. Few instances write, each to rows of its own, so that no
/// write waits for another one, and no event waits for a write.
#ifndef CROWSTEP_RESUME_ORIGIN_ARCHIVE_H
#define CROWSTEP_RESUME_ORIGIN_ARCHIVE_H

#include "core/metrics.h"
#include "core/scheduler.h"
#include "platform/platform_type.h"
#include "resume/stream_origins.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace crowstep::resume {

class OriginArchive {
public:
  static constexpr const char *TableName = "crowstep_origins";

  /// Rows of a writer. Each is used for SlotSpan, then the next one, and after
  /// the last one the first again.
  static constexpr std::size_t SlotCount = 64;
  static constexpr Duration SlotSpan = std::chrono::seconds(1);

  /// Least interval between two writes. Origins that are younger are lost with
  /// all instances, and most streams that are open then have just begun.
  static constexpr Duration WriteInterval = std::chrono::milliseconds(20);

  /// Writes of all writers together in a second. The store carries out 200
  /// transactions a second on one part of a table.
  static constexpr double MaxWritesPerSecond = 150;

  /// Writes that a writer may make at once after a time without any.
  static constexpr int WriteBurst = 5;

  /// The store takes values of up to 65,536 bytes; a row that is full is
  /// followed by the next one at once.
  static constexpr std::size_t MaxRowBytes = 60000;

  /// A writer that takes over from another one writes the origins of this span
  /// again.
  static constexpr Duration TakeoverMemory = std::chrono::seconds(3);

  /// Origins that are taken from the archive, those of the newest rows first:
  /// the age of a row isn't known, and most streams in it have ended.
  static constexpr std::size_t MaxRead = 3 * StreamOrigins::MaxStreams / 4;

  /// Pauses between attempts to read the archive; they double.
  static constexpr Duration MinReadPause = std::chrono::milliseconds(500);
  static constexpr Duration MaxReadPause = std::chrono::seconds(4);

  /// Callbacks for what is read.
  struct Events {
    std::function<void(const StreamRecord &)> m_OnRecord; ///< For each origin.
    std::function<void()> m_OnReadEnd; ///< isReadPending() is false now.
  };

  /// \p Writer names this instance; the references outlive this object.
  OriginArchive(std::string Writer, platform::TableService &Tables,
                const Clock &Time, Scheduler &Timers, Metrics &Stats);

  void setEvents(Events OnEvents) { m_Events = std::move(OnEvents); }

  /// Takes the origin of a stream that this instance writes while it is a
  /// writer. An origin with an unknown version is kept as such.
  void add(const StreamRecord &Begun);

  /// Sets whether this instance writes, as one of \p Writers, and whether it
  /// reads the archive if that is needed.
  void setRoles(bool IsWriter, bool IsReader, std::size_t Writers = 1);

  /// Sets the services whose origins are to be written. The first call tells
  /// whether the archive must be read: an instance that starts among several
  /// versions may find streams that only the archive knows.
  void setMixedServices(const std::set<std::string> &Services);

  /// Reads the archive by a call that begins at \p Since or later, if that was
  /// not done. Nothing is saved while no service has several versions.
  void readSince(TimePoint Since);

  /// Returns whether readSince() would read.
  [[nodiscard]] bool needsRead(TimePoint Since) const;

  /// Returns whether the archive may hold origins that are not read yet.
  [[nodiscard]] bool isReadPending() const;

  /// Returns whether it was read once, or that is not needed.
  [[nodiscard]] bool hasRead() const { return m_HasRead; }

  /// Returns whether the last attempt to read it has failed.
  [[nodiscard]] bool isReadFailing() const {
    return m_ReadState == ReadState::Needed && m_ReadTimer.isRunning() &&
           !m_IsAvailable;
  }

private:
  using OriginPtr = std::shared_ptr<const StreamOrigin>;

  /// A stream that may be resumed.
  struct OpenStream {
    StreamKey m_Key;       ///< Of the stream.
    TimePoint m_Since;     ///< When it was added.
    TimePoint m_ExpiresAt; ///< It can't be resumed any more.
    OriginPtr m_Origin;    ///< Never null.
  };

  /// Progress of reading the archive.
  enum class ReadState : std::uint8_t {
    Undecided, ///< It is not known whether that is needed.
    Needed,    ///< Not begun, or it failed.
    Reading,   ///< A call is under way.
    Done,      ///< Read, or not needed.
  };

  OriginPtr intern(const StreamOrigin &Origin);
  void dropExpired();
  void queueSince(TimePoint Begin, const std::set<std::string> &Services);
  void enqueue(const OpenStream &Stream);
  void read();
  void scheduleRead(Duration Delay);
  void handleRead(const platform::ReadResult &Result);
  bool readRow(const platform::Row &Row, std::size_t &ReadCount);
  void scheduleWrite(Duration Delay);
  [[nodiscard]] Duration writeDelay() const;
  void write();
  bool fillRow();
  void handleWritten(const platform::WriteResult &Result);
  void checkEra();
  void recordOutcome(bool IsAnswered);
  [[nodiscard]] std::string slotKey(std::size_t Slot) const;

  std::string m_Writer;              ///< This instance.
  platform::TableService &m_Tables;  ///< Outlives this object.
  const Clock &m_Clock;              ///< Outlives this object.
  Events m_Events;                   ///< Empty: nobody asks.
  bool m_IsWriter = false;           ///< See setRoles().
  bool m_IsReader = false;           ///< See setRoles().
  Duration m_WriteCost{};            ///< Of one write, in time of this writer.
  TimePoint m_PaidUntil{};           ///< What the writes so far have used up.
  std::set<std::string> m_Mixed;     ///< See setMixedServices().
  TimePoint m_MixedSince{};          ///< When m_Mixed got a service.
  std::vector<OriginPtr> m_Interned; ///< Shared by streams.
  std::deque<OpenStream> m_Open;     ///< In the order of m_Since.
  std::deque<OpenStream> m_Queue;    ///< To be written.
  std::vector<OpenStream> m_Row;     ///< In the row of m_Slot.
  std::size_t m_Slot = 0;            ///< Of the current row.
  TimePoint m_SlotSince{};           ///< When its first origin was put in.
  bool m_IsRowDirty = false;         ///< Not written as it is.
  bool m_IsWriting = false;          ///< A call is under way.
  std::array<platform::RowVersion, SlotCount>
      m_Versions{}; ///< Of the own rows, as far as known.
  std::optional<platform::TableEra> m_Era;      ///< Of the last answer.
  ReadState m_ReadState = ReadState::Undecided; ///< See ReadState.
  bool m_HasRead = false;                       ///< See hasRead().
  TimePoint m_ReadBeganAt = TimePoint::min(); ///< Last read; min(): it failed.
  TimePoint m_ReadSince = TimePoint::min();   ///< The latest readSince().
  Duration m_ReadPause = MinReadPause;        ///< Before the next attempt.
  bool m_IsAvailable = true;                  ///< The last call was answered.
  Timer m_WriteTimer;                         ///< Until the next write().
  Timer m_ReadTimer;                          ///< Until the next read().
  Counter &m_Reads;                           ///< Calls that read.
  Counter &m_Writes;                          ///< Calls that write.
  Counter &m_Failures;                        ///< Calls without an outcome.
  Counter &m_Saved;                           ///< Origins written.
  Counter &m_Dropped;                         ///< Of a queue that is full.
  Gauge &m_Pending;                           ///< Origins to be written.
};

} // namespace crowstep::resume

#endif // CROWSTEP_RESUME_ORIGIN_ARCHIVE_H
