// The one buffer of a connection: bytes are appended at its end and taken from its front. It grows as it
// needs and is compacted in place, so that what it holds is always in one piece.
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
  explicit Buffer(BufferBudget& held) : held_(&held) {}
  ~Buffer() { resize(0); }
  Buffer(const Buffer&) = delete;
  Buffer& operator=(const Buffer&) = delete;
  std::size_t size() const { return end_ - begin_; }
  bool empty() const { return begin_ == end_; }
  std::span<char> bytes() { return {bytes_.data() + begin_, size()}; }
  // Room for at least `least` bytes behind what is held. Moves what is held only if it must.
  std::span<char> room(std::size_t least) {
    if (bytes_.size() - end_ < least) {
      if (begin_ > 0) {
        std::memmove(bytes_.data(), bytes_.data() + begin_, size());
        end_ -= begin_;
        begin_ = 0;
      }
      if (bytes_.size() - end_ < least)
        resize(std::max(end_ + least, std::min(bytes_.size() * 2, bytes_.size() + growth_most)));
    }
    return {bytes_.data() + end_, bytes_.size() - end_};
  }
  void added(std::size_t n) { end_ += n; }
  void append(std::string_view text) {
    if (text.empty()) return;
    std::memcpy(room(text.size()).data(), text.data(), text.size());
    added(text.size());
  }
  void consume(std::size_t n) {
    begin_ += n;
    if (begin_ == end_) begin_ = end_ = 0;
  }
  // What an idle connection gives back.
  void shrink(std::size_t most) {
    if (!empty() || bytes_.size() <= most) return;
    resize(most);
    bytes_.shrink_to_fit();
  }

 private:
  static constexpr std::size_t growth_most = 64 * 1024;  // bytes: from there on it grows by this
  void resize(std::size_t size) {
    if (held_ != nullptr) {
      held_->give_back(bytes_.size());
      held_->add(size);
    }
    if (size > bytes_.size()) {  // to the byte: a vector would take twice as much
      std::vector<char> more(size);
      if (!bytes_.empty()) std::memcpy(more.data(), bytes_.data(), bytes_.size());
      bytes_.swap(more);
    } else {
      bytes_.resize(size);
    }
  }
  BufferBudget* held_ = nullptr;  // none: nobody counts it
  std::vector<char> bytes_;
  std::size_t begin_ = 0, end_ = 0;
};

}  // namespace chutevane::net
