/// A lease server: one of a few servers that elect a leader, which divides a fleet-wide quota among clients
/// as leases. Does no I/O and stores nothing on disk.
///
/// Guarantee: at no time may all clients together use more than the quota. Only the leader grants leases, and
/// it counts what a client may still use until that client's lease must have expired. A new leader does not
/// know what its predecessor has granted. For one `lease_duration` (the grace period) it therefore makes no
/// new grants, and renews for each client at most the amount that the client states to hold in a request that
/// names this term. After the grace period a client's statement counts for no more than the leader's record.
///
/// Clients number their requests. A request that is not newer than the client's last one gets no grant, so
/// messages may be lost, delayed, duplicated and reordered. docs/shares.md has the proof.
#pragma once

#include <map>
#include <optional>

#include "quota_lease/leader_lease.hpp"
#include "quota_lease/lease_config.hpp"

namespace chutevane::quota_lease {

/// A request from a client to all servers.
struct LeaseRequest {
  ProcessIdentity client;
  std::uint64_t number = 0;  ///< increases with each request of this client
  std::optional<LeaderTerm>
      term;             ///< the term it is addressed to; std::nullopt: the client asks for the term
  double demand = 0.0;  ///< the most that the client can use, in the unit of the quota
  double weight = 1.0;  ///< the client's weight in the division
  double held = 0.0;    ///< the amount that the client may still use when it sends the request
};

/// A reply to a LeaseRequest.
struct LeaseGrant {
  std::uint64_t number = 0;  ///< number of the request
  LeaderTerm term;           ///< the leader's term; number 0: the replying server is not the leader
  double amount = 0.0;       ///< replaces the amount that the client held
  bool is_granted = false;   ///< if false, only the term is reported and the client's lease is unchanged
};

/// The owner transports messages between servers and clients, and passes the time of one monotonic clock,
/// which never decreases, to every call.
class LeaseServer {
 public:
  /// `total` is the quota. The other parameters are those of LeaderLease.
  LeaseServer(const LeaseConfig& config, ProcessIdentity self, std::uint32_t server_count, double total,
              std::uint64_t seed, TimePoint now);

  // --- Election of the leader: see LeaderLease.
  [[nodiscard]] LeaderVote on_vote_request(const ProcessIdentity& candidate, std::uint64_t round,
                                           TimePoint now) {
    return leadership_.on_vote_request(candidate, round, now);
  }
  [[nodiscard]] std::uint64_t start_campaign(TimePoint now) { return leadership_.start_campaign(now); }
  void on_vote(std::uint32_t voter, const LeaderVote& vote, TimePoint now);
  [[nodiscard]] TimePoint next_campaign_at() const { return leadership_.next_campaign_at(); }
  [[nodiscard]] bool is_leader(TimePoint now) const { return leadership_.is_leader(now); }
  [[nodiscard]] std::optional<LeaderTerm> term(TimePoint now) const { return leadership_.term(now); }

  // --- Leases
  /// Returns a reply without a grant if this server is not the leader of the term that the request names, if
  /// the request is not newer than the client's last one, or if there are too many clients.
  [[nodiscard]] LeaseGrant on_lease_request(const LeaseRequest& request, TimePoint now);
  /// Records that a client shuts down and uses nothing any more. `number` is from LeaseClient::release().
  void on_release(const ProcessIdentity& client, std::uint64_t number, TimePoint now);
  /// Changes the quota. If it is lowered, leases are reduced as they are renewed.
  void set_total(double total) { total_ = total; }
  [[nodiscard]] double total() const { return total_; }
  /// Returns the sum of the amounts that clients may still use.
  [[nodiscard]] double outstanding(TimePoint now);
  [[nodiscard]] std::size_t client_count() const { return leases_.size(); }
  /// Returns true in the first `lease_duration` of a term, in which leases of the previous term may still be
  /// in use.
  [[nodiscard]] bool is_in_grace_period(TimePoint now) const { return now < grace_until_; }

 private:
  struct ClientLease {
    std::uint64_t number = 0;  // number of the client's last request
    double counted = 0.0;      // the most that the client may use
    double demand = 0.0;
    double weight = 1.0;
    TimePoint expires_at;
  };
  void remove_expired(TimePoint now);
  double fair_amount(const ProcessIdentity& client, double held) const;

  LeaseConfig config_;
  double total_;
  LeaderLease leadership_;
  TimePoint grace_until_;
  std::map<ProcessIdentity, ClientLease> leases_;
};

}  // namespace chutevane::quota_lease
