/// Reading of string fields in frames.
#ifndef CROWSTEP_WIRE_WIRE_TEXT_H
#define CROWSTEP_WIRE_WIRE_TEXT_H

#include "flatbuffers/flatbuffers.h"

#include <string>

namespace crowstep::wire {

/// Returns a string field of a frame. An absent field reads as empty: packing
/// leaves out empty strings.
inline std::string textOf(const flatbuffers::String *Text) {
  return Text == nullptr ? std::string() : Text->str();
}

} // namespace crowstep::wire

#endif // CROWSTEP_WIRE_WIRE_TEXT_H
