/// Ids of the calls that are in flight. Two calls with one id must not be in flight together: endpoints would
/// take the second for a repeat of the first.
#pragma once

#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace chutevane::sidecar {

using ActiveRequestIds = std::unordered_set<std::string>;

/// A downstream connection's entry in the set: at most one id at a time, removed with its owner at the
/// latest.
class RequestIdClaim {
 public:
  /// `active` outlives the claim.
  explicit RequestIdClaim(ActiveRequestIds& active) : active_(active) {}
  ~RequestIdClaim() { release(); }
  RequestIdClaim(const RequestIdClaim&) = delete;
  RequestIdClaim& operator=(const RequestIdClaim&) = delete;

  /// False: another call in flight has this id. Only while nothing is claimed.
  [[nodiscard]] bool claim(std::string_view id) {
    const auto [entry, is_new] = active_.emplace(id);
    if (is_new) claimed_ = *entry;
    return is_new;
  }
  void release() {
    if (!claimed_.empty()) active_.erase(std::exchange(claimed_, ""));
  }

 private:
  ActiveRequestIds& active_;
  std::string claimed_;  // empty: none
};

}  // namespace chutevane::sidecar
