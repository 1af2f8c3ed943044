/// \file
/// The state of the links between processes: which directions are partitioned and how slow a link is. A link
/// without an entry works normally.
#pragma once

#include <cstddef>
#include <map>
#include <utility>

namespace chutevane::network_simulation {

/// Link faults by the numbers of the two processes. Partitions are per direction, slowness is per pair.
class LinkTable {
 public:
  /// Partitions one direction. Calls add up: as many `unblock` calls are needed.
  void block(std::size_t from, std::size_t to);
  /// Takes one `block` back; true if the direction works again.
  [[nodiscard]] bool unblock(std::size_t from, std::size_t to);
  [[nodiscard]] bool is_blocked(std::size_t from, std::size_t to) const;

  /// Multiplies the delays of both directions between `a` and `b`; 1 is normal.
  void set_delay_factor(std::size_t a, std::size_t b, double factor);
  [[nodiscard]] double delay_factor(std::size_t a, std::size_t b) const;

 private:
  using Pair = std::pair<std::size_t, std::size_t>;
  std::map<Pair, int> block_counts_;      // by (from, to)
  std::map<Pair, double> delay_factors_;  // by (smaller, larger)
};

}  // namespace chutevane::network_simulation
