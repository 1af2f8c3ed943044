// What a sidecar has learnt of its endpoints, as a file for the process that follows it.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"
#include "discovery/list.hpp"

namespace chutevane::sidecar {

// Of one endpoint. The rest that a process knows is of its own calls and starts afresh: limits, pauses,
// budgets, the estimate of p95, popular keys.
struct Remembered {
  std::string name;  // discovery's
  TimePoint came_up;
  double latency_ms = 0.0;
};

// What a process that still serves gives the one that takes over from it.
struct Handed {
  std::vector<Remembered> known;
  Carried carried;
  discovery::List list;  // as last had, whole
};

struct MemoryError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Whose figures they are: of another tier or of other tracks they mean something else.
std::string deployment_of(const Settings& settings);

std::string write_memory(const std::vector<Remembered>& known, const std::string& deployment, TimePoint now);
// Throws MemoryError: no such form, of another deployment, or too old.
std::vector<Remembered> read_memory(std::string_view text, const std::string& deployment, TimePoint now);

std::string write_handed(const Handed& handed, const std::string& deployment, TimePoint now);
Handed read_handed(std::string_view text, const std::string& deployment,
                   TimePoint now);  // throws MemoryError

// The file is whole or as it was. False, and a line in the log, where it cannot be written.
bool save_memory(const std::string& path, const std::string& text);

}  // namespace chutevane::sidecar
