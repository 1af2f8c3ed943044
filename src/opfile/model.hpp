// What an operator's file says: listeners, services, routes, pools, tracks, limits, clients. Plain values,
// checked.
#pragma once

#include <string>
#include <vector>

#include "chutevane/types.hpp"
#include "discovery/endpoint_list.hpp"
#include "limit/limiter.hpp"
#include "pool/cross_pool_retry.hpp"
#include "pool/failover.hpp"
#include "route/route_table.hpp"

namespace chutevane::opfile {

struct TrackModel {
  std::string name;
  pool::Idempotency effect = pool::Idempotency::idempotent;
  std::string repeat_group = "all";  // all, zone or cell
  Span remembered, soft_limit, client_timeout;
  double payoff = 1.0, late_payoff = 0.0;
};

struct PoolModel {
  std::string name;
  std::string discovery;              // an address; empty: the endpoints below
  discovery::EndpointList endpoints;  // static, or what is known at the start
  std::string zone;                   // of this sidecar; empty: none
  std::string reference_group;        // pools of one group remember references together; empty: its own
  double carries_per_s = 0.0;         // calls that it is stated to carry when whole; 0: not stated
  int sidecars = 1;                   // that share it
  int place = 0;                      // of this one among them
  int calls_per_connection = 1;       // that its endpoints take at once; more: sidecars keep to parts of them
  int dispatches = 4;                 // of one call, over all pools that it goes to
  bool cancel = true;
  Span connect_timeout, idle_close, most_retry_after, warm_after, fall_window;
  double cold_share = 0.2, fall_multiple = 3.0;
};

struct SideModel {
  std::string name;
  double weight = 1.0;
  std::vector<std::size_t> pools;  // by priority
};

struct ServiceModel {
  std::string name;
  std::vector<SideModel> sides;
  std::string split_header;  // whose value keeps a caller on its side; empty: each call is drawn
  pool::FailoverConfig failover;
  limit::LimitConfig limits;
};

struct RouteModel {
  route::Route match;
  std::size_t service = 0, track = 0;
};

struct Model {
  std::string name = "sidecar";
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::size_t memory = std::size_t{192} << 20U;  // bytes
  Span request_most, idle_most;
  std::vector<std::string> listen;
  std::string admin;          // the second address; empty: none
  std::string client_header;  // whose value names a client; empty: the peer's address
  std::string id_header = "X-Request-ID", wait_header = "X-Timeout", reference_header = "Idempotency-Key",
              proof_header = "X-Not-Processed",
              key_header;  // what a call is about, where endpoints that know it do less work; empty: none

  std::vector<TrackModel> tracks;
  std::vector<PoolModel> pools;
  std::vector<ServiceModel> services;
  std::vector<RouteModel> routes;
  route::RouteTable table;
};

}  // namespace chutevane::opfile
