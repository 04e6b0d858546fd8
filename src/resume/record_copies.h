/// Which other instances have got the records of streams that began here.
///
/// A record is written to the links of those that are to keep it, and nothing
/// confirms that it arrived. One whose link fails soon after may be lost, and
/// one that is made while few peers are linked has too few copies, or copies
/// where nobody asks for them. Both are sent again when other peers are linked.
#ifndef CROWSTEP_RESUME_RECORD_COPIES_H
#define CROWSTEP_RESUME_RECORD_COPIES_H

#include "instance_type.h"
#include "link/link_type.h"
#include "resume/stream_origin.h"

#include <deque>
#include <functional>
#include <vector>

namespace crowstep::resume {

/// A record that was sent, or an instance that may get one.
struct RecordCopy {
  InstanceId m_Holder; ///< The instance at the other end of m_Link.
  link::LinkId m_Link; ///< To the holder.
};

class RecordCopies {
public:
  /// Other instances that keep an origin.
  static constexpr std::size_t CopyCount = 3;

  /// A link on which nothing arrives fails within this time (see
  /// enableKeepAlive()).
  static constexpr Duration DeliveryTime = std::chrono::seconds(3);

  /// Limit on the records that are tracked: those sent within DeliveryTime, and
  /// those with too few copies. The oldest ones are forgotten.
  static constexpr std::size_t MaxRecords = 1 << 13;

  /// Returns those that should keep a stream.
  using FindHolders =
      std::function<std::vector<RecordCopy>(const StreamKey &Key)>;
  using SendRecord =
      std::function<void(link::LinkId To, const StreamRecord &Record)>;

  /// \p Begun was sent to the holders of \p Copies.
  void add(const StreamRecord &Begun, std::vector<RecordCopy> Copies,
           TimePoint Now);

  /// Copies that were sent on \p Link a short time ago may not have arrived.
  void removeLink(link::LinkId Link, TimePoint Now);

  /// Sends tracked records to those of their holders that have no copy.
  void sendMissing(const FindHolders &Holders, const SendRecord &Send,
                   TimePoint Now);

private:
  struct Entry {
    StreamRecord m_Record;            ///< With its lifetime when it began.
    TimePoint m_Since;                ///< When it began.
    TimePoint m_LastSentAt;           ///< Time of the last copy.
    std::vector<RecordCopy> m_Copies; ///< At different instances.

    [[nodiscard]] bool hasExpired(TimePoint Now) const {
      return m_Since + m_Record.m_Lifetime <= Now;
    }
    [[nodiscard]] bool isDelivered(TimePoint Now) const {
      return m_Copies.size() >= CopyCount && m_LastSentAt + DeliveryTime <= Now;
    }
    [[nodiscard]] bool hasCopyAt(InstanceId Holder) const;
  };

  void removeSettled(TimePoint Now);

  std::deque<Entry> m_Entries; ///< In the order of m_Since.
};

} // namespace crowstep::resume

#endif // CROWSTEP_RESUME_RECORD_COPIES_H
