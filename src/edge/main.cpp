// chutevane-edge: a sidecar of the traffic.
#include "edge/data_plane.hpp"
#include "market/process.hpp"

int main(int argc, char** argv) {
  using namespace chutevane;
  return market::run_process("chutevane-edge", "Traffic: clients in front, endpoints behind", argc, argv,
                             [](net::Scheduler& scheduler,
                                const market::ProcessSettings& settings) -> std::unique_ptr<market::Plane> {
                               return std::make_unique<edge::DataPlane>(scheduler, settings);
                             });
}
