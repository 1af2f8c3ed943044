// The one count of the bytes that all connections hold, and how many they may.
#pragma once

#include <algorithm>
#include <cstddef>

namespace chutevane::net {

class BufferBudget {
 public:
  explicit BufferBudget(std::size_t most = static_cast<std::size_t>(-1)) : whole_(most), most_(most) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;
  void add(std::size_t n) { bytes_ += n, peak_ = std::max(peak_, bytes_); }
  void give_back(std::size_t n) { bytes_ -= n; }
  std::size_t bytes() const { return bytes_; }
  std::size_t peak() const { return peak_; }
  // Half is used: what is held for repeats alone goes first.
  bool tight() const { return bytes_ > most_ / 2; }
  // All is used: reading waits.
  bool full() const { return bytes_ >= most_; }
  void share(double part) { most_ = static_cast<std::size_t>(static_cast<double>(whole_) * part); }

 private:
  const std::size_t whole_;
  std::size_t most_, bytes_ = 0, peak_ = 0;
};

}  // namespace chutevane::net
