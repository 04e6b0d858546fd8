/// Hash function for rendezvous hashing.
#ifndef CROWSTEP_CORE_PAIR_HASH_H
#define CROWSTEP_CORE_PAIR_HASH_H

#include <cstdint>

namespace crowstep {

/// Returns a hash of two numbers, the same on every machine.
std::uint64_t pairHash(std::uint64_t First, std::uint64_t Second);

} // namespace crowstep

#endif // CROWSTEP_CORE_PAIR_HASH_H
