// What a group of endpoints remembers of references: a repeat within the window has no second effect. Without
// I/O.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "chutevane/types.hpp"

namespace chutevane::lab {

class ReferenceMemory {
 public:
  explicit ReferenceMemory(Span window) : window_(window) {}
  // True the first time within the window: only then does the effect take place.
  bool first(const std::string& reference, TimePoint now) {
    while (!order_.empty() && now - order_.front().first > window_) {
      known_.erase(order_.front().second);
      order_.pop_front();
    }
    if (!known_.try_emplace(reference, now).second) return false;
    order_.emplace_back(now, reference);
    return true;
  }
  std::size_t size() const { return known_.size(); }

 private:
  Span window_;
  std::unordered_map<std::string, TimePoint> known_;
  std::deque<std::pair<TimePoint, std::string>> order_;
};

}  // namespace chutevane::lab
