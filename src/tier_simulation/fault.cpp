#include "tier_simulation/fault.hpp"

#include <cstdio>

namespace chutevane::tier_simulation {

const char* name_of(FaultKind kind) {
  static constexpr const char* names[fault_kinds] = {"cut off",
                                                     "frozen",
                                                     "killed",
                                                     "power lost",
                                                     "wiped",
                                                     "replaced",
                                                     "SIGTERM",
                                                     "slow disk",
                                                     "full disk",
                                                     "failing disk",
                                                     "reset",
                                                     "half lost",
                                                     "lost answers",
                                                     "slow links",
                                                     "new seeds",
                                                     "planned replacement",
                                                     "emptied",
                                                     "all killed",
                                                     "all power lost",
                                                     "two halves",
                                                     "drain interrupted",
                                                     "endpoint drains",
                                                     "endpoint replaced",
                                                     "endpoint crashes",
                                                     "cut off from the platform",
                                                     "platform unavailable",
                                                     "platform stale",
                                                     "platform slow"};
  return names[static_cast<std::size_t>(kind)];
}

bool is_traffic_fault(const Fault& fault) { return fault.kind >= FaultKind::endpoint_drain; }

bool is_counted_loss(const Fault& fault) {
  if (fault.role == Role::edge || is_traffic_fault(fault)) return false;
  switch (fault.kind) {
    case FaultKind::reset:
    case FaultKind::half_lost:
    case FaultKind::lost_answers:
    case FaultKind::slow_links:
    case FaultKind::new_seeds:
    case FaultKind::kill_all:
    case FaultKind::power_all:
    case FaultKind::halves: return false;
    default: return true;
  }
}

std::string describe(const Fault& fault) {
  static constexpr const char* reaches[] = {"everything", "control", "data"};
  static constexpr const char* directions[] = {"both ways", "towards it", "from it"};
  static constexpr const char* targets[] = {"", " that holds a duty", " that acknowledged last",
                                            " that reads the platform's list"};
  char head[64];
  std::snprintf(head, sizeof head, "at %.3f s for %.3f s: ", fault.at.as_ms() / 1000,
                fault.duration.as_ms() / 1000);
  std::string out = head + std::string(name_of(fault.kind));
  if (fault.kind == FaultKind::kill_all || fault.kind == FaultKind::power_all ||
      fault.kind == FaultKind::halves || (is_traffic_fault(fault) && fault.kind != FaultKind::platform_cut))
    return out;
  out += std::string(", ") + name_of(fault.role) + " machine";
  out += targets[static_cast<std::size_t>(fault.target)];
  if (fault.target == Target::by_index) out.append(" ").append(std::to_string(fault.machine_index));
  if (fault.kind == FaultKind::cut_off) {
    out += std::string(", from ") + reaches[static_cast<std::size_t>(fault.scope)] + ", " +
           directions[static_cast<std::size_t>(fault.direction)] +
           (fault.resets_connections ? ", reset" : ", silent");
  }
  return out;
}

}  // namespace chutevane::tier_simulation
