/// Instance ids and addresses.
#include "instance_error.h"
#include "instance_type.h"

#include <arpa/inet.h>
#include <charconv>
#include <xxhash.h>

namespace crowstep {

InstanceId instanceIdOf(const std::string &Name) {
  return InstanceId(XXH3_64bits(Name.data(), Name.size()));
}

Address parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    throw AddressError(Text);
  in_addr Ip{};
  if (inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Ip) != 1)
    throw AddressError(Text);
  Address Result;
  Result.m_Ip = ntohl(Ip.s_addr);
  const char *Begin = Text.data() + Colon + 1;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Begin, End, Result.m_Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Begin == End)
    throw AddressError(Text);
  return Result;
}

std::string toString(const Address &Value) {
  char Buffer[INET_ADDRSTRLEN] = {};
  const in_addr Ip{htonl(Value.m_Ip)};
  inet_ntop(AF_INET, &Ip, Buffer, sizeof(Buffer));
  return std::string(Buffer) + ":" + std::to_string(Value.m_Port);
}

} // namespace crowstep
