/// \file
/// The simulated tier: its machines and links, what is done to them, and which machines are in contact by the
/// rules of the service.
///
/// All faults go through here, so that what may be expected of the tier at a moment follows from what was
/// done to it, without asking its processes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "network_simulation/simulator.hpp"
#include "tier_simulation/machine.hpp"

namespace chutevane::tier_simulation {

// The bounds of the contract that the tier is checked against.
inline constexpr Span contact_window = Span::ms(3000);         ///< without faults for so long: in contact
inline constexpr Span max_apply_delay = Span::ms(2000);        ///< from an acknowledgement to being in force
inline constexpr Span max_acknowledge_delay = Span::ms(4000);  ///< from a submission to its clear answer
/// A machine that is back counts as lost for so long.
inline constexpr Span catch_up_duration = Span::ms(4000);

/// The platform's API, on the simulated network, and how many calls a second it grants.
extern const sockaddr_in platform_address;
inline constexpr double platform_rate = 10;

/// How many machines of each role there are.
struct Shape {
  std::size_t controls = 3, storages = 3, edges = 2;
  std::size_t tolerated_losses = 1;  ///< machines of control and storage that may be lost at once
  bool has_platform = false;         ///< control machines ask it for the endpoints
  /// Of an edge, 10^6 bytes. A fifth of it caches turns: a few chains, so that turns of other edges are asked
  /// of storage.
  double edge_memory_mb = 0.1;
  /// The budget of an edge for what its peers make it hold, in bytes; 0: unlimited.
  std::size_t edge_buffer_bytes = 0;
  Span history = Span::ms(20000);  ///< for how long watchers of keys may resume from a revision
};

class Deployment {
 public:
  /// Creates the machines; none runs yet. The simulator must outlive the deployment.
  Deployment(network_simulation::Simulator& simulator, const Shape& shape, std::uint64_t seed);

  /// Starts all machines for the first time, within 0.3 s and in any order.
  void start_all();
  [[nodiscard]] const Shape& shape() const { return shape_; }
  [[nodiscard]] network_simulation::Simulator& simulator() { return simulator_; }
  [[nodiscard]] const network_simulation::Simulator& simulator() const { return simulator_; }
  /// The process that all clients share.
  [[nodiscard]] network_simulation::Process& clients() { return *clients_; }
  /// Of the platform's process.
  [[nodiscard]] std::size_t platform_number() const { return platform_->number(); }
  /// Machines that were not removed, in the order in which they were added.
  [[nodiscard]] std::vector<Machine*> machines_of(Role role) const;
  [[nodiscard]] std::vector<Machine*> machines() const;
  /// The addresses of the operators' API, in that order.
  [[nodiscard]] std::vector<sockaddr_in> control_addresses() const;
  /// Null if there is no machine of that name.
  [[nodiscard]] Machine* find(const std::string& name) const;

  // Faults of machines. A machine that was killed or lost its power is down until start().
  void kill(Machine& machine);
  void lose_power(Machine& machine, std::uint64_t random_bits);
  void wipe(Machine& machine);
  void start(Machine& machine);
  void terminate(Machine& machine);
  void pause(Machine& machine, Span duration);
  /// Removes the machine; another of its role comes at a new address, and is down.
  Machine& replace(Machine& machine);
  void remove(Machine& machine);
  /// Adds a machine of the role; it is down.
  Machine& add_machine(Role role);
  void set_disk_fault(Machine& machine, DiskFault fault);
  /// Zero: as fast as ever.
  void set_sync_duration(Machine& machine, Span sync_duration);
  void set_seeds(Machine& machine, const std::vector<sockaddr_in>& seeds);

  // Faults of links, by the numbers of processes.
  /// Partitions one direction, until as many calls of unblock().
  void block(std::size_t from, std::size_t to);
  void unblock(std::size_t from, std::size_t to);
  /// With `notify_both` both ends see a reset, otherwise only the one at `a`.
  void break_connections(std::size_t a, std::size_t b, bool notify_both);
  void set_delay_factor(std::size_t a, std::size_t b, double factor);
  /// Ends every partition, slow link and disk fault, and starts what is down.
  void heal();

  /// By the rules: a majority of control machines runs and is connected, and no fault was done to the core
  /// for `contact_window`.
  [[nodiscard]] bool core_stable() const;
  /// By the rules: this edge has to apply what machines in contact have to apply.
  [[nodiscard]] bool in_touch(const Machine& edge) const;
  /// Whether the machine runs, and for this time neither it nor its disk nor any of its links had a fault.
  [[nodiscard]] bool is_undisturbed(const Machine& machine, Span span) const;
  /// Whether messages get through between the two, both ways.
  [[nodiscard]] bool connected(const Machine& a, const Machine& b) const;
  /// Since when the machine has its present disk; the beginning of the run for its first one.
  [[nodiscard]] TimePoint disk_since(const Machine& machine) const;
  [[nodiscard]] bool has_slow_link(const Machine& machine) const;
  /// Since when no link, process or disk of any machine has had a fault; never: one has now.
  [[nodiscard]] TimePoint calm_since() const;

  /// Called when a value has come into force at an edge.
  std::function<void(Machine&, const common::RegisterValue&)> on_value;
  /// Called when a process has ended by itself, without SIGTERM.
  std::function<void(Machine&)> on_end;

 private:
  common::ProcessSettings settings_of(Role role, std::size_t number) const;
  void record_event(const Machine& machine);
  void record_link_event(std::size_t a, std::size_t b);
  bool is_core_machine(std::size_t number) const;
  bool reaches_majority(const Machine& control) const;
  bool blocked(std::size_t from, std::size_t to) const;
  void handle_exit(Machine& machine);
  std::vector<sockaddr_in> draw_current_seeds();

  network_simulation::Simulator& simulator_;
  const Shape shape_;
  Pcg random_;
  network_simulation::Process* clients_;
  network_simulation::Process* platform_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::map<Role, std::size_t> last_number_;
  std::set<const Machine*> removed_;
  std::set<const Machine*> leaving_;  // after SIGTERM
  std::set<const Machine*> faulty_;   // by their disks
  std::vector<sockaddr_in> seeds_;
  std::map<std::pair<std::size_t, std::size_t>, int> blocked_;
  std::set<std::pair<std::size_t, std::size_t>> slow_links_;
  std::map<const Machine*, TimePoint> paused_until_;
  bool has_started_ = false;
  std::map<const Machine*, TimePoint> disk_since_;  // of those that were wiped or came later
  std::map<const Machine*, TimePoint> event_at_;    // the last fault of a machine or of its links
  TimePoint core_event_, any_event_;
};

}  // namespace chutevane::tier_simulation
