/// Replicated writes of turns.
///
/// The write is sent to the required number of nodes first, the nearest ones of the program's replica group.
/// The rest of the group is used only if one of them rejects the write or does not reply within a hedging
/// delay. All replicas that count have the turn under the same map (storage_client.hpp).
#include <algorithm>
#include <set>

#include "common/invariant.hpp"
#include "edge/storage_client.hpp"
#include "storage/placement.hpp"

namespace chutevane::edge {
namespace {

constexpr Span hedge_delay = Span::ms(40);  // after which the rest of the group gets the write too
constexpr Span min_rpc_timeout = Span::ms(1);

}  // namespace

struct StorageClient::ReplicatedWrite {
  common::Turn turn;
  std::int64_t used_tokens = 0;  // -1 if there is no reservation to commit
  TimePoint deadline;
  std::function<void(bool)> done;

  std::uint64_t round = 0;  // replies to an earlier round are ignored
  std::int64_t map_version = 0;
  std::vector<std::size_t> group;  // indexes of nodes, nearest first
  std::size_t required = 0;
  std::size_t asked = 0;         // number of nodes that were sent the write, from the front of `group`
  std::set<std::size_t> stored;  // nodes that have the turn on disk
  bool is_retry_scheduled = false;
  bool is_finished = false;
  net::TimerQueue::Handle hedge_timer;
};

void StorageClient::store_turn(const common::Turn& turn, std::int64_t used_tokens, TimePoint deadline,
                               std::function<void(bool)> done) {
  auto write = std::make_shared<ReplicatedWrite>();
  write->turn = turn;
  write->used_tokens = used_tokens;
  write->deadline = deadline;
  write->done = std::move(done);
  start_write_round(write);
}

void StorageClient::start_write_round(const std::shared_ptr<ReplicatedWrite>& write) {
  if (write->is_finished) return;
  if (timers_.now() >= write->deadline) {
    write->is_finished = true;
    return write->done(false);
  }
  ++write->round;
  write->map_version = map_version_;
  write->is_retry_scheduled = false;
  write->group = replica_group(write->turn.program);
  move_own_zone_first(write->group);
  write->required = required_replicas(write->group.size());
  write->asked = 0;
  write->stored.clear();
  timers_.cancel(write->hedge_timer);
  if (write->group.size() < write->required) {
    timers_.after(retry_interval, [this, write] { start_write_round(write); });
    return;
  }
  for (std::size_t sent = 0; sent < write->required; ++sent) write_to_next(write);
  // The other nodes get only the usage. Otherwise they would keep counting the reservation in full.
  for (std::size_t rest = write->required; rest < write->group.size(); ++rest) {
    if (write->used_tokens >= 0)
      send_usage(write->group[rest], {write->turn.program, write->turn.id, write->used_tokens});
  }
  write->hedge_timer = timers_.after(hedge_delay, [this, write] { hedge_write(write); });
}

void StorageClient::hedge_write(const std::shared_ptr<ReplicatedWrite>& write) {
  if (write->is_finished) return;
  if (write->map_version != map_version_) return start_write_round(write);
  while (!write->is_finished && write->asked < write->group.size()) write_to_next(write);
}

void StorageClient::write_to_next(const std::shared_ptr<ReplicatedWrite>& write) {
  const std::size_t index = write->group[write->asked++];
  const std::uint64_t round = write->round;
  const Span timeout = std::min(rpc_timeout, std::max(write->deadline - timers_.now(), min_rpc_timeout));
  node(index).call<common::StoreTurnReply>(
      common::StoreTurnRequest{map_version_, write->turn, write->used_tokens}, timeout,
      [this, write, round, index](const absl::StatusOr<common::StoreTurnReply>& reply) {
        on_store_reply(write, round, index, reply);
      });
}

void StorageClient::on_store_reply(const std::shared_ptr<ReplicatedWrite>& write, std::uint64_t round,
                                   std::size_t node_index,
                                   const absl::StatusOr<common::StoreTurnReply>& reply) {
  if (write->is_finished || write->round != round) return;
  if (write->map_version != map_version_) return start_write_round(write);
  if (reply.ok() && static_cast<storage::ReplicaStatus>(reply->verdict) == storage::ReplicaStatus::ok) {
    write->stored.insert(node_index);
    if (write->stored.size() < write->required) return;
    check_replicated(*write);
    write->is_finished = true;
    timers_.cancel(write->hedge_timer);
    cache_.insert(std::make_shared<const common::Turn>(write->turn));
    return write->done(true);
  }
  if (write->asked < write->group.size()) {
    write_to_next(write);
  } else if (!std::exchange(write->is_retry_scheduled, true)) {
    timers_.after(retry_interval, [this, write] { start_write_round(write); });
  }
}

void StorageClient::check_replicated(const ReplicatedWrite& write) const {
  common::check_invariant(common::Invariant::kept_by_enough_disks,
                          write.stored.size() > tolerated_losses_ && write.map_version == map_version_, [&] {
                            return write.turn.id + " stored on " + std::to_string(write.stored.size()) +
                                   " disks under map " + std::to_string(write.map_version) +
                                   ", current map " + std::to_string(map_version_);
                          });
}

}  // namespace chutevane::edge
