/// The interface through which a proposer sends requests to the acceptors.
#pragma once

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "common/messages.hpp"

namespace chutevane::control {

/// Sends requests to acceptors by address. A callback may run before the call returns, later, or never, and
/// runs at most once. After an error, the acceptor may or may not have processed the request.
class AcceptorTransport {
 public:
  using PromiseCallback = std::function<void(absl::StatusOr<common::Promise>)>;
  using AcceptedCallback = std::function<void(absl::StatusOr<common::Accepted>)>;

  virtual void prepare(const std::string& address, const common::Prepare& request,
                       PromiseCallback callback) = 0;
  virtual void accept(const std::string& address, const common::Accept& request,
                      AcceptedCallback callback) = 0;

 protected:
  ~AcceptorTransport() = default;
};

}  // namespace chutevane::control
