/// Implements the parsing of targets, JSON bodies and query parameters.
#include "control/coordination/coordination_request.hpp"

#include <simdjson.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "control/coordination/state.hpp"

namespace chutevane::control::coordination {
namespace {

constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_holder_bytes = 256;
constexpr std::size_t max_value_bytes = 4096;
constexpr std::int64_t max_hold_ms = 3'600'000;  // one hour; a holder that needs longer renews the lock
constexpr std::int64_t max_wait_ms = 60'000;
constexpr std::int64_t max_counter = std::int64_t{1} << 53U;  // integers up to this are exact in JSON

/// Method and prefix of a target, which the name follows.
struct Route {
  std::string_view method;
  std::string_view prefix;
  std::optional<Operation> operation;  // std::nullopt for a watch
};

constexpr std::array<Route, 7> routes{{
    {"POST", "/v1/Locks.Initiate/", Operation::acquire_lock},
    {"POST", "/v1/Locks.Heartbeat/", Operation::renew_lock},
    {"POST", "/v1/Locks.Terminate/", Operation::release_lock},
    {"POST", "/v1/numbers/", Operation::next_number},
    {"POST", "/v1/Cells.Replace/", Operation::put_key},
    {"GET", "/v1/Cells.Retrieve/", Operation::get_key},
    {"GET", "/v1/watch/", std::nullopt},
}};

const Route* find_route(std::string_view target) {
  const auto found = std::find_if(routes.begin(), routes.end(),
                                  [&](const Route& route) { return target.starts_with(route.prefix); });
  return found == routes.end() ? nullptr : &*found;
}

/// Reads the members of the JSON object in the body. Each problem adds a finding.
class BodyReader {
 public:
  BodyReader(std::string_view body, common::Findings& findings) : findings_(findings) {
    if (parser_.parse(body.data(), body.size()).get(document_) != simdjson::SUCCESS ||
        document_.get_object().get(object_) != simdjson::SUCCESS) {
      findings_.add("body", "not a JSON object");
      is_readable_ = false;
    }
  }
  std::string text(std::string_view key, std::size_t max_bytes) {
    std::string_view value;
    if (!is_readable_) return "";
    if (object_[key].get_string().get(value) != simdjson::SUCCESS) {
      findings_.add(std::string(key), "missing, or not a text");
    } else if (value.empty() || value.size() > max_bytes) {
      findings_.add(std::string(key), "not 1 to " + std::to_string(max_bytes) + " bytes long");
    }
    return std::string(value);
  }
  /// Returns true if the member exists and is not null.
  bool has(std::string_view key) const {
    return is_readable_ && object_[key].error() == simdjson::SUCCESS && !object_[key].is_null();
  }
  /// Accepts a number with a decimal point if its fraction is zero.
  std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max) {
    if (!is_readable_) return min;
    double value = 0;
    const bool is_number = object_[key].get_double().get(value) == simdjson::SUCCESS;
    const bool is_integer = is_number && value >= static_cast<double>(min) &&
                            value <= static_cast<double>(max) &&
                            value == static_cast<double>(static_cast<std::int64_t>(value));
    if (is_integer) return static_cast<std::int64_t>(value);
    findings_.add(std::string(key),
                  "not an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return min;
  }

 private:
  common::Findings& findings_;
  simdjson::dom::parser parser_;
  simdjson::dom::element document_;
  simdjson::dom::object object_;
  bool is_readable_ = true;
};

/// Returns the value of a query parameter, or std::nullopt if it is absent.
std::optional<std::string_view> find_parameter(std::string_view query, std::string_view key) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view part = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = part.find('=');
    if (equals != std::string_view::npos && part.substr(0, equals) == key) return part.substr(equals + 1);
  }
  return std::nullopt;
}

std::int64_t query_integer(std::string_view query, std::string_view key, std::int64_t max,
                           common::Findings& findings) {
  const std::string_view text = find_parameter(query, key).value_or("");
  double value = -1;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  const bool is_valid = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end && value >= 0 &&
                        value <= static_cast<double>(max);
  if (is_valid) return static_cast<std::int64_t>(value);
  findings.add(std::string(key), "missing, or not a number from 0 to " + std::to_string(max));
  return 0;
}

void check_name(std::string_view name, common::Findings& findings) {
  const bool is_valid = !name.empty() && name.size() <= max_name_bytes &&
                        std::none_of(name.begin(), name.end(), [](char c) { return c == '/' || c <= ' '; });
  if (!is_valid)
    findings.add("name", "not 1 to " + std::to_string(max_name_bytes) + " bytes without a slash");
}

WatchRequest read_watch(std::string_view name, std::string_view query, common::Findings& findings) {
  WatchRequest out;
  out.group = std::string(name);
  if (group_of(name) != out.group) findings.add("name", "not a group: a text that ends with its only dot");
  out.after = query_integer(query, "after", max_counter, findings);
  out.wait = Span::ms(static_cast<double>(query_integer(query, "waitMs", max_wait_ms, findings)));
  return out;
}

void read_lock_fields(Call& call, std::string_view body, common::Findings& findings) {
  BodyReader in(body, findings);
  call.holder = in.text("holder", max_holder_bytes);
  if (call.operation != Operation::acquire_lock) call.fence = in.integer("fence", 0, max_counter);
  if (call.operation != Operation::release_lock)
    call.hold = Span::ms(static_cast<double>(in.integer("holdMs", 1, max_hold_ms)));
}

Call read_call(Operation operation, std::string_view name, std::string_view body,
               common::Findings& findings) {
  Call out;
  out.operation = operation;
  out.name = std::string(name);
  const bool is_of_key = operation == Operation::put_key || operation == Operation::get_key;
  if (is_of_key && !group_of(name)) findings.add("name", "has no group: a text that ends with a dot");
  switch (operation) {
    case Operation::acquire_lock:
    case Operation::renew_lock:
    case Operation::release_lock: read_lock_fields(out, body, findings); break;
    case Operation::put_key: {
      BodyReader in(body, findings);
      out.value = in.text("value", max_value_bytes);
      out.applies_to = in.has("appliesTo") ? in.integer("appliesTo", 0, max_counter) : any_revision;
      break;
    }
    default: break;
  }
  return out;
}

}  // namespace

bool is_coordination_target(std::string_view target) { return find_route(target) != nullptr; }

std::optional<CoordinationRequest> read_coordination_request(const http::Parser& request,
                                                             common::Findings& findings) {
  const Route* const route = find_route(request.target());
  if (route == nullptr || request.method() != route->method) return std::nullopt;
  const std::string_view rest = request.target().substr(route->prefix.size());
  const std::size_t name_end = std::min(rest.find('?'), rest.size());
  const std::string_view name = rest.substr(0, name_end);
  const std::string_view query = rest.substr(std::min(name_end + 1, rest.size()));
  check_name(name, findings);
  CoordinationRequest out;
  if (route->operation) {
    out = read_call(*route->operation, name, request.body(), findings);
  } else {
    out = read_watch(name, query, findings);
  }
  if (!findings.none()) return std::nullopt;
  return out;
}

}  // namespace chutevane::control::coordination
