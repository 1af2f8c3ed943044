// Shares by the inverse of smoothed served latency, and the draw that follows them. Stands by itself: the
// places of a ring are numbers, and whoever asks knows what stands at them.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "base/pcg.hpp"
#include "chutevane/types.hpp"

namespace chutevane {

// Places that follow one another on the ring, which may run past its end.
struct Arc {
  std::size_t from = 0, size = 0;
};

struct SharesSpec {
  Span solve_every = Span::ms(2000);  // the design page's
  double latency_gain = 0.1;          // per answer: smooths over about 20 answers
  double pass_over_factor = 1.2;      // x mean in flight: what is "well above" where endpoints choke
  double pass_over_extra = 0.5;       // calls: at a mean near 0, an endpoint with one out is passed over
  int draws = 4;                      // tries at the share draw before the least loaded is taken
};

class Shares {
 public:
  enum class Fit : std::uint8_t { no, far, yes };

  explicit Shares(TimePoint now, const SharesSpec& given = {}) : spec_(given), solve_at_(now) {}
  // A served latency joins the smoothed one, ms; 0: unheard.
  void smooth(double& latency_ms, double served_ms) const {
    latency_ms += (served_ms - latency_ms) * (latency_ms > 0.0 ? spec_.latency_gain : 1.0);
  }
  // A solve: begin, hear the latencies of all, then add the weight of each place, 0 for one not in use.
  TimePoint solve_at() const { return solve_at_; }
  void begin(TimePoint now) { speeds_ = heard_ = 0.0, sums_.clear(), solve_at_ = now + spec_.solve_every; }
  void hear(double latency_ms) {
    if (latency_ms > 0.0) speeds_ += 1.0 / latency_ms, ++heard_;
  }
  double mean_speed() const { return heard_ > 0.0 ? speeds_ / heard_ : 1.0; }
  double speed(double latency_ms) const { return latency_ms > 0.0 ? 1.0 / latency_ms : mean_speed(); }
  void add(double weight) { sums_.push_back((sums_.empty() ? 0.0 : sums_.back()) + weight); }
  std::size_t size() const { return sums_.size(); }

  // With more calls than this a place is passed over, where `calls` are held at so many places.
  double pass_over(double calls, int places) const {
    return spec_.pass_over_factor * calls / std::max(1, places) + spec_.pass_over_extra;
  }
  // A place of the part by share, such that fit(place, try) is yes. -1: none was drawn. The first far one is
  // kept back while `more` draws after it look for a nearer one.
  template <class Fits>
  int draw(const Arc& part, Pcg& chance, int more, Fits fit) const {
    if (sums_.empty()) return -1;
    const double before = mass(part.from), total = mass(part.from + part.size) - before;
    int far = -1, last = spec_.draws - 1;
    for (int n = 0; n <= last && total > 0.0; ++n) {
      const double drawn = std::fmod(before + chance.unit() * total, sums_.back());
      const auto at = std::upper_bound(sums_.begin(), sums_.end(), drawn) - sums_.begin();
      const int place = static_cast<int>(std::min<long>(at, std::ssize(sums_) - 1));
      const Fit found = fit(static_cast<std::size_t>(place), n);
      if (found == Fit::yes) return place;
      if (found == Fit::far && far < 0) far = place, last = n + more;
    }
    return far;
  }
  const SharesSpec& spec() const { return spec_; }

 private:
  double mass(std::size_t n) const {  // of the first n of the ring, run round it as often as need be
    const std::size_t rest = n % sums_.size();
    return static_cast<double>(n / sums_.size()) * sums_.back() + (rest ? sums_[rest - 1] : 0.0);
  }
  SharesSpec spec_;
  std::vector<double> sums_;  // cumulative along the ring
  double speeds_ = 0.0, heard_ = 0.0;
  TimePoint solve_at_;
};

}  // namespace chutevane
