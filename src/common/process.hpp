// What the three programs share: command line, settings, logs, signals, the loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "common/metrics.hpp"
#include "common/settings.hpp"
#include "net/scheduler.hpp"

namespace chutevane::common {

// A program's plane, as the loop drives it.
class Plane {
 public:
  virtual ~Plane() = default;
  virtual absl::Status open() = 0;
  virtual void begin_shutdown() = 0;  // SIGTERM: come to an end within the grace
  virtual bool finished() const = 0;
  virtual void reload(const ProcessSettings&) {}  // the settings file has changed
  virtual void write_metrics(MetricsWriter&) {}   // the plane's own figures
};

using MakePlane = std::function<std::unique_ptr<Plane>(net::Scheduler&, const ProcessSettings&)>;

// Ports of the figures, one for each program, so that two roles share a machine. deploy/system.toml names
// them.
constexpr std::uint16_t edge_metrics_port = 9464, control_metrics_port = 9465, storage_metrics_port = 9466;

struct Program {
  std::string name, about;
  std::uint16_t metrics_port = 0;  // where the settings name no `listenAddrs.metrics`
};

// Runs until the plane is finished; the exit status. `--check` only reads the settings; `--settings FILE`
// names them, or the variable CHUTEVANE_SETTINGS does.
int run_process(const Program& program, int argc, char** argv, const MakePlane& make);

}  // namespace chutevane::common
