#include "common/invariant.hpp"

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "common/log.hpp"

namespace chutevane::common {
namespace {

constexpr std::uint64_t max_logged_violations = 20;  // for each invariant; further ones are only counted

constexpr std::array<std::string_view, invariant_kind_count> names = {
    "value-number-rises",      "one-value-under-a-number",      "configuration-version-rises",
    "confirmed-value-is-held", "accepted-not-above-promised",   "answered-after-sync",
    "kept-by-enough-disks",    "reserved-before-sent",          "unknown-only-when-whole",
    "not-sent-twice",          "answer-belongs-to-exchange",    "exchange-ends-once",
    "places-held-by-attempts", "connections-equal-descriptors", "log-is-bounded",
};

std::array<std::uint64_t, invariant_kind_count> violations{};

InvariantMode mode_from_environment() {
  const char* const wanted = std::getenv("CHUTEVANE_INVARIANTS");
  const bool fatal = wanted != nullptr && std::strcmp(wanted, "fatal") == 0;
  return fatal ? InvariantMode::fatal : InvariantMode::count_and_log;
}

InvariantMode& mode() {
  static InvariantMode current = mode_from_environment();
  return current;
}

}  // namespace

std::string_view name_of(Invariant invariant) { return names[static_cast<std::size_t>(invariant)]; }

void set_invariant_mode(InvariantMode wanted) { mode() = wanted; }

std::array<InvariantCount, invariant_kind_count> invariant_counts() {
  std::array<InvariantCount, invariant_kind_count> out;
  for (std::size_t i = 0; i < invariant_kind_count; ++i) out[i] = {names[i], violations[i]};
  return out;
}

std::uint64_t violations_of(Invariant invariant) { return violations[static_cast<std::size_t>(invariant)]; }

void report_violation(Invariant invariant, const std::string& detail) {
  const std::uint64_t count = ++violations[static_cast<std::size_t>(invariant)];
  const std::string text = std::string(name_of(invariant)) + ": " + detail;
  if (mode() == InvariantMode::fatal) {
    log_event(Level::error, "invariant.violated", text);
    std::fprintf(stderr, "invariant violated: %s\n", text.c_str());
    std::abort();
  }
  if (mode() == InvariantMode::count_and_log && count <= max_logged_violations)
    log_event(Level::error, "invariant.violated", text);
}

}  // namespace chutevane::common
