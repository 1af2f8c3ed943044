// chutevane-storage: a storage sidecar.
#include "market/process.hpp"
#include "storage/storage_plane.hpp"

int main(int argc, char** argv) {
  using namespace chutevane;
  return market::run_process(
      "chutevane-storage", "Storage: what programs have said, and what they have spent", argc, argv,
      [](net::Scheduler& scheduler,
         const market::ProcessSettings& settings) -> std::unique_ptr<market::Plane> {
        return std::make_unique<storage::StoragePlane>(
            scheduler, settings, std::make_unique<market::FolderDisk>(settings.data_dir));
      });
}
