/// EngineModel: smoothed observations and the queueing estimate.
#include "edge/engine_model.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace chutevane::edge {
namespace {

constexpr double smoothing_gain = 0.05;     // per observation; smooths over about 40 observations
constexpr double min_prefill_tokens = 200;  // shorter prompts are no measure of the prefill speed
constexpr double min_variance = 1e-6;
constexpr double min_slot_ms = 0.1;
constexpr double min_latency_ms = 0.01;

void smooth(double& value, double observed) {
  value = value > 0 ? value + (observed - value) * smoothing_gain : observed;
}

}  // namespace

void EngineModel::observe_slot_time(Span duration) {
  smooth(slot_ms_, std::max(duration.as_ms(), min_slot_ms));
}

void EngineModel::observe_prefill(double tokens, Span latency) {
  mean_prefill_tokens_ += (tokens - mean_prefill_tokens_) * smoothing_gain;
  if (tokens < min_prefill_tokens) return;
  // The latency includes the wait for a slot. The bound keeps a long wait from being taken for a slow
  // prefill.
  const double ms_per_token = std::max(latency.as_ms(), min_latency_ms) / tokens;
  prefill_ms_per_token_ +=
      (std::min(ms_per_token, prefill_ms_per_token_ * 2) - prefill_ms_per_token_) * smoothing_gain;
}

void EngineModel::observe_other_requests(double requests) {
  mean_other_requests_ += (requests - mean_other_requests_) * smoothing_gain;
}

double EngineModel::expected_other_requests(double reported, Span age) const {
  if (slot_ms_ <= 0) return reported;
  return mean_other_requests_ + (reported - mean_other_requests_) * std::exp(-age.as_ms() / slot_ms_);
}

// Assumes that the number of other requests is Poisson distributed (variance = mean) and approximates its
// excess over the free slots by a normal distribution. Each request of the excess waits for one slot to
// become free.
double EngineModel::expected_wait_ms(double own, double others, double slots) const {
  if (slots <= 0) return 0;
  return expected_excess(own + others + 1 - slots, others) * slot_ms_ / slots;
}

double expected_excess(double mean, double variance) {
  if (variance < min_variance) return std::max(mean, 0.0);
  const double deviation = std::sqrt(variance);
  const double z = mean / deviation;
  const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
  const double below = std::erfc(-z / std::numbers::sqrt2) / 2;
  return mean * below + deviation * density;
}

}  // namespace chutevane::edge
