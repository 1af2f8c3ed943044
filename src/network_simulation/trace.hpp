/// \file
/// The trace of a simulation: one structured line per event, "SECONDS KIND key=value ...". The same seed
/// gives the same lines, byte for byte, so a hash of them proves that two runs were equal.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "chutevane/types.hpp"

namespace chutevane::network_simulation {

/// Formats trace lines and hands them to a sink. Without a sink nothing is formatted.
class Trace {
 public:
  /// Called with each line, without its line end; the view is valid during the call only.
  using Sink = std::function<void(std::string_view line)>;

  /// A trace that is off.
  Trace() = default;
  explicit Trace(Sink sink) : sink_(std::move(sink)) {}

  [[nodiscard]] bool is_on() const { return static_cast<bool>(sink_); }

  /// Writes one line with the simulated time `at` in front; a line too long for the buffer is truncated.
  void record(TimePoint at, const char* format, ...) __attribute__((format(printf, 3, 4)));

 private:
  Sink sink_;
};

/// FNV-1a over trace lines: compares two traces without storing them.
class TraceHash {
 public:
  void add(std::string_view line) {
    for (const char c : line) add_byte(c);
    add_byte('\n');
    ++lines_;
  }
  [[nodiscard]] std::uint64_t value() const { return value_; }
  [[nodiscard]] std::uint64_t lines() const { return lines_; }

 private:
  static constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;
  static constexpr std::uint64_t fnv_offset_basis = 0xcbf29ce484222325ULL;

  void add_byte(char c) { value_ = (value_ ^ static_cast<unsigned char>(c)) * fnv_prime; }

  std::uint64_t value_ = fnv_offset_basis, lines_ = 0;
};

}  // namespace chutevane::network_simulation
