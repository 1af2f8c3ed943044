/// \file
/// Samples a scenario for a seed: which kinds of fault are possible in the run at all, then how many of those
/// occur, and what the network is like. A run in which few kinds are possible reaches combinations that a run
/// of everything never does (swarm testing).
#include <algorithm>

#include "lab/timeline.hpp"
#include "sidecar_simulation/scenario.hpp"

namespace chutevane::sidecar_simulation {
namespace {

constexpr double kind_probability = 0.25;  // that a kind is possible in a run
constexpr Span last_fault_before_end = Span::ms(500);

class ScenarioSampler {
 public:
  ScenarioSampler(Scenario& out, std::uint64_t seed)
      : scenario_(out), experiment_(out.experiment), random_(seed, "swarm") {}

  void sample_network() {
    network_simulation::NetworkConditions& c = scenario_.network;
    c.split_probability = choose({0.0, 0.05, 0.5});
    if (happens(0.3)) c.mean_delay = c.min_delay + Span::ms(uniform(0.05, 2.0));
    if (happens(0.3)) c.connect_loss_probability = uniform(0.02, 0.3);
    if (happens(0.3))
      c.late_turn_probability = uniform(0.005, 0.1), c.max_late_turn_delay = Span::ms(uniform(1.0, 8.0));
    // Not together: a message of many small windows over long ways takes longer than callers wait.
    const double odd = random_.unit();
    if (odd < 0.3)
      c.min_buffer_size = 256, c.max_buffer_size = 4096,
      c.mean_delay = network_simulation::NetworkConditions().mean_delay;
    if (odd < 0.3) {
      experiment_.callers.request_bytes = std::min<std::size_t>(experiment_.callers.request_bytes, 2000);
      for (lab::TierSpec& t : experiment_.tiers) t.answer_bytes = std::min<std::size_t>(t.answer_bytes, 2000);
    }
    if (odd > 0.7) c.retransmit_probability = uniform(0.002, 0.03);
    c.unread_discard_probability = choose({0.0, 0.5, 1.0});
    if (happens(0.12)) scenario_.max_descriptors = 24 + static_cast<int>(random_.below(60));
  }

  void sample_callers() {
    experiment_.callers.rate *= uniform(0.5, 2.0);
    if (happens(0.3)) experiment_.callers.leave_share = uniform(0.02, 0.4);
    if (happens(0.4)) experiment_.callers.repeats = static_cast<int>(random_.below(4));
    if (happens(0.2)) experiment_.callers.connections = 3 + static_cast<int>(random_.below(10));
    if (happens(0.3)) experiment_.callers.request_bytes = random_.below(9000);
    if (happens(0.2)) experiment_.callers.marks_repeats = false;
    if (happens(0.2)) experiment_.callers.spread = true;
    if (happens(0.3)) experiment_.callers.idle = Span::ms(uniform(20.0, 2000.0));
    for (lab::TierSpec& t : experiment_.tiers) {
      if (happens(0.3)) t.answer_bytes = random_.below(20000);
      if (happens(0.2)) t.idle_close = Span::ms(uniform(50.0, 3000.0));
      if (happens(0.2)) t.machine.queue = random_.below(12);
      if (happens(0.15)) t.connections = 2 + static_cast<int>(random_.below(12));
      if (happens(0.3)) t.list_delay = Span::ms(uniform(0.0, 1500.0));
    }
    if (happens(0.2)) experiment_.allowed.cancel = false;
    if (happens(0.2)) experiment_.allowed.copies = true;
    if (happens(0.2)) experiment_.allowed.connect_timeout = Span::ms(uniform(20.0, 600.0));
  }

  void sample_faults() {
    std::vector<std::size_t> kinds;
    for (std::size_t k = 0; k < lab::fault_kinds + infrastructure_fault_kinds; ++k) {
      if (k < lab::fault_kinds && lab::breaks_ways(static_cast<lab::FaultKind>(k)))
        continue;  // infrastructure faults do that here
      if (happens(kind_probability)) kinds.push_back(k);
    }
    if (kinds.empty() || scenario_.max_faults == 0) return;
    const std::size_t count = 1 + random_.below(static_cast<std::size_t>(scenario_.max_faults));
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t kind = kinds[random_.below(kinds.size())];
      if (kind < lab::fault_kinds)
        add_lab_fault(static_cast<lab::FaultKind>(kind));
      else
        add_infrastructure_fault(static_cast<InfrastructureFaultKind>(kind - lab::fault_kinds));
    }
  }

 private:
  bool happens(double p) { return random_.one_in(p); }
  double uniform(double least, double most) { return least + (most - least) * random_.unit(); }
  double choose(std::initializer_list<double> from) { return from.begin()[random_.below(from.size())]; }
  // Whole milliseconds: what is written to a file reads the same.
  Span draw_start() {
    const Span last = std::max(Span::ms(1.0), experiment_.lasts - last_fault_before_end);
    return Span::ms(static_cast<double>(static_cast<int>(uniform(0.0, last.as_ms()))));
  }
  Span draw_duration(Span at) {
    const double most = std::max(2.0, (experiment_.lasts - at).as_ms() - 1.0);
    const double wanted = happens(0.3) ? uniform(5.0, 200.0) : uniform(200.0, 4000.0);
    return Span::ms(static_cast<double>(static_cast<int>(std::min(most, wanted))));
  }
  const lab::TierSpec& choose_tier() { return experiment_.tiers[random_.below(experiment_.tiers.size())]; }

  void add_lab_fault(lab::FaultKind kind) {
    using lab::FaultKind;
    const lab::TierSpec& tier = choose_tier();
    lab::FaultSpec f;
    f.kind = kind;
    f.tier = tier.name;
    f.at = draw_start();
    f.endpoints = 1 + static_cast<int>(random_.below(static_cast<std::size_t>(tier.endpoints)));
    f.factor = kind == FaultKind::burst ? uniform(1.5, 5.0) : uniform(2.0, 30.0);
    f.part = uniform(0.2, 0.95);
    f.probability = happens(0.5) ? 1.0 : uniform(0.05, 0.9);
    f.down = Span::ms(static_cast<double>(static_cast<int>(uniform(50.0, 1500.0))));
    f.drain = Span::ms(static_cast<double>(static_cast<int>(uniform(50.0, 2500.0))));
    f.delay = Span::ms(static_cast<double>(static_cast<int>(uniform(100.0, 3000.0))));
    const bool once = kind == FaultKind::end || kind == FaultKind::restart || kind == FaultKind::release ||
                      kind == FaultKind::sidecar_killed || kind == FaultKind::sidecar_drained ||
                      (kind >= FaultKind::state_lost && kind <= FaultKind::state_swapped);
    const bool of_state = kind >= FaultKind::state_lost && kind <= FaultKind::state_refused;
    if (of_state && experiment_.pools) return;
    if (of_state) experiment_.restart.state = true;
    f.every = Span::ms(static_cast<double>(static_cast<int>(uniform(200.0, 2500.0))));
    f.age = Span::ms(static_cast<double>(static_cast<int>(uniform(100.0, 2e6))));
    if (!once) f.lasts = draw_duration(f.at);
    if (kind == FaultKind::zone_lost) f.zone = tier.zones[random_.below(tier.zones.size())];
    if (kind == FaultKind::release) {
      f.lasts = (f.drain + f.down) * static_cast<double>(tier.endpoints);
      if (f.at + f.lasts > experiment_.lasts) return;  // longer than what is left of the day
    }
    if (kind == FaultKind::doubled) keep_duplicates_in_one_piece();
    experiment_.faults.push_back(f);
  }

  // A second answer that comes later than the next request was sent is none that a reader of HTTP/1.1 could
  // tell from that one's: the two copies come in one piece.
  void keep_duplicates_in_one_piece() {
    network_simulation::NetworkConditions& c = scenario_.network;
    c.split_probability = 0.0;
    c.retransmit_probability = 0.0;
    c.min_buffer_size = network_simulation::NetworkConditions().min_buffer_size,
    c.max_buffer_size = network_simulation::NetworkConditions().max_buffer_size;
    for (lab::TierSpec& t : experiment_.tiers) t.answer_bytes = std::min<std::size_t>(t.answer_bytes, 4000);
  }

  void add_infrastructure_fault(InfrastructureFaultKind kind) {
    const lab::TierSpec& tier = choose_tier();
    InfrastructureFault t;
    t.kind = kind;
    t.tier = experiment_.pools ? "" : tier.name;
    t.link = static_cast<LinkPeer>(random_.below(3));
    t.direction = happens(0.5)   ? Direction::both
                  : happens(0.5) ? Direction::to_sidecar
                                 : Direction::from_sidecar;
    t.at = draw_start();
    t.duration = draw_duration(t.at);
    t.sidecars = happens(0.3) ? 0 : 1;
    t.endpoints =
        happens(0.3) ? 0 : 1 + static_cast<int>(random_.below(static_cast<std::size_t>(tier.endpoints)));
    if (happens(0.2)) t.zone = tier.zones[random_.below(tier.zones.size())];
    t.factor = uniform(5.0, 400.0);
    scenario_.infrastructure_faults.push_back(t);
  }

  Scenario& scenario_;
  lab::Experiment& experiment_;
  lab::Chance random_;
};

}  // namespace

Scenario sample_scenario(const Scenario& from, std::uint64_t seed) {
  Scenario out = from;
  out.experiment.seed = seed;
  if (!from.is_sampled) return out;
  out.is_sampled = false;
  ScenarioSampler sampler(out, seed);
  sampler.sample_callers();
  sampler.sample_network();
  sampler.sample_faults();
  // What a file can say: the same scenario comes back from one that is written of it.
  return read_scenario(write_scenario(out), "drawn");
}

}  // namespace chutevane::sidecar_simulation
