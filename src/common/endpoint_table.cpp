#include "common/endpoint_table.hpp"

namespace chutevane::common {

void EndpointTable::store_change(EndpointList change) {
  changes_.push_back(std::move(change));
  if (changes_.size() > max_changes) changes_.pop_front();
}

bool EndpointTable::update(std::int64_t term, const std::vector<EndpointEntry>& all) {
  std::map<std::string, EndpointEntry> next;
  for (const EndpointEntry& e : all) next[e.id] = e;
  if (term != term_) {
    if (term < term_) return false;
    term_ = term;
    number_ = 1;
    entries_ = std::move(next);
    changes_.clear();
    return true;
  }
  EndpointList change;
  for (const auto& [id, e] : next) {
    const auto current = entries_.find(id);
    if (current == entries_.end() || !(current->second == e)) change.entries.push_back(e);
  }
  for (const auto& [id, e] : entries_) {
    if (!next.contains(id)) change.removed_ids.push_back(id);
  }
  if (change.entries.empty() && change.removed_ids.empty()) return false;
  change.term = term_;
  change.base = number_;
  change.number = ++number_;
  entries_ = std::move(next);
  store_change(std::move(change));
  return true;
}

bool EndpointTable::apply(const EndpointList& received) {
  if (received.term < term_ || (received.term == term_ && received.number <= number_)) return false;
  if (received.base == 0) {
    term_ = received.term;
    number_ = received.number;
    entries_.clear();
    for (const EndpointEntry& e : received.entries) entries_[e.id] = e;
    changes_.clear();
    return true;
  }
  if (received.term != term_ || received.base != number_) return false;
  for (const EndpointEntry& e : received.entries) entries_[e.id] = e;
  for (const std::string& id : received.removed_ids) entries_.erase(id);
  number_ = received.number;
  store_change(received);
  return true;
}

EndpointList EndpointTable::complete_list() const {
  EndpointList out;
  out.term = term_;
  out.number = number_;
  for (const auto& [id, e] : entries_) out.entries.push_back(e);
  return out;
}

std::vector<EndpointList> EndpointTable::changes_since(std::int64_t term, std::int64_t number) const {
  if (!newer_than(term, number)) return {};
  const bool is_stored = term == term_ && !changes_.empty() && changes_.front().base <= number;
  if (!is_stored) return {complete_list()};
  std::vector<EndpointList> out;
  for (const EndpointList& change : changes_) {
    if (change.base >= number) out.push_back(change);
  }
  return out;
}

}  // namespace chutevane::common
