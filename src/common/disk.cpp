/// Generation of disk ids.
#include "common/disk.hpp"

#include <array>
#include <cstdint>
#include <cstdio>
#include <fstream>

namespace chutevane::common {

std::string Disk::generate_id() {
  std::ifstream random("/dev/urandom", std::ios::binary);
  std::array<std::uint64_t, 2> bits{};
  random.read(reinterpret_cast<char*>(bits.data()), sizeof bits);
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(bits[0]),
                static_cast<unsigned long long>(bits[1]));
  return text.data();
}

}  // namespace chutevane::common
