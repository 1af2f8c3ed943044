// Does a plan's faults to a deployment, each when its time has come.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <vector>

#include "simulation/deployment.hpp"
#include "simulation/operators.hpp"
#include "simulation/plan.hpp"

namespace chutevane::simulation {

class Faults {
 public:
  explicit Faults(Deployment& deployment) : deployment_(deployment) {}
  void apply(const Fault& fault);
  // No more of them, and all that is done so far is undone.
  void end();

  void duty_won(const Machine& machine) { duty_holder_ = machine.name(); }
  void acknowledged_by(const sockaddr_in& control);
  const Favourite& favourite() const { return favourite_; }
  // Whether its disk is, or was lately, in trouble.
  bool disk_troubled(const Machine& machine) const;
  // Who does what is planned.
  std::function<void(const Fault&, Machine&)> on_planned;
  const std::array<std::size_t, fault_kinds>& applied() const { return applied_; }

 private:
  Machine* target(const Fault& fault) const;
  void apply_to(const Fault& fault, Machine& machine);
  void cut_off(const Fault& fault, Machine& machine);
  void down(const Fault& fault, Machine& machine);
  void replace(const Fault& fault, Machine& machine);
  void slow_links(const Fault& fault, Machine& machine);
  void new_seeds(const Fault& fault, Machine& machine);
  void disk(const Fault& fault, Machine& machine);
  void all_at_once(const Fault& fault);
  void halves(const Fault& fault);
  // Once the fault's time is over, unless all was healed before.
  void later(Span in, std::function<void()> what);

  Deployment& deployment_;
  std::string duty_holder_, acknowledger_;
  Favourite favourite_;
  std::map<const Machine*, TimePoint> disk_troubled_until_;
  std::array<std::size_t, fault_kinds> applied_{};
  bool over_ = false;
};

}  // namespace chutevane::simulation
