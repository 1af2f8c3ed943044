/// MemoryDisk models how a power failure affects removed files.
#include "common/memory_disk.hpp"

#include <cstdint>

#include "unit.hpp"

using chutevane::common::MemoryDisk;

namespace {

constexpr std::uint64_t power_cycle_seeds = 40;

}  // namespace

TEST_GROUP(MemoryDiskNames){};

// A removed file comes restored after some power failures, unless a new file was synced since its removal.
TEST(MemoryDiskNames, RemovedFilesMayComeBackUntilASync) {
  std::size_t restored = 0;
  for (std::uint64_t seed = 0; seed < power_cycle_seeds; ++seed) {
    MemoryDisk disk;
    CHECK_TRUE(disk.append("a", "one").ok() && disk.sync("a").ok() && disk.remove("a").ok());
    CHECK_FALSE(disk.read("a").ok());
    disk.power_cycle(seed * 0x9e3779b97f4a7c15ULL);  // small seeds begin with similar draws
    if (!disk.read("a").ok()) continue;
    ++restored;
    CHECK_TRUE(*disk.read("a") == "one");
  }
  CHECK_TRUE(restored > 0 && restored < power_cycle_seeds);
  for (std::uint64_t seed = 0; seed < power_cycle_seeds; ++seed) {
    MemoryDisk disk;
    CHECK_TRUE(disk.append("a", "one").ok() && disk.sync("a").ok() && disk.remove("a").ok());
    CHECK_TRUE(disk.append("b", "two").ok() && disk.sync("b").ok());
    disk.power_cycle(seed * 0x9e3779b97f4a7c15ULL);
    CHECK_FALSE(disk.read("a").ok());
    CHECK_TRUE(*disk.read("b") == "two");
  }
}
