/// A pool of reused slots, and a hash index from ids to slots. Neither allocates once it has grown.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace chutevane {

/// Slots are named by indexes, which stay valid until they are given back; references do not survive take().
template <class T>
class Slab {
 public:
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
  std::uint32_t size() const { return static_cast<std::uint32_t>(items_.size()); }

 private:
  std::vector<T> items_;
  std::vector<std::uint32_t> free_;
};

/// Open addressing with linear probing; erasing moves later entries back, so there are no tombstones.
class IdIndex {
 public:
  static constexpr std::uint32_t none = 0xffffffffU;

  /// `capacity`: a power of two.
  explicit IdIndex(std::size_t capacity = 64) : cells_(capacity, Cell{0, none}) {}
  /// The slot of `id`, or `none`.
  std::uint32_t find(std::uint64_t id) const {
    for (std::size_t i = home(id);; i = (i + 1) & mask()) {
      if (cells_[i].place == none) return none;
      if (cells_[i].id == id) return cells_[i].place;
    }
  }
  void put(std::uint64_t id, std::uint32_t place) {
    if ((used_ + 1) * 2 > cells_.size()) grow();
    std::size_t i = home(id);
    while (cells_[i].place != none && cells_[i].id != id) i = (i + 1) & mask();
    used_ += cells_[i].place == none ? 1U : 0U;
    cells_[i] = {id, place};
  }
  void erase(std::uint64_t id) {
    std::size_t i = home(id);
    while (cells_[i].place != none && cells_[i].id != id) i = (i + 1) & mask();
    if (cells_[i].place == none) return;
    for (std::size_t j = (i + 1) & mask(); cells_[j].place != none; j = (j + 1) & mask()) {
      if (((j - home(cells_[j].id)) & mask()) >= ((j - i) & mask())) {
        cells_[i] = cells_[j];
        i = j;
      }
    }
    cells_[i].place = none;
    --used_;
  }

 private:
  struct Cell {
    std::uint64_t id;
    std::uint32_t place;
  };
  std::size_t mask() const { return cells_.size() - 1; }
  std::size_t home(std::uint64_t id) const { return ((id * 0x9e3779b97f4a7c15ULL) >> 32U) & mask(); }
  void grow() {
    std::vector<Cell> old(cells_.size() * 2, Cell{0, none});
    old.swap(cells_);
    used_ = 0;
    for (const Cell& c : old) {
      if (c.place != none) put(c.id, c.place);
    }
  }
  std::vector<Cell> cells_;
  std::size_t used_ = 0;
};

}  // namespace chutevane
