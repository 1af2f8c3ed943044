/// An estimate of which blocks of prompts an endpoint's engine has in its prefix cache (its KV cache).
///
/// Engines do not tell what they have cached. The index is kept from what this process itself has sent there:
/// a block that was sent is taken as cached, and the least recently used blocks are taken as evicted once the
/// sum of all exceeds the engine's memory. What other processes send there is not seen.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace chutevane::edge {

/// A block of a prompt, as clients name them in X-Chutevane-Prompt-Prefix. Blocks with the same id have the
/// same text and the same model.
struct PromptBlock {
  std::uint64_t id = 0;
  double tokens = 0;  ///< length of the block
};

/// Least recently used index of the blocks of one endpoint. Not thread-safe.
class PrefixCacheIndex {
 public:
  bool contains(std::uint64_t id) const { return entries_.contains(id); }

  /// Tokens of the prompt that the engine has to read (its prefill). A block can be reused only behind the
  /// blocks that stood before it: all from the first missing one on count.
  double uncached_tokens(const std::vector<PromptBlock>& prompt) const {
    double uncached = 0;
    bool is_prefix_cached = true;
    for (const PromptBlock& block : prompt) {
      is_prefix_cached = is_prefix_cached && contains(block.id);
      if (!is_prefix_cached) uncached += block.tokens;
    }
    return uncached;
  }

  /// The block was sent to the endpoint: it is the most recently used one. Evicts the least recently used
  /// blocks while the sum is above `max_tokens`, but never the block itself.
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

  /// Sum over all blocks that are taken as cached.
  double tokens() const { return tokens_; }

 private:
  std::list<PromptBlock> by_use_;  // the most recently used first
  std::unordered_map<std::uint64_t, std::list<PromptBlock>::iterator> entries_;
  double tokens_ = 0;
};

}  // namespace chutevane::edge
