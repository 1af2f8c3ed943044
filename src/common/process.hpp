// What the three programs share: command line, settings, logs, signals, the loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "common/settings.hpp"
#include "net/scheduler.hpp"

namespace chutevane::common {

// A program's plane, as the loop drives it.
class Plane {
 public:
  virtual ~Plane() = default;
  virtual absl::Status open() = 0;
  virtual void leave() = 0;  // SIGTERM: come to an end within the grace
  virtual bool finished() const = 0;
  virtual void reread(const ProcessSettings&) {}  // the settings file has changed
};

using MakePlane = std::function<std::unique_ptr<Plane>(net::Scheduler&, const ProcessSettings&)>;

// Runs until the plane is finished; the exit status. `--check` only reads the settings; `--settings FILE`
// names them, or the variable CHUTEVANE_SETTINGS does.
int run_process(const std::string& program, const std::string& about, int argc, char** argv,
                const MakePlane& make);

}  // namespace chutevane::common
