/// What one configuration would change of another. Routes are matched by host and prefix, services by name,
/// and the rest by field of the document.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "json/value.hpp"

namespace chutevane::ctl {

/// Values are in canonical JSON; empty: the field is absent.
struct FieldChange {
  std::string field;
  std::string before;
  std::string after;
};

struct Change {
  enum class Kind : std::uint8_t { added, removed, changed };
  enum class Subject : std::uint8_t { route, service, document };
  Kind kind = Kind::changed;
  Subject subject = Subject::document;
  std::string name;  ///< host and prefix of a route, name of a service, field of the document
  std::vector<FieldChange> fields = {};
};
std::string_view name_of(Change::Kind kind);
std::string_view name_of(Change::Subject subject);

constexpr std::size_t max_document_bytes = 16U << 20U;  // twice what a sidecar accepts

/// Every member counts but `version`, also those that no sidecar reads: they are stored, and a later version
/// may read them.
std::vector<Change> difference(const json::Value& before, const json::Value& after);

/// InvalidArgument: it is no JSON, too large or too deeply nested; the message has the offset.
absl::StatusOr<json::Value> parse_document(std::string_view text);

/// A value as JSON with members sorted and numbers in one form: equal values have equal texts.
std::string canonical(const json::Value& value);
void write_canonical(json::Writer& out, const json::Value& value);

}  // namespace chutevane::ctl
