/// Budget reservations at a quorum of the program's replica group.
///
/// Every granted reservation is at a quorum of the group, so at least one node of any other quorum reports
/// it. Nodes may report different sets of reservations; the reports are merged by attempt.
///
/// The first quorum of replies is not sufficient. With three concurrent requests through three edges, each
/// may learn of only one other, and all three would be granted on a budget for two. A decision requires
/// either replies of the whole group, since the last request at any node learns of all the others there, or a
/// second round at a quorum under the same map (confirmation) that starts once a quorum has the reservation:
/// any later reservation learns of it by then (docs/state.md).
#include <algorithm>

#include "edge/storage_client.hpp"
#include "storage/placement.hpp"

namespace chutevane::edge {
namespace {

// How long to wait for the rest of the group after a quorum has replied, before the confirmation round.
constexpr Span straggler_timeout = Span::ms(12);

}  // namespace

struct StorageClient::PendingReservation {
  std::string program;
  std::string attempt_id;
  std::int64_t tokens = 0;
  std::int64_t budget = 0;
  TimePoint deadline;
  std::function<void(ReservationResult)> done;

  std::uint64_t round = 0;  // replies to an earlier round are ignored
  std::int64_t map_version = 0;
  std::size_t group_size = 0;
  std::size_t required = 0;  // number of replies that form a quorum
  std::size_t granted = 0;
  std::size_t rejected = 0;                           // rejections and failed calls
  std::map<std::string, common::Reservation> others;  // by attempt id
  bool is_confirming = false;  // a quorum has the reservation and is asked a second time
  bool is_finished = false;
  net::TimerQueue::Handle straggler_timer;

  void merge(const std::vector<common::Reservation>& reported) {
    for (const common::Reservation& reservation : reported) {
      const auto [known, is_new] = others.emplace(reservation.attempt, reservation);
      if (!is_new && reservation.committed && !known->second.committed) known->second = reservation;
    }
  }
  bool fits_budget() const {
    std::int64_t reserved_by_others = 0;
    for (const auto& [id, reservation] : others) reserved_by_others += reservation.tokens;
    return reserved_by_others + tokens <= budget;
  }
};

void StorageClient::reserve(const std::string& program, const std::string& attempt_id, std::int64_t tokens,
                            std::int64_t budget, TimePoint deadline,
                            std::function<void(ReservationResult)> done) {
  auto pending = std::make_shared<PendingReservation>();
  pending->program = program;
  pending->attempt_id = attempt_id;
  pending->tokens = tokens;
  pending->budget = budget;
  pending->deadline = deadline;
  pending->done = std::move(done);
  start_reservation_round(pending);
}

void StorageClient::start_reservation_round(const std::shared_ptr<PendingReservation>& pending) {
  if (pending->is_finished) return;
  const std::vector<std::size_t> group = replica_group(pending->program);
  const std::uint64_t round = ++pending->round;
  pending->is_confirming = pending->is_confirming && pending->map_version == map_version_;
  pending->map_version = map_version_;
  pending->granted = pending->rejected = 0;
  pending->group_size = group.size();
  pending->required = required_replicas(group.size());
  pending->others.clear();
  timers_.cancel(pending->straggler_timer);
  if (group.size() <= tolerated_losses_) return retry_reservation(pending);
  const common::ReserveRequest request{map_version_, pending->program, pending->attempt_id, pending->tokens};
  const Span timeout = std::min(rpc_timeout, pending->deadline - timers_.now());
  const auto on_reply = [this, pending, round](absl::StatusOr<common::ReserveReply> reply) {
    on_reserve_reply(pending, round, std::move(reply));
  };
  for (const std::size_t i : group) node(i).call<common::ReserveReply>(request, timeout, on_reply);
}

void StorageClient::on_reserve_reply(const std::shared_ptr<PendingReservation>& pending, std::uint64_t round,
                                     absl::StatusOr<common::ReserveReply> reply) {
  if (pending->is_finished || pending->round != round) return;
  const bool is_granted =
      reply.ok() && static_cast<storage::ReplicaStatus>(reply->verdict) == storage::ReplicaStatus::ok;
  ++(is_granted ? pending->granted : pending->rejected);
  if (is_granted) pending->merge(reply->others);
  const bool has_all = pending->granted == pending->group_size;
  const bool is_confirmed = pending->is_confirming && pending->granted == pending->required;
  if (has_all || is_confirmed) {
    pending->is_finished = true;
    timers_.cancel(pending->straggler_timer);
    return pending->done(pending->fits_budget() ? ReservationResult::granted : ReservationResult::exhausted);
  }
  if (pending->group_size - pending->rejected < pending->required) return retry_reservation(pending);
  if (pending->granted < pending->required) return;
  if (pending->granted + pending->rejected == pending->group_size) {
    confirm_reservation(pending, round);
  } else if (is_granted && pending->granted == pending->required) {
    pending->straggler_timer =
        timers_.after(straggler_timeout, [this, pending, round] { confirm_reservation(pending, round); });
  }
}

void StorageClient::confirm_reservation(const std::shared_ptr<PendingReservation>& pending,
                                        std::uint64_t round) {
  if (pending->is_finished || pending->round != round) return;
  pending->is_confirming = true;
  start_reservation_round(pending);
}

// Starts over after a round without a quorum, unless the deadline is too close.
void StorageClient::retry_reservation(const std::shared_ptr<PendingReservation>& pending) {
  pending->is_confirming = false;
  timers_.cancel(pending->straggler_timer);
  ++pending->round;
  if (timers_.now() + retry_interval >= pending->deadline) {
    pending->is_finished = true;
    return pending->done(ReservationResult::unavailable);
  }
  timers_.after(retry_interval, [this, pending] { start_reservation_round(pending); });
}

void StorageClient::commit_usage(const std::string& program, const std::string& attempt_id,
                                 std::int64_t tokens) {
  for (const std::size_t i : replica_group(program)) send_usage(i, {program, attempt_id, tokens});
}

}  // namespace chutevane::edge
