/// Weights by the inverse of smoothed latency, and the random draw that follows them. Stands alone: positions
/// are numbers, and the caller knows which endpoint each of them is.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "base/pcg.hpp"
#include "chutevane/types.hpp"

namespace chutevane {

/// Consecutive positions on a ring; the range may run past the ring's end.
struct RingRange {
  std::size_t from = 0;
  std::size_t size = 0;
};

struct LatencyWeightsConfig {
  Span update_interval = Span::ms(2000);
  double latency_gain = 0.1;     ///< per response: smooths over about 20 of them
  double overload_factor = 1.2;  ///< x mean in flight: well above it where endpoints queue
  double overload_margin = 0.5;  ///< calls: with a mean near 0, an endpoint with one in flight is passed over
  int max_draws = 4;             ///< before the caller takes the least loaded instead
};

/// The owner updates all weights together, about every `update_interval`: begin_update(), then
/// add_measured_latency() for each endpoint, then add_weight() for each position in order.
class LatencyWeights {
 public:
  /// What the caller thinks of a drawn position.
  enum class Fit : std::uint8_t {
    rejected,
    remote,  ///< acceptable, but a nearer one is preferred
    accepted,
  };

  explicit LatencyWeights(TimePoint now, const LatencyWeightsConfig& config = {})
      : config_(config), next_update_at_(now) {}

  /// Smooths `latency_ms`, which is 0 before its first measurement, by a response's latency.
  void smooth(double& latency_ms, double measured_ms) const {
    latency_ms += (measured_ms - latency_ms) * (latency_ms > 0.0 ? config_.latency_gain : 1.0);
  }

  [[nodiscard]] TimePoint next_update_at() const { return next_update_at_; }
  void begin_update(TimePoint now) {
    speed_sum_ = measured_count_ = 0.0;
    cumulative_.clear();
    next_update_at_ = now + config_.update_interval;
  }
  /// A smoothed latency in ms; 0, not measured, is left out.
  void add_measured_latency(double latency_ms) {
    if (latency_ms <= 0.0) return;
    speed_sum_ += 1.0 / latency_ms;
    ++measured_count_;
  }
  /// Mean of the inverse latencies, per ms; 1 where none is measured.
  [[nodiscard]] double mean_speed() const {
    return measured_count_ > 0.0 ? speed_sum_ / measured_count_ : 1.0;
  }
  /// Inverse of a latency; what is not measured is taken for average.
  [[nodiscard]] double speed(double latency_ms) const {
    return latency_ms > 0.0 ? 1.0 / latency_ms : mean_speed();
  }
  /// The weight of the next position; 0 for one that is not in use.
  void add_weight(double weight) {
    cumulative_.push_back((cumulative_.empty() ? 0.0 : cumulative_.back()) + weight);
  }
  [[nodiscard]] std::size_t size() const { return cumulative_.size(); }

  /// A position with more calls in flight than this is overloaded, where `calls` are in flight at
  /// `positions`.
  [[nodiscard]] double overload_threshold(double calls, int positions) const {
    return config_.overload_factor * calls / std::max(1, positions) + config_.overload_margin;
  }

  /// Draws positions of `range` by weight until `fit(position, draw)` accepts one; -1 where none fits. The
  /// first remote one is kept while `extra_draws` after it look for one that is accepted.
  template <class Fits>
  [[nodiscard]] int draw(const RingRange& range, Pcg& random, int extra_draws, Fits fit) const {
    if (cumulative_.empty()) return -1;
    const double before = weight_before(range.from);
    const double total = weight_before(range.from + range.size) - before;
    int remote = -1;
    int last_draw = config_.max_draws - 1;
    for (int n = 0; n <= last_draw && total > 0.0; ++n) {
      const double drawn = std::fmod(before + random.unit() * total, cumulative_.back());
      const auto at = std::upper_bound(cumulative_.begin(), cumulative_.end(), drawn) - cumulative_.begin();
      const int position = static_cast<int>(std::min<long>(at, std::ssize(cumulative_) - 1));
      const Fit found = fit(static_cast<std::size_t>(position), n);
      if (found == Fit::accepted) return position;
      if (found == Fit::remote && remote < 0) {
        remote = position;
        last_draw = n + extra_draws;
      }
    }
    return remote;
  }
  [[nodiscard]] const LatencyWeightsConfig& config() const { return config_; }

 private:
  // Of the first `count` positions, which may go round the ring more than once.
  [[nodiscard]] double weight_before(std::size_t count) const {
    const std::size_t rounds = count / cumulative_.size();
    const std::size_t rest = count % cumulative_.size();
    return static_cast<double>(rounds) * cumulative_.back() + (rest ? cumulative_[rest - 1] : 0.0);
  }

  LatencyWeightsConfig config_;
  std::vector<double> cumulative_;  // weights along the ring
  double speed_sum_ = 0.0, measured_count_ = 0.0;
  TimePoint next_update_at_;
};

}  // namespace chutevane
