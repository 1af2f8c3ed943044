#include "common/log.hpp"

#include <easylogging++.h>

#include <chrono>

#include "json/value.hpp"

INITIALIZE_EASYLOGGINGPP

namespace chutevane::common {
namespace {

constexpr int max_lines_per_second = 50;  // limits processor time and log volume during large failures

// The state of the process's log.
std::string log_node, log_role;
std::int64_t current_second = 0;  // Unix time
int lines_in_second = 0, dropped_in_second = 0;
std::uint64_t dropped_total = 0;
bool is_open = false;
LogSink sink;

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void write_line(Level level, const std::string& line) {
  switch (level) {
    case Level::info: LOG(INFO) << line; break;
    case Level::warning: LOG(WARNING) << line; break;
    case Level::error: LOG(ERROR) << line; break;
  }
}

std::string_view name_of(Level level) {
  return level == Level::info ? "info" : level == Level::warning ? "warning" : "error";
}

}  // namespace

void open_log(std::string_view node, std::string_view role) {
  log_node = node;
  log_role = role;
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::Format, "%msg");
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", conf);
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  is_open = true;
}

std::string log_line_of(std::string_view level, std::string_view node, std::string_view role,
                        std::string_view event, std::string_view detail, std::int64_t at_ms) {
  json::Writer out;
  out.open('{').key("ms").number(static_cast<std::uint64_t>(at_ms)).key("level").text(level);
  out.key("node").text(node).key("role").text(role).key("event").text(event).key("detail").text(detail);
  out.close('}');
  return out.result();
}

std::uint64_t log_lines_dropped() { return dropped_total; }

void set_log_sink(LogSink new_sink) { sink = std::move(new_sink); }

void log_event(Level level, std::string_view event, std::string_view detail) {
  if (sink) return sink(level, event, detail);
  if (!is_open) return;
  const std::int64_t now = unix_ms();
  if (now / 1000 != current_second) {
    if (dropped_in_second > 0)
      write_line(Level::warning, log_line_of("warning", log_node, log_role, "log.dropped",
                                             std::to_string(dropped_in_second), now));
    current_second = now / 1000;
    lines_in_second = dropped_in_second = 0;
  }
  if (++lines_in_second > max_lines_per_second) {
    ++dropped_in_second;
    ++dropped_total;
    return;
  }
  write_line(level, log_line_of(name_of(level), log_node, log_role, event, detail, now));
}

}  // namespace chutevane::common
