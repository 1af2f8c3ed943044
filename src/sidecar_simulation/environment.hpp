/// \file
/// The simulator as an environment of the lab's fleet: each stand-in and each sidecar is a simulated process.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/ground.hpp"
#include "network_simulation/simulator.hpp"
#include "sidecar/daemon.hpp"

namespace chutevane::sidecar_simulation {

/// A sidecar's whole program in a simulated process, which may be started again and again.
class SimulatedSidecar final : public lab::SidecarProcess {
 public:
  SimulatedSidecar(network_simulation::Simulator& simulator, network_simulation::Process& process,
                   std::size_t max_descriptors);
  ~SimulatedSidecar() override;

  // lab::SidecarProcess
  void start(const std::string& config, bool operators_file) override;
  void signal(int number) override { process_.send_signal(number); }
  void kill() override;
  std::optional<std::string> ended() override;
  std::optional<lab::Usage> usage() override { return std::nullopt; }
  std::string last_log() override { return ""; }
  void pause(Span lasts) override { process_.pause(lasts); }
  std::string state_path() const override { return "played"; }
  std::vector<std::string> stored() override { return disk_->generations; }
  void store(const std::vector<std::string>& generations) override { disk_->generations = generations; }
  void refuse_state(bool on) override { disk_->write_fails = on; }

  /// Moves the Unix time that its machine believes in, which stamps its snapshots.
  void step_wall_clock(Span by) { disk_->wall_clock_offset = disk_->wall_clock_offset + by; }
  /// Its machine starts anew: the snapshots' boot id changes.
  void record_machine_restart();
  /// The configuration that the next SIGHUP reads.
  void set_reload_config(const std::string& config) { reload_config_ = config; }
  [[nodiscard]] const std::string& configuration() const { return config_; }
  [[nodiscard]] network_simulation::Process& process() { return process_; }
  /// Of the running incarnation; null if none runs.
  [[nodiscard]] const sidecar::Counters* counters() const;

  /// Called with the counters of each incarnation as it ends.
  std::function<void(const sidecar::Counters&)> on_incarnation_end = [](const sidecar::Counters&) {};

 private:
  struct Incarnation;
  friend class SimulatedSnapshotStore;
  struct Disk {
    std::vector<std::string> generations;  // newest first
    bool write_fails = false;
    int machine_starts = 0;
    TimePoint machine_started_at;
    Span wall_clock_offset;
  };

  void start_daemon(const std::string& config, bool operators_file);
  bool run_turn();

  network_simulation::Simulator& simulator_;
  network_simulation::Process& process_;
  std::size_t max_descriptors_;
  std::string config_, reload_config_;
  std::string exit_reason_;                                // empty: it has not ended by itself
  std::shared_ptr<Disk> disk_ = std::make_shared<Disk>();  // outlives incarnations
  std::unique_ptr<Incarnation> incarnation_;
};

/// Creates the processes of a fleet on first use, and drives the simulator.
class SimulatedEnvironment final : public lab::Ground {
 public:
  /// `max_descriptors` is the limit of a sidecar; `trace` must outlive the environment.
  SimulatedEnvironment(std::uint64_t seed, const network_simulation::NetworkConditions& conditions,
                       std::size_t max_descriptors, network_simulation::Trace& trace);
  ~SimulatedEnvironment() override;

  // lab::Ground
  net::Scheduler& own() override { return *schedulers_.front(); }
  net::Scheduler& beside(const sockaddr_in& at) override;
  sockaddr_in at(int group, std::size_t number, std::uint16_t port) const override;
  std::unique_ptr<lab::SidecarProcess> sidecar(const std::string& name, const sockaddr_in& listen) override;
  /// Throws std::runtime_error if no event is left, or after too many for a run that ends.
  void turn() override;
  bool real_time() const override { return false; }

  [[nodiscard]] network_simulation::Simulator& simulator() { return simulator_; }
  /// The process of the callers and of the lab itself.
  [[nodiscard]] network_simulation::Process& lab() { return *lab_; }
  /// The process at an address of a group; null if none was created there.
  [[nodiscard]] network_simulation::Process* process(int group, std::size_t number);
  /// In the fleet's order; owned by the fleet.
  [[nodiscard]] const std::vector<SimulatedSidecar*>& sidecars() const { return sidecars_; }

 private:
  network_simulation::Simulator simulator_;
  std::size_t max_descriptors_;
  network_simulation::Process* lab_;
  std::vector<std::unique_ptr<net::Scheduler>> schedulers_;  // the lab's first
  std::map<std::uint32_t, net::Scheduler*> schedulers_by_ip_;
  std::vector<SimulatedSidecar*> sidecars_;
};

}  // namespace chutevane::sidecar_simulation
