/// Texts in frames.
#ifndef CROWSTEP_WIRE_WIRE_TEXT_H
#define CROWSTEP_WIRE_WIRE_TEXT_H

#include "flatbuffers/flatbuffers.h"

#include <string>

namespace crowstep::wire {

/// Returns a text of a frame; an absent one is empty, as an empty one is
/// absent when it is packed.
inline std::string textOf(const flatbuffers::String *Text) {
  return Text == nullptr ? std::string() : Text->str();
}

} // namespace crowstep::wire

#endif // CROWSTEP_WIRE_WIRE_TEXT_H
