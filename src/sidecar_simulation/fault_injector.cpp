#include "sidecar_simulation/fault_injector.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

namespace chutevane::sidecar_simulation {
namespace {

constexpr Span endpoint_restart_delay = Span::ms(200);  // of a drained endpoint, from its end
// After a fault, until what it held back has arrived.
constexpr Span recovery_duration = Span::ms(1500);
constexpr const char* unreadable_configuration = "{ \"name\": 7";

// Keeps a random choice of `wanted` elements; 0: all.
void choose(lab::Chance& random, std::vector<std::size_t>& from, int wanted) {
  if (wanted == 0 || static_cast<std::size_t>(wanted) >= from.size()) return;
  for (std::size_t i = 0; i < static_cast<std::size_t>(wanted); ++i)
    std::swap(from[i], from[i + random.below(from.size() - i)]);
  from.resize(static_cast<std::size_t>(wanted));
}

}  // namespace

FaultInjector::FaultInjector(const Scenario& scenario, SimulatedEnvironment& environment, lab::Fleet& fleet,
                             network_simulation::Trace& trace)
    : scenario_(scenario),
      environment_(environment),
      simulator_(environment.simulator()),
      fleet_(fleet),
      trace_(trace) {}

void FaultInjector::inject(std::size_t index) {
  const InfrastructureFault& fault = scenario_.infrastructure_faults[index];
  const std::size_t kind = lab::fault_kinds + static_cast<std::size_t>(fault.kind);
  trace_.record(simulator_.now(), "trouble n=%zu kind=%s ms=%.0f", index, kind_name(kind).c_str(),
                fault.duration.as_ms());
  on_begin(kind, fault.duration);
  fleet_.auditor().uncounted(simulator_.now() + fault.duration + recovery_duration);
  lab::Chance random(scenario_.experiment.seed, "trouble " + std::to_string(index));
  switch (fault.kind) {
    case InfrastructureFaultKind::endpoint_paused:
    case InfrastructureFaultKind::endpoint_drained: return inject_into_endpoints(fault, kind, random);
    case InfrastructureFaultKind::callers_paused: inject_into_callers(fault); return on_effect(kind);
    case InfrastructureFaultKind::moved:
      if (move_endpoint(tier_of(fault), random)) on_effect(kind);
      return;
    default: break;
  }
  for (const std::size_t sidecar : choose_sidecars(fault, random)) {
    if (inject_into_sidecar(fault, sidecar, random)) on_effect(kind);
  }
}

// --- Endpoints and callers

void FaultInjector::inject_into_endpoints(const InfrastructureFault& fault, std::size_t kind,
                                          lab::Chance& random) {
  const std::size_t tier = tier_of(fault);
  for (const std::size_t endpoint : choose_endpoints(fault, tier, random)) {
    if (fault.kind == InfrastructureFaultKind::endpoint_paused) {
      if (Process* const process = endpoint_process(tier, endpoint)) process->pause(fault.duration);
      suspend_judgement_of_next_tier(tier, endpoint, fault.duration);
      on_effect(kind);
    } else if (fleet_.drain_endpoint(tier, endpoint, fault.duration, endpoint_restart_delay)) {
      on_effect(kind);
    }
  }
}

void FaultInjector::inject_into_callers(const InfrastructureFault& fault) {
  environment_.lab().pause(fault.duration);
  for (std::size_t i = 0; i < fleet_.sidecar_count(); ++i) {
    if (fleet_.tier_of_sidecar(i) == 0) suspend_judgement(i, fault.duration);
  }
}

bool FaultInjector::move_endpoint(std::size_t tier, lab::Chance& random) {
  const auto endpoints = static_cast<std::size_t>(scenario_.experiment.tiers[tier].endpoints);
  if (endpoints < 2) return false;
  const std::size_t from = random.below(endpoints);
  const std::size_t to = (from + 1 + random.below(endpoints - 1)) % endpoints;
  fleet_.move_endpoint(tier, from, to);
  return true;
}

// --- Sidecars and their links

// False if the sidecar is not in a state in which the fault means anything.
bool FaultInjector::inject_into_sidecar(const InfrastructureFault& fault, std::size_t sidecar,
                                        lab::Chance& random) {
  SimulatedSidecar& target = *environment_.sidecars()[sidecar];
  switch (fault.kind) {
    case InfrastructureFaultKind::partition:
    case InfrastructureFaultKind::slow_link:
    case InfrastructureFaultKind::cut:
    case InfrastructureFaultKind::lost_end: inject_into_links(fault, sidecar, random); return true;
    case InfrastructureFaultKind::sidecar_paused:
      suspend_judgement(sidecar, fault.duration);
      target.process().pause(fault.duration);
      return true;
    case InfrastructureFaultKind::discovery_paused: pause_discovery(sidecar, fault.duration); return true;
    case InfrastructureFaultKind::power_lost:
      if (!fleet_.serving(sidecar)) return false;
      cut_power(sidecar, fault.duration);
      return true;
    case InfrastructureFaultKind::clock_stepped:
      target.step_wall_clock(Span::ms(fault.factor * (random.one_in(0.5) ? 1000.0 : -1000.0)));
      return true;
    case InfrastructureFaultKind::reload:
    case InfrastructureFaultKind::reload_wrong:
    case InfrastructureFaultKind::reload_and_end:
      if (!fleet_.serving(sidecar)) return false;
      reload(fault, sidecar);
      return true;
    default: return false;
  }
}

void FaultInjector::inject_into_links(const InfrastructureFault& fault, std::size_t sidecar,
                                      lab::Chance& random) {
  const std::size_t own = environment_.sidecars()[sidecar]->process().number();
  if (fault.link == LinkPeer::callers) suspend_judgement(sidecar, fault.duration);
  for (const Process* peer : link_peers(fault, sidecar, random)) {
    switch (fault.kind) {
      case InfrastructureFaultKind::partition: partition(fault, own, peer->number()); break;
      case InfrastructureFaultKind::slow_link: slow_down(own, peer->number(), fault); break;
      default: {
        const bool lost_at_sidecar = fault.direction == Direction::to_sidecar;
        simulator_.break_connections(lost_at_sidecar ? own : peer->number(),
                                     lost_at_sidecar ? peer->number() : own,
                                     fault.kind == InfrastructureFaultKind::cut);
      }
    }
  }
}

void FaultInjector::partition(const InfrastructureFault& fault, std::size_t sidecar, std::size_t peer) {
  const bool to_sidecar = fault.direction != Direction::from_sidecar;
  const bool from_sidecar = fault.direction != Direction::to_sidecar;
  if (to_sidecar) simulator_.block(peer, sidecar);
  if (from_sidecar) simulator_.block(sidecar, peer);
  simulator_.run_after(fault.duration, [this, to_sidecar, from_sidecar, sidecar, peer] {
    if (to_sidecar) simulator_.unblock(peer, sidecar);
    if (from_sidecar) simulator_.unblock(sidecar, peer);
  });
}

void FaultInjector::slow_down(std::size_t a, std::size_t b, const InfrastructureFault& fault) {
  simulator_.set_delay_factor(a, b, fault.factor);
  simulator_.run_after(fault.duration, [this, a, b] { simulator_.set_delay_factor(a, b, 1.0); });
}

void FaultInjector::pause_discovery(std::size_t sidecar, Span duration) {
  const int group = lab::discovery_group + static_cast<int>(fleet_.tier_of_sidecar(sidecar));
  if (Process* const process = environment_.process(group, fleet_.place_of_sidecar(sidecar) + 1))
    process->pause(duration);
}

void FaultInjector::cut_power(std::size_t sidecar, Span duration) {
  SimulatedSidecar& target = *environment_.sidecars()[sidecar];
  suspend_judgement(sidecar, duration);
  target.process().set_powered_off(true);
  target.process().lose_power();
  target.record_machine_restart();
  fleet_.restart_sidecar(sidecar, duration);
}

void FaultInjector::reload(const InfrastructureFault& fault, std::size_t sidecar) {
  SimulatedSidecar& target = *environment_.sidecars()[sidecar];
  const bool is_wrong = fault.kind == InfrastructureFaultKind::reload_wrong;
  target.set_reload_config(is_wrong ? unreadable_configuration : target.configuration());
  target.signal(SIGHUP);
  if (fault.kind == InfrastructureFaultKind::reload_and_end) fleet_.drain_sidecar(sidecar);
}

// --- Who is affected

std::size_t FaultInjector::tier_of(const InfrastructureFault& fault) const {
  return scenario_.experiment.pools ? 0 : scenario_.experiment.tier_at(fault.tier);
}

std::vector<std::size_t> FaultInjector::choose_sidecars(const InfrastructureFault& fault,
                                                        lab::Chance& random) {
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < fleet_.sidecar_count(); ++i) {
    if (fleet_.tier_of_sidecar(i) == tier_of(fault)) out.push_back(i);
  }
  choose(random, out, fault.sidecars);
  return out;
}

std::vector<std::size_t> FaultInjector::choose_endpoints(const InfrastructureFault& fault, std::size_t tier,
                                                         lab::Chance& random) {
  const lab::TierSpec& spec = scenario_.experiment.tiers[tier];
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < static_cast<std::size_t>(spec.endpoints); ++i) {
    if (fault.zone.empty() || spec.zones[lab::zone_of(spec, i)] == fault.zone) out.push_back(i);
  }
  choose(random, out, fault.endpoints);
  return out;
}

network_simulation::Process* FaultInjector::endpoint_process(std::size_t tier, std::size_t endpoint) {
  return environment_.process(lab::endpoint_group + static_cast<int>(tier), endpoint + 1);
}

std::vector<network_simulation::Process*> FaultInjector::callers_of(std::size_t sidecar) {
  const std::size_t tier = fleet_.tier_of_sidecar(sidecar);
  if (tier == 0) return {&environment_.lab()};
  std::vector<Process*> out;
  const lab::Experiment& experiment = scenario_.experiment;
  for (std::size_t i = 0; i < static_cast<std::size_t>(experiment.tiers[tier - 1].endpoints); ++i) {
    Process* const process = endpoint_process(tier - 1, i);
    const bool calls_it = i % lab::sidecars_of(experiment, tier) == fleet_.place_of_sidecar(sidecar);
    if (process != nullptr && calls_it) out.push_back(process);
  }
  return out;
}

std::vector<network_simulation::Process*> FaultInjector::link_peers(const InfrastructureFault& fault,
                                                                    std::size_t sidecar,
                                                                    lab::Chance& random) {
  if (fault.link == LinkPeer::callers) return callers_of(sidecar);
  std::vector<Process*> out;
  const std::size_t first = fleet_.tier_of_sidecar(sidecar);
  const std::size_t end = scenario_.experiment.pools ? scenario_.experiment.tiers.size() : first + 1;
  for (std::size_t tier = first; tier < end; ++tier) {
    if (fault.link == LinkPeer::discovery) {
      out.push_back(environment_.process(lab::discovery_group + static_cast<int>(tier),
                                         fleet_.place_of_sidecar(sidecar) + 1));
    } else {
      for (const std::size_t i : choose_endpoints(fault, tier, random))
        out.push_back(endpoint_process(tier, i));
    }
  }
  std::erase(out, nullptr);
  return out;
}

// --- Judgement

void FaultInjector::suspend_judgement(std::size_t sidecar, Span duration) {
  fleet_.auditor().doubt(sidecar, true);
  simulator_.run_after(duration + recovery_duration,
                       [this, sidecar] { fleet_.auditor().doubt(sidecar, false); });
}

void FaultInjector::suspend_judgement_of_next_tier(std::size_t tier, std::size_t endpoint, Span duration) {
  for (std::size_t i = 0; i < fleet_.sidecar_count(); ++i) {
    if (fleet_.tier_of_sidecar(i) == tier + 1 && !scenario_.experiment.pools &&
        endpoint % lab::sidecars_of(scenario_.experiment, tier + 1) == fleet_.place_of_sidecar(i))
      suspend_judgement(i, duration);
  }
}

}  // namespace chutevane::sidecar_simulation
