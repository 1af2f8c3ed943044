/// Election of the one lease server that grants, by a lease from a majority of the servers. No I/O, no disk.
///
/// Each server votes for one candidate at a time, for `leader_lease_duration`, and renews its vote as the
/// same candidate asks again. A candidate with unexpired votes of a majority is the leader. Two majorities
/// share a server, and that server votes for another only after its earlier vote has expired by its own
/// clock, which is later than the candidate stops relying on it: so there is at most one leader at any time.
/// This is PaxosLease (Trencseni, Gazso, Reinhardt 2012) without ballots: a candidate that fails to get a
/// majority lets its own vote expire and campaigns again after a random delay.
///
/// Nothing is stored. A server that starts votes for nobody until any vote of its earlier incarnation must
/// have expired.
#pragma once

#include <map>
#include <optional>

#include "base/pcg.hpp"
#include "quota_lease/lease_config.hpp"

namespace chutevane::quota_lease {

/// A server's reply to a vote request.
struct LeaderVote {
  std::uint64_t round = 0;  ///< of the request that it replies to, as the candidate numbered it
  bool is_granted = false;
};

/// One server's part in the election: voter and candidate. The owner carries the messages, and passes the
/// time of one monotonic clock, never falling, to every call.
class LeaderLease {
 public:
  /// `self.index` is below `server_count`. `seed` draws the delays between campaigns.
  LeaderLease(const LeaseConfig& config, ProcessIdentity self, std::uint32_t server_count, std::uint64_t seed,
              TimePoint now);

  /// A candidate, which may be this server itself, asks for a vote.
  [[nodiscard]] LeaderVote on_vote_request(const ProcessIdentity& candidate, std::uint64_t round,
                                           TimePoint now);

  /// Begins a round of vote requests; returns its number. The owner sends it to all servers, itself included.
  [[nodiscard]] std::uint64_t start_campaign(TimePoint now);
  /// A reply to this server's vote request. Returns whether a new term of this server begins with it.
  bool on_vote(std::uint32_t voter, const LeaderVote& vote, TimePoint now);
  /// When the next campaign is due. A leader campaigns often enough that two rounds in a row may be lost;
  /// another server once its own vote has expired, and some random delay more, so that candidates do not
  /// split the votes time after time.
  [[nodiscard]] TimePoint next_campaign_at() const { return next_campaign_at_; }

  [[nodiscard]] bool is_leader(TimePoint now) const { return now < leader_until_; }
  /// The current term; nothing while this server is not the leader.
  [[nodiscard]] std::optional<LeaderTerm> term(TimePoint now) const;

 private:
  Span campaign_jitter();

  LeaseConfig config_;
  ProcessIdentity self_;
  std::uint32_t server_count_;
  Pcg random_;
  // As a voter
  std::optional<ProcessIdentity> voted_for_;
  TimePoint vote_expires_at_;
  // As a candidate
  std::uint64_t round_ = 0;
  TimePoint campaign_started_at_, next_campaign_at_, leader_until_;
  std::map<std::uint32_t, TimePoint> votes_until_;  // until when a vote may be relied on, by voter
  std::uint32_t term_count_ = 0;
};

}  // namespace chutevane::quota_lease
