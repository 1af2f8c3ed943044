#include "control/leader_election.hpp"

#include <xxhash.h>

#include <algorithm>

namespace chutevane::control {
namespace {

constexpr Span campaign_jitter = Span::ms(150);       // makes simultaneous campaigns rare
constexpr Span min_campaign_backoff = Span::ms(100);  // after a lost campaign

}  // namespace

double LeaderElection::draw_unit() {
  random_state_ = XXH3_64bits(&random_state_, sizeof random_state_);
  return static_cast<double>(random_state_ >> 11U) * 0x1p-53;
}

void LeaderElection::on_heartbeat(const std::string& node, std::optional<Term> led_term, TimePoint now) {
  if (led_term) {
    if (is_leader_ && *led_term >= term_) is_leader_ = false;
    if (*led_term < term_) return;
    term_ = *led_term;
    leader_ = node;
    last_leader_heartbeat_ = now;
  } else if (!leader_.empty() && leader_ == node && !is_leader_) {
    last_leader_heartbeat_ = TimePoint();  // the leader has stepped down: the role is vacant at once
    leader_.clear();
  }
}

void LeaderElection::observe_fencing_token(FencingToken token, std::uint64_t incarnation) {
  const Term term = term_of(token);
  const bool is_overtaken = is_leader_ && token > make_fencing_token(term_, incarnation);
  if (!is_overtaken && term <= term_) return;
  term_ = std::max(term_, term);
  is_leader_ = false;
  leader_.clear();
  last_leader_heartbeat_ = TimePoint();
}

bool LeaderElection::grant_vote(Term term, TimePoint now) {
  if (term <= voted_term_ || term <= term_ || !is_vacant(now)) return false;
  voted_term_ = term;
  return true;
}

std::optional<Term> LeaderElection::start_campaign(TimePoint now) {
  if (!is_vacant(now)) {
    campaign_at_.reset();
    return std::nullopt;
  }
  if (is_campaigning_) return std::nullopt;
  if (!campaign_at_) campaign_at_ = now + campaign_jitter * draw_unit();
  if (now < *campaign_at_) return std::nullopt;
  is_campaigning_ = true;
  return std::max(term_, voted_term_) + 1;
}

void LeaderElection::on_elected(Term term, TimePoint now) {
  is_campaigning_ = false;
  if (term <= term_) return;
  is_leader_ = true;
  term_ = term;
  last_leader_heartbeat_ = elected_at_ = now;
}

void LeaderElection::on_campaign_lost(TimePoint now) {
  is_campaigning_ = false;
  campaign_at_ = now + min_campaign_backoff + campaign_jitter * draw_unit();
}

void LeaderElection::step_down(TimePoint now) {
  if (!is_leader_) return;
  is_leader_ = false;
  leader_.clear();
  last_leader_heartbeat_ = now;
  campaign_at_.reset();
}

}  // namespace chutevane::control
