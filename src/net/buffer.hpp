/// The byte buffer of a connection: appended at its end, consumed from its front, always contiguous.
///
/// It grows as needed and is compacted in place. Any call that may grow it invalidates views that bytes() or
/// room() have returned.
#pragma once

#include <algorithm>
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

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
  std::size_t size() const { return end_ - begin_; }
  bool empty() const { return begin_ == end_; }
  /// What it holds.
  std::span<char> bytes() { return {bytes_.data() + begin_, size()}; }
  /// Free space behind what it holds, at least `min_size` bytes; follow by added(). Moves what is held only
  /// if it must.
  std::span<char> room(std::size_t min_size) {
    if (bytes_.size() - end_ < min_size) {
      if (begin_ > 0) {
        std::memmove(bytes_.data(), bytes_.data() + begin_, size());
        end_ -= begin_;
        begin_ = 0;
      }
      if (bytes_.size() - end_ < min_size)
        resize(std::max(end_ + min_size, std::min(bytes_.size() * 2, bytes_.size() + max_growth)));
    }
    return {bytes_.data() + end_, bytes_.size() - end_};
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
    if (!empty() || bytes_.size() <= max_size) return;
    resize(max_size);
    bytes_.shrink_to_fit();
  }

 private:
  static constexpr std::size_t max_growth = 64 * 1024;  // bytes: doubles up to this, then grows by it
  void resize(std::size_t size) {
    if (budget_ != nullptr) {
      budget_->release(bytes_.size());
      budget_->add(size);
    }
    if (size > bytes_.size()) {  // to the byte: a vector would take twice as much
      std::vector<char> more(size);
      if (!bytes_.empty()) std::memcpy(more.data(), bytes_.data(), bytes_.size());
      bytes_.swap(more);
    } else {
      bytes_.resize(size);
    }
  }
  BufferBudget* budget_ = nullptr;  // not owned; none: its memory is not counted
  std::vector<char> bytes_;
  std::size_t begin_ = 0, end_ = 0;
};

}  // namespace chutevane::net
