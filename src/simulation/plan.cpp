#include "simulation/plan.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace chutevane::simulation {
namespace {

constexpr Span first_fault = Span::ms(2500);
constexpr Span long_cut = Span::ms(20000);

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : chance_(seed * 0x9e3779b97f4a7c15ULL + 0x51a7) {}
  double unit() { return chance_.unit(); }
  bool with(double probability) { return unit() < probability; }
  std::uint64_t luck() { return (std::uint64_t{chance_.next()} << 32U) | chance_.next(); }
  std::size_t below(std::size_t n) { return chance_.next() % n; }
  Span between(double least_ms, double most_ms) { return Span::ms(least_ms + (most_ms - least_ms) * unit()); }
  // Of any order of magnitude between the two.
  Span skewed(double least_ms, double most_ms) {
    double v = least_ms;
    const double steps = unit();
    v *= std::pow(most_ms / least_ms, steps);
    return Span::ms(v);
  }
  template <class T>
  T one_of(std::initializer_list<T> all) {
    return *(all.begin() + below(all.size()));
  }

 private:
  Pcg chance_;
};

Fault drawn_fault(Draw& draw, FaultKind kind, Role role, const Shape& shape) {
  Fault out;
  out.kind = kind;
  out.role = role;
  const std::size_t machines = role == Role::control   ? shape.controls
                               : role == Role::storage ? shape.storages
                                                       : shape.edges;
  out.place = draw.below(machines);
  if (role == Role::control)
    out.target = draw.one_of({Target::by_place, Target::by_place, Target::duty_holder, Target::acknowledger});
  out.reach = draw.one_of({Reach::everything, Reach::everything, Reach::control_only, Reach::data_only});
  out.direction = draw.one_of({Direction::both, Direction::both, Direction::to_it, Direction::from_it});
  out.told = draw.with(0.3);
  out.luck = draw.luck();
  out.lasts = draw.skewed(100, 8000);
  return out;
}

Shape drawn_shape(Draw& draw) {
  Shape out;
  if (draw.with(0.15)) {
    out.controls = out.storages = 5;
    out.losses = 2;
  } else {
    out.controls = draw.with(0.25) ? 4 : 3;
    out.storages = draw.with(0.4) ? 4 : 3;
  }
  out.edges = 2 + draw.below(2);
  return out;
}

network_simulation::NetworkConditions drawn_chances(Draw& draw) {
  network_simulation::NetworkConditions out;
  out.min_delay = Span::us(30);
  out.mean_delay = draw.skewed(0.08, 4);
  out.split_probability = draw.with(0.5) ? 0.05 : 0.0;
  out.retransmit_probability = draw.with(0.3) ? 0.003 : 0.0;
  out.late_turn_probability = draw.with(0.3) ? 0.002 : 0.0;
  return out;
}

Plan plain(Draw& draw) {
  Plan out;
  out.shape = drawn_shape(draw);
  out.chances = drawn_chances(draw);
  out.operators.operators = 2 + draw.below(3);
  out.operators.same_number = draw.with(0.5) ? 0.9 : 0.4;
  out.operators.pause_most = draw.skewed(400, 3000);
  out.operators.lost_answer = draw.one_of({0.0, 0.05, 0.3});
  out.operators.sent_twice = draw.one_of({0.0, 0.05, 0.3});
  out.operators.favourite = draw.one_of({0.0, 0.3, 0.7});
  out.programs.programs = 1;
  return out;
}

// Losses that count, one behind the other: the next comes once the machine before has caught up, at times to
// the millisecond.
void counted_losses(Draw& draw, Plan& plan, std::initializer_list<FaultKind> kinds, Span lasts_most) {
  Span at = first_fault + draw.between(0, 3000);
  while (at < plan.active) {
    const Role role = draw.with(0.6) ? Role::control : Role::storage;
    Fault fault = drawn_fault(draw, draw.one_of(kinds), role, plan.shape);
    fault.at = at;
    fault.lasts = std::min(fault.lasts, lasts_most);
    plan.faults.push_back(fault);
    const Span after = draw.with(0.4) ? Span::ms(static_cast<double>(draw.below(4))) : draw.skewed(1, 4000);
    at = at + fault.lasts + catch_up + after;
  }
}

void uncounted(Draw& draw, Plan& plan, std::size_t times) {
  for (std::size_t i = 0; i < times; ++i) {
    const bool at_edge = draw.with(0.5);
    const FaultKind kind =
        at_edge ? draw.one_of({FaultKind::kill, FaultKind::freeze, FaultKind::cut_off, FaultKind::reset,
                               FaultKind::half_lost, FaultKind::slow_links, FaultKind::new_seeds})
                : draw.one_of({FaultKind::reset, FaultKind::half_lost, FaultKind::lost_answers,
                               FaultKind::slow_links, FaultKind::new_seeds});
    Fault fault = drawn_fault(draw, kind, at_edge ? Role::edge : Role::control, plan.shape);
    fault.at = first_fault + (plan.active - first_fault) * draw.unit();
    fault.lasts = draw.skewed(50, 5000);
    plan.faults.push_back(fault);
  }
}

// Each machine is back within `lasts` and a little, and counts as lost until it has caught up: no loss of one
// machine begins before that.
void all_at_once(Draw& draw, Plan& plan, double probability) {
  if (!draw.with(probability)) return;
  Fault fault;
  fault.kind = draw.with(0.5) ? FaultKind::kill_all : FaultKind::power_all;
  fault.at = first_fault + (plan.active - first_fault) * draw.unit();
  fault.lasts = draw.skewed(50, 3000);
  fault.luck = draw.luck();
  const Span caught_up = fault.at + fault.lasts + restart_spread + catch_up;
  std::erase_if(plan.faults, [&](const Fault& other) {
    return counted(other) && other.at > fault.at && other.at < caught_up;
  });
  plan.faults.push_back(fault);
}

// 1. A control machine is cut off, or frozen, for some twenty seconds, in any of the ways.
Plan cut_off_control(Draw& draw) {
  Plan out = plain(draw);
  out.shape.storages = std::max(out.shape.storages, 2 * out.shape.losses + 1);
  out.active = Span::ms(28000);
  out.operators.favourite = draw.one_of({0.3, 0.6});
  Fault fault =
      drawn_fault(draw, draw.with(0.85) ? FaultKind::cut_off : FaultKind::freeze, Role::control, out.shape);
  fault.at = first_fault + draw.between(0, 2500);
  fault.lasts = long_cut + draw.between(-500, 500);
  out.faults.push_back(fault);
  uncounted(draw, out, draw.below(3));
  return out;
}

// 2. Operators that pick the same numbers on the same version, lose answers, and whose proposers die.
Plan two_operators(Draw& draw) {
  Plan out = plain(draw);
  out.active = Span::ms(20000);
  out.operators.operators = 2 + draw.below(3);
  out.operators.same_number = 0.95;
  out.operators.pause_least = Span::ms(1);
  out.operators.pause_most = draw.skewed(60, 1200);
  out.operators.lost_answer = draw.one_of({0.1, 0.4});
  out.operators.sent_twice = draw.one_of({0.1, 0.4});
  counted_losses(draw, out, {FaultKind::kill, FaultKind::freeze, FaultKind::power_loss, FaultKind::cut_off},
                 Span::ms(3000));
  for (Fault& fault : out.faults) {
    fault.role = Role::control;
    fault.place %= out.shape.controls;
    fault.target = Target::acknowledger;
    fault.lasts = std::min(fault.lasts, draw.skewed(20, 3000));
  }
  uncounted(draw, out, 2 + draw.below(4));
  all_at_once(draw, out, 0.5);
  return out;
}

// 3. Losses right behind each other: wiped, replaced and powerless machines in every gap of a repair.
Plan second_loss(Draw& draw) {
  Plan out = plain(draw);
  out.programs.programs = 2;
  out.active = Span::ms(34000);
  if (draw.with(0.5)) {  // few changes: who has missed one stays behind until the next loss
    out.operators.operators = 2;
    out.operators.pause_least = Span::ms(1500);
    out.operators.pause_most = Span::ms(7000);
  }
  counted_losses(draw, out,
                 {FaultKind::wipe, FaultKind::wipe, FaultKind::replace, FaultKind::power_loss,
                  FaultKind::cut_off, FaultKind::terminate},
                 Span::ms(2500));
  if (draw.with(0.3)) uncounted(draw, out, 2);
  all_at_once(draw, out, 0.3);
  return out;
}

// 4. Hundreds of changes, while members restart, freeze, are cut off, and are new.
Plan many_changes(Draw& draw) {
  Plan out = plain(draw);
  out.active = Span::ms(24000);
  out.operators.operators = 3;
  out.operators.pause_least = Span::ms(60);
  out.operators.pause_most = Span::ms(240);
  out.operators.filler = draw.one_of<std::size_t>({0, 2000, 20000});
  counted_losses(draw, out,
                 {FaultKind::kill, FaultKind::freeze, FaultKind::cut_off, FaultKind::terminate,
                  FaultKind::wipe, FaultKind::replace, FaultKind::power_loss},
                 Span::ms(5000));
  uncounted(draw, out, draw.below(4));
  all_at_once(draw, out, 0.3);
  return out;
}

// 3. Machines that leave in good order, and a loss to the millisecond behind that; machines that stood still
// for less than they are waited for, and a loss as soon as they have caught up. Turns last shorter than their
// lines.
Plan planned_work(Draw& draw) {
  Plan out = plain(draw);
  out.shape.losses = 1;
  out.shape.controls = 3 + draw.below(2);
  out.shape.storages = 4 + draw.below(2);
  out.active = Span::ms(34000);
  if (draw.with(0.5)) {
    out.programs.keep = Span::ms(3000);
    out.programs.budget = 4000;
  }
  const Span planned = catch_up + Span::ms(9000);  // at most, until the loss behind it
  Span at = first_fault + draw.between(0, 2000);
  while (at < out.active) {
    const double kind = draw.unit();
    const Role role = draw.with(0.7) ? Role::storage : Role::control;
    Fault fault = drawn_fault(draw, FaultKind::planned_replace, role, out.shape);
    fault.target = Target::by_place;
    fault.lasts = draw.skewed(100, 2500);
    if (kind < 0.35 && role == Role::storage && out.shape.storages > 4) fault.kind = FaultKind::retire;
    if (kind > 0.75) fault.kind = FaultKind::freeze;
    fault.at = at;
    out.faults.push_back(fault);
    if (fault.kind == FaultKind::freeze) {
      at = at + fault.lasts + catch_up;
      fault.kind = FaultKind::wipe;
      fault.place += 1 + draw.below(2);
      fault.at = at;
      out.faults.push_back(fault);
    } else {
      at = at + planned;
    }
    at = at + fault.lasts + catch_up + Span::ms(static_cast<double>(draw.below(4)));
  }
  for (std::size_t i = draw.below(6); i > 0; --i) {  // edges, whose memory of turns goes with them
    Fault fault = drawn_fault(draw, FaultKind::kill, Role::edge, out.shape);
    fault.at = first_fault + (out.active - first_fault) * draw.unit();
    fault.lasts = draw.skewed(50, 2000);
    out.faults.push_back(fault);
  }
  return out;
}

Plan everything(Draw& draw) {
  Plan out = plain(draw);
  out.programs.programs = 2;
  out.active = draw.between(20000, 32000);
  for (std::size_t slot = 0; slot < out.shape.losses; ++slot)
    counted_losses(draw, out,
                   {FaultKind::cut_off, FaultKind::cut_off, FaultKind::freeze, FaultKind::kill,
                    FaultKind::power_loss, FaultKind::wipe, FaultKind::replace, FaultKind::terminate,
                    FaultKind::disk_slow, FaultKind::disk_full, FaultKind::disk_failing},
                   Span::ms(8000));
  uncounted(draw, out, draw.below(8));
  all_at_once(draw, out, 0.4);
  all_at_once(draw, out, 0.2);
  return out;
}

// 5. Losses that overlap: several machines stand still, are cut off or go while another loses its disk, or
// all are in two halves. In all no more disks are lost than may be, the others come back with theirs. Edges
// are killed, and with them what they remember.
Plan overlapping_losses(Draw& draw) {
  Plan out = plain(draw);
  out.losses_overlap = true;
  out.programs.programs = 2;
  out.active = Span::ms(26000);
  if (draw.with(0.7))
    out.shape.storages = std::max<std::size_t>(out.shape.storages, 2 * out.shape.losses + 2);
  std::size_t disks_left = out.shape.losses;
  Span at = first_fault + draw.between(0, 4000);
  while (at < out.active) {
    const Role role = draw.with(0.7) ? Role::storage : Role::control;
    const std::size_t machines = role == Role::storage ? out.shape.storages : out.shape.controls;
    const std::size_t first_place = draw.below(machines);
    for (std::size_t i = 0; i < 2 + draw.below(machines - 1); ++i) {
      const bool loses_disk = disks_left > 0 && draw.with(i == 0 ? 0.7 : 0.2);
      const FaultKind kind = loses_disk
                                 ? FaultKind::wipe
                                 : draw.one_of({FaultKind::freeze, FaultKind::freeze, FaultKind::cut_off,
                                                FaultKind::kill, FaultKind::power_loss});
      disks_left -= loses_disk ? 1 : 0;
      Fault fault = drawn_fault(draw, kind, role, out.shape);
      fault.target = Target::by_place;
      fault.place = (first_place + i) % machines;
      fault.at = at + draw.between(0, 1500);
      fault.lasts = loses_disk ? draw.skewed(100, 4000) : draw.skewed(300, 8000);
      out.faults.push_back(fault);
    }
    if (draw.with(0.3)) {
      Fault fault;
      fault.kind = FaultKind::halves;
      fault.at = at + draw.between(0, 2000);
      fault.lasts = draw.skewed(300, 5000);
      fault.told = draw.with(0.4);
      out.faults.push_back(fault);
    }
    at = at + draw.between(3000, 14000);
  }
  for (std::size_t i = 2 + draw.below(6); i > 0; --i) {
    Fault fault = drawn_fault(draw, FaultKind::kill, Role::edge, out.shape);
    fault.at = first_fault + (out.active - first_fault) * draw.unit();
    fault.lasts = draw.skewed(50, 1000);
    out.faults.push_back(fault);
  }
  return out;
}

struct Scenario {
  const char* name;
  Plan (*make)(Draw&);
};
constexpr Scenario all_scenarios[] = {{"cut-off-control", cut_off_control},
                                      {"two-operators", two_operators},
                                      {"second-loss", second_loss},
                                      {"planned-work", planned_work},
                                      {"many-changes", many_changes},
                                      {"everything", everything},
                                      {"overlapping-losses", overlapping_losses}};

}  // namespace

const char* name_of(FaultKind kind) {
  static constexpr const char* names[fault_kinds] = {
      "cut off",        "frozen",     "killed",    "power lost",          "wiped",   "replaced",
      "SIGTERM",        "slow disk",  "full disk", "failing disk",        "reset",   "half lost",
      "lost answers",   "slow links", "new seeds", "planned replacement", "emptied", "all killed",
      "all power lost", "two halves"};
  return names[static_cast<std::size_t>(kind)];
}

bool counted(const Fault& fault) {
  if (fault.role == Role::edge) return false;
  switch (fault.kind) {
    case FaultKind::reset:
    case FaultKind::half_lost:
    case FaultKind::lost_answers:
    case FaultKind::slow_links:
    case FaultKind::new_seeds:
    case FaultKind::kill_all:
    case FaultKind::power_all:
    case FaultKind::halves: return false;
    default: return true;
  }
}

std::string describe(const Fault& fault) {
  static constexpr const char* reaches[] = {"everything", "control", "data"};
  static constexpr const char* directions[] = {"both ways", "towards it", "from it"};
  static constexpr const char* targets[] = {"", " that holds a duty", " that acknowledged last"};
  char head[64];
  std::snprintf(head, sizeof head, "at %.3f s for %.3f s: ", fault.at.as_ms() / 1000,
                fault.lasts.as_ms() / 1000);
  std::string out = head + std::string(name_of(fault.kind));
  if (fault.kind == FaultKind::kill_all || fault.kind == FaultKind::power_all ||
      fault.kind == FaultKind::halves)
    return out;
  out += std::string(", ") + name_of(fault.role) + " machine";
  out += targets[static_cast<std::size_t>(fault.target)];
  if (fault.target == Target::by_place) out.append(" ").append(std::to_string(fault.place));
  if (fault.kind == FaultKind::cut_off) {
    out += std::string(", from ") + reaches[static_cast<std::size_t>(fault.reach)] + ", " +
           directions[static_cast<std::size_t>(fault.direction)] + (fault.told ? ", reset" : ", silent");
  }
  return out;
}

std::vector<std::string> scenarios() {
  std::vector<std::string> out;
  for (const Scenario& s : all_scenarios) out.emplace_back(s.name);
  return out;
}

Plan make_plan(const std::string& scenario, std::uint64_t seed) {
  Draw draw(seed);
  for (const Scenario& s : all_scenarios) {
    if (scenario != s.name) continue;
    Plan out = s.make(draw);
    std::stable_sort(out.faults.begin(), out.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return out;
  }
  throw std::invalid_argument("no scenario " + scenario);
}

}  // namespace chutevane::simulation
