/// SHA-256 digests, computed by GLib.
#include "core/digest.h"

#include <glib.h>

namespace crowstep {

std::string sha256Hex(const std::string &Text) {
  char *Hex = g_compute_checksum_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar *>(Text.data()),
      Text.size());
  std::string Result = Hex;
  g_free(Hex);
  return Result;
}

} // namespace crowstep
