/// Where a downstream connection takes its requests: a single service, or many services behind routes.
#pragma once

#include <cstdint>

#include "chutevane/types.hpp"
#include "sidecar/call_protocol.hpp"
#include "sidecar/downstream_request.hpp"

namespace chutevane::sidecar {

class CallRouter {
 public:
  virtual ClassifiedRequest classify(const http::Parser& request) const = 0;
  /// Starts a call; `request` outlives it, or cancels it. `route`: as classify() gave it. Returns the call's
  /// id; the final response may have been delivered before this returns.
  virtual CallId submit(const ApiCall& call, std::uint32_t route, DownstreamRequest& request) = 0;
  /// The client is gone: nothing is delivered to its request any more.
  virtual void cancel(CallId call) = 0;
  /// The process is about to end: aborts every call in flight, with a response for each.
  virtual void abort_all() = 0;

 protected:
  ~CallRouter() = default;
};

}  // namespace chutevane::sidecar
