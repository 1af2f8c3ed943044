/// An intrusive, singly linked FIFO queue of the slots of a Slab. The links are stored in the slots:
/// `next_of(slot)` returns a reference to the index of the next slot.
#pragma once

#include "base/slab.hpp"

namespace chutevane {

struct IntrusiveQueue {
  static constexpr std::uint32_t none = IdIndex::none;
  std::uint32_t first = none, last = none;

  template <class NextOf>
  void append(std::uint32_t slot, NextOf next_of) {
    (last == none ? first : next_of(last)) = slot;
    last = slot;
  }
  /// Removes `slot`, which must be in the queue.
  template <class NextOf>
  void remove(std::uint32_t slot, NextOf next_of) {
    std::uint32_t before = none;
    for (std::uint32_t i = first; i != slot; i = next_of(i)) before = i;
    const std::uint32_t after = next_of(slot);
    (before == none ? first : next_of(before)) = after;
    if (after == none) last = before;
  }
};

}  // namespace chutevane
