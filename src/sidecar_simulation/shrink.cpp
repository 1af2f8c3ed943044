#include "sidecar_simulation/shrink.hpp"

#include <utility>
#include <vector>

#include "sidecar_simulation/search.hpp"

namespace chutevane::sidecar_simulation {
namespace {

class Shrinker {
 public:
  Shrinker(const Scenario& s, std::string rule, std::size_t max_attempts,
           const std::function<void(const std::string&)>& on_step)
      : best_(s), rule_(std::move(rule)), remaining_attempts_(max_attempts), on_step_(on_step) {}

  Scenario run() {
    bool smaller = true;
    while (smaller && remaining_attempts_ > 0) {
      smaller = false;
      smaller = drop_infrastructure_faults() || smaller;
      smaller = drop_faults() || smaller;
      smaller = reduce_counts() || smaller;
      smaller = restore_defaults() || smaller;
    }
    return best_;
  }

 private:
  // Takes the candidate over if it still breaks the same rule.
  bool keep_if_broken(Scenario candidate, const std::string& what) {
    if (remaining_attempts_ == 0) return false;
    --remaining_attempts_;
    try {
      candidate = read_scenario(write_scenario(candidate), "shrunk");
    } catch (const std::exception&) {
      return false;  // no scenario: a fault that needs what was dropped
    }
    if (simulate_in_subprocess(candidate).first_broken_rule() != rule_) return false;
    best_ = std::move(candidate);
    on_step_(what);
    return true;
  }

  bool drop_infrastructure_faults() {
    bool is_smaller = false;
    for (std::size_t i = best_.infrastructure_faults.size(); i-- > 0;) {
      Scenario candidate = best_;
      candidate.infrastructure_faults.erase(candidate.infrastructure_faults.begin() + static_cast<long>(i));
      is_smaller = keep_if_broken(candidate, "without trouble " + std::to_string(i)) || is_smaller;
    }
    return is_smaller;
  }

  bool drop_faults() {
    bool out = false;
    for (std::size_t i = best_.experiment.faults.size(); i-- > 0;) {
      Scenario s = best_;
      s.experiment.faults.erase(s.experiment.faults.begin() + static_cast<long>(i));
      out = keep_if_broken(s, "without fault " + std::to_string(i)) || out;
    }
    return out;
  }

  // Less of everything that can be counted, again and again for as long as the rule stays broken.
  bool reduce_counts() {
    bool out = false;
    const auto halve = [&](const char* what, auto change) {
      for (bool again = true; again && remaining_attempts_ > 0;) {
        Scenario s = best_;
        again = change(s) && keep_if_broken(s, what);
        out = out || again;
      }
    };
    halve("a shorter day", [](Scenario& s) {
      lab::Experiment& e = s.experiment;
      e.lasts = Span::ms(static_cast<double>(static_cast<int>(e.lasts.as_ms() * 0.6)));
      return e.lasts >= Span::ms(300);
    });
    halve("fewer calls", [](Scenario& s) { return (s.experiment.callers.rate /= 2.0) >= 2.0; });
    for (std::size_t t = 0; t < best_.experiment.tiers.size(); ++t) {
      halve("an endpoint less", [t](Scenario& s) { return --s.experiment.tiers[t].endpoints >= 1; });
      halve("a sidecar less", [t](Scenario& s) { return --s.experiment.tiers[t].sidecars >= 1; });
    }
    for (std::size_t t = best_.experiment.tracks.size(); t-- > 0 && best_.experiment.tracks.size() > 1;) {
      Scenario s = best_;
      s.experiment.tracks.erase(s.experiment.tracks.begin() + static_cast<long>(t));
      out = keep_if_broken(s, "without a track") || out;
    }
    return out;
  }

  // Network and callers as they are by default, one property after another.
  bool restore_defaults() {
    const network_simulation::NetworkConditions plain;
    bool out = false;
    const auto set = [&](auto member, const char* what) {
      if (best_.network.*member == plain.*member) return;
      Scenario s = best_;
      s.network.*member = plain.*member;
      out = keep_if_broken(s, what) || out;
    };
    set(&network_simulation::NetworkConditions::retransmit_probability, "nothing sent again");
    set(&network_simulation::NetworkConditions::connect_loss_probability, "no connect lost");
    set(&network_simulation::NetworkConditions::late_turn_probability, "no turn late");
    set(&network_simulation::NetworkConditions::mean_delay, "usual delays");
    if (best_.network.max_buffer_size != plain.max_buffer_size) {
      Scenario s = best_;
      s.network.min_buffer_size = plain.min_buffer_size, s.network.max_buffer_size = plain.max_buffer_size;
      out = keep_if_broken(s, "usual buffers") || out;
    }
    set(&network_simulation::NetworkConditions::split_probability, "usual splits");
    const auto usual = [&](auto member, auto value, const char* what) {
      if (best_.experiment.callers.*member == value) return;
      Scenario s = best_;
      s.experiment.callers.*member = value;
      out = keep_if_broken(s, what) || out;
    };
    usual(&lab::CallersSpec::leave_share, 0.0, "no caller leaves");
    usual(&lab::CallersSpec::repeats, 0, "no repeats");
    usual(&lab::CallersSpec::spread, false, "connections used again");
    return out;
  }

  Scenario best_;
  std::string rule_;
  std::size_t remaining_attempts_;
  const std::function<void(const std::string&)>& on_step_;
};

}  // namespace

Scenario shrink(const Scenario& scenario, const std::string& rule, std::size_t max_attempts,
                const std::function<void(const std::string&)>& on_step) {
  Shrinker shrinker(scenario, rule, max_attempts, on_step);
  return shrinker.run();
}

}  // namespace chutevane::sidecar_simulation
