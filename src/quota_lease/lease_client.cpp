#include "quota_lease/lease_client.hpp"

namespace chutevane::quota_lease {

LeaseRequest LeaseClient::make_request(double demand, double weight, TimePoint now) {
  requested_at_ = now;
  LeaseRequest request;
  request.client = self_;
  request.number = ++number_;
  request.term = term_;
  request.demand = demand;
  request.weight = weight;
  request.held = leased(now);
  return request;
}

bool LeaseClient::on_grant(const LeaseGrant& grant, TimePoint now) {
  if (grant.number != number_) return false;
  if (!grant.is_granted) {
    if (grant.term.number > 0) term_ = grant.term;
    return false;
  }
  // The lease counts from before the request was sent, so a grant that was delayed is short or has expired.
  const TimePoint expires_at = requested_at_ + config_.holder_duration(config_.lease_duration);
  if (expires_at <= now) return false;
  amount_ = grant.amount;
  expires_at_ = expires_at;
  return true;
}

}  // namespace chutevane::quota_lease
