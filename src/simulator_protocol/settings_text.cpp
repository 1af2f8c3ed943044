#include "simulator_protocol/settings_text.hpp"

#include <algorithm>

#include "config/setting_names.hpp"

namespace chutevane::simulator_protocol {
namespace {

// Removes the part of `text` up to the next `separator`, and returns it without the separator. Without a
// separator this is all of `text`.
std::string_view take_until(std::string_view& text, char separator) {
  const std::size_t end = std::min(text.find(separator), text.size());
  const std::string_view taken = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return taken;
}

}  // namespace

Settings parse_settings(std::string_view text) {
  Settings settings;
  while (!text.empty()) {
    const std::string_view line = take_until(text, '\n');
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) continue;
    config::put_setting(settings, line.substr(0, equals), line.substr(equals + 1));
  }
  return settings;
}

LoadReport parse_load_report(const Event& event, std::string_view fields) {
  LoadReport report;
  for (std::size_t i = 0; i < event.load_count && !fields.empty(); ++i) {
    const std::string_view name = take_until(fields, ',');
    if (name == "q") report.waiting = event.load[i];
    if (name == "rif") report.held = event.load[i];
    if (name == "busy") report.busy = event.load[i];
    if (name == "lat_ms") report.service_ms = event.load[i];
  }
  return report;
}

}  // namespace chutevane::simulator_protocol
