// The list of endpoints in discovery's form.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"
#include "json/value.hpp"

namespace chutevane::discovery {

struct ListError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Entry {
  std::string id, address, zone, model;
  std::uint16_t cell = 0;
  Availability availability = Availability::ready;
  double size = 1.0;
  TimePoint came_up;
};

struct List {
  std::uint64_t version = 0;
  bool full = false;
  bool older = false;  // than one that the same discovery has told before: it has come back with less
  std::vector<Entry> entries;
};

// Throws ListError, naming the member that does not fit.
List read_list(const json::Value& value);
List read_list(std::string_view text);
void write_list(json::Writer& out, const List& list);

}  // namespace chutevane::discovery
