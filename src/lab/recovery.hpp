// When a fleet is back in full service after a fault, by a run with it and one without. Without I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "lab/ledger.hpp"

namespace chutevane::lab {

// The definition is docs/restart.md's: the first moment from which on for 5 s each second serves at least 99%
// of the payoff that the same second serves without the fault, and the 99th percentile of latency over those
// 5 s is within 1.5 times.
struct Recovery {
  static constexpr Span second = Span::ms(1000), stays = Span::ms(5000);
  static constexpr double served_least = 0.99, p99_most = 1.5;
  static constexpr double p99_grain_ms = 2.0;  // a lab's timers: p99s that are nearer are the same
  std::optional<Span> took;                    // from the fault; none: not back before the run's end
  double payoff_lost = 0.0;  // of all that was asked for from the fault on, against the run without
  double worst = 1.0;        // of the seconds from the fault on: served against the same one without
};

// What all processes did together: connections that came to each endpoint, and whole lists asked for.
class Surges {
 public:
  static constexpr Span grain = Span::ms(100);
  void set_begin(TimePoint begins) { begins_ = begins; }
  void connected(std::size_t tier, std::size_t place, TimePoint at);
  void asked(TimePoint at) { count(asked_, at); }
  // Between two moments, from the beginning of the measured time.
  std::uint32_t most_at_one(Span from, Span to) const;  // connections in one grain at one endpoint
  std::uint32_t most_asked_in_1s(Span from, Span to) const;
  const std::vector<std::uint32_t>& all_connections() const { return all_; }  // by grain
  const std::vector<std::uint32_t>& all_asked() const { return asked_; }

 private:
  using Counts = std::vector<std::uint32_t>;
  void count(Counts& in, TimePoint at);
  TimePoint begins_ = TimePoint::never();
  std::map<std::pair<std::size_t, std::size_t>, Counts> at_;  // by tier and place
  Counts all_, asked_;
};

Recovery recover(const Ledger& with, const Ledger& without, Span fault);

}  // namespace chutevane::lab
