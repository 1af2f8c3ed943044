/// Adaptive attempt timeouts, from the response times of the last seconds. Independent of the settings.
#pragma once

#include <algorithm>

#include "base/histogram.hpp"

namespace chutevane {

struct LatencyEstimateConfig {
  double timeout_multiple = 3.0;  ///< the timeout as a multiple of the high quantile
  double high_quantile = 0.95;
  Span window = Span::ms(10000);
  std::uint32_t min_samples = 20;   ///< responses in the window before there is an estimate
  Span min_timeout = Span::ms(50);  ///< one scheduling hiccup
  /// Adaptive timeouts per response. Above this ratio the timeouts cut off more than the tail.
  double max_timeouts_per_response = 0.2;
};

/// An adaptive attempt timeout and quantiles of response times, over a sliding window. The time that is
/// passed never decreases from call to call.
class LatencyEstimate {
 public:
  explicit LatencyEstimate(const LatencyEstimateConfig& config = {})
      : config_(config), response_times_(config.window), timeouts_(response_times_) {}

  void record_response(Span elapsed, TimePoint now) { response_times_.add(elapsed, now); }
  /// Records an attempt that ended by a timeout shorter than the caller's own.
  void record_adaptive_timeout(Span elapsed, TimePoint now) { timeouts_.add(elapsed, now); }

  [[nodiscard]] bool is_measured(TimePoint now) { return response_times_.count(now) >= config_.min_samples; }
  [[nodiscard]] Span quantile(double q, TimePoint now) { return response_times_.quantile(q, now); }
  /// Returns zero while the estimate is not measured.
  [[nodiscard]] Span median(TimePoint now) { return is_measured(now) ? quantile(0.5, now) : Span(); }
  [[nodiscard]] Span high(TimePoint now) { return quantile(config_.high_quantile, now); }

  /// Updates whether the estimate is starved: its own timeouts cut off so many responses that it could only
  /// decrease. To be called every few seconds. Returns the new state.
  bool update_starved(TimePoint now) {
    const double timeouts = timeouts_.count(now);
    const double responses = response_times_.count(now);
    return is_starved_ = timeouts > config_.max_timeouts_per_response * std::max(1.0, responses);
  }
  [[nodiscard]] bool is_starved() const { return is_starved_; }

  /// Returns the timeout of an attempt whose caller allows `max`. It is at most `max`, and equal to it while
  /// the estimate is not measured or is starved.
  [[nodiscard]] Span attempt_timeout(Span max, TimePoint now) {
    if (!is_measured(now) || is_starved_) return max;
    return std::min(max, std::max(config_.min_timeout, high(now) * config_.timeout_multiple));
  }
  [[nodiscard]] const LatencyEstimateConfig& config() const { return config_; }

 private:
  LatencyEstimateConfig config_;
  WindowedHistogram response_times_, timeouts_;
  bool is_starved_ = false;
};

}  // namespace chutevane
