/// chutevane-storage: runs a storage node (storage/storage_plane.hpp) on the machine's local disk.
#include "common/posix_disk.hpp"
#include "common/process.hpp"
#include "storage/storage_plane.hpp"

int main(int argc, char** argv) {
  using namespace chutevane;
  return common::run_process(
      {"chutevane-storage", "Storage node: replicas of turns and of the token accounts of programs",
       common::storage_metrics_port},
      argc, argv,
      [](net::Scheduler& scheduler,
         const common::ProcessSettings& settings) -> std::unique_ptr<common::Plane> {
        return std::make_unique<storage::StoragePlane>(
            scheduler, settings, std::make_unique<common::PosixDisk>(settings.data_dir));
      });
}
