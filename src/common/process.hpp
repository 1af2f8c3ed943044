/// Common main function of the three programs (edge, control, storage): command line, settings, log, signals,
/// metrics and event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "common/connection_limiter.hpp"
#include "common/metrics.hpp"
#include "common/settings.hpp"
#include "net/scheduler.hpp"

namespace chutevane::common {

/// The program-specific part of a process. All functions are called on the event loop's thread.
class Plane {
 public:
  virtual ~Plane() = default;
  /// Opens disks and listening sockets. Called once, before all other functions. An error ends the process.
  virtual absl::Status open() = 0;
  /// Begins a graceful shutdown, which completes within ProcessSettings::grace. May be called repeatedly.
  virtual void begin_shutdown() = 0;
  /// Returns true once the process may exit.
  virtual bool finished() const = 0;
  /// Applies changed settings. Settings that cannot be changed while the process runs are ignored.
  virtual void reload(const ProcessSettings&) {}
  /// Returns the limiters of the ports that clients, operators or the platform connect to, for metrics.
  virtual std::vector<const ConnectionLimiter*> ports() const { return {}; }
  /// Adds the plane's metrics to those of the process.
  virtual void write_metrics(MetricsWriter&) {}
};

using MakePlane = std::function<std::unique_ptr<Plane>(net::Scheduler&, const ProcessSettings&)>;

// Default metrics ports. Each program has its own, so that several can share a machine. They must match
// deploy/system.toml.
constexpr std::uint16_t edge_metrics_port = 9464;
constexpr std::uint16_t control_metrics_port = 9465;
constexpr std::uint16_t storage_metrics_port = 9466;

struct Program {
  std::string name;
  std::string about;               ///< description printed by --help
  std::uint16_t metrics_port = 0;  ///< used if the settings have no `listenAddrs.metrics`
};

/// Runs the program until its plane is finished. Returns the exit status: 0 after a graceful shutdown, 2 for
/// an invalid command line or invalid settings, 3 if the plane could not be opened.
///
/// The settings file is given by `--settings FILE`, otherwise by the environment variable CHUTEVANE_SETTINGS,
/// otherwise it is settings_default. `--check` only validates the settings. SIGTERM and SIGINT begin a
/// graceful shutdown. SIGHUP, or a change of the file, reloads the settings.
int run_process(const Program& program, int argc, char** argv, const MakePlane& make);

}  // namespace chutevane::common
