/// The operator's configuration: routes, services and limits for clients.
///
/// The configuration is a JSON document; docs/operators/ describes each member. It is parsed and validated as
/// a whole: a document with any error is rejected completely. Unknown members are ignored, but kept in the
/// stored text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"
#include "common/findings.hpp"

namespace chutevane::common {

/// Determines which requests of a route may be retried after an attempt that may have been executed.
enum class RouteType : std::uint8_t {
  idempotent,      ///< all requests
  non_idempotent,  ///< no requests
  streaming,       ///< no requests, unless the route is resumable; responses are event streams
};

/// One service of a route's traffic split.
struct Weighted {
  std::string service;
  double weight = 1.0;  ///< share of the traffic, relative to the sum of the weights; 0 means no traffic
};

/// A routing rule: where requests for a host and a path prefix go, and under which limits and guarantees.
struct Route {
  std::string name;    ///< display name; may be empty
  std::string host;    ///< in lower case
  std::string prefix;  ///< path prefix; begins and ends with a slash
  RouteType type = RouteType::non_idempotent;
  Span timeout;      ///< from the request's arrival to the end of its response
  Span target;       ///< latency target (SLO); zero if not configured
  int priority = 0;  ///< 0 is the highest
  std::vector<Weighted> split;
  std::size_t max_attempts = 1;  ///< attempts of a request, including the first
  bool retained = false;         ///< responses are stored as turns for `retention`
  bool affinity = false;         ///< requests that share a prefix go to the same endpoint if possible
  bool resumable = false;        ///< streams may be resumed at another endpoint with `Last-Event-Id`
  Span retention;                ///< zero if not configured
  Span event_gap_target;         ///< target for the time between two events; zero if not configured

  /// Returns true if a request may be retried after an attempt that may have been executed.
  bool repeatable() const { return type == RouteType::idempotent || resumable; }
};

/// Properties of the inference engine behind a service. A capacity of 0 means that it is not configured.
struct Engine {
  std::size_t capacity = 0;  ///< number of requests that it decodes concurrently
  double kv_capacity = 0;    ///< size of its KV cache, in tokens
  int tokens_per_event = 1;  ///< number of tokens in one event of a stream
};

/// A group of endpoints that serve the same requests.
struct Service {
  std::string name;
  std::string health_path;          ///< request path of health checks; empty if not configured
  std::size_t max_connections = 0;  ///< limit for each endpoint; 0 if not configured
  std::optional<Engine> engine;     ///< set if the service is an inference engine
};

/// Limits for a client connection.
struct ClientLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 4U << 20U;
  Span header = Span::ms(3000);  ///< timeout for receiving a request's header
  Span idle = Span::ms(15000);   ///< timeout for receiving bytes from the client, between and within requests
};

/// A parsed and valid configuration.
struct Configuration {
  std::int64_t version = 0;  ///< starts at 1 and increases with each configuration that takes effect
  std::vector<Route> routes;
  std::vector<Service> services;
  ClientLimits limits;

  /// Returns the route of `host` with the longest prefix that matches `path`, or nullptr if none matches.
  /// `host` must be in lower case.
  const Route* route_of(std::string_view host, std::string_view path) const;
  /// Returns the service with that name, or nullptr if there is none.
  const Service* service(std::string_view name) const;
};

/// Parses and validates the JSON document. Returns std::nullopt if it is invalid; `findings` then has every
/// error with its path in the document, such as `routes[3].timeoutMs`.
std::optional<Configuration> read_configuration(std::string_view text, Findings& findings);

/// Returns `text` with ASCII letters in lower case. Host names are compared in this form.
std::string lower_case(std::string text);

/// Returns the 64-bit XXH3 hash of a configuration's text. It is the same on all machines: control sidecars
/// detect repeated requests by it, and it is shown to operators.
std::uint64_t hash_of(std::string_view text);
/// Returns the hash as 16 hexadecimal digits.
std::string hash_text(std::uint64_t hash);

}  // namespace chutevane::common
