/// The byte buffer of a connection: appended at its end, consumed from its front, always contiguous.
///
/// It grows as needed and is compacted in place. Any call that may grow it invalidates views that bytes() or
/// room() have returned. A large buffer grows without a copy where the allocator can move its pages.
#pragma once

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <new>
#include <span>
#include <string_view>
#include <utility>

#include "net/buffer_budget.hpp"

namespace chutevane::net {

class Buffer {
 public:
  Buffer() = default;
  /// Counts its memory in `budget`, which must outlive it.
  explicit Buffer(BufferBudget& budget) : budget_(&budget) {}
  ~Buffer() { resize(0); }
  Buffer(const Buffer&) = delete;
  Buffer& operator=(const Buffer&) = delete;
  /// Views of the bytes stay valid.
  Buffer(Buffer&& other) noexcept { swap(other); }
  Buffer& operator=(Buffer&& other) noexcept {
    Buffer taken(std::move(other));
    swap(taken);
    return *this;
  }
  std::size_t size() const { return end_ - begin_; }
  bool empty() const { return begin_ == end_; }
  /// Bytes of memory that it holds.
  std::size_t capacity() const { return capacity_; }
  /// What it holds.
  std::span<char> bytes() { return {bytes_.get() + begin_, size()}; }
  /// Free space behind what it holds, at least `min_size` bytes; follow by added(). Moves what is held only
  /// if it must.
  std::span<char> room(std::size_t min_size) {
    if (capacity_ - end_ < min_size) {
      if (begin_ > 0) {
        std::memmove(bytes_.get(), bytes_.get() + begin_, size());
        end_ -= begin_;
        begin_ = 0;
      }
      if (capacity_ - end_ < min_size)
        resize(std::max(end_ + min_size, std::min(capacity_ * 2, capacity_ + max_growth)));
    }
    return {bytes_.get() + end_, capacity_ - end_};
  }
  /// `n` bytes have been written to the space that room() returned.
  void added(std::size_t n) { end_ += n; }
  void append(std::string_view text) {
    if (text.empty()) return;
    std::memcpy(room(text.size()).data(), text.data(), text.size());
    added(text.size());
  }
  /// Drops `n` bytes from its front.
  void consume(std::size_t n) {
    begin_ += n;
    if (begin_ == end_) begin_ = end_ = 0;
  }
  /// Drops `n` bytes from its end.
  void drop_back(std::size_t n) {
    end_ -= n;
    if (begin_ == end_) begin_ = end_ = 0;
  }
  /// Frees memory of an empty buffer down to `max_size` bytes, for connections that go idle.
  void shrink(std::size_t max_size) {
    if (!empty() || capacity_ <= max_size) return;
    resize(max_size);
  }
  /// Drops all bytes and frees the memory.
  void clear() {
    consume(size());
    resize(0);
  }
  /// Takes the first `n` bytes out, with the memory that they are in: views of them stay valid, and nothing
  /// but the rest is copied.
  Buffer release_front(std::size_t n) {
    Buffer rest;
    rest.budget_ = budget_;
    const std::span<char> held = bytes();
    rest.append({held.data() + n, held.size() - n});
    swap(rest);
    rest.drop_back(rest.size() - n);
    return rest;
  }

 private:
  static constexpr std::size_t max_growth = 64 * 1024;  // bytes: doubles up to this, then grows by it
  struct Free {
    void operator()(char* bytes) const { std::free(bytes); }
  };
  void swap(Buffer& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(bytes_, other.bytes_);
    std::swap(capacity_, other.capacity_);
    std::swap(begin_, other.begin_);
    std::swap(end_, other.end_);
  }
  void resize(std::size_t size) {
    if (size == capacity_) return;
    if (size == 0) {
      bytes_.reset();
    } else {
      // std::realloc() and not new: pages of a large block are moved, not copied.
      char* const moved = static_cast<char*>(std::realloc(bytes_.get(), size));
      if (moved == nullptr) throw std::bad_alloc();
      static_cast<void>(bytes_.release());
      bytes_.reset(moved);
    }
    if (budget_ != nullptr) {
      budget_->release(capacity_);
      budget_->add(size);
    }
    capacity_ = size;
  }
  BufferBudget* budget_ = nullptr;  // not owned; none: its memory is not counted
  std::unique_ptr<char, Free> bytes_;
  std::size_t capacity_ = 0;
  std::size_t begin_ = 0, end_ = 0;
};

}  // namespace chutevane::net
