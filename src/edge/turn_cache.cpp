/// TurnCache: insertion, lookup and eviction.
#include "edge/turn_cache.hpp"

#include <utility>

namespace chutevane::edge {
namespace {

constexpr std::size_t entry_overhead_bytes = 300;  // for ids and containers

std::size_t size_of(const common::Turn& turn) {
  return turn.input.data.size() + turn.output.data.size() + entry_overhead_bytes;
}

}  // namespace

void TurnCache::insert(std::shared_ptr<const common::Turn> turn) {
  const std::string id = turn->id;
  if (entries_.contains(id)) return;
  bytes_ += size_of(*turn);
  by_use_.push_front(id);
  entries_[id] = {std::move(turn), by_use_.begin()};
  evict();
}

void TurnCache::evict() {
  while (bytes_ > max_bytes_ && by_use_.size() > 1) {
    const auto oldest = entries_.find(by_use_.back());
    bytes_ -= size_of(*oldest->second.turn);
    entries_.erase(oldest);
    by_use_.pop_back();
  }
}

std::shared_ptr<const common::Turn> TurnCache::find(const std::string& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return nullptr;
  by_use_.splice(by_use_.begin(), by_use_, found->second.position);
  return found->second.turn;
}

}  // namespace chutevane::edge
