/// The memory budget of all connections' buffers together: how many bytes they hold, and how many they may.
///
/// Nothing here refuses memory. A reader of a socket looks at full() first, and who holds bytes for retries
/// alone looks at tight().
#pragma once

#include <algorithm>
#include <cstddef>

namespace chutevane::net {

class BufferBudget {
 public:
  /// `limit`: bytes; unlimited by default.
  explicit BufferBudget(std::size_t limit = static_cast<std::size_t>(-1)) : total_(limit), limit_(limit) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;
  void add(std::size_t n) { bytes_ += n, peak_ = std::max(peak_, bytes_); }
  void release(std::size_t n) { bytes_ -= n; }
  /// Bytes that are held now.
  std::size_t bytes() const { return bytes_; }
  /// The most that were ever held.
  std::size_t peak() const { return peak_; }
  /// More than half is used: bytes that are held for retries alone are to go first.
  bool tight() const { return bytes_ > limit_ / 2; }
  /// All is used: reading is to wait.
  bool full() const { return bytes_ >= limit_; }
  /// Lowers the limit to a fraction of the whole, while another process uses the rest.
  void share(double fraction) { limit_ = static_cast<std::size_t>(static_cast<double>(total_) * fraction); }

 private:
  const std::size_t total_;
  std::size_t limit_, bytes_ = 0, peak_ = 0;
};

}  // namespace chutevane::net
