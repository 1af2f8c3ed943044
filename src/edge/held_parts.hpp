// Which parts of prompts an endpoint is believed to hold: what was sent there, the longest unused given up
// first.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

namespace chutevane::edge {

class HeldParts {
 public:
  bool has(std::uint64_t id) const { return at_.contains(id); }
  void use(std::uint64_t id, double tokens, double tokens_most) {
    const auto found = at_.find(id);
    if (found != at_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      return;
    }
    order_.push_front({id, tokens});
    at_[id] = order_.begin();
    tokens_ += tokens;
    while (tokens_ > tokens_most && order_.size() > 1) {
      tokens_ -= order_.back().tokens;
      at_.erase(order_.back().id);
      order_.pop_back();
    }
  }
  void clear() {
    order_.clear();
    at_.clear();
    tokens_ = 0;
  }
  double tokens() const { return tokens_; }

 private:
  struct Held {
    std::uint64_t id;
    double tokens;
  };
  std::list<Held> order_;  // the newest used first
  std::unordered_map<std::uint64_t, std::list<Held>::iterator> at_;
  double tokens_ = 0;
};

}  // namespace chutevane::edge
