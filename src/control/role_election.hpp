/// Runs the leader election of one singleton role among the controllers: timers and vote requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/messages.hpp"
#include "control/leader_election.hpp"
#include "control/peer_table.hpp"
#include "control/register.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control {

/// Identity of this controller as a candidate and a voter.
struct Candidate {
  std::string node;
  std::string address;
  std::uint64_t incarnation = 0;  // random number drawn at each start of the process
};

/// Election of one role at this controller. The voters are the controllers whose acceptors serve the
/// register's newest known epoch.
class RoleElection {
 public:
  /// `seed`: seed of the random delays. `on_elected`: called when this controller has become the leader. The
  /// references must outlive this object.
  RoleElection(std::string role, std::uint64_t seed, net::TimerQueue& timers, const Register& reg,
               PeerTable& peers, Candidate candidate, std::function<void()> on_elected);

  const std::string& role() const { return election_.role(); }
  bool is_leader() const { return election_.is_leader(); }
  Term term() const { return election_.term(); }
  /// The token under which this controller publishes results of the role while it is the leader.
  FencingToken fencing_token() const { return make_fencing_token(election_.term(), candidate_.incarnation); }

  /// Must be called with each tick. Steps down if this controller leads without proof of contact with a
  /// quorum, and starts a campaign if one is due.
  void tick(bool has_quorum_contact);
  /// Processes a gossip message of a peer.
  void on_gossip(const common::Gossip& gossip);
  common::VoteReply on_vote_request(const common::VoteRequest& request);
  /// Processes a token under which some receiver has accepted results
  /// (LeaderElection::observe_fencing_token).
  void observe_fencing_token(FencingToken token) {
    election_.observe_fencing_token(token, candidate_.incarnation);
  }
  /// Gives up leadership, if any, and does not campaign for `duration`. Still votes.
  void step_down_for(Span duration);
  /// Gives up leadership, if any, and stops campaigning and voting. Called at shutdown.
  void withdraw();

 private:
  struct Tally;
  void campaign();
  void request_votes(Term term);
  void on_vote(Tally& tally, Term term, bool granted);

  LeaderElection election_;
  net::TimerQueue& timers_;
  const Register& register_;
  PeerTable& peers_;
  const Candidate candidate_;
  const std::function<void()> on_elected_;
  TimePoint no_campaign_until_;
  bool is_withdrawn_ = false;
};

}  // namespace chutevane::control
