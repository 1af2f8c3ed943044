/// A small cache whose entries have weights that decay with each look-up; the lightest entry is evicted.
#pragma once

#include <array>

namespace chutevane {

/// The index of the first entry that `same` accepts, or else of `fresh`, which replaces the lightest entry.
/// Multiplies all weights by `decay`. T has a member `weight`.
template <class T, std::size_t n, class Same>
std::size_t remember(std::array<T, n>& kept, double decay, const T& fresh, Same same) {
  std::size_t at = n, least = 0;
  for (std::size_t i = 0; i < n; ++i) {
    kept[i].weight *= decay;
    if (at == n && same(kept[i])) at = i;
    if (kept[i].weight < kept[least].weight) least = i;
  }
  if (at == n) kept[at = least] = fresh;
  return at;
}

}  // namespace chutevane
