#include "control/role_election.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace chutevane::control {
namespace {

constexpr Span vote_timeout = Span::ms(300);

}  // namespace

/// The votes of one campaign.
struct RoleElection::Tally {
  std::size_t needed = 0;
  std::size_t requested = 0;
  std::size_t answered = 0;
  std::size_t granted = 0;
  bool is_decided = false;
};

RoleElection::RoleElection(std::string role, std::uint64_t seed, net::TimerQueue& timers, const Register& reg,
                           PeerTable& peers, Candidate candidate, std::function<void()> on_elected)
    : election_(std::move(role), seed),
      timers_(timers),
      register_(reg),
      peers_(peers),
      candidate_(std::move(candidate)),
      on_elected_(std::move(on_elected)) {}

void RoleElection::tick(bool has_quorum_contact) {
  if (is_withdrawn_) return;
  const TimePoint now = timers_.now();
  // Until the first echoes arrive, the votes themselves prove contact.
  const bool is_newly_elected = now - election_.elected_at() < leader_lease_duration;
  if (election_.is_leader() && !is_newly_elected && !has_quorum_contact) election_.step_down(now);
  campaign();
}

void RoleElection::on_gossip(const common::Gossip& gossip) {
  const auto held = std::find_if(gossip.held_roles.begin(), gossip.held_roles.end(),
                                 [&](const common::HeldRole& other) { return other.name == role(); });
  const std::optional<Term> led_term =
      held == gossip.held_roles.end() ? std::nullopt : std::optional<Term>(held->term);
  election_.on_heartbeat(gossip.node, led_term, timers_.now());
}

common::VoteReply RoleElection::on_vote_request(const common::VoteRequest& request) {
  common::VoteReply reply;
  reply.granted = !is_withdrawn_ && election_.grant_vote(request.term, timers_.now());
  reply.term = election_.term();
  return reply;
}

void RoleElection::step_down_for(Span duration) {
  no_campaign_until_ = timers_.now() + duration;
  election_.step_down(timers_.now());
}

void RoleElection::withdraw() {
  is_withdrawn_ = true;
  election_.step_down(timers_.now());
}

void RoleElection::campaign() {
  if (is_withdrawn_ || register_.epoch_value().epoch == 0) return;
  const TimePoint now = timers_.now();
  if (now < no_campaign_until_) return;
  if (const std::optional<Term> term = election_.start_campaign(now)) return request_votes(*term);
  const std::optional<TimePoint> next = election_.next_campaign_at();
  if (!next || *next <= now) return;
  // Uses a timer instead of the next tick, since controllers that noticed the vacancy in the same tick would
  // otherwise all campaign in the same later tick.
  timers_.at(*next, [this, next] {
    if (election_.next_campaign_at() == next) campaign();
  });
}

void RoleElection::request_votes(Term term) {
  const std::vector<common::Acceptor> voters = register_.epoch_value().acceptors;
  const auto tally = std::make_shared<Tally>();
  tally->needed = quorum_size(register_.epoch_value());
  tally->requested = voters.size();
  for (const common::Acceptor& voter : voters) {
    if (voter.address == candidate_.address) {
      on_vote(*tally, term, election_.grant_vote(term, timers_.now()));
      continue;
    }
    common::RpcClient* const connection = peers_.connection_to(voter.address);
    if (connection == nullptr) {
      on_vote(*tally, term, false);
      continue;
    }
    connection->call<common::VoteReply>(common::VoteRequest{role(), term, candidate_.node}, vote_timeout,
                                        [this, tally, term](absl::StatusOr<common::VoteReply> reply) {
                                          on_vote(*tally, term, reply.ok() && reply->granted);
                                        });
  }
}

void RoleElection::on_vote(Tally& tally, Term term, bool granted) {
  ++tally.answered;
  tally.granted += granted ? 1 : 0;
  if (tally.is_decided) return;
  if (tally.granted >= tally.needed) {
    tally.is_decided = true;
    election_.on_elected(term, timers_.now());
    common::log_info("duty.won", role() + ", term " + std::to_string(term));
    on_elected_();
  } else if (tally.answered == tally.requested) {
    tally.is_decided = true;
    election_.on_campaign_lost(timers_.now());
    campaign();
  }
}

}  // namespace chutevane::control
