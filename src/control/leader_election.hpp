/// Leader election for a singleton role among the controllers: one controller's view of it. No I/O.
///
/// A leader announces its role and term with each gossip message (a heartbeat). The role is vacant once no
/// heartbeat has arrived for `leader_lease_duration`. After a random delay a controller then starts a
/// campaign: it asks the acceptors' controllers to vote for a new term, and is the leader once a majority has
/// granted its votes. A voter grants at most one vote per term, and none while it considers the role taken.
///
/// Two controllers may consider themselves the leader at the same time: a former leader that does not yet
/// know that it was replaced, or two winners of one term if a voter was restarted in between (votes are kept
/// in memory only). So no invariant may depend on there being a single leader. What a leader publishes is
/// ordered by fencing token (fencing_token.hpp) or decided by the register.
///
/// The owner calls this from its event loop, one call at a time. It sends heartbeats while is_leader(), sends
/// vote requests when start_campaign() returns a term, and reports the outcome. docs/control-side.md
/// describes the lease; model/duty.pml checks it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "chutevane/types.hpp"
#include "control/fencing_token.hpp"

namespace chutevane::control {

/// The role becomes vacant when no heartbeat of the leader has arrived for this long, about three and a half
/// gossip intervals. A leader steps down if it has had no proof of contact with a quorum for as long.
constexpr Span leader_lease_duration = Span::ms(900);

/// State of the election for one role at one controller.
class LeaderElection {
 public:
  /// `role`: name of the role in messages, logs and metrics. `seed`: seed of the random delays, which must
  /// differ between controllers.
  LeaderElection(std::string role, std::uint64_t seed) : role_(std::move(role)), random_state_(seed) {}

  const std::string& role() const { return role_; }
  bool is_leader() const { return is_leader_; }
  /// The newest term known to have had a leader, or this controller's term while it is the leader.
  Term term() const { return term_; }
  /// Time at which this controller was last elected: a majority had replied to its vote requests by then.
  TimePoint elected_at() const { return elected_at_; }

  /// Processes a gossip message of a peer. `led_term`: the term in which that peer leads this role, or
  /// std::nullopt if it is not the leader. This controller steps down as leader if `led_term` is not below
  /// its own term.
  void on_heartbeat(const std::string& node, std::optional<Term> led_term, TimePoint now);

  /// Processes a token under which some receiver has accepted results, and below which it rejects them. A
  /// leader whose own token is lower steps down. If the token's term is later than any known here, the role
  /// becomes vacant, as every controller that knew of that term may have restarted since. `incarnation`: the
  /// one of this process.
  void observe_fencing_token(FencingToken token, std::uint64_t incarnation);

  /// Processes a vote request. Returns true if the vote is granted, which this process does at most once per
  /// term.
  [[nodiscard]] bool grant_vote(Term term, TimePoint now);

  /// Returns the term to request votes for if a campaign is due now, else std::nullopt. While the role is
  /// vacant, next_campaign_at() returns when to call again.
  [[nodiscard]] std::optional<Term> start_campaign(TimePoint now);
  /// Returns the earliest time for the next campaign, or std::nullopt if a campaign is running or none is
  /// planned. The time includes a random delay, so that controllers that notice a vacancy at the same time
  /// seldom campaign at the same time.
  std::optional<TimePoint> next_campaign_at() const { return is_campaigning_ ? std::nullopt : campaign_at_; }
  /// Reports that a majority has granted its votes. Has no effect if the same or a later term has become
  /// known in the meantime.
  void on_elected(Term term, TimePoint now);
  /// Reports that all voters have replied or timed out without a majority.
  void on_campaign_lost(TimePoint now);
  /// Gives up leadership, if any. The role is then vacant after one lease duration.
  void step_down(TimePoint now);

 private:
  bool is_vacant(TimePoint now) const {
    return !is_leader_ && now - last_leader_heartbeat_ > leader_lease_duration;
  }
  /// Uniform in [0, 1).
  double draw_unit();

  const std::string role_;
  std::string leader_;  // node whose heartbeat claims the role; empty if unknown or this controller
  bool is_leader_ = false;
  bool is_campaigning_ = false;
  Term term_ = 0;
  Term voted_term_ = 0;  // newest term for which a vote was granted
  TimePoint last_leader_heartbeat_;
  std::optional<TimePoint> campaign_at_;
  TimePoint elected_at_;
  std::uint64_t random_state_;
};

}  // namespace chutevane::control
