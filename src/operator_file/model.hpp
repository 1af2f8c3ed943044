/// What an operator's file says, checked: plain values. References between its parts are indices.
#pragma once

#include <string>
#include <vector>

#include "chutevane/types.hpp"
#include "discovery/endpoint_list.hpp"
#include "limit/limiter.hpp"
#include "pool/cross_pool_retry.hpp"
#include "pool/failover.hpp"
#include "route/route_table.hpp"

namespace chutevane::operator_file {

/// A class of calls with common promises.
struct TrackModel {
  std::string name;
  pool::Idempotency effect = pool::Idempotency::idempotent;
  std::string repeat_group = "all";  // by whom an idempotency key is remembered: all, zone or cell
  Span key_retention;                // how long it is
  Span soft_limit;                   // the latency target
  Span client_timeout;
  double payoff = 1.0, late_payoff = 0.0;  // what a response is worth within the target, and after it
};

struct PoolModel {
  std::string name;
  std::string discovery;              // its address; empty: the endpoints below are all
  discovery::EndpointList endpoints;  // static ones, or what is known at the start
  std::string zone;                   // of this sidecar; empty: none
  std::string reference_group;        // pools of one group remember keys together; empty: each by itself
  double carries_per_s = 0.0;         // calls that it sustains when healthy; 0: not stated
  int sidecars = 1;                   // that share the pool
  int place = 0;                      // this sidecar's index among them
  int calls_per_connection = 1;       // that endpoints take at once; more: sidecars use a subset of them each
  int dispatches = 4;                 // of one call, over all pools that it goes to
  bool cancel = true;                 // endpoints notice a closed connection and stop working
  Span connect_timeout;
  Span endpoint_idle_close;  // after which endpoints close an idle connection
  Span max_retry_after;      // the longest that a rejection may state
  Span warm_after;           // how long an endpoint is in its slow start
  Span fall_window;          // over which failures of an endpoint are judged
  double cold_share = 0.2;   // of the calls that may go to endpoints in their slow start
  double fall_multiple = 3.0;
};

/// A target of a service's traffic split.
struct SideModel {
  std::string name;
  double weight = 1.0;
  std::vector<std::size_t> pools;  // by priority
};

struct ServiceModel {
  std::string name;
  std::vector<SideModel> sides;  // one at least
  std::string split_header;      // whose value keeps a client on its side; empty: each call is drawn
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
  std::size_t max_descriptors = 1024;
  std::size_t max_memory = std::size_t{192} << 20U;  // bytes
  Span request_timeout;                              // for a client's request to come
  Span idle_timeout;                                 // of a client's connection that has been served
  std::vector<std::string> listen;                   // addresses
  std::string admin_address;                         // empty: none
  // Names of headers; sidecar/call_protocol.hpp
  std::string client_header;  // names a client for limits; empty: the peer's address does
  std::string id_header = "X-Request-ID";
  std::string wait_header = "X-Timeout";
  std::string reference_header = "Idempotency-Key";
  std::string proof_header = "X-Not-Processed";
  std::string key_header;  // the affinity key, where endpoints that know it do less work; empty: none

  std::vector<TrackModel> tracks;
  std::vector<PoolModel> pools;
  std::vector<ServiceModel> services;
  std::vector<RouteModel> routes;
  route::RouteTable table;  // of the routes, by the same indices
};

}  // namespace chutevane::operator_file
