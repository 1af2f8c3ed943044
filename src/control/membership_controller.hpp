/// Reconciles the membership in the register (the set of acceptors and the map of storage nodes) with the
/// machines that are present. Active while this controller is the leader of the role `roster`.
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

/// Plans with AcceptorSetPlanner and StorageMapPlanner and submits the results to the register, one change at
/// a time. A change of the acceptor set takes precedence.
class MembershipController {
 public:
  /// Called when a change has been chosen. `acceptors_changed`: true if it changed the set of acceptors,
  /// false if it changed the map of storage nodes.
  using ChangedCallback = std::function<void(const RegisterValue& chosen, bool acceptors_changed)>;

  /// `losses`: number of machines that may be lost at the same time. `reg` must outlive this object.
  MembershipController(Register& reg, std::size_t losses, ChangedCallback on_changed);

  /// Must be called with each tick, before reconcile(). A new leader discards the absences recorded before.
  void set_leading(bool is_leading);

  /// Submits at most one change, if one is needed and none is pending. `controllers`: live controllers whose
  /// disks work, including this one. `members`: all members in contact with any controller.
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
  std::int64_t retention_version_ = -1;  // version of the configuration that longest_retention_ comes from
  Span longest_retention_;
};

}  // namespace chutevane::control
