/// \file
/// Injects a scenario's infrastructure faults into a simulated fleet: partitions, lost connections, pauses,
/// power losses, reloads. Faults of the lab's stand-ins are injected by lab::Fleet itself.
#pragma once

#include <functional>
#include <vector>

#include "lab/fleet.hpp"
#include "sidecar_simulation/environment.hpp"
#include "sidecar_simulation/scenario.hpp"

namespace chutevane::sidecar_simulation {

class FaultInjector {
 public:
  /// All must outlive the injector.
  FaultInjector(const Scenario& scenario, SimulatedEnvironment& environment, lab::Fleet& fleet,
                network_simulation::Trace& trace);

  /// Injects the scenario's infrastructure fault of this index now. Which sidecars and endpoints it meets is
  /// drawn from the seed and the index alone.
  void inject(std::size_t index);

  /// Called when a fault begins, with its kind among all of Coverage::fault_kinds.
  std::function<void(std::size_t kind, Span duration)> on_begin = [](std::size_t, Span) {};
  /// Called for each sidecar, endpoint or process on which a fault had an effect.
  std::function<void(std::size_t kind)> on_effect = [](std::size_t) {};

 private:
  using Process = network_simulation::Process;

  void inject_into_endpoints(const InfrastructureFault& fault, std::size_t kind, lab::Chance& random);
  void inject_into_callers(const InfrastructureFault& fault);
  bool move_endpoint(std::size_t tier, lab::Chance& random);
  bool inject_into_sidecar(const InfrastructureFault& fault, std::size_t sidecar, lab::Chance& random);
  void inject_into_links(const InfrastructureFault& fault, std::size_t sidecar, lab::Chance& random);
  void pause_discovery(std::size_t sidecar, Span duration);
  void cut_power(std::size_t sidecar, Span duration);
  void reload(const InfrastructureFault& fault, std::size_t sidecar);
  void partition(const InfrastructureFault& fault, std::size_t sidecar, std::size_t peer);
  void slow_down(std::size_t a, std::size_t b, const InfrastructureFault& fault);

  std::size_t tier_of(const InfrastructureFault& fault) const;
  std::vector<std::size_t> choose_sidecars(const InfrastructureFault& fault, lab::Chance& random);
  std::vector<std::size_t> choose_endpoints(const InfrastructureFault& fault, std::size_t tier,
                                            lab::Chance& random);
  std::vector<Process*> link_peers(const InfrastructureFault& fault, std::size_t sidecar,
                                   lab::Chance& random);
  std::vector<Process*> callers_of(std::size_t sidecar);
  Process* endpoint_process(std::size_t tier, std::size_t endpoint);

  /// Suspends the judgement of response times for callers of this sidecar, until the fault and its
  /// after-effects are over.
  void suspend_judgement(std::size_t sidecar, Span duration);
  void suspend_judgement_of_next_tier(std::size_t tier, std::size_t endpoint, Span duration);

  const Scenario& scenario_;
  SimulatedEnvironment& environment_;
  network_simulation::Simulator& simulator_;
  lab::Fleet& fleet_;
  network_simulation::Trace& trace_;
};

}  // namespace chutevane::sidecar_simulation
