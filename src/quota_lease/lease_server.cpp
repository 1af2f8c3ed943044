#include "quota_lease/lease_server.hpp"

#include <algorithm>
#include <vector>

#include "quota_lease/max_min_division.hpp"

namespace chutevane::quota_lease {
namespace {

// Smallest relative increase of a lease that is granted. Smaller ones are not, which dampens oscillation.
constexpr double min_relative_increase = 0.05;
constexpr std::size_t max_clients = 100000;  // further clients get no lease and keep their floor
constexpr double min_weight = 1e-9;

}  // namespace

LeaseServer::LeaseServer(const LeaseConfig& config, ProcessIdentity self, std::uint32_t server_count,
                         double total, std::uint64_t seed, TimePoint now)
    : config_(config), total_(total), leadership_(config, self, server_count, seed, now), grace_until_(now) {}

void LeaseServer::on_vote(std::uint32_t voter, const LeaderVote& vote, TimePoint now) {
  if (!leadership_.on_vote(voter, vote, now)) return;
  // Another server may have been the leader, and granted leases, until now.
  grace_until_ = now + config_.grantor_duration(config_.lease_duration);
  leases_.clear();
}

void LeaseServer::remove_expired(TimePoint now) {
  std::erase_if(leases_, [&](const auto& entry) { return entry.second.expires_at <= now; });
}

double LeaseServer::outstanding(TimePoint now) {
  remove_expired(now);
  double sum = 0.0;
  for (const auto& [client, lease] : leases_) sum += lease.counted;
  return sum;
}

// Returns the amount that a client which holds `held` gets after the grace period: its fair share, limited to
// the part of the quota that other clients do not hold.
double LeaseServer::fair_amount(const ProcessIdentity& client, double held) const {
  std::vector<Demand> demands;
  std::size_t own = 0;
  double outstanding = 0.0;
  for (const auto& [other, lease] : leases_) {
    if (other == client) own = demands.size();
    demands.push_back({lease.demand, lease.weight});
    outstanding += lease.counted;
  }
  const double fair = divide_max_min(total_, demands)[own];
  const double available = held + std::max(0.0, total_ - outstanding);
  const double amount = std::min(fair, available);
  const bool is_small_increase = amount > held && amount < held * (1.0 + min_relative_increase);
  return is_small_increase && demands[own].amount > held ? held : amount;
}

LeaseGrant LeaseServer::on_lease_request(const LeaseRequest& request, TimePoint now) {
  const std::optional<LeaderTerm> own_term = term(now);
  if (!own_term) return {request.number, {}, 0.0, false};
  const LeaseGrant term_only{request.number, *own_term, 0.0, false};
  // A client's statement about its lease is valid only in the term that it was made to.
  if (!request.term || *request.term != *own_term) return term_only;
  remove_expired(now);
  const auto found = leases_.find(request.client);
  if (found == leases_.end() && leases_.size() >= max_clients) return term_only;
  const bool is_stale = found != leases_.end() && request.number <= found->second.number;
  if (is_stale) return term_only;
  // In the grace period the client's statement counts; later no more than the leader's own record.
  const double known = found != leases_.end()    ? found->second.counted
                       : is_in_grace_period(now) ? request.held
                                                 : 0.0;
  const double held = std::min(request.held, known);
  ClientLease& lease = leases_[request.client];
  lease.number = request.number;
  lease.demand = std::max(0.0, request.demand);
  lease.weight = std::max(min_weight, request.weight);
  lease.counted = held;  // the client ignores grants for its earlier requests
  lease.expires_at = now + config_.grantor_duration(config_.lease_duration);
  const double amount =
      is_in_grace_period(now) ? std::min(held, lease.demand) : fair_amount(request.client, held);
  // A client whose lease is reduced goes on using `held` until it receives the grant.
  lease.counted = std::max(held, amount);
  return {request.number, *own_term, amount, true};
}

void LeaseServer::on_release(const ProcessIdentity& client, std::uint64_t number, TimePoint now) {
  const auto found = leases_.find(client);
  if (!is_leader(now) || found == leases_.end() || number <= found->second.number) return;
  // The empty entry stays, so that a request which is still in transit is recognized as stale.
  found->second.number = number;
  found->second.counted = found->second.demand = 0.0;
}

}  // namespace chutevane::quota_lease
