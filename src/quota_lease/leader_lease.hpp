/// Election of the lease server that grants leases (the leader), by a lease from a majority of the servers.
/// Does no I/O and stores nothing on disk.
///
/// Each server votes for one candidate at a time, for `leader_lease_duration`, and renews its vote when the
/// same candidate asks again. A candidate with unexpired votes of a majority is the leader. Two majorities
/// share a server, and that server votes for another candidate only after its earlier vote has expired by its
/// own clock, which is after the first candidate stops relying on it. So there is at most one leader at any
/// time. This is PaxosLease (Trencseni, Gazso, Reinhardt 2012) without ballots: a candidate that fails to get
/// a majority lets its own vote expire and campaigns again after a random delay.
///
/// After a start a server grants no vote until every vote of its previous incarnation must have expired.
#pragma once

#include <map>
#include <optional>

#include "base/pcg.hpp"
#include "quota_lease/lease_config.hpp"

namespace chutevane::quota_lease {

/// A server's reply to a vote request.
struct LeaderVote {
  std::uint64_t round = 0;  ///< round of the request, as numbered by the candidate
  bool is_granted = false;
};

/// One server's state in the election, as voter and as candidate. The owner transports the messages, and
/// passes the time of one monotonic clock, which never decreases, to every call.
class LeaderLease {
 public:
  /// `self.index` is below `server_count`. `seed` determines the random delays between campaigns.
  LeaderLease(const LeaseConfig& config, ProcessIdentity self, std::uint32_t server_count, std::uint64_t seed,
              TimePoint now);

  /// Handles a vote request of a candidate, which may be this server itself.
  [[nodiscard]] LeaderVote on_vote_request(const ProcessIdentity& candidate, std::uint64_t round,
                                           TimePoint now);

  /// Begins a round of vote requests and returns its number. The owner sends the request to all servers,
  /// including this one.
  [[nodiscard]] std::uint64_t start_campaign(TimePoint now);
  /// Handles a reply to this server's vote request. Returns true if it starts a new term of this server.
  bool on_vote(std::uint32_t voter, const LeaderVote& vote, TimePoint now);
  /// Returns the time at which the next campaign is due. A leader campaigns often enough that two rounds in a
  /// row may be lost. Another server campaigns a random delay after its own vote has expired, so that
  /// candidates do not split the votes repeatedly.
  [[nodiscard]] TimePoint next_campaign_at() const { return next_campaign_at_; }

  [[nodiscard]] bool is_leader(TimePoint now) const { return now < leader_until_; }
  /// Returns the current term, or std::nullopt if this server is not the leader.
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
  std::map<std::uint32_t, TimePoint> votes_until_;  // expiry of the vote, by voter
  std::uint32_t term_count_ = 0;
};

}  // namespace chutevane::quota_lease
