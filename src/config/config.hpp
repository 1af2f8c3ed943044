/// A sidecar's configuration as the platform writes it: JSON. The one place where it is read, checked and
/// given its defaults; docs/operators/configuration.md and the platform's pages have the keys.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "chutevane/sidecar.hpp"
#include "chutevane/types.hpp"
#include "discovery/endpoint_list.hpp"

namespace chutevane::config {

/// Addresses are "a.b.c.d:port".
struct Config {
  std::string name = "sidecar";
  std::string listen, discovery;
  std::string admin_address;  // empty: none
  std::uint64_t seed = 0;
  std::size_t max_memory = std::size_t{192} << 20U;  // bytes, of the process
  std::size_t max_descriptors = 1024;                // of the process
  /// For a client's request to come: the first from when it connects, later ones from their first byte.
  Span request_timeout = Span::ms(2500);
  /// Of a client's connection that has been served, until its next request.
  Span idle_timeout = Span::ms(75000);
  std::string state_file;  // of the snapshots; empty: none are kept
  Span snapshot_interval = Span::ms(5000);
  /// Of the downstream connections, the part that may be closed with a rejection in a second, so that their
  /// clients connect to another sidecar.
  double rebalance_per_s = 0.0;
  Span start_spread;  // the first request to discovery is sent at a random time within this
  discovery::EndpointList known_endpoints;  // as this sidecar last had them
  Settings settings;                        // of the balancer, by this project's names
  Span connect_timeout;                     // to endpoints
  Span endpoint_idle_close;                 // after which endpoints close an idle connection
  Span max_client_timeout;                  // over all tracks
  /// How long after the announcement of a drain an endpoint may still get calls. Where it is not stated, half
  /// a second is short enough for every platform that is known.
  Span drain_grace = Span::ms(500);
};

/// A variable's value, or null.
using Environment = std::function<const char*(const char*)>;

/// Throws ConfigError.
Config read(std::string_view text, const Environment& environment);
/// The file at `path`, or where that is empty the one that EDGE_CONFIG names. Throws ConfigError.
Config load(const std::string& path, const Environment& environment);
/// The keys, separated by commas, in which `read_again` differs from the configuration in force and which
/// take effect only at a start. `known` and `seed` are new with every file and not among them.
std::string keys_needing_restart(const Config& in_force, const Config& read_again);

}  // namespace chutevane::config
