// Checks that the answers which clients of the coordination service receive satisfy its contract.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/coordination/call.hpp"

namespace chutevane::control::coordination {

// Records the answers for locks, numbers and keys, and checks each against the earlier ones.
class ClientView {
 public:
  void acquired(const Call& call, std::int64_t fence, TimePoint sent_at, TimePoint now) {
    const auto [owner, is_first] = owners_.emplace(std::pair(call.name, fence), call.holder);
    check(is_first || owner->second == call.holder, "a fencing token was given to two holders");
    for (const Acquired& other : acquired_) {
      const bool is_earlier = other.lock == call.name && other.holder != call.holder && other.at <= sent_at;
      check(!is_earlier || other.fence < fence, "a fencing token is not above an earlier one");
    }
    acquired_.push_back({call.name, call.holder, fence, now});
    hold(call, fence, sent_at, now);
  }
  void renewed(const Call& call, TimePoint sent_at, TimePoint now) {
    const Hold* const own = current_hold(call.name, call.holder, now);
    if (own != nullptr && own->fence == call.fence) hold(call, call.fence, sent_at, now);
  }
  void released(const Call& call) { holds_.erase({call.name, call.holder}); }
  // Returns the fencing token of the hold, or std::nullopt if the holder considers it expired.
  std::optional<std::int64_t> held_fence(const std::string& lock, const std::string& holder,
                                         TimePoint now) const {
    const Hold* const own = current_hold(lock, holder, now);
    return own == nullptr ? std::nullopt : std::optional(own->fence);
  }

  void number_issued(const std::string& name, std::int64_t number, TimePoint sent_at, TimePoint now) {
    check(numbers_.emplace(name, number).second, "a number was issued twice");
    for (const auto& [issued, at] : issued_[name])
      check(at > sent_at || issued < number, "a number is not above an earlier one");
    issued_[name].emplace_back(number, now);
  }

  void put_done(const Call& call, std::int64_t revision) {
    const auto [first, is_first] = revisions_.emplace(call.value, revision);
    check(is_first || first->second == revision, "a put has two revisions");
    check(!rejected_.contains(call.value), "a rejected put was also executed");
  }
  void put_rejected(const Call& call) { rejected_.insert(call.value); }
  void read(const std::string& value, std::int64_t revision) {
    check(!rejected_.contains(value), "the value of a rejected put was read");
    const auto known = revisions_.find(value);
    check(known == revisions_.end() || known->second == revision,
          "a value was read with a different revision");
  }

  void check(bool holds, const std::string& what) {
    if (!holds && violation.empty()) violation = what;
  }
  std::string violation;  // the first violation; empty if there is none

 private:
  struct Hold {
    std::int64_t fence = 0;
    TimePoint until;
  };
  struct Acquired {
    std::string lock, holder;
    std::int64_t fence = 0;
    TimePoint at;
  };
  const Hold* current_hold(const std::string& lock, const std::string& holder, TimePoint now) const {
    const auto found = holds_.find({lock, holder});
    return found == holds_.end() || found->second.until <= now ? nullptr : &found->second;
  }
  // A client considers itself the holder from the answer on, until the hold measured from its request ends.
  void hold(const Call& call, std::int64_t fence, TimePoint sent_at, TimePoint now) {
    const TimePoint until = sent_at + call.hold;
    if (until <= now) return;
    for (const auto& [key, other] : holds_) {
      const bool overlaps = key.first == call.name && key.second != call.holder && other.until > now;
      check(!overlaps, "two holders of one lock");
    }
    holds_[{call.name, call.holder}] = {fence, until};
  }

  std::map<std::pair<std::string, std::int64_t>, std::string> owners_;
  std::vector<Acquired> acquired_;
  std::map<std::pair<std::string, std::string>, Hold> holds_;  // by lock and holder
  std::set<std::pair<std::string, std::int64_t>> numbers_;
  std::map<std::string, std::vector<std::pair<std::int64_t, TimePoint>>> issued_;
  std::map<std::string, std::int64_t> revisions_;  // by value, of executed puts
  std::set<std::string> rejected_;
};

}  // namespace chutevane::control::coordination
