/// Leader election for a singleton role among the controllers: one controller's view of it. No I/O.
///
/// A leader announces its role and term with each gossip message (a heartbeat). Once no heartbeat has come
/// for `leader_lease_duration` the role is vacant. After a random delay a controller starts a campaign: it
/// asks the acceptors' controllers to vote for a new term, and leads from the moment when a majority has
/// granted its vote. Each voter grants a term at most once and none while it believes that there is a leader.
///
/// Two controllers may believe that they lead at the same time: a former leader that does not yet know that
/// it was replaced, or two winners of one term where a voter was restarted in between (votes are kept in
/// memory only). So no invariant may depend on there being a single leader. What a leader publishes is
/// ordered by fencing token (fencing_token.hpp) or decided by the register.
///
/// The owner calls this from its event loop, one call at a time, and carries out what it asks for: it sends
/// heartbeats while is_leader(), sends vote requests when start_campaign() returns a term, and reports the
/// outcome. docs/control-side.md states the lease, model/duty.pml checks it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "chutevane/types.hpp"
#include "control/fencing_token.hpp"

namespace chutevane::control {

/// A leader is presumed gone when nothing was heard from it for this long: three and a half gossip intervals.
/// A leader without proof of contact with a quorum for as long steps down.
constexpr Span leader_lease_duration = Span::ms(900);

/// State of one role's election at one controller.
class LeaderElection {
 public:
  /// `role`: its name in messages, logs and metrics. `seed`: of the random delays, different at each
  /// controller.
  LeaderElection(std::string role, std::uint64_t seed) : role_(std::move(role)), random_state_(seed) {}

  const std::string& role() const { return role_; }
  bool is_leader() const { return is_leader_; }
  /// The newest term known to have had a leader, or this controller's own while it leads.
  Term term() const { return term_; }
  /// When this controller was last elected: a majority had answered its vote requests by then.
  TimePoint elected_at() const { return elected_at_; }

  /// A gossip message of a peer has come. `led_term`: the term in which that peer leads this role; nothing
  /// where it does not lead. A leader that learns of one with the same or a later term steps down.
  void on_heartbeat(const std::string& node, std::optional<Term> led_term, TimePoint now);

  /// Some receiver has accepted results under this token and rejects any lower one. A leader whose own token
  /// is lower steps down. A later term than any known here makes the role vacant: every controller that knew
  /// of that term may have been restarted since. `incarnation`: of this process.
  void observe_fencing_token(FencingToken token, std::uint64_t incarnation);

  /// A candidate asks for a vote. True: granted. A term is granted at most once by this process.
  [[nodiscard]] bool grant_vote(Term term, TimePoint now);

  /// Returns the term to request votes for where a campaign is due now; nothing otherwise. While the role is
  /// vacant, next_campaign_at() tells when to call again.
  [[nodiscard]] std::optional<Term> start_campaign(TimePoint now);
  /// The earliest time for the next campaign: the vacancy plus a random delay, so that controllers that
  /// notice it together seldom campaign together. Nothing while a campaign is running or none is planned.
  std::optional<TimePoint> next_campaign_at() const { return is_campaigning_ ? std::nullopt : campaign_at_; }
  /// A majority has granted its votes. Without effect where a term as late has become known meanwhile.
  void on_elected(Term term, TimePoint now);
  /// All voters have answered, or timed out, without a majority.
  void on_campaign_lost(TimePoint now);
  /// Gives up leadership, if any; the role is vacant after a lease.
  void step_down(TimePoint now);

 private:
  bool is_vacant(TimePoint now) const {
    return !is_leader_ && now - last_leader_heartbeat_ > leader_lease_duration;
  }
  /// Uniform in [0, 1).
  double draw_unit();

  const std::string role_;
  std::string leader_;  // node that leads by its own heartbeat; empty: unknown, or this controller
  bool is_leader_ = false;
  bool is_campaigning_ = false;
  Term term_ = 0;
  Term voted_term_ = 0;  // newest term that a vote was granted for
  TimePoint last_leader_heartbeat_;
  std::optional<TimePoint> campaign_at_;
  TimePoint elected_at_;
  std::uint64_t random_state_;
};

}  // namespace chutevane::control
