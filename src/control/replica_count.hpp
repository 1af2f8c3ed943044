/// How many replicas bear how many losses.
#pragma once

#include <cstddef>

namespace chutevane::control {

/// Replicas (acceptors, storage nodes) of which a majority is left when `losses` of them are lost at once.
constexpr std::size_t replicas_for(std::size_t losses) { return 2 * losses + 1; }

}  // namespace chutevane::control
