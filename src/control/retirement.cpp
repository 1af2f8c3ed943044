#include "control/retirement.hpp"

#include <algorithm>

#include "control/replica_count.hpp"

namespace chutevane::control {

using common::RegisterValue;
using common::RetiredNode;
using common::StorageNode;

const RetiredNode* find_retirement(const RegisterValue& value, const std::string& node) {
  const auto found = std::find_if(value.retired_nodes.begin(), value.retired_nodes.end(),
                                  [&](const RetiredNode& retired) { return retired.node == node; });
  return found == value.retired_nodes.end() ? nullptr : &*found;
}

std::size_t staying_node_count(const RegisterValue& value, const std::string& node) {
  return static_cast<std::size_t>(
      std::count_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                    [&](const StorageNode& other) { return !other.draining && other.node != node; }));
}

RetirementOutcome request_retirement(RegisterValue& value, const std::string& node, std::size_t losses) {
  if (find_retirement(value, node) != nullptr) return RetirementOutcome::already_requested;
  const auto found = std::find_if(value.storage_nodes.begin(), value.storage_nodes.end(),
                                  [&](const StorageNode& other) { return other.node == node; });
  if (found == value.storage_nodes.end()) return RetirementOutcome::unknown_node;
  if (staying_node_count(value, node) < replicas_for(losses)) return RetirementOutcome::too_few_left;
  found->draining = true;
  value.retired_nodes.push_back({node, false});
  ++value.map_version;
  return RetirementOutcome::accepted;
}

}  // namespace chutevane::control
