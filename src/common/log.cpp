#include "common/log.hpp"

#include <easylogging++.h>

#include <chrono>

#include "json/value.hpp"

INITIALIZE_EASYLOGGINGPP

namespace chutevane::common {
namespace {

constexpr int lines_most = 50;  // a second: what a reader and the processor bear in a storm

std::string the_node, the_role;
std::int64_t second = 0;
int lines = 0, dropped = 0;
std::uint64_t dropped_in_all = 0;
bool is_open = false;
LogSink the_sink;

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void put(Level level, const std::string& line) {
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
  the_node = node;
  the_role = role;
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

std::uint64_t log_lines_dropped() { return dropped_in_all; }

void set_log_sink(LogSink sink) { the_sink = std::move(sink); }

void log_event(Level level, std::string_view event, std::string_view detail) {
  if (the_sink) return the_sink(level, event, detail);
  if (!is_open) return;
  const std::int64_t now = unix_ms();
  if (now / 1000 != second) {
    if (dropped > 0)
      put(Level::warning,
          log_line_of("warning", the_node, the_role, "log.dropped", std::to_string(dropped), now));
    second = now / 1000;
    lines = dropped = 0;
  }
  if (++lines > lines_most) {
    ++dropped;
    ++dropped_in_all;
    return;
  }
  put(level, log_line_of(name_of(level), the_node, the_role, event, detail, now));
}

}  // namespace chutevane::common
