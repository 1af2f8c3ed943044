/// What operators can ask of a running sidecar, as the administration port's server needs it.
#pragma once

#include <string>

namespace chutevane::admin {

/// Every call may come twice without harm.
class AdminHandler {
 public:
  /// Whether the process takes requests of clients: what a load balancer's readiness check asks.
  [[nodiscard]] virtual bool accepts_clients() const = 0;
  /// The process's counters, as one JSON object.
  [[nodiscard]] virtual std::string counters_json() const = 0;
  /// How far the process is from full service after its start, as one JSON object (see
  /// snapshot/startup_progress.hpp).
  [[nodiscard]] virtual std::string startup_progress_json() const = 0;
  /// Drains the process without ending it: it keeps listening, and refuses clients. False where the process
  /// is shutting down; nothing changes then.
  virtual bool take_out_of_service() = 0;
  /// Undoes take_out_of_service(). False where the process is shutting down; nothing changes then.
  virtual bool return_to_service() = 0;

 protected:
  ~AdminHandler() = default;
};

}  // namespace chutevane::admin
