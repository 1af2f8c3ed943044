// What a sidecar knows and how it is written down: one text, whole or not at all. Without I/O.
//
// The text is a line "chutevane-state FORM BYTES CHECKSUM" and, behind it, JSON of so many bytes. A text that
// was cut off or changed anywhere is told from a whole one by these.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"
#include "discovery/endpoint_list.hpp"
#include "snapshot/age.hpp"

namespace chutevane::snapshot {

struct FormError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Of one endpoint. Pauses and caps are of a process's own calls and start afresh.
struct Remembered {
  std::string name;     // discovery's
  std::string address;  // where it was: an id may come back elsewhere
  TimePoint came_up;
  double latency_ms = 0.0;  // smoothed; 0: unheard
};

struct Content {
  std::string owner;       // the sidecar's name
  std::string deployment;  // of another tier or of other tracks the figures mean something else
  std::uint32_t sidecars = 0;
  std::uint64_t life = 0;  // how many processes of this name have written, this one included
  bool ended = false;      // the last word of a process that was told to end: nothing was spent after it
  Stamp written;
  std::vector<Remembered> endpoints;
  Carried carried;
  discovery::EndpointList list;  // as last had, whole
};

constexpr std::size_t text_most = 1U << 19U;  // bytes: some 2,600 endpoints; parsed it stays under 32 MB

// Whose figures they are.
std::string deployment_of(const Settings& settings);

// At most text_most bytes: what does not fit is left out from the end, endpoints and the list alike.
std::string write(const Content& content);
// Throws FormError, naming what does not fit.
Content read(std::string_view text);
// For people: one figure a line, with ages as of `now`.
std::string shown(const Content& content, const Stamp& now);

}  // namespace chutevane::snapshot
