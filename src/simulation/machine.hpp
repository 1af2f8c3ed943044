// A simulated machine: one plane of the tier in a simulated process, and the disk that outlives it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "common/process.hpp"
#include "net/timer_queue.hpp"
#include "network_simulation/simulator.hpp"
#include "simulation/disk.hpp"
#include "simulation/edge_plane.hpp"

namespace chutevane::simulation {

enum class Role : std::uint8_t { control, storage, edge };
const char* name_of(Role role);

class Machine {
 public:
  Machine(network_simulation::Simulator& simulator, Role role, std::uint32_t ip,
          common::ProcessSettings settings, std::uint64_t seed);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  // Starts its process; `initial`: the whole system starts for the first time.
  void start(bool initial = false);
  void kill();                          // SIGKILL: the kernel closes its connections
  void lose_power(std::uint64_t luck);  // nobody is told, and what was not synced may be gone
  void wipe();                          // an empty disk: while it is down
  void terminate();                     // SIGTERM
  void pause(Span lasts) { process_.pause(lasts); }
  void reload(const std::vector<sockaddr_in>& seeds);

  Role role() const { return role_; }
  const std::string& name() const { return settings_.node; }
  std::size_t number() const { return process_.number(); }
  network_simulation::Process& process() { return process_; }
  bool running() const { return life_ != nullptr && process_.is_running(); }
  bool paused() const { return process_.is_paused(); }
  std::uint64_t lives() const { return lives_; }
  MachineDisk& disk() { return *disk_; }
  const common::ProcessSettings& settings() const { return settings_; }
  EdgePlane* edge();  // none: it does not run, or is no edge

  // Told of what comes into force at an edge, and of a process that has ended by itself.
  std::function<void(Machine&, const common::RegisterValue&)> on_value;
  std::function<void(Machine&)> on_end;
  std::string last_failure;

 private:
  struct Life;
  bool turn();
  std::unique_ptr<common::Plane> make_plane();

  network_simulation::Simulator& simulator_;
  const Role role_;
  common::ProcessSettings settings_;
  network_simulation::Process& process_;
  Pcg chance_;
  std::shared_ptr<MachineDisk> disk_;
  std::unique_ptr<Life> life_;
  std::uint64_t lives_ = 0;
};

// The machine whose process has its turn: whose lines the log's are.
const Machine* machine_at_work();

}  // namespace chutevane::simulation
