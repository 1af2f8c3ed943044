// What the sidecar has taken in, sent and answered since it started.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "chutevane/types.hpp"

namespace chutevane::sidecar {

struct Counters {
  std::uint64_t calls = 0, done = 0, rejected = 0, broken_off = 0, callers_left = 0, bad_requests = 0;
  std::uint64_t limited = 0, went_on = 0;  // refused by a service's limits; given by one pool to another
  std::uint64_t dispatches = 0;
  std::array<std::uint64_t, 8> outcomes{};  // by Outcome
  std::uint64_t connections_opened = 0, connections_reused = 0;
  std::uint64_t callers_accepted = 0, callers_shed = 0;  // connections; shed: closed for want of room
  std::uint64_t lists = 0, list_failures = 0;

  std::string as_json() const;
};

}  // namespace chutevane::sidecar
