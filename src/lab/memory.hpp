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
  // True the first time within the window: only then does the effect take place. The window counts from when
  // it was sent first to when it is sent again, as the platform states it, however long either waits to run.
  bool first(const std::string& reference, TimePoint sent, TimePoint now) {
    while (!order_.empty() && now - order_.front().first > window_ + waits_most) {
      known_.erase(order_.front().second);
      order_.pop_front();
    }
    const auto [known, is_new] = known_.try_emplace(reference, sent);
    if (!is_new && sent - known->second <= window_ + slack) return false;
    known->second = sent;
    if (is_new) order_.emplace_back(now, reference);
    return true;
  }
  std::size_t size() const { return known_.size(); }

 private:
  static constexpr Span waits_most = Span::ms(30000);  // of a request in a queue
  static constexpr Span slack = Span::ms(50);          // for the way of either
  Span window_;
  std::unordered_map<std::string, TimePoint> known_;
  std::deque<std::pair<TimePoint, std::string>> order_;
};

}  // namespace chutevane::lab
