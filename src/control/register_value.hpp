/// Helpers on the value of the register: epochs, acceptor sets, quorums. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "common/messages.hpp"

namespace chutevane::control {

using common::Acceptor;
using common::Ballot;
using common::RegisterValue;

/// The initial value of the first epoch: the same at all who know the same acceptors, in whatever order.
RegisterValue first_epoch_value(std::vector<Acceptor> acceptors);

/// The initial value of the epoch that follows the one which `sealed` ended.
RegisterValue next_epoch_value(const RegisterValue& sealed);

/// Whether this value is the last of its epoch: it names the next epoch's acceptors.
inline bool is_sealed(const RegisterValue& value) { return !value.next_acceptors.empty(); }

/// Acceptors of the epoch that make up a majority.
std::size_t quorum_size(const RegisterValue& epoch_value);

/// Whether an acceptor of the set listens at that address, whatever its disk.
bool contains_address(const std::vector<Acceptor>& set, const std::string& address);

}  // namespace chutevane::control
