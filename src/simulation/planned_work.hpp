// What operators do to machines on purpose, and the loss that comes right behind it: a machine is replaced,
// the new one first and then SIGTERM of the old; a storage machine is emptied and goes with its disk.
#pragma once

#include <functional>

#include "simulation/callers.hpp"
#include "simulation/deployment.hpp"
#include "simulation/plan.hpp"

namespace chutevane::simulation {

class PlannedWork {
 public:
  PlannedWork(Deployment& deployment, Callers& callers) : deployment_(deployment), callers_(callers) {}
  void apply(const Fault& fault, Machine& machine);
  // Begins nothing more.
  void end() { over_ = true; }

 private:
  void replace(const Fault& fault, Machine& old);
  void gone_when_ended(const Fault& fault, Machine& old, TimePoint latest);
  void retire(const Fault& fault, Machine& machine, std::size_t tries);
  void removed_when_completed(const Fault& fault, Machine& machine, std::size_t tries);
  // The machine goes for good; some milliseconds later another of its role loses its disk.
  void remove_and_wipe_another(const Fault& fault, Machine& machine);
  void later(Span in, std::function<void()> what);
  sockaddr_in control_address(std::size_t tries) const;

  Deployment& deployment_;
  Callers& callers_;
  bool over_ = false;
};

}  // namespace chutevane::simulation
