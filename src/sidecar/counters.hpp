// What the sidecar has taken in, sent and answered since it started.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::sidecar {

// What a caller's connection was at when it ended.
enum class CallerEnd : std::uint8_t {
  before_request,
  within_request,
  call_in_hand,
  writing,
  after_last,
  idle
};

// How a request ended for its caller, by the status that was sent.
enum class Result : std::uint8_t { succeeded, declined, aborted };

struct Counters {
  // What operators ask for: requests by class and how they ended, each once; dispatches whose last byte was
  // written; requests taken and not ended.
  struct Class {
    std::string name;
    std::array<std::uint64_t, 3> results{};  // by Result
  };
  std::vector<Class> classes;  // by track
  std::uint64_t forwards = 0, outstanding = 0;
  std::uint64_t sighup_applied = 0, sighup_rejected = 0;
  std::uint64_t calls = 0, done = 0, rejected = 0, broken_off = 0, callers_left = 0, bad_requests = 0;
  std::uint64_t limited = 0, went_on = 0;  // refused by a service's limits; given by one pool to another
  std::uint64_t dispatches = 0;
  std::array<std::uint64_t, 8> outcomes{};  // by Outcome
  // How dispatches ended by the stage of their connection, and what the module has answered by Verdict: for
  // who looks at which states were reached.
  std::array<std::array<std::uint64_t, 8>, 5> outcomes_by_stage{};
  std::array<std::uint64_t, 9> verdicts{};
  std::array<std::uint64_t, 6> caller_ends{};  // connections, by CallerEnd
  std::uint64_t connections_opened = 0, connections_reused = 0;
  std::uint64_t callers_accepted = 0, callers_shed = 0;  // connections; shed: closed for want of room
  std::uint64_t parted = 0;  // connections ended with a rejection, to be opened anew elsewhere
  std::uint64_t lists = 0, list_failures = 0;

  void ended(std::uint32_t track, Result result) {
    if (track < classes.size()) ++classes[track].results[static_cast<std::size_t>(result)];
  }
  std::string as_json() const;
  // `discovered`: endpoints in the list; `ejected`: those of them that are avoided now.
  std::string figures(std::size_t discovered, std::size_t ejected) const;
};

}  // namespace chutevane::sidecar
