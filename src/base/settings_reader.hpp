// Typed look-ups in the settings; a missing or malformed one is named.
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
  // Where a setting may be missing; a malformed one is still named.
  double number_or(const std::string& key, double otherwise) const {
    return has(key) ? number(key) : otherwise;
  }
  bool flag_or_not(std::string_view key) const { return has(key) && flag(key); }

 private:
  Settings settings_;
};

}  // namespace chutevane
