/// A hash of 64-bit ids that is the same in all processes: the finalizer of splitmix64.
#pragma once

#include <cstdint>

namespace chutevane {

inline std::uint64_t mix_bits(std::uint64_t v) {
  v = (v ^ (v >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  v = (v ^ (v >> 27U)) * 0x94d049bb133111ebULL;
  return v ^ (v >> 31U);
}

}  // namespace chutevane
