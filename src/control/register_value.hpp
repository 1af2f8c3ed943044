/// Helpers for values of the register: epochs, acceptor sets, quorums. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "common/messages.hpp"

namespace chutevane::control {

using common::Acceptor;
using common::Ballot;
using common::RegisterValue;

/// Returns the initial value of the first epoch, which does not depend on the order of `acceptors`.
RegisterValue first_epoch_value(std::vector<Acceptor> acceptors);

/// Returns the initial value of the epoch that follows the one that `sealed` ended.
RegisterValue next_epoch_value(const RegisterValue& sealed);

/// Returns true if this value is the last one of its epoch, which names the next epoch's acceptors.
inline bool is_sealed(const RegisterValue& value) { return !value.next_acceptors.empty(); }

/// Returns the number of acceptors of the epoch that form a majority.
std::size_t quorum_size(const RegisterValue& epoch_value);

/// Returns true if an acceptor of the set has that address, whatever its disk.
bool contains_address(const std::vector<Acceptor>& set, const std::string& address);

}  // namespace chutevane::control
