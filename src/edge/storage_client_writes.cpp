/// Replicated writes of turns.
///
/// The write is sent to the required number of nodes first, the nearest ones of the program's replica group.
/// The rest of the group is used only if one of them rejects the write or does not reply within a hedging
/// delay. All replicas that count have the turn under the same map (storage_client.hpp).
///
/// A replica counts only if it also has every turn that the stored one continues. These were stored before,
/// but may have expired while this turn's answer was under way, or are only in this process's cache. A node
/// that neither has them nor finds them at its peers replies `chain_incomplete`, and gets them from here.
#include <algorithm>
#include <set>

#include "common/invariant.hpp"
#include "edge/storage_client.hpp"
#include "storage/placement.hpp"

namespace chutevane::edge {
namespace {

constexpr Span hedge_delay = Span::ms(40);  // after which the rest of the group gets the write too
constexpr Span min_rpc_timeout = Span::ms(1);
constexpr std::int64_t no_usage = -1;  // no reservation to commit
// Added to the retention of a turn, which counts from the end of its response: that follows the first
// replica's reply by up to the timeout of a call (400 ms), and the lookup for a request that is sent in time
// may take 1.5 s.
constexpr Span retention_margin = Span::ms(2000);

}  // namespace

struct StorageClient::ReplicatedWrite {
  common::Turn turn;
  net::BufferCharge charge;  // for the turn
  TurnList ancestors;
  std::int64_t used_tokens = 0;  // `no_usage` if there is no reservation to commit
  TimePoint deadline;
  std::function<void(bool)> done;

  std::uint64_t round = 0;  // replies to an earlier round are ignored
  TimePoint round_started_at;
  std::int64_t map_version = 0;
  std::vector<std::size_t> group;  // indexes of nodes, nearest first
  std::size_t required = 0;
  std::size_t asked = 0;             // number of nodes that were sent the write, from the front of `group`
  std::set<std::size_t> stored;      // nodes that have the turn and its chain on disk
  std::set<std::size_t> sent_chain;  // nodes that were sent the ancestors
  bool is_retry_scheduled = false;
  bool is_finished = false;
  net::TimerQueue::Handle hedge_timer;
};

void StorageClient::store_turn(common::Turn turn, TurnList ancestors, std::int64_t used_tokens,
                               TimePoint deadline, std::function<void(bool)> done) {
  auto write = std::make_shared<ReplicatedWrite>();
  write->charge = {scheduler_.buffer_budget(), turn.input.data.size() + turn.output.data.size()};
  write->turn = std::move(turn);
  write->turn.retention_ms += static_cast<std::int64_t>(retention_margin.as_ms());
  write->ancestors = std::move(ancestors);
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
  write->round_started_at = timers_.now();
  write->map_version = map_version_;
  write->is_retry_scheduled = false;
  write->group = replica_group(write->turn.program);
  move_own_zone_first(write->group);
  write->required = required_replicas(write->group.size());
  write->asked = 0;
  write->stored.clear();
  write->sent_chain.clear();
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
  send_turn(write, write->group[write->asked++]);
}

void StorageClient::send_turn(const std::shared_ptr<ReplicatedWrite>& write, std::size_t node_index) {
  const std::uint64_t round = write->round;
  const Span timeout = std::min(rpc_timeout, std::max(write->deadline - timers_.now(), min_rpc_timeout));
  node(node_index)
      .call<common::StoreTurnReply>(
          common::StoreTurnRequest{write->map_version, write->turn, write->used_tokens}, timeout,
          [this, write, round, node_index](const absl::StatusOr<common::StoreTurnReply>& reply) {
            on_store_reply(write, round, node_index, reply);
          });
}

// Sends the ancestors, the oldest first, so that the chain of each is complete when it arrives, and then the
// turn again. Only the reply to the turn matters: it tells whether the node has the whole chain by then.
void StorageClient::send_chain(const std::shared_ptr<ReplicatedWrite>& write, std::size_t node_index) {
  ++chains_sent_;
  for (const auto& ancestor : write->ancestors) {
    node(node_index)
        .call<common::StoreTurnReply>(common::StoreTurnRequest{write->map_version, *ancestor, no_usage},
                                      rpc_timeout, [](const absl::StatusOr<common::StoreTurnReply>&) {});
  }
  send_turn(write, node_index);
}

void StorageClient::on_store_reply(const std::shared_ptr<ReplicatedWrite>& write, std::uint64_t round,
                                   std::size_t node_index,
                                   const absl::StatusOr<common::StoreTurnReply>& reply) {
  if (write->is_finished || write->round != round) return;
  if (write->map_version != map_version_) return start_write_round(write);
  const auto status = reply.ok() ? static_cast<storage::ReplicaStatus>(reply->verdict)
                                 : storage::ReplicaStatus::indeterminate;
  if (status == storage::ReplicaStatus::chain_incomplete && write->sent_chain.insert(node_index).second)
    return send_chain(write, node_index);
  if (status == storage::ReplicaStatus::ok) {
    write->stored.insert(node_index);
    if (write->stored.size() < write->required) return;
    // The first replica has the turn for longer than the margin allows for, as another one got the chain
    // first.
    if (timers_.now() - write->round_started_at > rpc_timeout) return start_write_round(write);
    check_replicated(*write);
    write->is_finished = true;
    timers_.cancel(write->hedge_timer);
    cache_.insert(std::make_shared<const common::Turn>(std::move(write->turn)));
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
