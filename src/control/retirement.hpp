/// Retirement of storage nodes: an operator's request to drain a machine before it is removed. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/messages.hpp"

namespace chutevane::control {

/// Outcome of a request to retire a node.
enum class RetirementOutcome : std::uint8_t {
  accepted,           // the value was changed; the node is now draining
  already_requested,  // by an earlier request, completed or not
  unknown_node,       // the node is not in the map of storage nodes
  too_few_left,       // too few nodes would be left to tolerate the losses
};

/// Adds the request to `value`, which is changed only if the outcome is `accepted`. `losses`: number of
/// storage nodes that may be lost at the same time.
[[nodiscard]] RetirementOutcome request_retirement(common::RegisterValue& value, const std::string& node,
                                                   std::size_t losses);

/// Returns the request to retire that node, completed or not, or nullptr if there is none.
const common::RetiredNode* find_retirement(const common::RegisterValue& value, const std::string& node);

/// Returns the number of nodes in the map, other than `node`, that are not draining.
std::size_t staying_node_count(const common::RegisterValue& value, const std::string& node);

}  // namespace chutevane::control
