/// The list of endpoints, as a state that is replicated by numbered changes.
///
/// The holder of the list's lease reads the platform's list and update()s its table: each change gets the
/// next number of the lease's term. Others apply() what they receive. A copy is ordered by term, then number;
/// one that lags gets the changes that it lacks, or the complete list where these are not stored any more. No
/// I/O.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/messages.hpp"

namespace chutevane::common {

class EndpointTable {
 public:
  /// Of the lease under which the list was read; 0: there is no list yet.
  std::int64_t term() const { return term_; }
  /// Of the newest change in this term, from 1.
  std::int64_t number() const { return number_; }
  bool empty() const { return term_ == 0; }
  /// By id.
  const std::map<std::string, EndpointEntry>& entries() const { return entries_; }

  /// For the holder of the lease: what it has read makes the next change under this term, or the first list
  /// of a new term. False: nothing has changed, or the term is an old one.
  bool update(std::int64_t term, const std::vector<EndpointEntry>& all);
  /// Applies a received list: a complete one that is newer, or the change that follows this table's number.
  /// False: it is no news, or changes before it are missing; the table stays as it is.
  bool apply(const EndpointList& received);
  /// What a copy at that term and number has to apply to be as this one: the changes since, or the complete
  /// list where these are not stored any more. Empty: it is as new.
  std::vector<EndpointList> changes_since(std::int64_t term, std::int64_t number) const;
  EndpointList complete_list() const;
  bool newer_than(std::int64_t term, std::int64_t number) const {
    return term_ > term || (term_ == term && number_ > number);
  }

 private:
  static constexpr std::size_t max_changes = 128;  // some minutes of a busy day
  void store_change(EndpointList change);
  std::int64_t term_ = 0;
  std::int64_t number_ = 0;
  std::map<std::string, EndpointEntry> entries_;  // by id
  std::deque<EndpointList> changes_;              // the latest of this term, without gaps
};

}  // namespace chutevane::common
