// Draws a day: which faults are possible on it at all, then how many of those come, and what the network is
// like. A day on which few kinds are possible reaches combinations that a day of everything never does.
#include <algorithm>

#include "lab/timeline.hpp"
#include "sidecar_simulation/scenario.hpp"

namespace chutevane::sidecar_simulation {
namespace {

constexpr double possible = 0.25;  // of a kind, on one day
constexpr Span between_last_and_end = Span::ms(500);

class Drawer {
 public:
  Drawer(Scenario& out, std::uint64_t seed) : out_(out), e_(out.experiment), chance_(seed, "swarm") {}

  void network() {
    network_simulation::NetworkConditions& c = out_.chances;
    c.split_probability = pick({0.0, 0.05, 0.5});
    if (may(0.3)) c.mean_delay = c.min_delay + Span::ms(in(0.05, 2.0));
    if (may(0.3)) c.connect_loss_probability = in(0.02, 0.3);
    if (may(0.3)) c.late_turn_probability = in(0.005, 0.1), c.max_late_turn_delay = Span::ms(in(1.0, 8.0));
    // Not together: a message of many small windows over long ways takes longer than callers wait.
    const double odd = chance_.unit();
    if (odd < 0.3)
      c.min_buffer_size = 256, c.max_buffer_size = 4096,
      c.mean_delay = network_simulation::NetworkConditions().mean_delay;
    if (odd < 0.3) {
      e_.callers.request_bytes = std::min<std::size_t>(e_.callers.request_bytes, 2000);
      for (lab::TierSpec& t : e_.tiers) t.answer_bytes = std::min<std::size_t>(t.answer_bytes, 2000);
    }
    if (odd > 0.7) c.retransmit_probability = in(0.002, 0.03);
    c.unread_discard_probability = pick({0.0, 0.5, 1.0});
    if (may(0.12)) out_.descriptors = 24 + static_cast<int>(chance_.below(60));
  }

  void callers() {
    e_.callers.rate *= in(0.5, 2.0);
    if (may(0.3)) e_.callers.leave_share = in(0.02, 0.4);
    if (may(0.4)) e_.callers.repeats = static_cast<int>(chance_.below(4));
    if (may(0.2)) e_.callers.connections = 3 + static_cast<int>(chance_.below(10));
    if (may(0.3)) e_.callers.request_bytes = chance_.below(9000);
    if (may(0.2)) e_.callers.marks_repeats = false;
    if (may(0.2)) e_.callers.spread = true;
    if (may(0.3)) e_.callers.idle = Span::ms(in(20.0, 2000.0));
    for (lab::TierSpec& t : e_.tiers) {
      if (may(0.3)) t.answer_bytes = chance_.below(20000);
      if (may(0.2)) t.idle_close = Span::ms(in(50.0, 3000.0));
      if (may(0.2)) t.machine.queue = chance_.below(12);
      if (may(0.15)) t.connections = 2 + static_cast<int>(chance_.below(12));
      if (may(0.3)) t.list_delay = Span::ms(in(0.0, 1500.0));
    }
    if (may(0.2)) e_.allowed.cancel = false;
    if (may(0.2)) e_.allowed.copies = true;
    if (may(0.2)) e_.allowed.connect_timeout = Span::ms(in(20.0, 600.0));
  }

  void faults() {
    std::vector<std::size_t> kinds;
    for (std::size_t k = 0; k < lab::fault_kinds + trouble_kinds; ++k) {
      if (k < lab::fault_kinds && lab::breaks_ways(static_cast<lab::FaultKind>(k))) continue;  // by troubles
      if (may(possible)) kinds.push_back(k);
    }
    if (kinds.empty() || out_.faults_most == 0) return;
    const std::size_t count = 1 + chance_.below(static_cast<std::size_t>(out_.faults_most));
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t kind = kinds[chance_.below(kinds.size())];
      if (kind < lab::fault_kinds)
        fault(static_cast<lab::FaultKind>(kind));
      else
        trouble(static_cast<TroubleKind>(kind - lab::fault_kinds));
    }
  }

 private:
  bool may(double p) { return chance_.one_in(p); }
  double in(double least, double most) { return least + (most - least) * chance_.unit(); }
  double pick(std::initializer_list<double> from) { return from.begin()[chance_.below(from.size())]; }
  // Whole milliseconds: what is written to a file reads the same.
  Span moment() {
    const Span last = std::max(Span::ms(1.0), e_.lasts - between_last_and_end);
    return Span::ms(static_cast<double>(static_cast<int>(in(0.0, last.as_ms()))));
  }
  Span lasting(Span at) {
    const double most = std::max(2.0, (e_.lasts - at).as_ms() - 1.0);
    const double wanted = may(0.3) ? in(5.0, 200.0) : in(200.0, 4000.0);
    return Span::ms(static_cast<double>(static_cast<int>(std::min(most, wanted))));
  }
  const lab::TierSpec& any_tier() { return e_.tiers[chance_.below(e_.tiers.size())]; }

  void fault(lab::FaultKind kind) {
    using lab::FaultKind;
    const lab::TierSpec& tier = any_tier();
    lab::FaultSpec f;
    f.kind = kind;
    f.tier = tier.name;
    f.at = moment();
    f.endpoints = 1 + static_cast<int>(chance_.below(static_cast<std::size_t>(tier.endpoints)));
    f.factor = kind == FaultKind::burst ? in(1.5, 5.0) : in(2.0, 30.0);
    f.part = in(0.2, 0.95);
    f.probability = may(0.5) ? 1.0 : in(0.05, 0.9);
    f.down = Span::ms(static_cast<double>(static_cast<int>(in(50.0, 1500.0))));
    f.drain = Span::ms(static_cast<double>(static_cast<int>(in(50.0, 2500.0))));
    f.delay = Span::ms(static_cast<double>(static_cast<int>(in(100.0, 3000.0))));
    const bool once = kind == FaultKind::end || kind == FaultKind::restart || kind == FaultKind::release ||
                      kind == FaultKind::sidecar_killed || kind == FaultKind::sidecar_drained ||
                      (kind >= FaultKind::state_lost && kind <= FaultKind::state_swapped);
    const bool of_state = kind >= FaultKind::state_lost && kind <= FaultKind::state_refused;
    if (of_state && e_.pools) return;
    if (of_state) e_.restart.state = true;
    f.every = Span::ms(static_cast<double>(static_cast<int>(in(200.0, 2500.0))));
    f.age = Span::ms(static_cast<double>(static_cast<int>(in(100.0, 2e6))));
    if (!once) f.lasts = lasting(f.at);
    if (kind == FaultKind::zone_lost) f.zone = tier.zones[chance_.below(tier.zones.size())];
    if (kind == FaultKind::release) {
      f.lasts = (f.drain + f.down) * static_cast<double>(tier.endpoints);
      if (f.at + f.lasts > e_.lasts) return;  // longer than what is left of the day
    }
    if (kind == FaultKind::doubled) doubled_at_once();
    e_.faults.push_back(f);
  }

  // A second answer that comes later than the next request was sent is none that a reader of HTTP/1.1 could
  // tell from that one's: the two copies come in one piece.
  void doubled_at_once() {
    network_simulation::NetworkConditions& c = out_.chances;
    c.split_probability = 0.0;
    c.retransmit_probability = 0.0;
    c.min_buffer_size = network_simulation::NetworkConditions().min_buffer_size,
    c.max_buffer_size = network_simulation::NetworkConditions().max_buffer_size;
    for (lab::TierSpec& t : e_.tiers) t.answer_bytes = std::min<std::size_t>(t.answer_bytes, 4000);
  }

  void trouble(TroubleKind kind) {
    const lab::TierSpec& tier = any_tier();
    Trouble t;
    t.kind = kind;
    t.tier = e_.pools ? "" : tier.name;
    t.link = static_cast<Link>(chance_.below(3));
    t.direction = may(0.5) ? Direction::both : may(0.5) ? Direction::to_sidecar : Direction::from_sidecar;
    t.at = moment();
    t.lasts = lasting(t.at);
    t.sidecars = may(0.3) ? 0 : 1;
    t.endpoints =
        may(0.3) ? 0 : 1 + static_cast<int>(chance_.below(static_cast<std::size_t>(tier.endpoints)));
    if (may(0.2)) t.zone = tier.zones[chance_.below(tier.zones.size())];
    t.factor = in(5.0, 400.0);
    out_.troubles.push_back(t);
  }

  Scenario& out_;
  lab::Experiment& e_;
  lab::Chance chance_;
};

}  // namespace

Scenario draw_scenario(const Scenario& from, std::uint64_t seed) {
  Scenario out = from;
  out.experiment.seed = seed;
  if (!from.swarm) return out;
  out.swarm = false;
  Drawer drawer(out, seed);
  drawer.callers();
  drawer.network();
  drawer.faults();
  // What a file can say: the same scenario comes back from one that is written of it.
  return read_scenario(write_scenario(out), "drawn");
}

}  // namespace chutevane::sidecar_simulation
