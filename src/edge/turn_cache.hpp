/// A cache of the turns that this process has stored or read, which avoids reading a whole chain from storage
/// for each request.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "common/messages.hpp"

namespace chutevane::edge {

/// LRU cache bounded by size in bytes. Stored turns never change, so entries need no invalidation. Not
/// thread-safe.
class TurnCache {
 public:
  /// `max_bytes` bounds the total size of all entries. The most recently used entry stays even if it alone is
  /// larger.
  explicit TurnCache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Inserts a turn. Has no effect if the cache already contains it.
  void insert(std::shared_ptr<const common::Turn> turn);
  /// Returns the turn and marks it as recently used, or returns null if the cache does not contain it.
  std::shared_ptr<const common::Turn> find(const std::string& id);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::shared_ptr<const common::Turn> turn;
    std::list<std::string>::iterator position;  // in by_use_
  };
  void evict();

  const std::size_t max_bytes_;
  std::unordered_map<std::string, Entry> entries_;  // by turn id
  std::list<std::string> by_use_;                   // turn ids, most recently used first
  std::size_t bytes_ = 0;
};

}  // namespace chutevane::edge
