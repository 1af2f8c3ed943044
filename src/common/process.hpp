/// What the three programs (edge, control, storage) share: command line, settings, log, signals, event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "common/metrics.hpp"
#include "common/settings.hpp"
#include "net/scheduler.hpp"

namespace chutevane::common {

/// A program's own part, as the event loop drives it. All calls come on the loop's thread.
class Plane {
 public:
  virtual ~Plane() = default;
  /// Called once, first: opens disks and listening addresses. An error ends the process.
  virtual absl::Status open() = 0;
  /// Begins a graceful shutdown, which ends within the grace of the settings. May be called again.
  virtual void begin_shutdown() = 0;
  /// Whether the process may exit.
  virtual bool finished() const = 0;
  /// The settings file has changed; what cannot be changed while the process runs is ignored.
  virtual void reload(const ProcessSettings&) {}
  /// Adds the plane's own metrics to those of the process.
  virtual void write_metrics(MetricsWriter&) {}
};

using MakePlane = std::function<std::unique_ptr<Plane>(net::Scheduler&, const ProcessSettings&)>;

// Default ports of metrics, one a program, so that two roles share a machine. deploy/system.toml names them
// too.
constexpr std::uint16_t edge_metrics_port = 9464;
constexpr std::uint16_t control_metrics_port = 9465;
constexpr std::uint16_t storage_metrics_port = 9466;

struct Program {
  std::string name;
  std::string about;               ///< for --help
  std::uint16_t metrics_port = 0;  ///< where the settings name no `listenAddrs.metrics`
};

/// Runs the program until its plane is finished. Returns the exit status: 0 after a graceful shutdown, 2 for
/// a wrong command line or wrong settings, 3 where the plane could not be opened.
///
/// The settings file is named by `--settings FILE`, else by the variable CHUTEVANE_SETTINGS, else it is
/// settings_default. `--check` only reads the settings. SIGTERM and SIGINT begin a graceful shutdown. SIGHUP,
/// or a change of the file, reloads the settings.
int run_process(const Program& program, int argc, char** argv, const MakePlane& make);

}  // namespace chutevane::common
