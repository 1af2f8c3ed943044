// chutevane-control: a control sidecar.
#include "control/control_plane.hpp"
#include "market/process.hpp"

int main(int argc, char** argv) {
  using namespace chutevane;
  return market::run_process(
      "chutevane-control", "Control: configuration, membership, the list of endpoints", argc, argv,
      [](net::Scheduler& scheduler,
         const market::ProcessSettings& settings) -> std::unique_ptr<market::Plane> {
        return std::make_unique<control::ControlPlane>(
            scheduler, settings, std::make_unique<market::FolderDisk>(settings.data_dir));
      });
}
