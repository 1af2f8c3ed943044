/// Entry point of chutevane-control, the program of a controller.
#include "common/posix_disk.hpp"
#include "common/process.hpp"
#include "control/control_plane.hpp"

int main(int argc, char** argv) {
  using namespace chutevane;
  return common::run_process(
      {"chutevane-control", "Control: configuration, membership, the list of endpoints",
       common::control_metrics_port},
      argc, argv,
      [](net::Scheduler& scheduler,
         const common::ProcessSettings& settings) -> std::unique_ptr<common::Plane> {
        return std::make_unique<control::ControlPlane>(
            scheduler, settings, std::make_unique<common::PosixDisk>(settings.data_dir));
      });
}
