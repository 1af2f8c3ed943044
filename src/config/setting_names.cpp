#include "config/setting_names.hpp"

#include <algorithm>
#include <iterator>

namespace chutevane::config {
namespace {

struct Name {
  std::string_view platform, ours;
};
constexpr Name names[] = {
    {"classes", "tracks"},
    {"give_up_ms", "client_timeout_ms"},
    {"target_ms", "soft_limit_ms"},
    {"points", "payoff"},
    {"late_share", "late_payoff"},
    {"key_scope", "repeat_group"},
    {"memory_span_ms", "repeat_window_ms"},
    {"may_duplicate", "second_copies"},
    {"max_attempts", "max_dispatches"},
    {"n_instances", "sidecars"},
};
constexpr Name effects[] = {{"safe", "replayable"}, {"keyed", "referenced"}, {"unsafe", "single-use"}};

/// Translates each part between the dots.
std::string rename_path(std::string_view path, bool to_platform) {
  std::string out;
  while (true) {
    const std::size_t dot = path.find('.');
    const std::string_view part = path.substr(0, dot);
    const auto* const found = std::find_if(std::begin(names), std::end(names), [&](const Name& n) {
      return part == (to_platform ? n.ours : n.platform);
    });
    out += found == std::end(names) ? part : (to_platform ? found->platform : found->ours);
    if (dot == std::string_view::npos) return out;
    out += '.';
    path.remove_prefix(dot + 1);
  }
}

}  // namespace

void put_setting(Settings& settings, std::string_view platform_name, std::string_view value) {
  if (platform_name.ends_with(".effect")) {
    for (const Name& n : effects) value = value == n.platform ? n.ours : value;
  }
  settings.insert_or_assign(rename_path(platform_name, false), std::string(value));
}

std::string platform_name(std::string_view setting) { return rename_path(setting, true); }

}  // namespace chutevane::config
