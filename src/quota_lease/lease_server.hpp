/// A lease server: one of a few that elect a leader, which divides a fleet-wide quota among clients as
/// leases. No I/O, no disk.
///
/// The guarantee: at no time may all clients together use more than the quota. Only the leader grants, and
/// what a client may still use is counted until its lease must have expired. A leader that begins a term does
/// not know what its predecessor has granted: for one `lease_duration` (the grace period) it grants nothing
/// new and renews to each client at most what that client says that it holds, to this very term. After the
/// grace period a client's statement counts for no more than the leader's own record of it.
///
/// Requests are numbered by their client. A request that is not newer than the last one of its client gets no
/// grant, so that messages may be lost, delayed, duplicated and reordered. docs/shares.md has the proof.
#pragma once

#include <map>
#include <optional>

#include "quota_lease/leader_lease.hpp"
#include "quota_lease/lease_config.hpp"

namespace chutevane::quota_lease {

/// From a client to the servers.
struct LeaseRequest {
  ProcessIdentity client;
  std::uint64_t number = 0;        ///< rises with each request of this client
  std::optional<LeaderTerm> term;  ///< that the request is made to; nothing: the client asks which one it is
  double demand = 0.0;             ///< the most that the client can use, in the unit of the quota
  double weight = 1.0;             ///< in the division among clients
  double held = 0.0;               ///< what the client may still use, as it sends this
};

/// From the leader to a client.
struct LeaseGrant {
  std::uint64_t number = 0;  ///< of the request
  LeaderTerm term;           ///< of the leader; number 0: the server that replies is not the leader
  double amount = 0.0;       ///< replaces what the client held
  bool is_granted = false;   ///< otherwise only the term is told, and the client's lease stays as it is
};

/// The owner carries messages between servers and clients, and passes the time of one monotonic clock, never
/// falling, to every call.
class LeaseServer {
 public:
  /// `total`: the quota. The other parameters are those of LeaderLease.
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
  /// Not granted where this server is not the leader of the term that the request names, where the request
  /// is not newer than the client's last one, or where too many clients are known.
  [[nodiscard]] LeaseGrant on_lease_request(const LeaseRequest& request, TimePoint now);
  /// A client shuts down and uses nothing more. `number`: from LeaseClient::release().
  void on_release(const ProcessIdentity& client, std::uint64_t number, TimePoint now);
  /// Changes the quota. Leases above a lowered one are reduced as they are renewed.
  void set_total(double total) { total_ = total; }
  [[nodiscard]] double total() const { return total_; }
  /// The sum of what clients may rely on.
  [[nodiscard]] double outstanding(TimePoint now);
  [[nodiscard]] std::size_t client_count() const { return leases_.size(); }
  /// The first `lease_duration` of a term, in which leases of the term before may still be in use.
  [[nodiscard]] bool is_in_grace_period(TimePoint now) const { return now < grace_until_; }

 private:
  struct ClientLease {
    std::uint64_t number = 0;  // of the client's last request
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
