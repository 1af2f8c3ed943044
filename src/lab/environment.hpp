/// \file
/// The environment in which a fleet of the lab runs: schedulers for its stand-ins, addresses, and sidecars as
/// processes. Loopback is this machine, with real sidecars; the other is the sidecar simulation
/// (src/sidecar_simulation), where all of it is simulated.
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

/// A sidecar under test, which may be started again and again. Its destructor kills the running process.
class SidecarProcess {
 public:
  virtual ~SidecarProcess() = default;
  /// `config`: the platform's JSON, or an operator's file.
  virtual void start(const std::string& config, bool operators_file) = 0;
  virtual void signal(int number) = 0;
  virtual void kill() = 0;
  /// How it ended, if it has since the last call: "exit status 1" or "signal 11".
  virtual std::optional<std::string> ended() = 0;
  /// None where it is not known.
  virtual std::optional<Usage> usage() = 0;
  virtual std::string last_log() = 0;
  /// 0 where there is no real process.
  virtual pid_t pid() const { return 0; }
  /// Stops it for this long, as SIGSTOP does.
  virtual void pause(Span lasts) = 0;
  /// For environments in which a pause does not end by itself.
  virtual void resume() {}
  /// Where it stores snapshots, for its configuration; empty: nowhere.
  virtual std::string state_path() const { return {}; }
  /// What it has stored, the newest first.
  virtual std::vector<std::string> stored() = 0;
  /// Replaces what it has stored.
  virtual void store(const std::vector<std::string>& generations) = 0;
  /// Whether its disk rejects writes from now on.
  virtual void refuse_state(bool on) = 0;
};

class Environment {
 public:
  virtual ~Environment() = default;
  /// The scheduler of the lab itself: callers, front, time line.
  virtual net::Scheduler& lab_scheduler() = 0;
  /// The scheduler of the stand-in at this address.
  virtual net::Scheduler& scheduler_at(const sockaddr_in& at) = 0;
  /// The address of a process, by its group and its number there.
  virtual sockaddr_in at(int group, std::size_t number, std::uint16_t port) const = 0;
  virtual std::unique_ptr<SidecarProcess> sidecar(const std::string& name, const sockaddr_in& listen) = 0;
  /// Waits for something to do, in any process, and does it.
  virtual void turn() = 0;
  /// Whether the lab's own lateness and CPU time mean something.
  virtual bool real_time() const { return true; }
};

}  // namespace chutevane::lab
