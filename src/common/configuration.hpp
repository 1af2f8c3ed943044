// The operator's configuration: routes, services and limits, read and checked whole.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"
#include "common/findings.hpp"

namespace chutevane::common {

enum class RouteType : std::uint8_t { idempotent, non_idempotent, streaming };

struct Weighted {
  std::string service;
  double weight = 1.0;
};

struct Route {
  std::string name, host, prefix;
  RouteType type = RouteType::non_idempotent;
  Span timeout, target;
  int priority = 0;  // 0 is highest
  std::vector<Weighted> split;
  std::size_t max_attempts = 1;
  bool retained = false, affinity = false;
  bool resumable = false;  // its streams may be taken up elsewhere, by `Last-Event-Id`
  Span retention;
  Span gap_aim;  // zero: none is stated
  // Whether an attempt that may have run may be followed by another.
  bool repeatable() const { return type == RouteType::idempotent || resumable; }
};

struct Engine {
  std::size_t capacity = 0;
  double kv_capacity = 0;  // tokens
  int tokens_per_event = 1;
};

struct Service {
  std::string name, health_path;
  std::size_t max_connections = 0;  // 0: not stated
  std::optional<Engine> engine;
};

struct ClientLimits {
  std::size_t header_bytes = 16 * 1024, body_bytes = 4U << 20U;
  Span header = Span::ms(3000), idle = Span::ms(15000);
};

struct Configuration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  ClientLimits limits;

  // The longest prefix that begins the path, among the routes of that host.
  const Route* route_of(std::string_view host, std::string_view path) const;
  const Service* service(std::string_view name) const;
};

// All that is wrong is found in one reading, each with its path, such as `routes[3].timeoutMs`.
std::optional<Configuration> read_configuration(std::string_view text, Findings& findings);

// Names the bytes of a configuration, alike at control, which knows repeats by it, and at operators.
std::uint64_t hash_of(std::string_view text);
std::string hash_text(std::uint64_t hash);  // 16 hexadecimal digits

}  // namespace chutevane::common
