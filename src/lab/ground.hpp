// What a fleet stands on: schedulers for its stand-ins, addresses, and sidecars as processes. One ground is
// this machine, with real sidecars on loopback; another is the sidecar simulation (src/sidecar_simulation), where all of it is simulated.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/process.hpp"
#include "net/scheduler.hpp"

namespace chutevane::lab {

class SidecarProcess {
 public:
  virtual ~SidecarProcess() = default;  // kills it
  // `config`: the platform's JSON, or an operator's file.
  virtual void start(const std::string& config, bool operators_file) = 0;
  virtual void signal(int number) = 0;
  virtual void kill() = 0;
  // How it ended, if it has since the last look: "exit status 1" or "signal 11".
  virtual std::optional<std::string> ended() = 0;
  virtual std::optional<Usage> usage() = 0;  // nothing where it is not known
  virtual std::string last_log() = 0;
  virtual pid_t pid() const { return 0; }
  // Stopped for so long, then on.
  virtual void pause(Span lasts) = 0;
  virtual void resume() {}  // where the pause does not end by itself
  // What it has stored, the newest first; what it will find instead; and whether its disk takes anything.
  virtual std::string state_path() const { return {}; }  // for its configuration
  virtual std::vector<std::string> stored() = 0;
  virtual void store(const std::vector<std::string>& generations) = 0;
  virtual void refuse_state(bool on) = 0;
};

class Ground {
 public:
  virtual ~Ground() = default;
  // The lab's own: callers, front, the time line.
  virtual net::Scheduler& own() = 0;
  // That of the stand-in at this address.
  virtual net::Scheduler& beside(const sockaddr_in& at) = 0;
  virtual sockaddr_in at(int group, std::size_t number, std::uint16_t port) const = 0;
  virtual std::unique_ptr<SidecarProcess> sidecar(const std::string& name, const sockaddr_in& listen) = 0;
  // Waits for something to do, anywhere, and does it.
  virtual void turn() = 0;
  // Whether the lab's lateness and CPU mean something.
  virtual bool real_time() const { return true; }
};

}  // namespace chutevane::lab
