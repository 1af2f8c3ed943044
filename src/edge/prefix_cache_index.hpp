/// An estimate of which prompt blocks an endpoint's engine has in its prefix cache (its KV cache).
///
/// Engines do not report the contents of their cache. The index is derived from what this process has sent: a
/// block that was sent is assumed to be cached, and the least recently used blocks are assumed to be evicted
/// once the total exceeds the engine's memory. Requests of other processes are not taken into account.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace chutevane::edge {

/// A block of a prompt, as listed by clients in X-Chutevane-Prompt-Prefix. Blocks with the same id have the
/// same text and the same model.
struct PromptBlock {
  std::uint64_t id = 0;
  double tokens = 0;  ///< length of the block
};

/// LRU index of the blocks of one endpoint. Not thread-safe.
class PrefixCacheIndex {
 public:
  bool contains(std::uint64_t id) const { return entries_.contains(id); }

  /// Returns the number of prompt tokens that the engine has to process (its prefill). A cached block is
  /// reusable only if all the blocks before it are cached too, so everything from the first missing block on
  /// counts.
  double uncached_tokens(const std::vector<PromptBlock>& prompt) const {
    double uncached = 0;
    bool is_prefix_cached = true;
    for (const PromptBlock& block : prompt) {
      is_prefix_cached = is_prefix_cached && contains(block.id);
      if (!is_prefix_cached) uncached += block.tokens;
    }
    return uncached;
  }

  /// Records that the block was sent to the endpoint, which makes it the most recently used one. Evicts the
  /// least recently used blocks while the total exceeds `max_tokens`, but never the block itself.
  void touch(std::uint64_t id, double tokens, double max_tokens) {
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
      by_use_.splice(by_use_.begin(), by_use_, found->second);
      return;
    }
    by_use_.push_front({id, tokens});
    entries_[id] = by_use_.begin();
    tokens_ += tokens;
    while (tokens_ > max_tokens && by_use_.size() > 1) {
      tokens_ -= by_use_.back().tokens;
      entries_.erase(by_use_.back().id);
      by_use_.pop_back();
    }
  }

  void clear() {
    by_use_.clear();
    entries_.clear();
    tokens_ = 0;
  }

  /// Returns the total number of tokens in all blocks that are assumed to be cached.
  double tokens() const { return tokens_; }

 private:
  std::list<PromptBlock> by_use_;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<PromptBlock>::iterator> entries_;
  double tokens_ = 0;
};

}  // namespace chutevane::edge
