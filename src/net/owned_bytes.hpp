/// Bytes that were received and outlive the buffer of their connection, held once.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "net/buffer.hpp"

namespace chutevane::net {

/// Owns either a copy of a few bytes or the memory of the buffer in which many were received. The latter
/// still counts in the buffer's budget. Movable.
class OwnedBytes {
 public:
  /// More bytes than these are not copied.
  static constexpr std::size_t max_copied_bytes = 4 * 1024;

  OwnedBytes() = default;
  explicit OwnedBytes(std::string text) : text_(std::move(text)) {}
  /// Takes the first `size` bytes out of `buffer` and keeps `wanted`, a view of some of them.
  static OwnedBytes take_front(Buffer& buffer, std::size_t size, std::string_view wanted) {
    OwnedBytes taken;
    if (wanted.size() <= max_copied_bytes) {
      taken.text_ = wanted;
      buffer.consume(size);
    } else {
      taken.storage_ = buffer.release_front(size);
      taken.bytes_ = wanted;
    }
    return taken;
  }

  std::string_view view() const { return storage_.capacity() > 0 ? bytes_ : std::string_view(text_); }
  std::size_t size() const { return view().size(); }
  /// Returns the bytes as a string, and frees the memory of the buffer.
  std::string release() {
    if (storage_.capacity() == 0) return std::move(text_);
    std::string text(bytes_);
    *this = OwnedBytes();
    return text;
  }

 private:
  std::string text_;
  Buffer storage_;
  std::string_view bytes_;  // in storage_
};

}  // namespace chutevane::net
