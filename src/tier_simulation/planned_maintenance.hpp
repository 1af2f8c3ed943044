/// \file
/// Planned maintenance and a loss right after it: a machine is replaced, the new one first and then SIGTERM
/// of the old; or a storage machine is retired and goes with its disk.
#pragma once

#include <functional>

#include "tier_simulation/deployment.hpp"
#include "tier_simulation/http_client.hpp"
#include "tier_simulation/plan.hpp"

namespace chutevane::tier_simulation {

class PlannedMaintenance {
 public:
  PlannedMaintenance(Deployment& deployment, HttpClient& http_client)
      : deployment_(deployment), http_client_(http_client) {}
  /// `fault` is of kind planned_replace or retire.
  void begin(const Fault& fault, Machine& machine);
  /// Ends what is under way.
  void stop() { stopped_ = true; }

 private:
  void replace(const Fault& fault, Machine& old);
  void remove_when_ended(const Fault& fault, Machine& old, TimePoint latest);
  void retire(const Fault& fault, Machine& machine, std::size_t attempts);
  void remove_when_retired(const Fault& fault, Machine& machine, std::size_t attempts);
  // Some milliseconds after the removal another machine of the role loses its disk.
  void remove_and_wipe_another(const Fault& fault, Machine& machine);
  void schedule(Span delay, std::function<void()> action);
  sockaddr_in control_address(std::size_t attempts) const;

  Deployment& deployment_;
  HttpClient& http_client_;
  bool stopped_ = false;
};

}  // namespace chutevane::tier_simulation
