/// Number of replicas needed to tolerate a number of losses.
#pragma once

#include <cstddef>

namespace chutevane::control {

/// Returns the number of replicas (acceptors, storage nodes) of which a majority remains when `losses` of
/// them are lost at the same time.
constexpr std::size_t replicas_for(std::size_t losses) { return 2 * losses + 1; }

}  // namespace chutevane::control
