#include "lab/tier/coordination_report.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace chutevane::lab::tier {
namespace {

std::string quantile_text(std::vector<double> sorted, double part) {
  if (sorted.empty()) return "-";
  const auto place = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
  char out[32];
  std::snprintf(out, sizeof out, "%.1f", sorted[std::min(place, sorted.size() - 1)]);
  return out;
}

std::string outcomes_text(const std::array<std::uint64_t, coordination_outcomes>& counts) {
  std::string out;
  for (std::size_t i = 0; i < coordination_outcomes; ++i) {
    if (counts[i] == 0) continue;
    if (!out.empty()) out += ", ";
    out += std::string(name_of(static_cast<CoordinationOutcome>(i))) + " " + std::to_string(counts[i]);
  }
  return out;
}

}  // namespace

std::string table_of(const CoordinationFigures& figures) {
  std::string out = "call               p50 ms    p99 ms   ended\n";
  for (std::size_t i = 0; i < coordination_kinds; ++i) {
    std::vector<double> sorted = figures.latency_ms[i];
    std::sort(sorted.begin(), sorted.end());
    char line[64];
    std::snprintf(line, sizeof line, "%-15s %9s %9s   ", name_of(static_cast<CoordinationKind>(i)),
                  quantile_text(sorted, 0.5).c_str(), quantile_text(sorted, 0.99).c_str());
    out += line + outcomes_text(figures.calls[i]) + "\n";
  }
  return out;
}

nlohmann::json json_of(const CoordinationFigures& figures) {
  return {{"calls", figures.calls}, {"latencyMs", figures.latency_ms}};
}

void add_json(CoordinationFigures& figures, const nlohmann::json& more) {
  const auto calls = more.at("calls").get<decltype(figures.calls)>();
  const auto latency_ms = more.at("latencyMs").get<decltype(figures.latency_ms)>();
  for (std::size_t kind = 0; kind < coordination_kinds; ++kind) {
    for (std::size_t i = 0; i < coordination_outcomes; ++i) figures.calls[kind][i] += calls[kind][i];
    auto& all = figures.latency_ms[kind];
    all.insert(all.end(), latency_ms[kind].begin(), latency_ms[kind].end());
  }
}

}  // namespace chutevane::lab::tier
