/// A pool of reused slots, and a hash index from ids to slots. Neither allocates memory once it has grown.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace chutevane {

/// Slots are identified by indices, which stay valid until give_back(). References are invalidated by take().
template <class T>
class Slab {
 public:
  /// Allocates a slot, whose item is value-initialized.
  std::uint32_t take() {
    if (free_.empty()) {
      items_.emplace_back();
      free_.reserve(items_.capacity());
      return static_cast<std::uint32_t>(items_.size() - 1);
    }
    const std::uint32_t at = free_.back();
    free_.pop_back();
    items_[at] = T{};
    return at;
  }
  void give_back(std::uint32_t at) { free_.push_back(at); }
  T& operator[](std::uint32_t at) { return items_[at]; }
  const T& operator[](std::uint32_t at) const { return items_[at]; }
  /// Returns the number of slots, including free ones.
  std::uint32_t size() const { return static_cast<std::uint32_t>(items_.size()); }

 private:
  std::vector<T> items_;
  std::vector<std::uint32_t> free_;
};

/// A hash table with open addressing and linear probing. Erasing moves later entries back, so there are no
/// tombstones.
class IdIndex {
 public:
  static constexpr std::uint32_t none = 0xffffffffU;

  /// `capacity` must be a power of two.
  explicit IdIndex(std::size_t capacity = 64) : cells_(capacity, Cell{0, none}) {}
  /// Returns the slot of `id`, or `none`.
  std::uint32_t find(std::uint64_t id) const {
    for (std::size_t i = home(id);; i = (i + 1) & mask()) {
      if (cells_[i].slot == none) return none;
      if (cells_[i].id == id) return cells_[i].slot;
    }
  }
  void put(std::uint64_t id, std::uint32_t slot) {
    if ((used_ + 1) * 2 > cells_.size()) grow();
    std::size_t i = home(id);
    while (cells_[i].slot != none && cells_[i].id != id) i = (i + 1) & mask();
    used_ += cells_[i].slot == none ? 1U : 0U;
    cells_[i] = {id, slot};
  }
  void erase(std::uint64_t id) {
    std::size_t i = home(id);
    while (cells_[i].slot != none && cells_[i].id != id) i = (i + 1) & mask();
    if (cells_[i].slot == none) return;
    for (std::size_t j = (i + 1) & mask(); cells_[j].slot != none; j = (j + 1) & mask()) {
      if (((j - home(cells_[j].id)) & mask()) >= ((j - i) & mask())) {
        cells_[i] = cells_[j];
        i = j;
      }
    }
    cells_[i].slot = none;
    --used_;
  }

 private:
  struct Cell {
    std::uint64_t id;
    std::uint32_t slot;
  };
  std::size_t mask() const { return cells_.size() - 1; }
  std::size_t home(std::uint64_t id) const { return ((id * 0x9e3779b97f4a7c15ULL) >> 32U) & mask(); }
  void grow() {
    std::vector<Cell> old(cells_.size() * 2, Cell{0, none});
    old.swap(cells_);
    used_ = 0;
    for (const Cell& c : old) {
      if (c.slot != none) put(c.id, c.slot);
    }
  }
  std::vector<Cell> cells_;
  std::size_t used_ = 0;
};

}  // namespace chutevane
