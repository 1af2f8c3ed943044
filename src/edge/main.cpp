/// chutevane-edge: the data plane, which proxies client requests to endpoints.
#include "common/process.hpp"
#include "edge/data_plane.hpp"

int main(int argc, char** argv) {
  using namespace chutevane;
  return common::run_process(
      {"chutevane-edge", "Traffic: clients in front, endpoints behind", common::edge_metrics_port}, argc,
      argv,
      [](net::Scheduler& scheduler,
         const common::ProcessSettings& settings) -> std::unique_ptr<common::Plane> {
        return std::make_unique<edge::DataPlane>(scheduler, settings);
      });
}
