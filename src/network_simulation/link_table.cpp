#include "network_simulation/link_table.hpp"

#include <algorithm>

namespace chutevane::network_simulation {

void LinkTable::block(std::size_t from, std::size_t to) { ++block_counts_[{from, to}]; }

bool LinkTable::unblock(std::size_t from, std::size_t to) { return --block_counts_[{from, to}] <= 0; }

bool LinkTable::is_blocked(std::size_t from, std::size_t to) const {
  const auto found = block_counts_.find({from, to});
  return found != block_counts_.end() && found->second > 0;
}

void LinkTable::set_delay_factor(std::size_t a, std::size_t b, double factor) {
  delay_factors_[{std::min(a, b), std::max(a, b)}] = factor;
}

double LinkTable::delay_factor(std::size_t a, std::size_t b) const {
  const auto found = delay_factors_.find({std::min(a, b), std::max(a, b)});
  return found == delay_factors_.end() ? 1.0 : found->second;
}

}  // namespace chutevane::network_simulation
