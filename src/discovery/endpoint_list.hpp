/// The list of endpoints in the JSON form that discovery gives it, and that snapshots and configurations
/// hold.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"
#include "json/value.hpp"

namespace chutevane::discovery {

/// What does not fit the form: "MEMBER: WHY".
struct EndpointListError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct EndpointEntry {
  std::string id;       // discovery's, not empty
  std::string address;  // "a.b.c.d:port"; may be empty of an endpoint that is gone
  std::string zone, model;
  std::uint16_t cell = 0;
  Availability availability = Availability::ready;
  double size = 1.0;  // relative capacity: `weight` in the list
  TimePoint came_up;  // when its process started; zero: not stated
};

struct EndpointList {
  std::uint64_t version = 0;
  /// All endpoints, or else only those that changed since the version that was asked after.
  bool full = false;
  /// Not a part of the form: a full list older than one that the same discovery has given before, as after a
  /// failure that lost its latest changes.
  bool is_stale = false;
  std::vector<EndpointEntry> entries;
};

/// Throw EndpointListError, naming the member that does not fit.
EndpointList parse_endpoint_list(const json::Value& value);
EndpointList parse_endpoint_list(std::string_view text);
void write_endpoint_list(json::Writer& out, const EndpointList& list);

}  // namespace chutevane::discovery
