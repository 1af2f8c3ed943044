/// Retirement of storage nodes: an operator's request to empty a machine before it is removed. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/messages.hpp"

namespace chutevane::control {

/// What becomes of a request to retire a node.
enum class RetirementOutcome : std::uint8_t {
  accepted,           // the value was changed: the node is draining
  already_requested,  // by an earlier request, completed or not
  unknown_node,       // the map of storage nodes does not name it
  too_few_left,       // fewer nodes would be left than bear the losses
};

/// Requests the retirement in `value`; changes it only where the outcome is `accepted`. `losses`: storage
/// nodes that may be lost at once.
[[nodiscard]] RetirementOutcome request_retirement(common::RegisterValue& value, const std::string& node,
                                                   std::size_t losses);

/// The request to retire that node, completed or not. Null: there was none.
const common::RetiredNode* find_retirement(const common::RegisterValue& value, const std::string& node);

/// Nodes of the map other than `node` that are not draining.
std::size_t staying_without(const common::RegisterValue& value, const std::string& node);

}  // namespace chutevane::control
