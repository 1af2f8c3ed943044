/// Turns that went through this process, so that a chain need not be read from storage for each request.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "common/messages.hpp"

namespace chutevane::edge {

/// Least recently used cache, bounded by bytes. Turns never change once they are stored, so entries need no
/// invalidation. Not thread-safe.
class TurnCache {
 public:
  /// `max_bytes`: of all entries; the most recently used entry stays even if it alone is larger.
  explicit TurnCache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// A turn that is there already stays as it is.
  void insert(std::shared_ptr<const common::Turn> turn);
  /// Null: it is not there. Counts as a use.
  std::shared_ptr<const common::Turn> find(const std::string& id);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::shared_ptr<const common::Turn> turn;
    std::list<std::string>::iterator position;  // in by_use_
  };
  void evict();

  const std::size_t max_bytes_;
  std::unordered_map<std::string, Entry> entries_;  // by id of the turn
  std::list<std::string> by_use_;                   // ids, the most recently used first
  std::size_t bytes_ = 0;
};

}  // namespace chutevane::edge
