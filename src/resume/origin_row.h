/// Text of a row of origins in the store.
#ifndef CROWSTEP_RESUME_ORIGIN_ROW_H
#define CROWSTEP_RESUME_ORIGIN_ROW_H

#include "resume/stream_origin.h"

#include <optional>
#include <string>
#include <vector>

namespace crowstep::resume {

/// Bytes that a stream takes in a row at most, and one more origin does.
inline constexpr std::size_t RowBytesOfStream = 28;
std::size_t rowBytesOf(const StreamOrigin &Origin);

/// Returns the value of a row of \p Writer.
std::string originRowValue(const std::string &Writer,
                           const std::vector<StreamRecord> &Records);

/// Returns the records of the row \p Key; nothing if it can't be read or its
/// value names another writer than the key.
std::optional<std::vector<StreamRecord>>
readOriginRow(const std::string &Key, const std::string &Value);

} // namespace crowstep::resume

#endif // CROWSTEP_RESUME_ORIGIN_ROW_H
