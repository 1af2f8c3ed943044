// The one place where a sidecar's configuration is read, checked and given its defaults.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "chutevane/sidecar.hpp"
#include "chutevane/types.hpp"
#include "discovery/endpoint_list.hpp"

namespace chutevane::config {

struct Config {
  std::string name = "sidecar";
  std::string listen, discovery;  // "a.b.c.d:port"
  std::string admin;              // the second address; empty: none
  std::uint64_t seed = 0;
  std::size_t memory = std::size_t{192} << 20U;  // bytes that the process may have
  std::size_t sockets = 1024;                    // descriptors that the process may hold
  Span request_most = Span::ms(2500);  // of a caller's request: the first from when it connects, others
                                       // from their first byte, to the last
  Span idle_most = Span::ms(75000);    // of a connection without a request that has been served one
  std::string state;                   // a file for what is learnt; empty: none is kept
  Span snapshot_every = Span::ms(5000);
  double part_with = 0.0;  // of the callers' connections: so many a second at most end with a rejection
  Span ask_over;           // a start's first question to discovery is drawn over so long; zero: at once
  discovery::EndpointList known;  // the list as this sidecar last had it
  Settings settings;              // under this project's names
  Span connect_timeout, idle_close, longest_timeout;
  Span drain_grace =
      Span::ms(500);  // after news of a drain; where none is told, half a second is short enough
};

using Environment = std::function<const char*(const char*)>;

// Throws ConfigError.
Config read(std::string_view text, const Environment& environment);
// The file at `path`, or where that is empty the one that EDGE_CONFIG names.
Config load(const std::string& path, const Environment& environment);
// The keys in which a configuration that was read again differs from the one in force, and which take
// effect only at a start; with commas. `known` and `seed` are new with every file and are not named.
std::string waits_for_start(const Config& in_force, const Config& read_again);

}  // namespace chutevane::config
