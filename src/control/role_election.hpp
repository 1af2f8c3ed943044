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

/// This controller, as a candidate and a voter.
struct Candidate {
  std::string node;
  std::string address;
  std::uint64_t incarnation = 0;  // drawn at random at each start of the process
};

/// Voters are the controllers whose acceptors serve the register's newest known epoch.
class RoleElection {
 public:
  /// `seed`: of the random delays. The references must outlive this object. `on_elected` is called when this
  /// controller has become the leader.
  RoleElection(std::string role, std::uint64_t seed, net::TimerQueue& timers, const Register& reg,
               PeerTable& peers, Candidate candidate, std::function<void()> on_elected);

  const std::string& role() const { return election_.role(); }
  bool is_leader() const { return election_.is_leader(); }
  Term term() const { return election_.term(); }
  /// Under which this controller publishes results of the role while it leads.
  FencingToken fencing_token() const { return make_fencing_token(election_.term(), candidate_.incarnation); }

  /// To be called with each tick: a leader without proof of contact with a quorum steps down, and a campaign
  /// is started where one is due.
  void tick(bool has_quorum_contact);
  /// Gossip of a peer has come.
  void on_gossip(const common::Gossip& gossip);
  common::VoteReply on_vote_request(const common::VoteRequest& request);
  /// Some receiver has accepted results under that token (LeaderElection::observe_fencing_token).
  void observe_fencing_token(FencingToken token) {
    election_.observe_fencing_token(token, candidate_.incarnation);
  }
  /// Gives up leadership, if any, and does not campaign for this long. It votes on.
  void abstain(Span duration);
  /// The process shuts down: gives up leadership, and neither campaigns nor votes any more.
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
  TimePoint abstains_until_;
  bool is_withdrawn_ = false;
};

}  // namespace chutevane::control
