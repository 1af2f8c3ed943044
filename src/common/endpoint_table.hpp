// The list of endpoints as numbered changes: what is whole, what has changed since, and what of it to send.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/messages.hpp"

namespace chutevane::common {

class EndpointTable {
 public:
  std::int64_t term() const { return term_; }
  std::int64_t number() const { return number_; }
  bool empty() const { return term_ == 0; }
  const std::map<std::string, EndpointEntry>& entries() const { return entries_; }

  // What the duty's holder has read: the change that it makes under this term, or a whole list where the term
  // is new. False: nothing has changed.
  bool update(std::int64_t term, const std::vector<EndpointEntry>& all);
  // What somebody told: a whole list that is newer, or the change that follows the number that is held.
  // False: it is no news, or it does not fit; what is held stands.
  bool apply(const EndpointList& told);
  // What leads from there to here: the changes since, or the whole where these are not kept any more.
  std::vector<EndpointList> since(std::int64_t term, std::int64_t number) const;
  EndpointList whole() const;
  bool newer_than(std::int64_t term, std::int64_t number) const {
    return term_ > term || (term_ == term && number_ > number);
  }

 private:
  static constexpr std::size_t changes_most = 128;  // some minutes of a busy day
  void note(EndpointList change);
  std::int64_t term_ = 0, number_ = 0;
  std::map<std::string, EndpointEntry> entries_;
  std::deque<EndpointList> changes_;
};

}  // namespace chutevane::common
