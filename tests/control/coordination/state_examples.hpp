// Coordination states for tests: a fixed one with all fields set, and random ones.
#pragma once

#include <cstdint>
#include <string>

#include "control/coordination/state.hpp"
#include "simulated_system.hpp"

namespace chutevane::control::coordination {

// Returns a state with every field set, including binary strings and numbers of many bytes.
inline State filled_state() {
  State out;
  out.locks["free"] = {"", 3, 1000, 7};
  out.locks["held"] = {"a3.7", std::int64_t{1} << 52U, 30'000, ~std::uint64_t{0}, 300, 299};
  out.numbers["n1"] = 1;
  out.numbers["n2"] = std::int64_t{1} << 40U;
  KeyGroup& group = out.groups["g."];
  group.revision = 130;
  group.keys["g.a"] = {std::string("\0\xff", 2), 129};
  group.keys["g.b"] = {"value", 130};
  group.history = {{"g.a", std::string("\0\xff", 2), 129}, {"g.b", "value", 130}};
  return out;
}

inline std::string random_text(simulated::RandomSource& random) {
  std::string out(random.below(random.chance(0.1) ? 300 : 8), '\0');
  for (char& c : out) c = static_cast<char>(random.next());
  return out;
}

inline std::int64_t random_number(simulated::RandomSource& random) {
  return static_cast<std::int64_t>(random.next() >> (1 + random.below(63)));
}

inline KeyGroup random_group(simulated::RandomSource& random) {
  KeyGroup out;
  out.revision = random_number(random);
  for (std::size_t i = random.below(4); i > 0; --i)
    out.keys[random_text(random)] = {random_text(random), random_number(random)};
  for (std::size_t i = random.below(4); i > 0; --i)
    out.history.push_back({random_text(random), random_text(random), random_number(random)});
  return out;
}

inline State random_state(simulated::RandomSource& random) {
  State out;
  for (std::size_t i = random.below(4); i > 0; --i)
    out.locks[random_text(random)] = {random_text(random), random_number(random), random_number(random),
                                      random.next(),       random_number(random), random.next()};
  for (std::size_t i = random.below(4); i > 0; --i) out.numbers[random_text(random)] = random_number(random);
  for (std::size_t i = random.below(3); i > 0; --i) out.groups[random_text(random)] = random_group(random);
  return out;
}

}  // namespace chutevane::control::coordination
