// Figures of a process as text, in the OpenMetrics form: a family's type, unit and help, then its samples.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chutevane::common {

// Writes families one after the other. All samples of a family follow its begin().
class MetricsWriter {
 public:
  enum class Type : std::uint8_t { counter, gauge };
  using Labels = std::vector<std::pair<std::string_view, std::string_view>>;

  // `unit`: the last word of the name, or empty. A counter's samples get the suffix `_total`.
  MetricsWriter& begin(Type type, std::string_view name, std::string_view unit, std::string_view help);
  MetricsWriter& sample(double value, const Labels& labels = {});

  // A family of one sample.
  MetricsWriter& counter(std::string_view name, std::string_view unit, std::string_view help, double value) {
    return begin(Type::counter, name, unit, help).sample(value);
  }
  MetricsWriter& gauge(std::string_view name, std::string_view unit, std::string_view help, double value) {
    return begin(Type::gauge, name, unit, help).sample(value);
  }
  // The whole text with its end mark.
  std::string finish() &&;

 private:
  std::string out_;
  std::string name_;  // of the family under way
  Type type_ = Type::gauge;
};

constexpr std::string_view metrics_content_type =
    "application/openmetrics-text; version=1.0.0; charset=utf-8";

// Processor time, memory, log lines dropped and violated invariants of this process.
void write_process_metrics(MetricsWriter& out);

}  // namespace chutevane::common
