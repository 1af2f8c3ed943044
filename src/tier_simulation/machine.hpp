/// \file
/// A simulated machine: one plane of the tier in a simulated process, and the disk that outlives it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/process.hpp"
#include "edge/data_plane.hpp"
#include "net/timer_queue.hpp"
#include "network_simulation/simulator.hpp"
#include "storage/storage_plane.hpp"
#include "tier_simulation/machine_disk.hpp"

namespace chutevane::tier_simulation {

enum class Role : std::uint8_t { control, storage, edge };
const char* name_of(Role role);

class Machine {
 public:
  /// The simulator must outlive the machine.
  Machine(network_simulation::Simulator& simulator, Role role, std::uint32_t ip,
          common::ProcessSettings settings, std::uint64_t seed);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  /// Starts its process; one that still runs is killed first. `initial`: the system starts for the first
  /// time.
  void start(bool initial = false);
  /// SIGKILL: the kernel closes its connections.
  void kill();
  /// No peer is notified, and what was not synced may be gone, as the random bits say.
  void lose_power(std::uint64_t random_bits);
  /// Gives it an empty disk; only while it is down.
  void wipe();
  /// SIGTERM.
  void terminate();
  void pause(Span duration) { process_.pause(duration); }
  /// SIGHUP with these seeds in its settings; also for later starts.
  void reload(const std::vector<sockaddr_in>& seeds);
  /// Limits what peers may make its process hold, from its next start on; 0: unlimited.
  void set_buffer_limit(std::size_t bytes) { buffer_limit_ = bytes; }
  /// The budget of the running process; null if it does not run.
  [[nodiscard]] const net::BufferBudget* buffer_budget() const;

  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] const std::string& name() const { return settings_.node; }
  /// Of its process in the simulator.
  [[nodiscard]] std::size_t number() const { return process_.number(); }
  [[nodiscard]] network_simulation::Process& process() { return process_; }
  [[nodiscard]] bool is_running() const { return incarnation_ != nullptr && process_.is_running(); }
  [[nodiscard]] bool is_paused() const { return process_.is_paused(); }
  /// How many incarnations its process has had.
  [[nodiscard]] std::uint64_t incarnations() const { return incarnations_; }
  [[nodiscard]] MachineDisk& disk() { return *disk_; }
  [[nodiscard]] const common::ProcessSettings& settings() const { return settings_; }
  /// Null if it does not run or is no edge.
  [[nodiscard]] edge::DataPlane* edge();
  /// Null if it does not run or is no storage machine.
  [[nodiscard]] const storage::StoragePlane* storage() const;

  /// Called when a value has come into force at an edge.
  std::function<void(Machine&, const common::RegisterValue&)> on_value;
  /// Called when its process has ended by itself.
  std::function<void(Machine&)> on_end;
  /// Why it could not start; empty after an orderly end.
  std::string last_failure;

 private:
  struct Incarnation;
  bool run_turn();
  std::unique_ptr<common::Plane> make_plane();

  network_simulation::Simulator& simulator_;
  const Role role_;
  common::ProcessSettings settings_;
  network_simulation::Process& process_;
  Pcg random_;
  std::shared_ptr<MachineDisk> disk_;
  std::unique_ptr<Incarnation> incarnation_;
  std::uint64_t incarnations_ = 0;
  std::size_t buffer_limit_ = 0;  // bytes; 0: unlimited
};

/// The machine whose process has its turn, to which lines of the log belong; null outside of turns.
const Machine* current_machine();

}  // namespace chutevane::tier_simulation
