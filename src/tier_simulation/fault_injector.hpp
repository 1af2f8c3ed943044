/// \file
/// Carries the faults of a plan out on a deployment, each when its time has come.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "tier_simulation/deployment.hpp"
#include "tier_simulation/fault.hpp"
#include "tier_simulation/operators.hpp"

namespace chutevane::tier_simulation {

class FaultInjector {
 public:
  /// The deployment must outlive the injector.
  explicit FaultInjector(Deployment& deployment) : deployment_(deployment) {}

  /// Begins the fault now, and ends it when its duration is over.
  void inject(const Fault& fault);
  /// Ends every fault; later calls of inject() do nothing.
  void stop();

  /// To be called when a control machine has won a singleton role: Target::role_holder is that machine,
  /// whatever its role. `detail`: of the log line, which begins with the role's name.
  void on_role_won(const Machine& machine, std::string_view detail) {
    role_holder_ = machine.name();
    if (detail.starts_with("list")) list_holder_ = machine.name();
    if (detail.starts_with("roster")) map_planner_ = machine.name();
  }
  /// To be called when a control machine has acknowledged a submission: Target::last_acknowledger is that
  /// machine.
  void on_acknowledged_by(const sockaddr_in& control);
  /// The control machine that the newest fault was done to.
  [[nodiscard]] const PreferredMachine& preferred_machine() const { return preferred_machine_; }
  /// Whether its disk has a fault, or had one a moment ago.
  [[nodiscard]] bool had_disk_fault(const Machine& machine) const;
  /// How many faults of each kind have begun.
  [[nodiscard]] const std::array<std::size_t, fault_kinds>& injected_counts() const {
    return injected_counts_;
  }

  /// Carries out planned maintenance, FaultKind::planned_replace and FaultKind::retire.
  std::function<void(const Fault&, Machine&)> on_planned_maintenance;
  /// Carries out a fault of endpoints or of the platform; returns what ends it, or nothing.
  std::function<std::function<void()>(const Fault&)> on_traffic_fault;

 private:
  Machine* find_target(const Fault& fault) const;
  void inject_into(const Fault& fault, Machine& machine);
  void partition(const Fault& fault, Machine& machine);
  void break_connections(const Fault& fault, Machine& machine);
  void lose_answers(const Fault& fault, Machine& machine);
  void cut_from_platform(const Fault& fault, Machine& machine);
  void take_down(const Fault& fault, Machine& machine);
  void replace(const Fault& fault, Machine& machine);
  void interrupt_drain(const Fault& fault, Machine& node);
  void kill_once_draining(const Fault& fault, Machine& node, TimePoint latest);
  void kill_while_draining(const Fault& fault, Machine& node);
  void slow_links(const Fault& fault, Machine& machine);
  void change_seeds(const Fault& fault, Machine& machine);
  void inject_disk_fault(const Fault& fault, Machine& machine);
  void take_down_core(const Fault& fault);
  void split_core(const Fault& fault);
  /// Calls `action` after the delay, unless stop() has undone everything before.
  void schedule(Span delay, std::function<void()> action);

  Deployment& deployment_;
  std::string role_holder_, list_holder_, map_planner_, last_acknowledger_;  // names of machines
  PreferredMachine preferred_machine_;
  std::map<const Machine*, TimePoint> disk_faulty_until_;
  std::array<std::size_t, fault_kinds> injected_counts_{};
  bool stopped_ = false;
};

}  // namespace chutevane::tier_simulation
