/// The memory budget of a process for what its peers make it hold: how many bytes are held, and how many may
/// be.
///
/// Nothing here refuses memory. A reader of a socket looks at full() first, and who holds bytes for retries
/// alone looks at tight(). Bytes are counted where memory is taken: the capacity of a Buffer, and a
/// BufferCharge for bytes that are held elsewhere.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

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
  /// Bytes that may be held.
  std::size_t limit() const { return limit_; }
  /// Replaces the whole limit. What is held stays held.
  void set_limit(std::size_t limit) { total_ = limit_ = limit; }
  /// More than half is used: bytes that are held for retries alone are to go first.
  bool tight() const { return bytes_ > limit_ / 2; }
  /// All is used: reading is to wait.
  bool full() const { return bytes_ >= limit_; }
  /// Lowers the limit to a fraction of the whole, while another process uses the rest.
  void share(double fraction) { limit_ = static_cast<std::size_t>(static_cast<double>(total_) * fraction); }

 private:
  std::size_t total_, limit_, bytes_ = 0, peak_ = 0;
};

/// Bytes outside of buffers that count in a budget for as long as this lives.
class BufferCharge {
 public:
  BufferCharge() = default;
  /// `budget` must outlive it.
  BufferCharge(BufferBudget& budget, std::size_t bytes) : budget_(&budget), bytes_(bytes) {
    budget.add(bytes);
  }
  BufferCharge(BufferCharge&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
  BufferCharge& operator=(BufferCharge&& other) noexcept {
    if (this == &other) return *this;
    clear();
    budget_ = std::exchange(other.budget_, nullptr);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }
  ~BufferCharge() { clear(); }
  std::size_t bytes() const { return bytes_; }
  /// Counts so many bytes from now on. Must not be called on one without a budget.
  void set(std::size_t bytes) {
    budget_->release(bytes_);
    budget_->add(bytes);
    bytes_ = bytes;
  }

 private:
  void clear() {
    if (budget_ != nullptr) budget_->release(bytes_);
    budget_ = nullptr;
    bytes_ = 0;
  }
  BufferBudget* budget_ = nullptr;  // not owned; none: counts nothing
  std::size_t bytes_ = 0;
};

}  // namespace chutevane::net
