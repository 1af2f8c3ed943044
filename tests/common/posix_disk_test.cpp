// PosixDisk: which files and directories are synced. Guards against losing a new file by a power failure: its
// name is durable only after a sync of its directory, even if the file itself was synced.
#include "common/posix_disk.hpp"

#include <stdlib.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "unit.hpp"

namespace {

// Paths that were synced, in order.
std::vector<std::string> synced;

void record_sync(int fd) {
  const std::string link = "/proc/self/fd/" + std::to_string(fd);
  char path[4096];
  const ssize_t size = ::readlink(link.c_str(), path, sizeof path);
  synced.emplace_back(path, size > 0 ? static_cast<std::size_t>(size) : 0);
}

}  // namespace

// Replace the functions of the C library in this program.
extern "C" int fsync(int fd) {
  record_sync(fd);
  return static_cast<int>(::syscall(SYS_fsync, fd));
}
extern "C" int fdatasync(int fd) {
  record_sync(fd);
  return static_cast<int>(::syscall(SYS_fdatasync, fd));
}

TEST_GROUP(PosixDiskNames) {
  std::string directory;
  void setup() override {
    char pattern[] = "/tmp/chutevane-folder-XXXXXX";
    directory = std::filesystem::canonical(::mkdtemp(pattern));
    synced.clear();
    synced.reserve(100);
  }
  void teardown() override {
    std::filesystem::remove_all(directory);
    std::vector<std::string>().swap(synced);
  }
  long syncs_of(const std::string& path) const { return std::count(synced.begin(), synced.end(), path); }
};

TEST(PosixDiskNames, ANewFilesNameIsSyncedWithIt) {
  chutevane::common::PosixDisk disk(directory);
  CHECK_TRUE(disk.append("a", "text").ok());
  CHECK_TRUE(disk.sync("a").ok());
  CHECK_EQUAL(1, syncs_of(directory + "/a"));
  CHECK_EQUAL(1, syncs_of(directory));
}

TEST(PosixDiskNames, AFileCreatedByTruncationIsSyncedWithItsName) {
  chutevane::common::PosixDisk disk(directory);
  CHECK_TRUE(disk.truncate("a", 0).ok());
  CHECK_TRUE(disk.sync("a").ok());
  CHECK_EQUAL(1, syncs_of(directory));
}

TEST(PosixDiskNames, TheDirectoryIsSyncedOncePerNewFile) {
  chutevane::common::PosixDisk disk(directory);
  for (int n = 0; n < 5; ++n) {
    CHECK_TRUE(disk.append("a", "text").ok());
    CHECK_TRUE(disk.sync("a").ok());
  }
  CHECK_EQUAL(5, syncs_of(directory + "/a"));
  CHECK_EQUAL(1, syncs_of(directory));
  CHECK_TRUE(disk.append("b", "text").ok());
  CHECK_TRUE(disk.sync("b").ok());
  CHECK_EQUAL(2, syncs_of(directory));
}

// An earlier process may have been killed between creating a file and syncing its directory.
TEST(PosixDiskNames, AFileOfAnEarlierProcessIsSyncedWithItsName) {
  {
    chutevane::common::PosixDisk before(directory);
    CHECK_TRUE(before.append("a", "text").ok());
  }
  synced.clear();
  chutevane::common::PosixDisk disk(directory);
  CHECK_TRUE(disk.read("a").ok());
  CHECK_TRUE(disk.sync("a").ok());
  CHECK_EQUAL(1, syncs_of(directory));
}
