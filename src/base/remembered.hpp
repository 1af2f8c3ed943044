/// A small cache whose entries have weights that decay with each lookup. The entry of least weight is
/// evicted.
#pragma once

#include <array>

namespace chutevane {

/// Returns the index of the first entry that `is_same` accepts. If there is none, replaces the entry of least
/// weight with `new_entry` and returns its index. Multiplies all weights by `decay` first. T has a member
/// `weight`.
template <class T, std::size_t n, class IsSame>
std::size_t find_or_replace(std::array<T, n>& entries, double decay, const T& new_entry, IsSame is_same) {
  std::size_t at = n, least = 0;
  for (std::size_t i = 0; i < n; ++i) {
    entries[i].weight *= decay;
    if (at == n && is_same(entries[i])) at = i;
    if (entries[i].weight < entries[least].weight) least = i;
  }
  if (at == n) entries[at = least] = new_entry;
  return at;
}

}  // namespace chutevane
