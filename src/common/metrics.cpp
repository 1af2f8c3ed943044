#include "common/metrics.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <cmath>
#include <cstdio>
#include <fstream>

#include "common/invariant.hpp"
#include "common/log.hpp"

namespace chutevane::common {
namespace {

/// Appends a label value or help text, escaped.
void append_escaped(std::string& out, std::string_view text) {
  for (const char c : text) {
    if (c == '\\' || c == '"') out.push_back('\\');
    if (c == '\n') {
      out.append("\\n");
    } else {
      out.push_back(c);
    }
  }
}

void append_number(std::string& out, double value) {
  char text[40];
  const bool is_integer = value == std::floor(value) && std::abs(value) < 1e15;
  std::snprintf(text, sizeof text, is_integer ? "%.0f" : "%.6g", value);
  out.append(text);
}

double seconds_of(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
}

/// Returns the resident memory in bytes, or 0 if /proc cannot be read.
double resident_bytes() {
  std::ifstream in("/proc/self/statm");
  double total_pages = 0, resident_pages = 0;
  in >> total_pages >> resident_pages;
  return in ? resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) : 0;
}

}  // namespace

MetricsWriter& MetricsWriter::begin(Type type, std::string_view name, std::string_view unit,
                                    std::string_view help) {
  type_ = type;
  name_ = name;
  out_.append("# TYPE ").append(name).append(type == Type::counter ? " counter\n" : " gauge\n");
  if (!unit.empty()) out_.append("# UNIT ").append(name).append(" ").append(unit).append("\n");
  out_.append("# HELP ").append(name).append(" ");
  append_escaped(out_, help);
  out_.push_back('\n');
  return *this;
}

MetricsWriter& MetricsWriter::sample(double value, const Labels& labels) {
  out_.append(name_);
  if (type_ == Type::counter) out_.append("_total");
  char separator = '{';
  for (const auto& [label, text] : labels) {
    out_.push_back(separator);
    out_.append(label).append("=\"");
    append_escaped(out_, text);
    out_.push_back('"');
    separator = ',';
  }
  if (!labels.empty()) out_.push_back('}');
  out_.push_back(' ');
  append_number(out_, value);
  out_.push_back('\n');
  return *this;
}

std::string MetricsWriter::finish() && {
  out_.append("# EOF\n");
  return std::move(out_);
}

void write_buffer_metrics(MetricsWriter& out, const net::BufferBudget& budget) {
  out.gauge("chutevane_buffer_bytes", "bytes", "Memory that peers make this process hold.",
            static_cast<double>(budget.bytes()));
  out.gauge("chutevane_buffer_peak_bytes", "bytes", "The most of it so far.",
            static_cast<double>(budget.peak()));
  out.gauge("chutevane_buffer_limit_bytes", "bytes", "The budget for it.",
            static_cast<double>(budget.limit()));
}

void write_process_metrics(MetricsWriter& out) {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  out.counter("process_cpu_seconds", "seconds", "Processor time used, user and system.",
              seconds_of(usage.ru_utime) + seconds_of(usage.ru_stime));
  out.gauge("process_resident_memory_bytes", "bytes", "Memory in use.", resident_bytes());
  out.counter("chutevane_log_lines_dropped", "", "Log lines left out because of the bound on their rate.",
              static_cast<double>(log_lines_dropped()));
  out.begin(MetricsWriter::Type::counter, "chutevane_invariant_violations", "",
            "Violations of an invariant of the code, by its name. Any above 0 is a fault to report.");
  for (const InvariantCount& count : invariant_counts())
    out.sample(static_cast<double>(count.violations), {{"invariant", count.name}});
}

}  // namespace chutevane::common
