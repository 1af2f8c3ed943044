/// Lookup of a turn and all the turns that it continues, from the newest back to the first.
///
/// Cached turns are followed first. For the next missing turn, storage nodes are asked one after the other:
/// first the program's replica group, with the nodes of the own zone in front, then all other nodes, because
/// the turn may have been stored under an older map. If a node does not reply within a hedging delay, the
/// next one is asked too. A node returns as much of the chain as it has.
///
/// Negative replies prove that a turn does not exist: an acknowledged turn is at more nodes than may be lost,
/// so it does not exist if all but that many nodes do not have it.
#include <algorithm>

#include "edge/storage_client.hpp"
#include "storage/placement.hpp"

namespace chutevane::edge {
namespace {

constexpr Span hedge_delay = Span::ms(40);         // after which the next node is asked too
constexpr Span min_rpc_timeout = Span::ms(1);      // a call needs a timeout even if no time is left
constexpr Span inconclusive_pause = Span::ms(45);  // before all nodes are asked again
constexpr std::size_t max_chain_length = 10000;    // turns; guards against ids that form a cycle

}  // namespace

struct StorageClient::PendingLookup {
  std::string wanted;  // id of the next turn; empty if the chain is complete
  std::string program;
  std::string attempt_id;
  TimePoint deadline;
  std::function<void(TurnChain)> done;
  std::vector<std::shared_ptr<const common::Turn>> newest_first;
  net::BufferCharge charge;  // for the turns that were fetched

  std::uint64_t round = 0;  // replies to an earlier round are ignored
  std::int64_t map_version = 0;
  std::vector<std::size_t> nodes;  // indexes of nodes, in the order in which they are asked
  std::size_t asked = 0;           // number of nodes asked so far, from the front of `nodes`
  std::size_t answered = 0;
  std::size_t not_found = 0;
  bool is_finished = false;
  net::TimerQueue::Handle hedge_timer;
};

void StorageClient::find_chain(const std::string& id, const std::string& program,
                               const std::string& attempt_id, TimePoint deadline,
                               std::function<void(TurnChain)> done) {
  auto lookup = std::make_shared<PendingLookup>();
  lookup->wanted = id;
  lookup->program = program;
  lookup->attempt_id = attempt_id;
  lookup->deadline = deadline;
  lookup->done = std::move(done);
  lookup->charge = {scheduler_.buffer_budget(), 0};
  continue_lookup(lookup);
}

void StorageClient::continue_lookup(const std::shared_ptr<PendingLookup>& lookup) {
  if (lookup->is_finished) return;
  follow_cached_turns(*lookup);
  if (lookup->newest_first.size() > max_chain_length)
    return finish_lookup(*lookup, LookupResult::unavailable);
  if (lookup->wanted.empty()) return finish_lookup(*lookup, LookupResult::complete);
  if (timers_.now() >= lookup->deadline || scheduler_.buffer_budget().full())
    return finish_lookup(*lookup, LookupResult::unavailable);
  start_lookup_round(*lookup);
  if (lookup->nodes.empty()) {
    timers_.after(retry_interval, [this, lookup] { continue_lookup(lookup); });
    return;
  }
  ask_node(lookup, 0);
}

void StorageClient::follow_cached_turns(PendingLookup& lookup) {
  while (!lookup.wanted.empty() && lookup.newest_first.size() <= max_chain_length) {
    const auto turn = cache_.find(lookup.wanted);
    if (!turn) return;
    lookup.newest_first.push_back(turn);
    lookup.wanted = turn->previous;
  }
}

// Adds the turns of a reply to the chain. They are used directly rather than through the cache, because turns
// that do not fit into the cache would be requested again.
void StorageClient::follow_turns(PendingLookup& lookup, std::vector<common::Turn> turns) {
  std::map<std::string, std::shared_ptr<const common::Turn>> by_id;
  std::size_t fetched_bytes = lookup.charge.bytes();
  for (common::Turn& turn : turns) {
    fetched_bytes += turn.input.data.size() + turn.output.data.size();
    auto shared = std::make_shared<const common::Turn>(std::move(turn));
    cache_.insert(shared);
    by_id[shared->id] = std::move(shared);
  }
  lookup.charge.set(fetched_bytes);
  for (auto next = by_id.find(lookup.wanted); next != by_id.end(); next = by_id.find(lookup.wanted)) {
    lookup.newest_first.push_back(next->second);
    lookup.wanted = next->second->previous;
    by_id.erase(next);
  }
}

void StorageClient::start_lookup_round(PendingLookup& lookup) {
  ++lookup.round;
  lookup.asked = lookup.answered = lookup.not_found = 0;
  lookup.map_version = map_version_;
  lookup.nodes = replica_group(lookup.program);
  move_own_zone_first(lookup.nodes);
  for (std::size_t i = 0; i < storage_nodes_.size(); ++i) {
    if (std::find(lookup.nodes.begin(), lookup.nodes.end(), i) == lookup.nodes.end())
      lookup.nodes.push_back(i);
  }
}

// Asks the node at `position` of `nodes`, if it is the next one to ask.
void StorageClient::ask_node(const std::shared_ptr<PendingLookup>& lookup, std::size_t position) {
  if (lookup->is_finished || position != lookup->asked) return;
  if (lookup->map_version != map_version_)
    return continue_lookup(lookup);  // the indexes belong to another map
  if (position >= lookup->nodes.size()) return;
  ++lookup->asked;
  const Span timeout = std::clamp(lookup->deadline - timers_.now(), min_rpc_timeout, rpc_timeout);
  const std::uint64_t round = lookup->round;
  timers_.cancel(lookup->hedge_timer);
  lookup->hedge_timer = timers_.after(hedge_delay, [this, lookup, round, position] {
    if (lookup->round == round) ask_node(lookup, position + 1);
  });
  const common::FindTurnRequest request{lookup->map_version, lookup->wanted, lookup->attempt_id};
  node(lookup->nodes[position])
      .call<common::FindTurnReply>(request, timeout,
                                   [this, lookup, round](absl::StatusOr<common::FindTurnReply> reply) {
                                     on_find_reply(lookup, round, std::move(reply));
                                   });
}

void StorageClient::on_find_reply(const std::shared_ptr<PendingLookup>& lookup, std::uint64_t round,
                                  absl::StatusOr<common::FindTurnReply> reply) {
  if (lookup->is_finished || lookup->round != round) return;
  ++lookup->answered;
  if (reply.ok() && !reply->turns.empty()) {
    follow_turns(*lookup, std::move(reply->turns));
    return continue_lookup(lookup);
  }
  if (reply.ok() && static_cast<storage::ReplicaStatus>(reply->verdict) == storage::ReplicaStatus::not_found)
    ++lookup->not_found;
  if (lookup->not_found > 0 && lookup->not_found + tolerated_losses_ >= lookup->nodes.size() &&
      lookup->map_version == map_version_)
    return finish_lookup(*lookup, LookupResult::not_found);
  if (lookup->answered == lookup->nodes.size()) {  // neither found nor proven not to exist
    ++lookup->round;
    const Span time_left = std::max(lookup->deadline - timers_.now(), Span());
    timers_.after(std::min(inconclusive_pause, time_left), [this, lookup] { continue_lookup(lookup); });
    return;
  }
  ask_node(lookup, lookup->asked);
}

void StorageClient::finish_lookup(PendingLookup& lookup, LookupResult result) {
  lookup.is_finished = true;
  timers_.cancel(lookup.hedge_timer);
  TurnChain chain;
  chain.result = result;
  if (result != LookupResult::not_found)
    chain.turns.assign(lookup.newest_first.rbegin(), lookup.newest_first.rend());
  chain.charge = std::move(lookup.charge);
  lookup.done(std::move(chain));
}

}  // namespace chutevane::edge
