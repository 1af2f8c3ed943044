// What one configuration would change of another: routes by host and prefix, services by name, and the rest.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "json/value.hpp"

namespace chutevane::ctl {

struct FieldChange {
  std::string field, before, after;  // as JSON; empty: not there
};

struct Change {
  enum class Kind : std::uint8_t { added, removed, changed };
  Kind kind = Kind::changed;
  std::string of;    // "route", "service" or "document"
  std::string name;  // host and prefix of a route; a field of the document
  std::vector<FieldChange> fields = {};
};

constexpr std::size_t document_most = 16U << 20U;  // bytes: twice what a sidecar takes

// Also fields that no sidecar reads count: they are kept and may be read one day. Versions do not.
std::vector<Change> difference(const json::Value& before, const json::Value& after);
// An error: it is no JSON, with the byte.
absl::StatusOr<json::Value> read_document(std::string_view text);
// Members sorted and numbers in one form, so that texts are alike where values are.
std::string canonical(const json::Value& value);
void write_value(json::Writer& out, const json::Value& value);

}  // namespace chutevane::ctl
