/// Keeps the membership in the register in line with the machines that are there: the set of acceptors and
/// the map of storage nodes. Runs while this controller leads the role `roster`.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "common/messages.hpp"
#include "control/acceptor_set_planner.hpp"
#include "control/register.hpp"
#include "control/storage_map_planner.hpp"

namespace chutevane::control {

/// Plans with AcceptorSetPlanner and StorageMapPlanner and submits what they plan to the register, one change
/// at a time: the acceptors first.
class MembershipController {
 public:
  /// Called when a change has been chosen. `acceptors_changed`: of the set of acceptors, not of the map.
  using ChangedCallback = std::function<void(const RegisterValue& chosen, bool acceptors_changed)>;

  /// `losses`: machines that may be lost at once. `reg` must outlive this object.
  MembershipController(Register& reg, std::size_t losses, ChangedCallback on_changed);

  /// To be called with each tick, before reconcile(). A new leader starts to watch anew.
  void set_leading(bool is_leading);

  /// Submits at most one change, where one is needed and none is under way. `controllers`: live ones whose
  /// disk works, this one included. `members`: all members in contact with any controller.
  void reconcile(const std::vector<LiveController>& controllers, const std::vector<common::Member>& members,
                 TimePoint now);

 private:
  void submit(std::int64_t planned_on, Register::Change change, bool acceptors_changed);
  Span longest_retention(const RegisterValue& value);

  Register& register_;
  const ChangedCallback on_changed_;
  AcceptorSetPlanner acceptor_planner_;
  StorageMapPlanner storage_planner_;
  bool is_leading_ = false;
  bool is_change_pending_ = false;
  std::int64_t retention_version_ = -1;  // of the configuration that longest_retention_ was read from
  Span longest_retention_;
};

}  // namespace chutevane::control
