/// Typed look-ups in the balancer's settings. All of them throw SettingError, naming the key, where a value
/// is missing or malformed.
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
      throw SettingError(key, "not a number: '" + value + "'");
    }
    return v;
  }
  Span span(const std::string& key) const { return Span::ms(number(key)); }
  bool flag(std::string_view key) const { return text(key) == "true"; }
  /// For settings that may be missing; a malformed one still throws.
  double number_or(const std::string& key, double otherwise) const {
    return has(key) ? number(key) : otherwise;
  }
  bool flag_or_not(std::string_view key) const { return has(key) && flag(key); }

 private:
  Settings settings_;
};

}  // namespace chutevane
