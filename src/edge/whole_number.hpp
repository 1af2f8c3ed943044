/// Parsing of whole numbers in header fields and events.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace chutevane::edge {

/// Parses a decimal number from 0 to 2^63 - 1. Returns std::nullopt for any other text.
inline std::optional<std::int64_t> parse_whole_number(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < 0) return std::nullopt;
  return number;
}

}  // namespace chutevane::edge
