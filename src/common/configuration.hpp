/// The operator's configuration: routes, services and limits for clients.
///
/// It is a JSON document (docs/operators/ has the form of each member). It is read and checked as one: a
/// document with any finding is rejected completely. Unknown members are ignored, and kept in the stored
/// text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"
#include "common/findings.hpp"

namespace chutevane::common {

/// Which requests of a route may be attempted again after one that may have been executed.
enum class RouteType : std::uint8_t {
  idempotent,      ///< all of them
  non_idempotent,  ///< none
  streaming,       ///< none, unless the route is resumable; answers are streams of events
};

/// A part of a traffic split.
struct Weighted {
  std::string service;
  double weight = 1.0;  ///< share of the traffic, relative to the sum of the weights; 0: none
};

/// Where requests for a host and a path prefix go, and what they are promised.
struct Route {
  std::string name;    ///< for people; may be empty
  std::string host;    ///< in lower case
  std::string prefix;  ///< of the path; begins and ends with a slash
  RouteType type = RouteType::non_idempotent;
  Span timeout;      ///< from the request's arrival to the end of its answer
  Span target;       ///< latency target (SLO); zero: not stated
  int priority = 0;  ///< 0 is the highest
  std::vector<Weighted> split;
  std::size_t max_attempts = 1;  ///< of a request, the first included
  bool retained = false;         ///< answers are stored as turns for `retention`
  bool affinity = false;         ///< requests that share a prefix go to the same endpoint if possible
  bool resumable = false;        ///< streams may be continued elsewhere, by `Last-Event-Id`
  Span retention;                ///< zero unless stated
  Span gap_aim;                  ///< target for the time between events; zero: not stated

  /// Whether an attempt that may have been executed may be followed by another.
  bool repeatable() const { return type == RouteType::idempotent || resumable; }
};

/// What is known of an inference engine behind a service. 0: not stated.
struct Engine {
  std::size_t capacity = 0;  ///< requests that it decodes at a time
  double kv_capacity = 0;    ///< tokens that its KV cache has room for
  int tokens_per_event = 1;  ///< tokens in an event of a stream
};

/// A group of endpoints that answer the same requests.
struct Service {
  std::string name;
  std::string health_path;          ///< for health checks; empty: not stated
  std::size_t max_connections = 0;  ///< to one endpoint; 0: not stated
  std::optional<Engine> engine;     ///< set where the service is an inference engine
};

/// What a client's connection is limited to.
struct ClientLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 4U << 20U;
  Span header = Span::ms(3000);  ///< time for a request's header to arrive
  Span idle = Span::ms(15000);   ///< longest time without bytes of the client, between and within requests
};

struct Configuration {
  std::int64_t version = 0;  ///< from 1; rises with each configuration that is put in force
  std::vector<Route> routes;
  std::vector<Service> services;
  ClientLimits limits;

  /// The route of that host with the longest prefix that begins the path; nullptr: there is none. `host` is
  /// expected in lower case.
  const Route* route_of(std::string_view host, std::string_view path) const;
  /// nullptr: there is none of that name.
  const Service* service(std::string_view name) const;
};

/// Reads and checks the JSON document. Nothing: `findings` has all that is wrong, each with its path, such as
/// `routes[3].timeoutMs`.
std::optional<Configuration> read_configuration(std::string_view text, Findings& findings);

/// ASCII letters in lower case: host names are compared so.
std::string lower_case(std::string text);

/// Identifies a configuration's text (XXH3, 64 bits). The same everywhere: control sidecars recognise a
/// repeated request by it, and operators see it.
std::uint64_t hash_of(std::string_view text);
/// 16 hexadecimal digits.
std::string hash_text(std::uint64_t hash);

}  // namespace chutevane::common
