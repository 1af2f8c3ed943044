#include "quota_lease/leader_lease.hpp"

#include <algorithm>
#include <vector>

namespace chutevane::quota_lease {
namespace {

// Fractions of the leader's lease.
constexpr double renewal_interval_fraction = 0.3;  // two renewals in a row may be lost
constexpr double max_jitter_fraction = 0.5;

}  // namespace

LeaderLease::LeaderLease(const LeaseConfig& config, ProcessIdentity self, std::uint32_t server_count,
                         std::uint64_t seed, TimePoint now)
    : config_(config),
      self_(self),
      server_count_(server_count),
      random_(seed),
      vote_expires_at_(now + config.grantor_duration(config.leader_lease_duration)),
      next_campaign_at_(vote_expires_at_ + campaign_jitter()),
      leader_until_(now) {}

Span LeaderLease::campaign_jitter() {
  return config_.leader_lease_duration * (max_jitter_fraction * random_.unit());
}

LeaderVote LeaderLease::on_vote_request(const ProcessIdentity& candidate, std::uint64_t round,
                                        TimePoint now) {
  // After a start `voted_for_` is empty while the vote has not expired: it is unknown for whom the previous
  // incarnation voted, so no candidate gets a vote.
  if (now < vote_expires_at_ && voted_for_ != candidate) return {round, false};
  voted_for_ = candidate;
  vote_expires_at_ = now + config_.grantor_duration(config_.leader_lease_duration);
  if (candidate != self_) next_campaign_at_ = vote_expires_at_ + campaign_jitter();
  return {round, true};
}

std::uint64_t LeaderLease::start_campaign(TimePoint now) {
  campaign_started_at_ = now;
  next_campaign_at_ =
      now + (is_leader(now) ? config_.leader_lease_duration * renewal_interval_fraction
                            : config_.grantor_duration(config_.leader_lease_duration) + campaign_jitter());
  return ++round_;
}

bool LeaderLease::on_vote(std::uint32_t voter, const LeaderVote& vote, TimePoint now) {
  // Only the newest round counts, since the start times of earlier rounds are not kept.
  if (!vote.is_granted || vote.round != round_ || voter >= server_count_) return false;
  const bool was_leader = is_leader(now);
  votes_until_[voter] = campaign_started_at_ + config_.holder_duration(config_.leader_lease_duration);
  std::vector<TimePoint> expiries;
  for (const auto& [server, until] : votes_until_) expiries.push_back(until);
  const std::size_t majority = server_count_ / 2 + 1;
  if (expiries.size() < majority) return false;
  std::sort(expiries.rbegin(), expiries.rend());
  const TimePoint until = expiries[majority - 1];
  if (until <= now) return false;
  leader_until_ = std::max(leader_until_, until);
  next_campaign_at_ = campaign_started_at_ + config_.leader_lease_duration * renewal_interval_fraction;
  if (was_leader) return false;
  ++term_count_;
  return true;
}

std::optional<LeaderTerm> LeaderLease::term(TimePoint now) const {
  if (!is_leader(now)) return std::nullopt;
  return LeaderTerm{self_, term_count_};
}

}  // namespace chutevane::quota_lease
