/// Base64 of bytes.
#include "core/base64.h"

#include <glib.h>

namespace crowstep {

std::string base64Encoded(const std::string &Bytes) {
  char *Text = g_base64_encode(reinterpret_cast<const guchar *>(Bytes.data()),
                               Bytes.size());
  std::string Result(Text);
  g_free(Text);
  return Result;
}

std::string base64Decoded(const std::string &Text) {
  gsize Size = 0;
  guchar *Bytes = g_base64_decode(Text.c_str(), &Size);
  std::string Result(reinterpret_cast<const char *>(Bytes), Size);
  g_free(Bytes);
  return Result;
}

} // namespace crowstep
