/// \file
/// The scenarios: how each draws its plan from a seed. The sequence of draws is part of what a seed means.
#include <algorithm>
#include <stdexcept>

#include "tier_simulation/plan.hpp"
#include "tier_simulation/random.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr Span first_fault_at = Span::ms(2500);
constexpr Span long_partition = Span::ms(20000);
/// The shortest time from SIGTERM until all that was killed is back.
constexpr Span min_interrupted_drain = Span::ms(2500);

Fault draw_fault(RandomGenerator& random, FaultKind kind, Role role, const Shape& shape) {
  Fault out;
  out.kind = kind;
  out.role = role;
  const std::size_t machines = role == Role::control   ? shape.controls
                               : role == Role::storage ? shape.storages
                                                       : shape.edges;
  out.machine_index = random.below(machines);
  if (role == Role::control)
    out.target =
        random.choose({Target::by_index, Target::by_index, Target::role_holder, Target::last_acknowledger});
  out.scope = random.choose({PartitionScope::everything, PartitionScope::everything,
                             PartitionScope::control_only, PartitionScope::data_only});
  out.direction = random.choose({Direction::both, Direction::both, Direction::to_it, Direction::from_it});
  out.resets_connections = random.happens(0.3);
  out.random_bits = random.bits();
  out.duration = random.log_uniform(100, 8000);
  return out;
}

Shape draw_shape(RandomGenerator& random) {
  Shape out;
  if (random.happens(0.15)) {
    out.controls = out.storages = 5;
    out.tolerated_losses = 2;
  } else {
    out.controls = random.happens(0.25) ? 4 : 3;
    out.storages = random.happens(0.4) ? 4 : 3;
  }
  out.edges = 2 + random.below(2);
  return out;
}

network_simulation::NetworkConditions draw_network_conditions(RandomGenerator& random) {
  network_simulation::NetworkConditions out;
  out.min_delay = Span::us(30);
  out.mean_delay = random.log_uniform(0.08, 4);
  out.split_probability = random.happens(0.5) ? 0.05 : 0.0;
  out.retransmit_probability = random.happens(0.3) ? 0.003 : 0.0;
  out.late_turn_probability = random.happens(0.3) ? 0.002 : 0.0;
  return out;
}

Plan draw_base_plan(RandomGenerator& random) {
  Plan out;
  out.shape = draw_shape(random);
  out.network = draw_network_conditions(random);
  out.operators.operators = 2 + random.below(3);
  out.operators.next_number_probability = random.happens(0.5) ? 0.9 : 0.4;
  out.operators.max_pause = random.log_uniform(400, 3000);
  out.operators.reply_loss_probability = random.choose({0.0, 0.05, 0.3});
  out.operators.duplicate_probability = random.choose({0.0, 0.05, 0.3});
  out.operators.preferred_probability = random.choose({0.0, 0.3, 0.7});
  out.programs.programs = 1;
  return out;
}

// Counted losses, one after the other: the next comes once the machine before has caught up, at times to the
// millisecond.
void add_counted_losses(RandomGenerator& random, Plan& plan, std::initializer_list<FaultKind> kinds,
                        Span max_duration, double control_probability = 0.6) {
  Span at = first_fault_at + random.uniform(0, 3000);
  while (at < plan.active_duration) {
    const Role role = random.happens(control_probability) ? Role::control : Role::storage;
    Fault fault = draw_fault(random, random.choose(kinds), role, plan.shape);
    fault.at = at;
    fault.duration = std::min(fault.duration, max_duration);
    plan.faults.push_back(fault);
    const Span after =
        random.happens(0.4) ? Span::ms(static_cast<double>(random.below(4))) : random.log_uniform(1, 4000);
    at = at + fault.duration + catch_up_duration + after;
  }
}

void add_uncounted_faults(RandomGenerator& random, Plan& plan, std::size_t times) {
  for (std::size_t i = 0; i < times; ++i) {
    const bool at_edge = random.happens(0.5);
    const FaultKind kind =
        at_edge ? random.choose({FaultKind::kill, FaultKind::freeze, FaultKind::cut_off, FaultKind::reset,
                                 FaultKind::half_lost, FaultKind::slow_links, FaultKind::new_seeds})
                : random.choose({FaultKind::reset, FaultKind::half_lost, FaultKind::lost_answers,
                                 FaultKind::slow_links, FaultKind::new_seeds});
    Fault fault = draw_fault(random, kind, at_edge ? Role::edge : Role::control, plan.shape);
    fault.at = first_fault_at + (plan.active_duration - first_fault_at) * random.unit();
    fault.duration = random.log_uniform(50, 5000);
    plan.faults.push_back(fault);
  }
}

// All machines of the core at once. Each is back within the duration and `max_restart_delay` and counts as
// lost until it has caught up: counted losses before that are dropped.
void add_total_outage(RandomGenerator& random, Plan& plan, double probability) {
  if (!random.happens(probability)) return;
  Fault fault;
  fault.kind = random.happens(0.5) ? FaultKind::kill_all : FaultKind::power_all;
  fault.at = first_fault_at + (plan.active_duration - first_fault_at) * random.unit();
  fault.duration = random.log_uniform(50, 3000);
  fault.random_bits = random.bits();
  const Span caught_up = fault.at + fault.duration + max_restart_delay + catch_up_duration;
  std::erase_if(plan.faults, [&](const Fault& other) {
    return is_counted_loss(other) && other.at > fault.at && other.at < caught_up;
  });
  plan.faults.push_back(fault);
}

// 1. A control machine is partitioned or frozen for some twenty seconds, in any way.
Plan cut_off_control(RandomGenerator& random) {
  Plan out = draw_base_plan(random);
  out.shape.storages = std::max(out.shape.storages, 2 * out.shape.tolerated_losses + 1);
  out.active_duration = Span::ms(28000);
  out.operators.preferred_probability = random.choose({0.3, 0.6});
  Fault fault = draw_fault(random, random.happens(0.85) ? FaultKind::cut_off : FaultKind::freeze,
                           Role::control, out.shape);
  fault.at = first_fault_at + random.uniform(0, 2500);
  fault.duration = long_partition + random.uniform(-500, 500);
  out.faults.push_back(fault);
  add_uncounted_faults(random, out, random.below(3));
  return out;
}

// 2. Operators that take the same version numbers on the same base, lose replies, and whose proposers are
// killed.
Plan two_operators(RandomGenerator& random) {
  Plan out = draw_base_plan(random);
  out.active_duration = Span::ms(20000);
  out.operators.operators = 2 + random.below(3);
  out.operators.next_number_probability = 0.95;
  out.operators.min_pause = Span::ms(1);
  out.operators.max_pause = random.log_uniform(60, 1200);
  out.operators.reply_loss_probability = random.choose({0.1, 0.4});
  out.operators.duplicate_probability = random.choose({0.1, 0.4});
  add_counted_losses(random, out,
                     {FaultKind::kill, FaultKind::freeze, FaultKind::power_loss, FaultKind::cut_off},
                     Span::ms(3000));
  for (Fault& fault : out.faults) {
    fault.role = Role::control;
    fault.machine_index %= out.shape.controls;
    fault.target = Target::last_acknowledger;
    fault.duration = std::min(fault.duration, random.log_uniform(20, 3000));
  }
  add_uncounted_faults(random, out, 2 + random.below(4));
  add_total_outage(random, out, 0.5);
  return out;
}

// 3. Losses right after each other: machines wiped, replaced or without power at any moment of a repair.
Plan second_loss(RandomGenerator& random) {
  Plan out = draw_base_plan(random);
  out.programs.programs = 2;
  out.active_duration = Span::ms(34000);
  if (random.happens(0.5)) {  // few changes: a machine that has missed one stays behind until the next loss
    out.operators.operators = 2;
    out.operators.min_pause = Span::ms(1500);
    out.operators.max_pause = Span::ms(7000);
  }
  add_counted_losses(random, out,
                     {FaultKind::wipe, FaultKind::wipe, FaultKind::replace, FaultKind::power_loss,
                      FaultKind::cut_off, FaultKind::terminate},
                     Span::ms(2500));
  if (random.happens(0.3)) add_uncounted_faults(random, out, 2);
  add_total_outage(random, out, 0.3);
  return out;
}

// 4. Hundreds of changes, while members restart, freeze, are partitioned or are new.
Plan many_changes(RandomGenerator& random) {
  Plan out = draw_base_plan(random);
  out.active_duration = Span::ms(24000);
  out.operators.operators = 3;
  out.operators.min_pause = Span::ms(60);
  out.operators.max_pause = Span::ms(240);
  out.operators.filler_size = random.choose<std::size_t>({0, 2000, 20000});
  add_counted_losses(random, out,
                     {FaultKind::kill, FaultKind::freeze, FaultKind::cut_off, FaultKind::terminate,
                      FaultKind::wipe, FaultKind::replace, FaultKind::power_loss},
                     Span::ms(5000));
  add_uncounted_faults(random, out, random.below(4));
  add_total_outage(random, out, 0.3);
  return out;
}

// 3. Planned maintenance, and a loss some milliseconds after it; machines that were frozen for less than the
// others wait for them, and a loss as soon as they have caught up. Turns expire before their conversations
// end.
Plan planned_work(RandomGenerator& random) {
  Plan out = draw_base_plan(random);
  out.shape.tolerated_losses = 1;
  out.shape.controls = 3 + random.below(2);
  out.shape.storages = 4 + random.below(2);
  out.active_duration = Span::ms(34000);
  if (random.happens(0.5)) {
    out.programs.retention = Span::ms(3000);
    out.programs.budget = 4000;
  }
  const Span planned = catch_up_duration + Span::ms(9000);  // at most, until the loss behind it
  Span at = first_fault_at + random.uniform(0, 2000);
  while (at < out.active_duration) {
    const double kind = random.unit();
    const Role role = random.happens(0.7) ? Role::storage : Role::control;
    Fault fault = draw_fault(random, FaultKind::planned_replace, role, out.shape);
    fault.target = Target::by_index;
    fault.duration = random.log_uniform(100, 2500);
    if (kind < 0.35 && role == Role::storage && out.shape.storages > 4) fault.kind = FaultKind::retire;
    if (kind > 0.75) fault.kind = FaultKind::freeze;
    fault.at = at;
    out.faults.push_back(fault);
    if (fault.kind == FaultKind::freeze) {
      at = at + fault.duration + catch_up_duration;
      fault.kind = FaultKind::wipe;
      fault.machine_index += 1 + random.below(2);
      fault.at = at;
      out.faults.push_back(fault);
    } else {
      at = at + planned;
    }
    at = at + fault.duration + catch_up_duration + Span::ms(static_cast<double>(random.below(4)));
  }
  for (std::size_t i = random.below(6); i > 0; --i) {  // edges, whose memory of turns goes with them
    Fault fault = draw_fault(random, FaultKind::kill, Role::edge, out.shape);
    fault.at = first_fault_at + (out.active_duration - first_fault_at) * random.unit();
    fault.duration = random.log_uniform(50, 2000);
    out.faults.push_back(fault);
  }
  return out;
}

void add_losses_of_all_kinds(RandomGenerator& random, Plan& out, double control_probability) {
  for (std::size_t slot = 0; slot < out.shape.tolerated_losses; ++slot)
    add_counted_losses(random, out,
                       {FaultKind::cut_off, FaultKind::cut_off, FaultKind::freeze, FaultKind::kill,
                        FaultKind::power_loss, FaultKind::wipe, FaultKind::replace, FaultKind::terminate,
                        FaultKind::disk_slow, FaultKind::disk_full, FaultKind::disk_failing},
                       Span::ms(8000), control_probability);
  add_uncounted_faults(random, out, random.below(8));
}

// Turns the last loss of a storage machine into an interrupted drain, if no other loss follows and enough
// nodes are there for a drain. Nothing is drawn: what else a seed means does not depend on it.
void interrupt_last_drain(Plan& plan) {
  const auto last =
      std::max_element(plan.faults.begin(), plan.faults.end(), [](const auto& a, const auto& b) {
        return (is_counted_loss(a) ? a.at : Span()) < (is_counted_loss(b) ? b.at : Span());
      });
  if (last == plan.faults.end() || !is_counted_loss(*last) || last->role != Role::storage) return;
  if (plan.shape.storages <= 2 * plan.shape.tolerated_losses + 1) return;
  if (last->kind == FaultKind::wipe || last->kind == FaultKind::replace) return;
  last->kind = FaultKind::interrupted_drain;
  last->duration = std::max(last->duration, min_interrupted_drain);
}

Plan everything(RandomGenerator& random) {
  Plan out = draw_base_plan(random);
  out.programs.programs = 2;
  out.active_duration = random.uniform(20000, 32000);
  add_losses_of_all_kinds(random, out, 0.6);
  add_total_outage(random, out, 0.4);
  add_total_outage(random, out, 0.2);
  interrupt_last_drain(out);
  return out;
}

// Storage machines that got SIGTERM are killed while they are drained, at times together with the controller
// that plans the map, and come back with their disks. Disks are lost in between.
Plan interrupted_drains(RandomGenerator& random) {
  Plan out = draw_base_plan(random);
  out.shape.tolerated_losses = 1;
  out.shape.storages = 4 + random.below(2);
  out.programs.programs = 3;
  out.programs.pause = Span::ms(150);
  out.active_duration = Span::ms(34000);
  Span at = first_fault_at + random.uniform(0, 2000);
  while (at < out.active_duration) {
    const FaultKind kind = random.choose(
        {FaultKind::interrupted_drain, FaultKind::interrupted_drain, FaultKind::wipe, FaultKind::terminate});
    Fault fault = draw_fault(random, kind, Role::storage, out.shape);
    fault.at = at;
    fault.duration = kind == FaultKind::interrupted_drain ? min_interrupted_drain + random.uniform(0, 2500)
                                                          : random.log_uniform(100, 2500);
    out.faults.push_back(fault);
    const Span after =
        random.happens(0.4) ? Span::ms(static_cast<double>(random.below(4))) : random.log_uniform(1, 3000);
    at = at + fault.duration + catch_up_duration + after;
  }
  add_uncounted_faults(random, out, random.below(3));
  return out;
}

// Several machines are frozen, partitioned or down while another loses its disk, or the core is split in two.
// No more disks are lost than the tier tolerates.
void add_overlapping_losses(RandomGenerator& random, Plan& out, double storage_probability) {
  out.losses_overlap = true;
  std::size_t disks_left = out.shape.tolerated_losses;
  Span at = first_fault_at + random.uniform(0, 4000);
  while (at < out.active_duration) {
    const Role role = random.happens(storage_probability) ? Role::storage : Role::control;
    const std::size_t machines = role == Role::storage ? out.shape.storages : out.shape.controls;
    const std::size_t first_place = random.below(machines);
    for (std::size_t i = 0; i < 2 + random.below(machines - 1); ++i) {
      const bool loses_disk = disks_left > 0 && random.happens(i == 0 ? 0.7 : 0.2);
      const FaultKind kind = loses_disk
                                 ? FaultKind::wipe
                                 : random.choose({FaultKind::freeze, FaultKind::freeze, FaultKind::cut_off,
                                                  FaultKind::kill, FaultKind::power_loss});
      disks_left -= loses_disk ? 1 : 0;
      Fault fault = draw_fault(random, kind, role, out.shape);
      fault.target = Target::by_index;
      fault.machine_index = (first_place + i) % machines;
      fault.at = at + random.uniform(0, 1500);
      fault.duration = loses_disk ? random.log_uniform(100, 4000) : random.log_uniform(300, 8000);
      out.faults.push_back(fault);
    }
    if (random.happens(0.3)) {
      Fault fault;
      fault.kind = FaultKind::halves;
      fault.at = at + random.uniform(0, 2000);
      fault.duration = random.log_uniform(300, 5000);
      fault.resets_connections = random.happens(0.4);
      out.faults.push_back(fault);
    }
    at = at + random.uniform(3000, 14000);
  }
}

// 5. Losses that overlap. Edges are killed, and lose their caches.
Plan overlapping_losses(RandomGenerator& random) {
  Plan out = draw_base_plan(random);
  out.programs.programs = 2;
  out.active_duration = Span::ms(26000);
  if (random.happens(0.7))
    out.shape.storages = std::max<std::size_t>(out.shape.storages, 2 * out.shape.tolerated_losses + 2);
  add_overlapping_losses(random, out, 0.7);
  for (std::size_t i = 2 + random.below(6); i > 0; --i) {
    Fault fault = draw_fault(random, FaultKind::kill, Role::edge, out.shape);
    fault.at = first_fault_at + (out.active_duration - first_fault_at) * random.unit();
    fault.duration = random.log_uniform(50, 1000);
    out.faults.push_back(fault);
  }
  return out;
}

// Power is lost everywhere shortly before the last submission.
void add_final_power_loss(RandomGenerator& random, Plan& out) {
  Fault fault;
  fault.kind = FaultKind::power_all;
  fault.at = out.active_duration - random.log_uniform(1, 1000);
  fault.duration = random.log_uniform(50, 3000);
  fault.random_bits = random.bits();
  const Span caught_up = fault.at + fault.duration + max_restart_delay + catch_up_duration;
  if (!out.losses_overlap)
    std::erase_if(out.faults, [&](const Fault& other) {
      return is_counted_loss(other) && other.at > fault.at && other.at < caught_up;
    });
  out.faults.push_back(fault);
}

// Locks, numbers, keys and watches: five controllers of which two may be lost, with losses in series or
// overlapping, most of them of controllers. In a part of the seeds history is short, so that it is cut during
// the run.
Plan coordination(RandomGenerator& random) {
  Plan out = draw_base_plan(random);
  out.shape = {.controls = 5, .storages = 5, .edges = 1, .tolerated_losses = 2};
  if (random.happens(0.4)) out.shape.history = Span::ms(4000);
  out.coordination.is_on = true;
  out.coordination.reply_loss_probability = random.choose({0.0, 0.05, 0.2});
  out.coordination.max_pause = random.log_uniform(100, 800);
  out.operators.operators = 2;
  out.programs.programs = 0;
  out.active_duration = random.uniform(14000, 24000);
  if (random.happens(0.5)) {
    add_losses_of_all_kinds(random, out, 0.9);
    add_total_outage(random, out, 0.3);
  } else {
    add_overlapping_losses(random, out, 0.1);
  }
  if (random.happens(0.4)) add_final_power_loss(random, out);
  return out;
}

// Clients, endpoints and the platform as well, without faults.
Plan calm_traffic(RandomGenerator& random) {
  Plan out = draw_base_plan(random);
  out.shape.has_platform = true;
  out.operators.has_traffic_routes = true;
  out.traffic.is_on = true;
  out.traffic.expects_all_served = true;
  out.active_duration = Span::ms(14000);
  out.quiet_duration = Span::ms(6000);
  return out;
}

// Clients that stop short of the end of large bodies, one crowd after the other, and otherwise no faults: all
// other clients are served.
Plan crowds(RandomGenerator& random) {
  Plan out = calm_traffic(random);
  out.shape.edge_buffer_bytes = 1U << 20U;
  CrowdLoad& load = out.traffic.crowds;
  load.connections = 20 + random.below(40);
  load.body_bytes = random.choose({std::size_t{64} << 10U, std::size_t{128} << 10U, std::size_t{256} << 10U});
  load.interval = random.uniform(500, 2000);
  load.duration = random.uniform(300, 4000);
  return out;
}

// All of the above at once: losses of machines, faults of edges, endpoints and the platform.
Plan traffic(RandomGenerator& random) {
  Plan out = everything(random);
  out.shape.has_platform = true;
  out.operators.has_traffic_routes = true;
  out.traffic.is_on = true;
  lab::tier::Misbehavior& misbehavior = out.traffic.misbehavior;
  misbehavior.client_leaves = random.choose({0.0, 0.01, 0.05});
  misbehavior.client_half_closes = random.choose({0.0, 0.01});
  misbehavior.client_stalls = random.choose({0.0, 0.01});
  misbehavior.endpoint_spoils = random.choose({0.0, 0.02, 0.08});
  for (std::size_t i = 2 + random.below(8); i > 0; --i) {
    const FaultKind kind =
        random.choose({FaultKind::endpoint_drain, FaultKind::endpoint_drain, FaultKind::endpoint_replace,
                       FaultKind::endpoint_crash, FaultKind::platform_cut, FaultKind::platform_unavailable,
                       FaultKind::platform_stale, FaultKind::platform_slow});
    Fault fault = draw_fault(random, kind, Role::control, out.shape);
    fault.at = first_fault_at + (out.active_duration - first_fault_at) * random.unit();
    fault.duration = random.log_uniform(200, 8000);
    if (kind == FaultKind::platform_cut) {
      if (random.happens(0.7)) fault.target = Target::list_holder;
      fault.duration = random.log_uniform(1000, 20000);
    }
    out.faults.push_back(fault);
  }
  return out;
}

// Endpoints and the platform alone: what depends on machines in contact is judged nearly all the time.
Plan endpoint_changes(RandomGenerator& random) {
  Plan out = calm_traffic(random);
  out.traffic.expects_all_served = false;
  out.active_duration = Span::ms(30000);
  out.traffic.misbehavior.client_leaves = random.choose({0.0, 0.03});
  out.traffic.misbehavior.endpoint_spoils = random.choose({0.0, 0.02, 0.08});
  Span at = Span::ms(7000);
  while (at < out.active_duration) {
    const FaultKind kind =
        random.choose({FaultKind::endpoint_drain, FaultKind::endpoint_drain, FaultKind::endpoint_drain,
                       FaultKind::endpoint_replace, FaultKind::endpoint_crash, FaultKind::platform_stale});
    Fault fault = draw_fault(random, kind, Role::control, out.shape);
    fault.at = at;
    fault.duration = random.log_uniform(200, 3000);
    out.faults.push_back(fault);
    at = at + random.log_uniform(300, 4000);
  }
  if (random.happens(0.5)) {
    Fault cut = draw_fault(random, FaultKind::platform_cut, Role::control, out.shape);
    cut.target = Target::list_holder;
    cut.at = Span::ms(8000);
    cut.duration = random.uniform(14000, 24000);
    out.faults.push_back(cut);
  }
  return out;
}

// Retentions that are short against the pauses and answers of conversations, so that turns expire all the
// time, also while an answer that continues them is under way. Turns of one chain have different retentions,
// and programs continue the turns of others. A part of the seeds has losses of storage nodes.
Plan short_retention(RandomGenerator& random) {
  Plan out = draw_base_plan(random);
  out.shape.storages = std::max<std::size_t>(out.shape.storages, 2 * out.shape.tolerated_losses + 2);
  out.shape.edges = 3;
  out.active_duration = Span::ms(26000);
  out.programs.programs = 3;
  out.programs.budget = 4000;
  out.programs.retention = random.uniform(1000, 2500);
  out.programs.min_retention = out.programs.retention * random.choose({0.3, 1.0});
  out.programs.pause = out.programs.retention * 0.55;
  out.programs.max_answer_duration = out.programs.retention * 1.5;
  out.programs.continuation_margin = Span();
  out.programs.fork_probability = random.choose({0.0, 0.2});
  if (random.happens(0.6)) {
    add_counted_losses(random, out,
                       {FaultKind::kill, FaultKind::wipe, FaultKind::replace, FaultKind::power_loss,
                        FaultKind::freeze, FaultKind::cut_off},
                       Span::ms(2500), 0.1);
    add_uncounted_faults(random, out, random.below(4));
    add_total_outage(random, out, 0.3);
  }
  return out;
}

struct Scenario {
  const char* name;
  Plan (*make)(RandomGenerator&);
};
constexpr Scenario all_scenarios[] = {{"cut-off-control", cut_off_control},
                                      {"two-operators", two_operators},
                                      {"second-loss", second_loss},
                                      {"planned-work", planned_work},
                                      {"many-changes", many_changes},
                                      {"everything", everything},
                                      {"interrupted-drains", interrupted_drains},
                                      {"overlapping-losses", overlapping_losses},
                                      {"coordination", coordination},
                                      {"calm-traffic", calm_traffic},
                                      {"crowds", crowds},
                                      {"endpoint-changes", endpoint_changes},
                                      {"traffic", traffic},
                                      {"short-retention", short_retention}};

}  // namespace

std::vector<std::string> scenarios() {
  std::vector<std::string> out;
  for (const Scenario& s : all_scenarios) out.emplace_back(s.name);
  return out;
}

Plan make_plan(const std::string& scenario, std::uint64_t seed) {
  RandomGenerator random(seed);
  for (const Scenario& s : all_scenarios) {
    if (scenario != s.name) continue;
    Plan out = s.make(random);
    std::stable_sort(out.faults.begin(), out.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return out;
  }
  throw std::invalid_argument("no scenario " + scenario);
}

}  // namespace chutevane::tier_simulation
