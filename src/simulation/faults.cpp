#include "simulation/faults.hpp"

#include <algorithm>

#include "net/socket.hpp"

namespace chutevane::simulation {
namespace {

constexpr Span disk_trouble_remembered = Span::ms(1500);
constexpr double slow_factor = 40;  // of the delays of a slowed link
constexpr Span slow_sync = Span::ms(120);

}  // namespace

void Faults::acknowledged_by(const sockaddr_in& control) {
  for (const Machine* m : deployment_.of(Role::control)) {
    if (net::text_of(*m->settings().control) == net::text_of(control)) acknowledger_ = m->name();
  }
}

void Faults::later(Span in, std::function<void()> what) {
  deployment_.simulator().run_after(in, [this, what = std::move(what)] {
    if (!over_) what();
  });
}

void Faults::end() {
  over_ = true;
  favourite_.machine = nullptr;
  deployment_.heal();
}

Machine* Faults::target(const Fault& fault) const {
  Machine* named = nullptr;
  if (fault.target == Target::duty_holder) named = deployment_.find(duty_holder_);
  if (fault.target == Target::acknowledger) named = deployment_.find(acknowledger_);
  if (named != nullptr && named->role() == fault.role) return named;
  const std::vector<Machine*> all = deployment_.of(fault.role);
  return all.empty() ? nullptr : all[fault.place % all.size()];
}

void Faults::apply(const Fault& fault) {
  if (over_) return;
  network_simulation::Simulator& simulator = deployment_.simulator();
  ++applied_[static_cast<std::size_t>(fault.kind)];
  simulator.trace().record(simulator.now(), "FAULT %s", describe(fault).c_str());
  if (fault.kind == FaultKind::kill_all || fault.kind == FaultKind::power_all) return all_at_once(fault);
  if (fault.kind == FaultKind::halves) return halves(fault);
  Machine* const machine = target(fault);
  if (machine == nullptr || !machine->running()) return;
  if (machine->role() == Role::control) favourite_.machine = machine;
  simulator.trace().record(simulator.now(), "FAULT it is %s", machine->name().c_str());
  apply_to(fault, *machine);
}

void Faults::apply_to(const Fault& fault, Machine& machine) {
  switch (fault.kind) {
    case FaultKind::cut_off: return cut_off(fault, machine);
    case FaultKind::freeze: return deployment_.pause(machine, fault.lasts);
    case FaultKind::kill:
    case FaultKind::power_loss:
    case FaultKind::wipe:
    case FaultKind::terminate: return down(fault, machine);
    case FaultKind::replace: return replace(fault, machine);
    case FaultKind::disk_slow:
    case FaultKind::disk_full:
    case FaultKind::disk_failing: return disk(fault, machine);
    case FaultKind::reset:
    case FaultKind::half_lost:
      for (const Machine* other : deployment_.all()) {
        if (other != &machine)
          deployment_.cut(machine.number(), other->number(), fault.kind == FaultKind::reset);
      }
      return deployment_.cut(machine.number(), deployment_.clients().number(), true);
    case FaultKind::lost_answers: {
      const std::size_t from = machine.number(), to = deployment_.clients().number();
      deployment_.block(from, to);
      return later(fault.lasts, [this, from, to] { deployment_.unblock(from, to); });
    }
    case FaultKind::slow_links: return slow_links(fault, machine);
    case FaultKind::new_seeds: return new_seeds(fault, machine);
    case FaultKind::planned_replace:
    case FaultKind::retire: return on_planned(fault, machine);
    case FaultKind::kill_all:
    case FaultKind::power_all:
    case FaultKind::halves: return;
  }
}

bool Faults::disk_troubled(const Machine& machine) const {
  const auto found = disk_troubled_until_.find(&machine);
  return found != disk_troubled_until_.end() && deployment_.simulator().now() <= found->second;
}

void Faults::cut_off(const Fault& fault, Machine& machine) {
  std::vector<std::size_t> others;
  for (const Machine* other : deployment_.all()) {
    const bool control = other->role() == Role::control;
    const bool reached = fault.reach == Reach::everything || control == (fault.reach == Reach::control_only);
    if (other != &machine && reached) others.push_back(other->number());
  }
  const bool to_it = fault.direction != Direction::from_it, from_it = fault.direction != Direction::to_it;
  const std::size_t here = machine.number();
  for (const std::size_t other : others) {
    if (to_it) deployment_.block(other, here);
    if (from_it) deployment_.block(here, other);
    if (fault.told) deployment_.cut(here, other, true);
  }
  later(fault.lasts, [this, others, here, to_it, from_it] {
    for (const std::size_t other : others) {
      if (to_it) deployment_.unblock(other, here);
      if (from_it) deployment_.unblock(here, other);
    }
  });
}

void Faults::down(const Fault& fault, Machine& machine) {
  if (fault.kind == FaultKind::kill) deployment_.kill(machine);
  if (fault.kind == FaultKind::terminate) deployment_.terminate(machine);
  if (fault.kind == FaultKind::power_loss || fault.kind == FaultKind::wipe)
    deployment_.lose_power(machine, fault.luck);
  if (fault.kind == FaultKind::wipe) deployment_.wipe(machine);
  // A process that was told to end has its time for that.
  const Span lasts = fault.kind == FaultKind::terminate ? std::max(fault.lasts, Span::ms(1000)) : fault.lasts;
  later(lasts, [this, at = &machine] { deployment_.start(*at); });
}

void Faults::replace(const Fault& fault, Machine& machine) {
  Machine& next = deployment_.replace(machine);
  favourite_.machine = next.role() == Role::control ? &next : favourite_.machine;
  later(fault.lasts, [this, at = &next] { deployment_.start(*at); });
}

void Faults::slow_links(const Fault& fault, Machine& machine) {
  std::vector<std::size_t> others;
  for (const Machine* other : deployment_.all()) {
    if (other != &machine) others.push_back(other->number());
  }
  for (const std::size_t other : others) deployment_.slow(machine.number(), other, slow_factor);
  later(fault.lasts, [this, others, here = machine.number()] {
    for (const std::size_t other : others) deployment_.slow(here, other, 1.0);
  });
}

void Faults::new_seeds(const Fault& fault, Machine& machine) {
  std::vector<sockaddr_in> seeds = deployment_.control_addresses();
  while (seeds.size() > 1 + fault.luck % 2)
    seeds.erase(seeds.begin() + static_cast<long>(fault.luck % seeds.size()));
  deployment_.new_seeds(machine, std::move(seeds));
}

void Faults::disk(const Fault& fault, Machine& machine) {
  TimePoint& until = disk_troubled_until_[&machine];
  until = std::max(until, deployment_.simulator().now() + fault.lasts + disk_trouble_remembered);
  const auto set = [this, &machine, kind = fault.kind](bool on) {
    if (kind == FaultKind::disk_slow) return deployment_.slow_disk(machine, on ? slow_sync : Span());
    const DiskTrouble trouble = kind == FaultKind::disk_full ? DiskTrouble::full : DiskTrouble::failing;
    deployment_.disk_trouble(machine, on ? trouble : DiskTrouble::none);
  };
  set(true);
  later(fault.lasts, [set] { set(false); });
}

// Every second machine of each role on one side.
void Faults::halves(const Fault& fault) {
  std::vector<std::size_t> one, other;
  for (const Role role : {Role::control, Role::storage}) {
    const std::vector<Machine*> machines = deployment_.of(role);
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
    if (fault.told) deployment_.cut(from, to, true);
  });
  later(fault.lasts, [this, each_way] {
    each_way([this](std::size_t from, std::size_t to) { deployment_.unblock(from, to); });
  });
}

void Faults::all_at_once(const Fault& fault) {
  std::vector<Machine*> gone;
  std::uint64_t luck = fault.luck;
  for (Machine* m : deployment_.all()) {
    if (m->role() == Role::edge || !m->running()) continue;
    luck = luck * 6364136223846793005ULL + 1442695040888963407ULL;
    if (fault.kind == FaultKind::power_all) {
      deployment_.lose_power(*m, luck);
    } else {
      deployment_.kill(*m);
    }
    const Span spread = restart_spread * (static_cast<double>(luck >> 40U) * 0x1p-24);
    later(fault.lasts + spread, [this, m] {
      if (!m->running()) deployment_.start(*m);
    });
  }
}

}  // namespace chutevane::simulation
