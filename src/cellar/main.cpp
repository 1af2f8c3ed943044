// chutevane-cellar: a storage sidecar.
#include "cellar/storage_plane.hpp"
#include "market/process.hpp"

int main(int argc, char** argv) {
  using namespace chutevane;
  return market::run_process(
      "chutevane-cellar", "Storage: what programs have said, and what they have spent", argc, argv,
      [](net::Scheduler& scheduler,
         const market::ProcessSettings& settings) -> std::unique_ptr<market::Plane> {
        return std::make_unique<cellar::StoragePlane>(
            scheduler, settings, std::make_unique<market::FolderDisk>(settings.data_dir));
      });
}
