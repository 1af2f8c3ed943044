/// Metrics of a process in the OpenMetrics text format.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chutevane::common {

/// Writes metric families one after the other: begin() gives a family's type, unit and help, and all its
/// samples follow.
class MetricsWriter {
 public:
  enum class Type : std::uint8_t { counter, gauge };
  using Labels = std::vector<std::pair<std::string_view, std::string_view>>;

  /// `unit`: the last word of the name, or empty. Samples of a counter get the suffix `_total`.
  MetricsWriter& begin(Type type, std::string_view name, std::string_view unit, std::string_view help);
  /// A sample of the family that was begun last. `labels`: names and values; values are escaped here.
  MetricsWriter& sample(double value, const Labels& labels = {});

  /// A family with one sample.
  MetricsWriter& counter(std::string_view name, std::string_view unit, std::string_view help, double value) {
    return begin(Type::counter, name, unit, help).sample(value);
  }
  MetricsWriter& gauge(std::string_view name, std::string_view unit, std::string_view help, double value) {
    return begin(Type::gauge, name, unit, help).sample(value);
  }
  /// The complete text, with the end mark `# EOF`. The writer is used up.
  std::string finish() &&;

 private:
  std::string out_;
  std::string name_;  // of the family that was begun last
  Type type_ = Type::gauge;
};

constexpr std::string_view metrics_content_type =
    "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Processor time, memory, dropped log lines and invariant violations of this process.
void write_process_metrics(MetricsWriter& out);

}  // namespace chutevane::common
