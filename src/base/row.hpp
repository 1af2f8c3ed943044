/// A singly linked FIFO of the slots of a Slab. The links are stored in the slots: `behind(slot)` returns a
/// reference to the index of the next one.
#pragma once

#include "base/slab.hpp"

namespace chutevane {

struct Row {
  static constexpr std::uint32_t none = IdIndex::none;
  std::uint32_t first = none, last = none;

  template <class Behind>
  void append(std::uint32_t at, Behind behind) {
    (last == none ? first : behind(last)) = at;
    last = at;
  }
  template <class Behind>
  void remove(std::uint32_t at, Behind behind) {
    std::uint32_t before = none;
    for (std::uint32_t i = first; i != at; i = behind(i)) before = i;
    const std::uint32_t after = behind(at);
    (before == none ? first : behind(before)) = after;
    if (after == none) last = before;
  }
};

}  // namespace chutevane
