// Load on one address: how much it takes, how fast it answers, and what that costs the process behind it.
#pragma once

#include <netinet/in.h>
#include <sys/types.h>

#include <cstdint>
#include <string>

#include "chutevane/types.hpp"
#include "lab/process.hpp"
#include "lab/statistics.hpp"

namespace chutevane::lab {

struct LoadSpec {
  sockaddr_in to{};
  pid_t pid = 0;      // whose CPU and memory are shown; 0: nobody's
  double rate = 0.0;  // calls a second in an open loop; 0: each caller asks again as soon as it is answered
  std::size_t callers = 64;  // connections
  Span lasts = Span::ms(5000), settle = Span::ms(500);
  Span timeout = Span::ms(2000);
  std::string track = "load";
  std::uint64_t seed = 1;
};

struct LoadResult {
  std::uint64_t asked = 0, done = 0, other = 0, failed = 0, not_sent = 0;
  double seconds = 0.0;
  LatencyTable latency;  // of those done, from the intended time
  Usage used;            // by the process, in the measured time
  double own_cpu_ms = 0.0;
  double late_p99_ms = 0.0;  // the lab's own timers
};

LoadResult run_load(const LoadSpec& spec);
std::string load_table(const LoadSpec& spec, const LoadResult& result);

// A stand-in endpoint and its discovery, until the process is ended: what a sidecar is loaded against.
// Throws std::system_error.
struct StandInSpec {
  sockaddr_in listen{}, discovery{};
  int endpoints = 1;  // at the following addresses
  int cores = 64;
  double work_ms = 0.0;
};
int run_stand_in(const StandInSpec& spec);

}  // namespace chutevane::lab
