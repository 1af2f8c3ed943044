#include "lab/tier/fault_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "lab/draw.hpp"

namespace chutevane::lab::tier {
namespace {

constexpr Span first_at = Span::ms(300);
constexpr double pause_least_ms = 50, pause_most_ms = 20000;
constexpr Span down_least = Span::ms(100), down_spread = Span::ms(2500);
constexpr Span cut_least = Span::ms(200), cut_spread = Span::ms(4000);
constexpr Span halves_least = Span::ms(500), halves_spread = Span::ms(3000);
constexpr Span delay_least = Span::ms(10), delay_spread = Span::ms(300);
constexpr Span answers_lost_least = Span::ms(20), answers_lost_spread = Span::ms(150);
constexpr Span beside_spread = Span::ms(1600);  // between troubles that are drawn independently of each other
constexpr int stories_beyond = 3;               // one of so many
constexpr double wipe_beside_absence = 0.7;     // of these
constexpr double faults_of_controllers = 0.8;   // of these
constexpr double interrupted_drains = 0.6;      // of these
constexpr Span drain_least = Span::ms(150), drain_spread = Span::ms(500);
constexpr Span crowd_least = Span::ms(1500), crowd_spread = Span::ms(2500);
constexpr Span rolling_least = Span::ms(100),
               rolling_spread = Span::ms(900);  // between two SIGTERM in series

class Drawer {
 public:
  Drawer(std::uint64_t seed, const FaultPlanBounds& bounds)
      : bounds_(bounds),
        chance_(seed, "story"),
        crowds_(seed, "crowds"),
        controllers_(seed, "controllers"),
        drains_(seed, "drains") {}

  FaultPlan draw() {
    story_.beyond_tolerance = chance_.below(stories_beyond) == 0;
    draw_manners();
    if (story_.beyond_tolerance) {
      draw_overlapping_losses();
    } else {
      draw_single_losses();
    }
    draw_beside();
    draw_crowds();
    std::stable_sort(story_.troubles.begin(), story_.troubles.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return std::move(story_);
  }

 private:
  Span between(Span least, Span spread) { return least + spread * chance_.unit(); }
  // Short ones as often as long ones.
  Span pause() {
    const double most = std::min(pause_most_ms, bounds_.active.as_ms() * 0.7);
    return Span::ms(pause_least_ms * std::pow(most / pause_least_ms, chance_.unit()));
  }
  std::size_t size_of(MachinePlane plane) const {
    switch (plane) {
      case MachinePlane::edge: return bounds_.edges;
      case MachinePlane::control: return bounds_.controllers;
      case MachinePlane::storage: return bounds_.storage_nodes;
    }
    return 0;
  }
  void draw_manners() {
    story_.misbehavior.client_leaves = 0.04 * chance_.unit();
    story_.misbehavior.client_half_closes = 0.02 * chance_.unit();
    story_.misbehavior.client_stalls = 0.04 * chance_.unit();
    story_.misbehavior.endpoint_spoils = 0.03 * chance_.unit();
    story_.misbehavior.operator_loses_answer = chance_.one_in(0.5) ? 0.4 : 0;
  }
  // How long it lasts, and what else the kind needs.
  void fill(Fault& trouble) {
    switch (trouble.kind) {
      case FaultKind::pause: trouble.lasts = pause(); break;
      case FaultKind::kill:
      case FaultKind::wipe:
      case FaultKind::kill_all:
      case FaultKind::kill_controllers: trouble.lasts = between(down_least, down_spread); break;
      case FaultKind::cut:
        trouble.lasts = between(cut_least, cut_spread);
        trouble.direction = static_cast<CutDirection>(chance_.below(3));
        trouble.resets = chance_.one_in(0.4);
        break;
      case FaultKind::halves:
        trouble.lasts = between(halves_least, halves_spread);
        trouble.resets = chance_.one_in(0.4);
        break;
      case FaultKind::slow_way:
        trouble.lasts = between(cut_least, cut_spread);
        trouble.delay = between(delay_least, delay_spread);
        break;
      case FaultKind::lose_answers: trouble.lasts = between(answers_lost_least, answers_lost_spread); break;
      case FaultKind::terminate:
      case FaultKind::reload:
      case FaultKind::change:
      case FaultKind::race:
      case FaultKind::drain_endpoint:
      case FaultKind::replace_endpoint:
      case FaultKind::endpoint_dies:
      case FaultKind::crowd:
      case FaultKind::interrupt_drain: break;
    }
    trouble.lasts = std::min(trouble.lasts, bounds_.active - trouble.at);
  }
  Fault loss_at(Span at, bool may_wipe) {
    constexpr std::array kinds = {FaultKind::wipe,     FaultKind::wipe,     FaultKind::pause,
                                  FaultKind::pause,    FaultKind::kill,     FaultKind::cut,
                                  FaultKind::slow_way, FaultKind::terminate};
    Fault out;
    out.at = at;
    do {
      out.kind = kinds[chance_.below(kinds.size())];
    } while (out.kind == FaultKind::wipe && !may_wipe);
    out.plane = chance_.one_in(0.6) ? MachinePlane::storage : MachinePlane::control;
    out.place = chance_.below(size_of(out.plane));
    fill(out);
    return out;
  }
  void draw_single_losses() {
    for (Span at = between(first_at, beside_spread); at < bounds_.active;) {
      story_.troubles.push_back(loss_at(at, true));
      // One that is told to end is away until its grace is over, at the most.
      const Span away =
          story_.troubles.back().kind == FaultKind::terminate ? Span::ms(8000) : story_.troubles.back().lasts;
      at = at + away + bounds_.catch_up + Span::ms(600) * chance_.unit();
    }
  }
  // Another machine of the plane is away over the moment at which one comes back with an empty disk.
  void draw_wipe_beside_an_absence() {
    constexpr std::array kinds = {FaultKind::pause, FaultKind::cut, FaultKind::kill};
    Fault absence, wipe;
    absence.kind = kinds[chance_.below(kinds.size())];
    absence.plane = wipe.plane = chance_.one_in(0.7) ? MachinePlane::storage : MachinePlane::control;
    absence.place = chance_.below(size_of(absence.plane));
    wipe.kind = FaultKind::wipe;
    wipe.place = (absence.place + 1 + chance_.below(size_of(wipe.plane) - 1)) % size_of(wipe.plane);
    // Late enough that turns lie at both.
    absence.at = bounds_.active * (0.2 + 0.2 * chance_.unit());
    absence.lasts = (bounds_.active - absence.at) * (0.4 + 0.6 * chance_.unit());
    absence.resets = chance_.one_in(0.4);
    wipe.at = absence.at + absence.lasts * 0.5 * chance_.unit();
    wipe.lasts = absence.lasts * 0.4 * chance_.unit();
    story_.troubles.push_back(absence);
    story_.troubles.push_back(wipe);
  }
  // Each machine has one at a time; all but one are back with their disks.
  void draw_overlapping_losses() {
    bool wiped = chance_.one_in(wipe_beside_absence);
    if (wiped) draw_wipe_beside_an_absence();
    if (drains_.one_in(interrupted_drains)) draw_interrupted_drains();
    if (controllers_.one_in(faults_of_controllers)) draw_faults_of_controllers();
    for (Span at = between(first_at, beside_spread); at < bounds_.active * 0.8;
         at = at + beside_spread * chance_.unit()) {
      if (chance_.one_in(0.1)) {
        Fault all;
        all.kind = chance_.one_in(0.5) ? FaultKind::kill_all : FaultKind::halves;
        all.at = at;
        fill(all);
        if (all.kind == FaultKind::halves || nobody_busy(all)) story_.troubles.push_back(all);
        continue;
      }
      const Fault one = loss_at(at, !wiped);
      if (busy(one)) continue;
      wiped = wiped || one.kind == FaultKind::wipe;
      story_.troubles.push_back(one);
    }
  }
  // A storage node is killed while it is drained, before the others have taken over from it, and no
  // controller lets it go: it is back before they are. Twice in a story, where there is room for it.
  void draw_interrupted_drains() {
    for (const double begin : {0.05, 0.5}) {
      Fault drain;
      drain.kind = FaultKind::interrupt_drain;
      drain.plane = MachinePlane::storage;
      drain.place = drains_.below(bounds_.storage_nodes);
      drain.at = bounds_.active * (begin + 0.1 * drains_.unit());
      drain.delay = drain_least + drain_spread * drains_.unit();
      drain.lasts =
          std::min(drain.delay + down_least + down_spread * drains_.unit(), bounds_.active - drain.at);
      add_unless_busy({drain});
    }
  }
  // Faults that overlap at the controllers, in a part of the story where no controller has another.
  void draw_faults_of_controllers() {
    const std::size_t first = controllers_.below(bounds_.controllers);
    const Span at = bounds_.active * (0.1 + 0.5 * controllers_.unit());
    switch (controllers_.below(3)) {
      case 0: return add_unless_busy(draw_pause_beside_a_kill(first, at));
      case 1: return add_unless_busy(draw_kill_of_controllers(at));
      default: return add_unless_busy(draw_terminations_in_series(first, at));
    }
  }
  Fault fault_of_controller(FaultKind kind, std::size_t place, Span at) const {
    Fault out;
    out.kind = kind;
    out.plane = MachinePlane::control;
    out.place = place % bounds_.controllers;
    out.at = at;
    return out;
  }
  // One controller stands still while the next is killed and started; it wakes before or after that one is
  // back.
  std::vector<Fault> draw_pause_beside_a_kill(std::size_t first, Span at) {
    Fault pause = fault_of_controller(FaultKind::pause, first, at);
    pause.lasts = (bounds_.active - at) * (0.3 + 0.7 * controllers_.unit());
    Fault kill =
        fault_of_controller(FaultKind::kill, first + 1, at + pause.lasts * 0.6 * controllers_.unit());
    kill.lasts = std::min(down_least + down_spread * controllers_.unit(), bounds_.active - kill.at);
    return {pause, kill};
  }
  std::vector<Fault> draw_kill_of_controllers(Span at) {
    Fault all = fault_of_controller(FaultKind::kill_controllers, 0, at);
    all.lasts = std::min(down_least + down_spread * controllers_.unit(), bounds_.active - at);
    return {all};
  }
  // Each is told to end, most of them before the one before is back.
  std::vector<Fault> draw_terminations_in_series(std::size_t first, Span at) {
    std::vector<Fault> out;
    for (std::size_t i = 0; i < bounds_.controllers; ++i) {
      out.push_back(fault_of_controller(FaultKind::terminate, first + i, std::min(at, bounds_.active)));
      at = at + rolling_least + rolling_spread * controllers_.unit();
    }
    return out;
  }
  void add_unless_busy(const std::vector<Fault>& faults) {
    const bool any_busy =
        std::any_of(faults.begin(), faults.end(), [this](const Fault& f) { return busy(f); });
    if (!any_busy) story_.troubles.insert(story_.troubles.end(), faults.begin(), faults.end());
  }
  static Span until(const Fault& trouble) {
    const bool is_told_to_end =
        trouble.kind == FaultKind::terminate || trouble.kind == FaultKind::interrupt_drain;
    return trouble.at + (is_told_to_end ? Span::ms(10000) : trouble.lasts) + Span::ms(100);
  }
  static bool takes_all_controllers(const Fault& trouble) {
    return trouble.kind == FaultKind::kill_controllers || trouble.kind == FaultKind::interrupt_drain;
  }
  static bool is_at_a_controller(const Fault& trouble) {
    return trouble.plane == MachinePlane::control || trouble.kind == FaultKind::interrupt_drain;
  }
  bool busy(const Fault& wanted) const {
    return std::any_of(story_.troubles.begin(), story_.troubles.end(), [&](const Fault& t) {
      const bool is_any_controller = (takes_all_controllers(t) && is_at_a_controller(wanted)) ||
                                     (takes_all_controllers(wanted) && is_at_a_controller(t));
      const bool same = is_any_controller || (t.plane == wanted.plane && t.place == wanted.place);
      return until(t) > wanted.at && t.at < until(wanted) && (same || t.kind == FaultKind::kill_all);
    });
  }
  bool nobody_busy(const Fault& wanted) const {
    return std::all_of(story_.troubles.begin(), story_.troubles.end(), [&](const Fault& t) {
      return until(t) <= wanted.at || t.at >= until(wanted) || t.kind == FaultKind::halves;
    });
  }
  // What may come at any time: edges, endpoints, operators, connections.
  void draw_beside() {
    constexpr std::array kinds = {FaultKind::pause,          FaultKind::kill,
                                  FaultKind::terminate,      FaultKind::reload,
                                  FaultKind::lose_answers,   FaultKind::change,
                                  FaultKind::change,         FaultKind::race,
                                  FaultKind::drain_endpoint, FaultKind::replace_endpoint,
                                  FaultKind::endpoint_dies,  FaultKind::cut};
    for (Span at = between(first_at, beside_spread); at < bounds_.active * 0.85;
         at = at + beside_spread * chance_.unit()) {
      Fault one;
      one.kind = kinds[chance_.below(kinds.size())];
      one.at = at;
      one.plane = MachinePlane::edge;
      const bool any_machine = one.kind == FaultKind::reload || one.kind == FaultKind::lose_answers;
      if (any_machine) one.plane = static_cast<MachinePlane>(chance_.below(3));
      one.place = chance_.below(size_of(one.plane));
      fill(one);
      if (!busy(one)) story_.troubles.push_back(one);
    }
  }
  // Crowds take no machine away: they may come beside anything else.
  void draw_crowds() {
    for (Span at = first_at; at < bounds_.active * 0.8;
         at = at + crowd_least + bounds_.active * crowds_.unit()) {
      Fault one;
      one.kind = FaultKind::crowd;
      one.at = at;
      one.plane = crowds_.one_in(0.7) ? MachinePlane::edge : MachinePlane::control;
      one.place = crowds_.below(size_of(one.plane));
      one.lasts = std::min(crowd_least + crowd_spread * crowds_.unit(), bounds_.active - at);
      story_.troubles.push_back(one);
    }
  }

  const FaultPlanBounds bounds_;
  Chance chance_;
  Chance crowds_;       // the same for what is drawn of crowds
  Chance controllers_;  // for what is drawn of controllers alone: the rest of a story does not depend on it
  Chance drains_;       // the same for interrupted drains
  FaultPlan story_;
};

bool of_one_machine(FaultKind kind) {
  switch (kind) {
    case FaultKind::pause:
    case FaultKind::kill:
    case FaultKind::wipe:
    case FaultKind::terminate:
    case FaultKind::reload:
    case FaultKind::cut:
    case FaultKind::slow_way:
    case FaultKind::lose_answers:
    case FaultKind::crowd:
    case FaultKind::interrupt_drain: return true;
    default: return false;
  }
}

std::string milliseconds(Span span) { return std::to_string(static_cast<long>(span.as_ms())) + " ms"; }

}  // namespace

const char* name_of(FaultKind kind) {
  constexpr std::array<const char*, fault_kinds> names = {"pause",
                                                          "kill",
                                                          "wipe",
                                                          "kill_all",
                                                          "kill_controllers",
                                                          "terminate",
                                                          "reload",
                                                          "cut",
                                                          "halves",
                                                          "slow_way",
                                                          "lose_answers",
                                                          "change",
                                                          "race",
                                                          "drain_endpoint",
                                                          "replace_endpoint",
                                                          "endpoint_dies",
                                                          "crowd",
                                                          "interrupt_drain"};
  return names[static_cast<std::size_t>(kind)];
}

const char* name_of(MachinePlane plane) {
  switch (plane) {
    case MachinePlane::edge: return "edge";
    case MachinePlane::control: return "control";
    case MachinePlane::storage: return "storage";
  }
  return "";
}

std::string describe(const Fault& trouble) {
  char at[24];
  std::snprintf(at, sizeof at, "%7.2f s  ", trouble.at.as_ms() / 1000);
  std::string out = std::string(at) + name_of(trouble.kind);
  if (of_one_machine(trouble.kind))
    out += std::string(" ") + name_of(trouble.plane) + "-" + std::to_string(trouble.place + 1);
  if (trouble.lasts > Span()) out += ", " + milliseconds(trouble.lasts);
  if (trouble.kind == FaultKind::cut && trouble.direction != CutDirection::both)
    out += trouble.direction == CutDirection::to_it ? ", to it" : ", from it";
  if (trouble.resets) out += ", with resets";
  if (trouble.delay > Span()) out += ", late by " + milliseconds(trouble.delay);
  return out;
}

Span FaultPlan::ends() const {
  Span out;
  for (const Fault& t : troubles) out = std::max(out, t.at + t.lasts);
  return out;
}

std::string describe(const FaultPlan& story) {
  char misbehavior[200];
  std::snprintf(misbehavior, sizeof misbehavior,
                "clients leave %.3f, half-close %.3f, stall %.3f; endpoints spoil %.3f; operators lose %.1f "
                "of their answers\n",
                story.misbehavior.client_leaves, story.misbehavior.client_half_closes,
                story.misbehavior.client_stalls, story.misbehavior.endpoint_spoils,
                story.misbehavior.operator_loses_answer);
  std::string out = story.beyond_tolerance ? "losses overlap beyond the tolerance, one disk at most\n" : "";
  out += misbehavior;
  for (const Fault& t : story.troubles) out += describe(t) + "\n";
  return out;
}

FaultPlan draw_fault_plan(std::uint64_t seed, const FaultPlanBounds& bounds) {
  return Drawer(seed, bounds).draw();
}

}  // namespace chutevane::lab::tier
