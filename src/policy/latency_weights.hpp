/// Weighted random selection by the inverse of smoothed latency. Works on positions; the caller maps them to
/// endpoints.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "base/pcg.hpp"
#include "chutevane/types.hpp"

namespace chutevane {

/// Consecutive positions on a ring. The range may wrap around the ring's end.
struct RingRange {
  std::size_t from = 0;
  std::size_t size = 0;
};

struct LatencyWeightsConfig {
  Span update_interval = Span::ms(2000);
  double latency_gain = 0.1;  ///< weight of a response in the mean, which covers about 20 responses
  /// Multiple of the mean calls in flight above which a position is overloaded: endpoints that queue are
  /// well above it.
  double overload_factor = 1.2;
  double overload_margin = 0.5;  ///< calls; with a mean near 0, an endpoint with one in flight is skipped
  int max_draws = 4;             ///< draws before the caller selects the least loaded endpoint instead
};

/// The owner updates all weights together, about every `update_interval`: begin_update(), then
/// add_measured_latency() for each endpoint, then add_weight() for each position in order.
class LatencyWeights {
 public:
  /// Whether the caller accepts a drawn position.
  enum class Fit : std::uint8_t {
    rejected,
    remote,  ///< acceptable, but a position in the own zone is preferred
    accepted,
  };

  explicit LatencyWeights(TimePoint now, const LatencyWeightsConfig& config = {})
      : config_(config), next_update_at_(now) {}

  /// Updates the moving average `latency_ms`, which is 0 before the first measurement.
  void smooth(double& latency_ms, double measured_ms) const {
    latency_ms += (measured_ms - latency_ms) * (latency_ms > 0.0 ? config_.latency_gain : 1.0);
  }

  [[nodiscard]] TimePoint next_update_at() const { return next_update_at_; }
  void begin_update(TimePoint now) {
    speed_sum_ = measured_count_ = 0.0;
    cumulative_.clear();
    next_update_at_ = now + config_.update_interval;
  }
  /// Adds a smoothed latency in ms. 0 means not measured and is ignored.
  void add_measured_latency(double latency_ms) {
    if (latency_ms <= 0.0) return;
    speed_sum_ += 1.0 / latency_ms;
    ++measured_count_;
  }
  /// Returns the mean of the inverse latencies, per ms; 1 if none is measured.
  [[nodiscard]] double mean_speed() const {
    return measured_count_ > 0.0 ? speed_sum_ / measured_count_ : 1.0;
  }
  /// Returns the inverse of a latency, or the mean if it is not measured.
  [[nodiscard]] double speed(double latency_ms) const {
    return latency_ms > 0.0 ? 1.0 / latency_ms : mean_speed();
  }
  /// Appends the weight of the next position; 0 for a position that is not in use.
  void add_weight(double weight) {
    cumulative_.push_back((cumulative_.empty() ? 0.0 : cumulative_.back()) + weight);
  }
  [[nodiscard]] std::size_t size() const { return cumulative_.size(); }

  /// Returns the number of calls in flight above which a position is overloaded, if `calls` are in flight
  /// over `positions`.
  [[nodiscard]] double overload_threshold(double calls, int positions) const {
    return config_.overload_factor * calls / std::max(1, positions) + config_.overload_margin;
  }

  /// Draws positions of `range` by weight until `fit(position, draw)` accepts one. The first remote position
  /// is the result if none of `extra_draws` further draws is accepted. Returns -1 if no position fits.
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
  // Sum of the weights of the first `count` positions, which may wrap around the ring more than once.
  [[nodiscard]] double weight_before(std::size_t count) const {
    const std::size_t rounds = count / cumulative_.size();
    const std::size_t rest = count % cumulative_.size();
    return static_cast<double>(rounds) * cumulative_.back() + (rest ? cumulative_[rest - 1] : 0.0);
  }

  LatencyWeightsConfig config_;
  std::vector<double> cumulative_;  // prefix sums of the weights along the ring
  double speed_sum_ = 0.0, measured_count_ = 0.0;
  TimePoint next_update_at_;
};

}  // namespace chutevane
