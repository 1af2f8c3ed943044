// What an experiment has brought in: by track, by slice of time and by fault. Without I/O.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/statistics.hpp"

namespace chutevane::lab {

// How a client's wish ended, its own repeats included.
enum class Ending : std::uint8_t { in_time, late, rejected, broken_off, unanswered, left };
inline constexpr std::size_t endings = 6;
std::string_view name_of(Ending ending);

// Wishes that have ended, and what they were worth.
struct Tally {
  std::uint64_t asked = 0, tries = 0, dispatches = 0;
  std::array<std::uint64_t, endings> ended{};
  double payoff_asked = 0.0, payoff_got = 0.0;
  LatencyTable latency;  // of those done, from the intended time of sending
  std::uint64_t of(Ending e) const { return ended[static_cast<std::size_t>(e)]; }
  double service() const { return payoff_asked > 0.0 ? payoff_got / payoff_asked : 1.0; }
  void add(const Tally& other);
};

class Ledger {
 public:
  static constexpr Span slice = Span::ms(250);  // of the time line: some hundred points for a usual run

  // `begins`: of the measured time. Wishes intended before it or after its end do not count.
  Ledger(const Experiment& experiment, TimePoint begins);
  void set_begin(TimePoint begins) { begins_ = begins; }
  TimePoint begins() const { return begins_; }

  // A wish was meant to be sent at `intended`, and ended `at`; `tries` calls were made for it.
  void ended(std::size_t track, TimePoint intended, TimePoint at, Ending how, int tries);
  // A dispatch of such a wish's call came to an endpoint of the first tier.
  void dispatched(std::size_t track, TimePoint intended);

  // A request came to an endpoint of that tier.
  void came_to(std::size_t tier, TimePoint at);
  // By tier and slice.
  const std::vector<std::vector<std::uint32_t>>& came() const { return came_; }

  const std::vector<Tally>& tracks() const { return tracks_; }
  const std::vector<Tally>& slices() const { return slices_; }
  Tally all() const;
  // What was meant to be sent while a fault was in force; one that happens once counts for two seconds.
  Tally during(const FaultSpec& fault) const;
  Tally outside_faults() const;

 private:
  Tally* slice_of(TimePoint intended);
  Experiment experiment_;  // its own: results outlive what they came from
  TimePoint begins_;
  std::vector<Tally> tracks_, slices_;
  std::vector<std::vector<std::uint32_t>> came_;
};

}  // namespace chutevane::lab
