/// The list of endpoints, replicated as a sequence of numbered changes.
///
/// The holder of the list's lease reads the platform's list and calls update(): each change gets the next
/// number in the term of the lease. Other processes apply() what they receive. Versions are ordered by term,
/// then number. A replica that lags receives the changes that it lacks, or the complete list if these are no
/// longer stored. No I/O.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/messages.hpp"

namespace chutevane::common {

class EndpointTable {
 public:
  /// Returns the term of the lease under which the list was read, or 0 if there is no list yet.
  std::int64_t term() const { return term_; }
  /// Returns the number of the newest change in this term, starting at 1.
  std::int64_t number() const { return number_; }
  bool empty() const { return term_ == 0; }
  /// Returns the endpoints by id.
  const std::map<std::string, EndpointEntry>& entries() const { return entries_; }

  /// Called by the holder of the lease with the list that it has read: records the differences as the next
  /// change in this term, or the whole list as the first one of a new term. Returns false if nothing has
  /// changed or the term is older than the table's.
  bool update(std::int64_t term, const std::vector<EndpointEntry>& all);
  /// Applies a received list: a newer complete list, or the change that directly follows this table's number.
  /// Returns false and leaves the table unchanged if it is not newer or if earlier changes are missing.
  bool apply(const EndpointList& received);
  /// Returns what a replica at that term and number must apply to catch up: the changes since, or the
  /// complete list if these are no longer stored. Empty if the replica is up to date.
  std::vector<EndpointList> changes_since(std::int64_t term, std::int64_t number) const;
  EndpointList complete_list() const;
  bool newer_than(std::int64_t term, std::int64_t number) const {
    return term_ > term || (term_ == term && number_ > number);
  }

 private:
  static constexpr std::size_t max_changes = 128;  // covers some minutes with frequent changes
  void store_change(EndpointList change);
  std::int64_t term_ = 0;
  std::int64_t number_ = 0;
  std::map<std::string, EndpointEntry> entries_;  // by id
  std::deque<EndpointList> changes_;              // the latest ones of this term, without gaps
};

}  // namespace chutevane::common
