// chutevane-stall: a sidecar of the traffic.
#include "market/process.hpp"
#include "stall/data_plane.hpp"

int main(int argc, char** argv) {
  using namespace chutevane;
  return market::run_process("chutevane-stall", "Traffic: clients in front, endpoints behind", argc, argv,
                             [](net::Scheduler& scheduler,
                                const market::ProcessSettings& settings) -> std::unique_ptr<market::Plane> {
                               return std::make_unique<stall::DataPlane>(scheduler, settings);
                             });
}
