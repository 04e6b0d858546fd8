/// Interface to the origins of streams that any instance may have begun.
#ifndef CROWSTEP_RESUME_ORIGIN_DIRECTORY_H
#define CROWSTEP_RESUME_ORIGIN_DIRECTORY_H

#include "resume/stream_origin.h"

#include <functional>
#include <memory>
#include <optional>

namespace crowstep::resume {

/// What a lookup has found.
struct LookupResult {
  std::optional<StreamOrigin> m_Origin; ///< None: not known. With an unknown
                                        ///< version it can't be continued.
  std::size_t m_AskedCount = 0;         ///< Instances that were asked.
  std::size_t m_UnansweredCount = 0;    ///< Those that did not answer in time.
};

using LookupCallback = std::function<void(const LookupResult &)>;

/// A lookup in progress; destroying it cancels it.
class OriginLookup {
public:
  virtual ~OriginLookup() = default;
};

class OriginDirectory {
public:
  virtual ~OriginDirectory() = default;

  /// Records a stream here and at other instances. The records have been passed
  /// to the kernel when this returns, so that they are not lost with this
  /// process.
  virtual void record(const StreamRecord &Begun) = 0;

  /// Returns the origin of a stream if this instance knows it; valid until the
  /// next call of another function.
  [[nodiscard]] virtual const StreamOrigin *
  findLocal(const StreamKey &Key) const = 0;

  /// Returns whether this instance knows that the stream can't be continued: it
  /// began at an unknown version, or was recorded with two origins.
  [[nodiscard]] virtual bool isUnproven(const StreamKey & /*Key*/) const {
    return false;
  }

  /// Asks other instances, and the archive if it is being read. \p OnDone runs
  /// once, not within ask(), and may destroy the lookup.
  virtual std::unique_ptr<OriginLookup> ask(const StreamKey &Key,
                                            LookupCallback OnDone) = 0;
};

} // namespace crowstep::resume

#endif // CROWSTEP_RESUME_ORIGIN_DIRECTORY_H
