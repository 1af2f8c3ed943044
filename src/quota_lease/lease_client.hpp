/// A lease client: a process that uses a share of a fleet-wide quota. Does no I/O.
#pragma once

#include <optional>

#include "quota_lease/lease_server.hpp"

namespace chutevane::quota_lease {

/// Numbers its requests, and accepts a grant for the newest one only. Grants for earlier requests are
/// ignored, so `held` in a request is all that the client may use.
///
/// The owner sends each request to all servers, and passes the time of one monotonic clock, which never
/// decreases.
class LeaseClient {
 public:
  /// `floor` is the amount that the process may use with or without a lease, in the unit of the quota. It is
  /// its share of a reserve outside the quota, which is divided by the maximum number of clients.
  LeaseClient(const LeaseConfig& config, ProcessIdentity self, double floor)
      : config_(config), self_(self), floor_(floor) {}

  /// Returns the next request. It invalidates the earlier ones.
  [[nodiscard]] LeaseRequest make_request(double demand, double weight, TimePoint now);
  /// Handles a server's reply. Returns true if the lease has changed. A reply without a grant may carry the
  /// leader's term: the next request then names that term, and should be made at once.
  bool on_grant(const LeaseGrant& grant, TimePoint now);

  /// Returns the amount that the process may use now: its floor and its lease.
  [[nodiscard]] double usable(TimePoint now) const { return floor_ + leased(now); }
  [[nodiscard]] double leased(TimePoint now) const { return now < expires_at_ ? amount_ : 0.0; }
  [[nodiscard]] TimePoint expires_at() const { return expires_at_; }
  [[nodiscard]] const ProcessIdentity& self() const { return self_; }

  /// Releases the lease at shutdown: none of it may be used any more. Returns the request number for
  /// LeaseServer::on_release().
  [[nodiscard]] std::uint64_t release() {
    amount_ = 0.0;
    return ++number_;
  }

 private:
  LeaseConfig config_;
  ProcessIdentity self_;
  double floor_;
  double amount_ = 0.0;
  TimePoint requested_at_, expires_at_;
  std::uint64_t number_ = 0;  // number of the newest request
  std::optional<LeaderTerm> term_;
};

}  // namespace chutevane::quota_lease
