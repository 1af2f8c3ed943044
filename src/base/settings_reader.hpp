/// Typed lookups in the balancer's settings. They throw SettingError, which names the key, if a value is
/// missing or malformed.
#pragma once

#include <cmath>
#include <cstdlib>
#include <string>

#include "chutevane/types.hpp"

namespace chutevane {

class SettingsReader {
 public:
  explicit SettingsReader(const Settings& settings) : settings_(settings) {}
  bool has(std::string_view key) const { return settings_.contains(key); }
  const std::string& text(std::string_view key) const {
    const auto found = settings_.find(key);
    if (found == settings_.end()) throw SettingError(std::string(key), "missing");
    return found->second;
  }
  double number(const std::string& key) const {
    const std::string& value = text(key);
    char* end = nullptr;
    const double v = std::strtod(value.c_str(), &end);
    if (value.empty() || *end != '\0' || !std::isfinite(v)) {
      throw SettingError(key, "must be a number, got '" + value + "'");
    }
    return v;
  }
  /// Reads a duration in ms.
  Span span(const std::string& key) const { return Span::ms(number(key)); }
  bool flag(std::string_view key) const { return text(key) == "true"; }
  /// For optional settings. A malformed value still throws.
  double number_or(const std::string& key, double otherwise) const {
    return has(key) ? number(key) : otherwise;
  }
  bool flag_or_false(std::string_view key) const { return has(key) && flag(key); }

 private:
  Settings settings_;
};

}  // namespace chutevane
