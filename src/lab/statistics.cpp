#include "lab/statistics.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "lab/draw.hpp"

namespace chutevane::lab {
namespace {

constexpr double least_ms = 0.001, step = 1.01;
constexpr std::size_t buckets = 2220;  // to an hour: log(3.6e9) / log(step)

}  // namespace

double mean(std::span<const double> values) {
  if (values.empty()) return 0.0;
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

void LatencyTable::add(double ms) {
  if (counts_.empty()) counts_.resize(buckets);
  const double at = std::log(std::max(ms, least_ms) / least_ms) / std::log(step);
  ++counts_[std::min(buckets - 1, static_cast<std::size_t>(at))];
  ++count_;
}

void LatencyTable::add(const LatencyTable& other) {
  if (other.counts_.empty()) return;
  if (counts_.empty()) counts_.resize(buckets);
  for (std::size_t i = 0; i < buckets; ++i) counts_[i] += other.counts_[i];
  count_ += other.count_;
}

double LatencyTable::quantile(double q) const {
  if (count_ == 0) return 0.0;
  const double wanted = q * static_cast<double>(count_);
  double seen = 0.0;
  for (std::size_t i = 0; i < buckets; ++i) {
    seen += counts_[i];
    if (seen >= wanted && counts_[i] > 0) return least_ms * std::pow(step, static_cast<double>(i) + 0.5);
  }
  return 0.0;
}

Interval bootstrap(std::span<const double> values, std::uint64_t seed, int rounds) {
  Interval out;
  out.mean = out.low = out.high = mean(values);
  if (values.size() < 2) return out;
  Chance chance(seed, "bootstrap");
  std::vector<double> means;
  for (int r = 0; r < rounds; ++r) {
    double sum = 0.0;
    for (std::size_t i = 0; i < values.size(); ++i) sum += values[chance.below(values.size())];
    means.push_back(sum / static_cast<double>(values.size()));
  }
  std::sort(means.begin(), means.end());
  out.low = means[static_cast<std::size_t>(0.025 * rounds)];
  out.high = means[std::min(means.size() - 1, static_cast<std::size_t>(0.975 * rounds))];
  return out;
}

}  // namespace chutevane::lab
