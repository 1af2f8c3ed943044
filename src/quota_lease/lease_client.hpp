/// A lease client: a process that uses a part of a fleet-wide quota. No I/O.
#pragma once

#include <optional>

#include "quota_lease/lease_server.hpp"

namespace chutevane::quota_lease {

/// Numbers its requests, and accepts a grant for the newest one only: what an earlier request was granted is
/// not taken any more, so a request's `held` is all that the client can have.
///
/// The owner sends each request to all servers, and passes the time of one monotonic clock, never falling.
class LeaseClient {
 public:
  /// `floor`: what the process may use whether or not it holds a lease, in the unit of the quota. It is taken
  /// from a reserve outside the quota, divided by the largest number of clients.
  LeaseClient(const LeaseConfig& config, ProcessIdentity self, double floor)
      : config_(config), self_(self), floor_(floor) {}

  /// The next request; earlier ones are void from here on.
  [[nodiscard]] LeaseRequest make_request(double demand, double weight, TimePoint now);
  /// A server's reply. Returns whether the lease has changed. A reply without a grant may bring the leader's
  /// term: the next request then names it, and should be made at once.
  bool on_grant(const LeaseGrant& grant, TimePoint now);

  /// What the process may use now: its floor and its lease.
  [[nodiscard]] double usable(TimePoint now) const { return floor_ + leased(now); }
  [[nodiscard]] double leased(TimePoint now) const { return now < expires_at_ ? amount_ : 0.0; }
  [[nodiscard]] TimePoint expires_at() const { return expires_at_; }
  [[nodiscard]] const ProcessIdentity& self() const { return self_; }

  /// Gives the lease up at shutdown: nothing of it may be used from here on. Returns the number for
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
  std::uint64_t number_ = 0;  // of the newest request
  std::optional<LeaderTerm> term_;
};

}  // namespace chutevane::quota_lease
