#include "tier_simulation/fault_injector.hpp"

#include <algorithm>

#include "net/socket.hpp"
#include "tier_simulation/plan.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr Span disk_fault_memory = Span::ms(1500);
constexpr double slow_factor = 40;  // of the delays of a slowed link
constexpr Span slow_sync = Span::ms(120);
constexpr Span max_drain_wait = Span::ms(1500);    // from SIGTERM until it is killed, draining or not
constexpr Span drain_poll_interval = Span::ms(5);  // between looks at the map
constexpr std::uint64_t max_kill_delay_ms = 200;   // after the map has shown that the node is draining
constexpr Span quick_restart_delay = Span::ms(200);

/// Returns true if any storage node serves a map by which the node is draining.
bool is_draining(const Deployment& deployment, const std::string& name) {
  const std::vector<Machine*> machines = deployment.machines_of(Role::storage);
  return std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
    if (machine->storage() == nullptr) return false;
    const common::StorageNode* const node = machine->storage()->served_map().find(name);
    return node != nullptr && node->draining;
  });
}

}  // namespace

void FaultInjector::on_acknowledged_by(const sockaddr_in& control) {
  for (const Machine* m : deployment_.machines_of(Role::control)) {
    if (net::text_of(*m->settings().control) == net::text_of(control)) last_acknowledger_ = m->name();
  }
}

void FaultInjector::schedule(Span delay, std::function<void()> action) {
  deployment_.simulator().run_after(delay, [this, action = std::move(action)] {
    if (!stopped_) action();
  });
}

void FaultInjector::stop() {
  stopped_ = true;
  preferred_machine_.machine = nullptr;
  deployment_.heal();
}

Machine* FaultInjector::find_target(const Fault& fault) const {
  Machine* named = nullptr;
  if (fault.target == Target::role_holder) named = deployment_.find(role_holder_);
  if (fault.target == Target::list_holder) named = deployment_.find(list_holder_);
  if (fault.target == Target::last_acknowledger) named = deployment_.find(last_acknowledger_);
  if (named != nullptr && named->role() == fault.role) return named;
  const std::vector<Machine*> all = deployment_.machines_of(fault.role);
  return all.empty() ? nullptr : all[fault.machine_index % all.size()];
}

void FaultInjector::inject(const Fault& fault) {
  if (stopped_) return;
  network_simulation::Simulator& simulator = deployment_.simulator();
  ++injected_counts_[static_cast<std::size_t>(fault.kind)];
  simulator.trace().record(simulator.now(), "FAULT %s", describe(fault).c_str());
  if (fault.kind == FaultKind::kill_all || fault.kind == FaultKind::power_all) return take_down_core(fault);
  if (fault.kind == FaultKind::halves) return split_core(fault);
  if (is_traffic_fault(fault) && fault.kind != FaultKind::platform_cut) {
    if (!on_traffic_fault) return;
    if (std::function<void()> end = on_traffic_fault(fault)) schedule(fault.duration, std::move(end));
    return;
  }
  Machine* const machine = find_target(fault);
  if (machine == nullptr || !machine->is_running()) return;
  if (machine->role() == Role::control) preferred_machine_.machine = machine;
  simulator.trace().record(simulator.now(), "FAULT it is %s", machine->name().c_str());
  inject_into(fault, *machine);
}

void FaultInjector::inject_into(const Fault& fault, Machine& machine) {
  switch (fault.kind) {
    case FaultKind::cut_off: return partition(fault, machine);
    case FaultKind::freeze: return deployment_.pause(machine, fault.duration);
    case FaultKind::kill:
    case FaultKind::power_loss:
    case FaultKind::wipe:
    case FaultKind::terminate: return take_down(fault, machine);
    case FaultKind::replace: return replace(fault, machine);
    case FaultKind::interrupted_drain: return interrupt_drain(fault, machine);
    case FaultKind::disk_slow:
    case FaultKind::disk_full:
    case FaultKind::disk_failing: return inject_disk_fault(fault, machine);
    case FaultKind::reset:
    case FaultKind::half_lost: return break_connections(fault, machine);
    case FaultKind::lost_answers: return lose_answers(fault, machine);
    case FaultKind::slow_links: return slow_links(fault, machine);
    case FaultKind::new_seeds: return change_seeds(fault, machine);
    case FaultKind::planned_replace:
    case FaultKind::retire: return on_planned_maintenance(fault, machine);
    case FaultKind::platform_cut: return cut_from_platform(fault, machine);
    default: return;  // of no machine
  }
}

void FaultInjector::break_connections(const Fault& fault, Machine& machine) {
  const bool notify_both = fault.kind == FaultKind::reset;
  for (const Machine* other : deployment_.machines()) {
    if (other != &machine) deployment_.break_connections(machine.number(), other->number(), notify_both);
  }
  deployment_.break_connections(machine.number(), deployment_.clients().number(), true);
}

void FaultInjector::lose_answers(const Fault& fault, Machine& machine) {
  const std::size_t from = machine.number(), to = deployment_.clients().number();
  deployment_.block(from, to);
  schedule(fault.duration, [this, from, to] { deployment_.unblock(from, to); });
}

bool FaultInjector::had_disk_fault(const Machine& machine) const {
  const auto found = disk_faulty_until_.find(&machine);
  return found != disk_faulty_until_.end() && deployment_.simulator().now() <= found->second;
}

void FaultInjector::partition(const Fault& fault, Machine& machine) {
  std::vector<std::size_t> others;
  for (const Machine* other : deployment_.machines()) {
    const bool control = other->role() == Role::control;
    const bool reached =
        fault.scope == PartitionScope::everything || control == (fault.scope == PartitionScope::control_only);
    if (other != &machine && reached) others.push_back(other->number());
  }
  const bool to_it = fault.direction != Direction::from_it, from_it = fault.direction != Direction::to_it;
  const std::size_t here = machine.number();
  for (const std::size_t other : others) {
    if (to_it) deployment_.block(other, here);
    if (from_it) deployment_.block(here, other);
    if (fault.resets_connections) deployment_.break_connections(here, other, true);
  }
  schedule(fault.duration, [this, others, here, to_it, from_it] {
    for (const std::size_t other : others) {
      if (to_it) deployment_.unblock(other, here);
      if (from_it) deployment_.unblock(here, other);
    }
  });
}

void FaultInjector::cut_from_platform(const Fault& fault, Machine& machine) {
  const std::size_t platform = deployment_.platform_number(), here = machine.number();
  deployment_.block(platform, here);
  deployment_.block(here, platform);
  if (fault.resets_connections) deployment_.break_connections(platform, here, true);
  schedule(fault.duration, [this, platform, here] {
    deployment_.unblock(platform, here);
    deployment_.unblock(here, platform);
  });
}

void FaultInjector::take_down(const Fault& fault, Machine& machine) {
  if (fault.kind == FaultKind::kill) deployment_.kill(machine);
  if (fault.kind == FaultKind::terminate) deployment_.terminate(machine);
  if (fault.kind == FaultKind::power_loss || fault.kind == FaultKind::wipe)
    deployment_.lose_power(machine, fault.random_bits);
  if (fault.kind == FaultKind::wipe) deployment_.wipe(machine);
  // A graceful shutdown takes its time.
  const Span duration =
      fault.kind == FaultKind::terminate ? std::max(fault.duration, Span::ms(1000)) : fault.duration;
  schedule(duration, [this, at = &machine] { deployment_.start(*at); });
}

void FaultInjector::replace(const Fault& fault, Machine& machine) {
  Machine& next = deployment_.replace(machine);
  preferred_machine_.machine = next.role() == Role::control ? &next : preferred_machine_.machine;
  schedule(fault.duration, [this, at = &next] { deployment_.start(*at); });
}

void FaultInjector::interrupt_drain(const Fault& fault, Machine& node) {
  deployment_.terminate(node);
  kill_once_draining(fault, node, deployment_.simulator().now() + max_drain_wait);
}

void FaultInjector::kill_once_draining(const Fault& fault, Machine& node, TimePoint latest) {
  const bool is_due = is_draining(deployment_, node.name()) || deployment_.simulator().now() >= latest;
  if (node.is_running() && !is_due)
    return schedule(drain_poll_interval,
                    [this, fault, at = &node, latest] { kill_once_draining(fault, *at, latest); });
  const auto delay_ms = static_cast<double>(fault.random_bits % max_kill_delay_ms);
  schedule(Span::ms(delay_ms), [this, fault, at = &node] { kill_while_draining(fault, *at); });
}

void FaultInjector::kill_while_draining(const Fault& fault, Machine& node) {
  deployment_.kill(node);
  schedule(quick_restart_delay, [this, at = &node] { deployment_.start(*at); });
  Machine* const planner = deployment_.find(map_planner_);
  const bool spares_planner = (fault.random_bits / max_kill_delay_ms) % 3 == 0;
  if (spares_planner || planner == nullptr || !planner->is_running()) return;
  deployment_.kill(*planner);
  schedule(fault.duration - max_drain_wait - Span::ms(static_cast<double>(max_kill_delay_ms)),
           [this, planner] { deployment_.start(*planner); });
}

void FaultInjector::slow_links(const Fault& fault, Machine& machine) {
  std::vector<std::size_t> others;
  for (const Machine* other : deployment_.machines()) {
    if (other != &machine) others.push_back(other->number());
  }
  for (const std::size_t other : others) deployment_.set_delay_factor(machine.number(), other, slow_factor);
  schedule(fault.duration, [this, others, here = machine.number()] {
    for (const std::size_t other : others) deployment_.set_delay_factor(here, other, 1.0);
  });
}

void FaultInjector::change_seeds(const Fault& fault, Machine& machine) {
  std::vector<sockaddr_in> seeds = deployment_.control_addresses();
  while (seeds.size() > 1 + fault.random_bits % 2)
    seeds.erase(seeds.begin() + static_cast<long>(fault.random_bits % seeds.size()));
  deployment_.set_seeds(machine, seeds);
}

void FaultInjector::inject_disk_fault(const Fault& fault, Machine& machine) {
  TimePoint& until = disk_faulty_until_[&machine];
  until = std::max(until, deployment_.simulator().now() + fault.duration + disk_fault_memory);
  const auto set = [this, &machine, kind = fault.kind](bool on) {
    if (kind == FaultKind::disk_slow) return deployment_.set_sync_duration(machine, on ? slow_sync : Span());
    const DiskFault disk_fault = kind == FaultKind::disk_full ? DiskFault::full : DiskFault::failing;
    deployment_.set_disk_fault(machine, on ? disk_fault : DiskFault::none);
  };
  set(true);
  schedule(fault.duration, [set] { set(false); });
}

// The machines of each role alternate between the two sides.
void FaultInjector::split_core(const Fault& fault) {
  std::vector<std::size_t> one, other;
  for (const Role role : {Role::control, Role::storage}) {
    const std::vector<Machine*> machines = deployment_.machines_of(role);
    for (std::size_t i = 0; i < machines.size(); ++i)
      (i % 2 == 0 ? one : other).push_back(machines[i]->number());
  }
  const auto each_way = [this, one, other](const std::function<void(std::size_t, std::size_t)>& what) {
    for (const std::size_t a : one) {
      for (const std::size_t b : other) {
        what(a, b);
        what(b, a);
      }
    }
  };
  each_way([this, &fault](std::size_t from, std::size_t to) {
    deployment_.block(from, to);
    if (fault.resets_connections) deployment_.break_connections(from, to, true);
  });
  schedule(fault.duration, [this, each_way] {
    each_way([this](std::size_t from, std::size_t to) { deployment_.unblock(from, to); });
  });
}

void FaultInjector::take_down_core(const Fault& fault) {
  std::vector<Machine*> gone;
  std::uint64_t bits = fault.random_bits;
  for (Machine* m : deployment_.machines()) {
    if (m->role() == Role::edge || !m->is_running()) continue;
    bits = bits * 6364136223846793005ULL + 1442695040888963407ULL;
    if (fault.kind == FaultKind::power_all) {
      deployment_.lose_power(*m, bits);
    } else {
      deployment_.kill(*m);
    }
    const Span spread = max_restart_delay * (static_cast<double>(bits >> 40U) * 0x1p-24);
    schedule(fault.duration + spread, [this, m] {
      if (!m->is_running()) deployment_.start(*m);
    });
  }
}

}  // namespace chutevane::tier_simulation
