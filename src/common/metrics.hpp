/// Formats the metrics of a process in the OpenMetrics text format.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/buffer_budget.hpp"

namespace chutevane::common {

/// Writes metric families one after another: begin() writes a family's type, unit and help text, and must be
/// followed by all of its samples.
class MetricsWriter {
 public:
  enum class Type : std::uint8_t { counter, gauge };
  using Labels = std::vector<std::pair<std::string_view, std::string_view>>;

  /// Begins a family. `unit` is the last word of the name, or empty. Samples of a counter get the suffix
  /// `_total`.
  MetricsWriter& begin(Type type, std::string_view name, std::string_view unit, std::string_view help);
  /// Writes a sample of the current family. `labels` are pairs of name and value; this function escapes the
  /// values.
  MetricsWriter& sample(double value, const Labels& labels = {});

  /// Writes a family with one sample.
  MetricsWriter& counter(std::string_view name, std::string_view unit, std::string_view help, double value) {
    return begin(Type::counter, name, unit, help).sample(value);
  }
  MetricsWriter& gauge(std::string_view name, std::string_view unit, std::string_view help, double value) {
    return begin(Type::gauge, name, unit, help).sample(value);
  }
  /// Returns the complete text, terminated by `# EOF`. The writer must not be used afterwards.
  std::string finish() &&;

 private:
  std::string out_;
  std::string name_;  // name of the current family
  Type type_ = Type::gauge;
};

constexpr std::string_view metrics_content_type =
    "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Writes how much peers make the process hold, and how much they may.
void write_buffer_metrics(MetricsWriter& out, const net::BufferBudget& budget);
/// Writes the processor time, memory, dropped log lines and invariant violations of this process.
void write_process_metrics(MetricsWriter& out);

}  // namespace chutevane::common
