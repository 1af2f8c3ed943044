#include "edge/engine_model.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace chutevane::edge {
namespace {

constexpr double gain = 0.05;         // per observation: smooths over about 40 of them
constexpr double tokens_least = 200;  // of a prompt that tells how fast prompts are read
constexpr double least_variance = 1e-6;

void smooth(double& value, double observed) {
  value = value > 0 ? value + (observed - value) * gain : observed;
}

}  // namespace

void EngineModel::place_held(Span time) { smooth(place_ms_, std::max(time.as_ms(), 0.1)); }

void EngineModel::prompt_read(double tokens, Span latency) {
  mean_unread_ += (tokens - mean_unread_) * gain;
  if (tokens < tokens_least) return;
  // One that has waited for its place says little of how fast it was read.
  const double ms = std::max(latency.as_ms(), 0.01) / tokens;
  ms_per_token_ += (std::min(ms, ms_per_token_ * 2) - ms_per_token_) * gain;
}

void EngineModel::others_told(double others) { mean_others_ += (others - mean_others_) * gain; }

double EngineModel::others_now(double told, Span age) const {
  if (place_ms_ <= 0) return told;
  return mean_others_ + (told - mean_others_) * std::exp(-age.as_ms() / place_ms_);
}

double EngineModel::wait_ms(double own, double others, double capacity) const {
  if (capacity <= 0) return 0;
  return mean_excess(own + others + 1 - capacity, others) * place_ms_ / capacity;
}

double mean_excess(double mean, double variance) {
  if (variance < least_variance) return std::max(mean, 0.0);
  const double deviation = std::sqrt(variance);
  const double z = mean / deviation;
  const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
  const double below = std::erfc(-z / std::numbers::sqrt2) / 2;
  return mean * below + deviation * density;
}

}  // namespace chutevane::edge
