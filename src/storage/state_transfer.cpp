/// Implements the receiving side of a state transfer. The header describes the protocol;
/// storage/pull_responder.hpp has the sending side.
#include "storage/state_transfer.hpp"

#include <algorithm>

#include "common/log.hpp"

namespace chutevane::storage {
namespace {

constexpr Span reply_timeout = Span::ms(400);
/// Delay before a request is repeated to a source that refused or did not reply.
constexpr Span retry_interval = Span::ms(25);
constexpr Span source_silence_timeout = Span::ms(500);
constexpr std::size_t max_turns_per_request = 16;  // about 100 KB of turns
/// Returns a position after all ids, which are hexadecimal.
std::string end_of_ids() { return "\xff"; }

}  // namespace

void StateTransfer::start(std::int64_t max_skipped_sources) {
  max_skipped_sources_ = max_skipped_sources;
  ready_ = complete_ = false;
  started_at_ = dependencies_.timers.now();
  ++generation_;
  sources_.clear();
  // Draining nodes are still in the map and answer requests.
  for (const common::StorageNode& node : dependencies_.map.nodes) {
    if (node.node == dependencies_.own_node) continue;
    Source source;
    source.address = node.address;
    source.last_reply_at = started_at_;
    sources_.emplace(node.node, std::move(source));
  }
  std::vector<std::string> nodes;
  nodes.reserve(sources_.size());
  for (const auto& [node, source] : sources_) nodes.push_back(node);
  for (const std::string& node : nodes) request_next(node);
  update_completeness();
}

void StateTransfer::cancel() {
  ready_ = complete_ = false;
  sources_.clear();
  ++generation_;
}

void StateTransfer::resume_complete() {
  ready_ = complete_ = true;
  max_skipped_sources_ = 0;
}

void StateTransfer::request_next(const std::string& node) {
  Source& source = sources_[node];
  const common::PullRequest request = next_request(source);
  dependencies_.peers.client_for(source.address)
      .call<common::PullReply>(request, reply_timeout, [this, node, generation = generation_](auto reply) {
        on_reply(node, generation, reply);
      });
}

common::PullRequest StateTransfer::next_request(Source& source) const {
  common::PullRequest request;
  request.map_version = dependencies_.map.version;
  request.node = dependencies_.own_node;
  request.turns = source.phase != Phase::accounts;
  request.after_id = source.after;
  std::vector<std::string>& missing = source.missing_turns;
  const std::size_t count = std::min(missing.size(), max_turns_per_request);
  request.wanted_ids.assign(missing.end() - static_cast<std::ptrdiff_t>(count), missing.end());
  missing.resize(missing.size() - count);
  return request;
}

void StateTransfer::on_reply(const std::string& node, std::uint64_t generation,
                             const absl::StatusOr<common::PullReply>& reply) {
  const auto found = sources_.find(node);
  if (generation != generation_ || found == sources_.end()) return;
  Source& source = found->second;
  if (!reply.ok() || static_cast<ReplicaStatus>(reply->verdict) != ReplicaStatus::ok)
    return on_refusal(node, source, reply.ok());
  source.last_reply_at = dependencies_.timers.now();
  source.timed_out = false;
  store_reply(*reply);
  if (source.phase == Phase::accounts) {
    advance_accounts(source, *reply);
  } else {
    advance_turns(source, *reply);
  }
  dependencies_.group_commit.after_commit([this, node, generation] {
    if (generation != generation_) return;
    update_completeness();
    if (sources_.contains(node) && sources_[node].phase != Phase::done) request_next(node);
  });
}

void StateTransfer::on_refusal(const std::string& node, Source& source, bool answered) {
  const TimePoint now = dependencies_.timers.now();
  if (answered) source.last_reply_at = now;
  if (now - source.last_reply_at > source_silence_timeout) source.timed_out = true;
  source.missing_turns.clear();  // the new list of ids contains them again
  if (source.phase != Phase::accounts) source.after.clear();
  dependencies_.timers.after(retry_interval, [this, node, generation = generation_] {
    if (generation == generation_ && sources_.contains(node) && sources_[node].phase != Phase::done)
      request_next(node);
  });
  update_completeness();
}

void StateTransfer::store_reply(const common::PullReply& reply) {
  const TimePoint now = dependencies_.timers.now();
  for (const common::Account& account : reply.accounts) dependencies_.store.merge_account(account, now);
  for (const common::Turn& turn : reply.turns) dependencies_.store.store_turn(turn, now);
}

void StateTransfer::advance_accounts(Source& source, const common::PullReply& reply) {
  if (!reply.accounts.empty()) source.after = reply.accounts.back().program;
  if (!reply.last) return;
  source.phase = Phase::turns;
  source.after.clear();
}

void StateTransfer::advance_turns(Source& source, const common::PullReply& reply) const {
  for (const std::string& id : reply.ids) {
    if (dependencies_.store.find_turn(id) == nullptr) source.missing_turns.push_back(id);
  }
  if (!reply.ids.empty()) source.after = reply.ids.back();
  if (reply.last) source.after = end_of_ids();  // a reply with turns is never marked as the last
  if (source.missing_turns.empty() && source.after == end_of_ids()) source.phase = Phase::done;
}

StateTransfer::Progress StateTransfer::progress() const {
  Progress out;
  for (const auto& [node, source] : sources_) {
    const bool has_accounts = source.phase != Phase::accounts;
    const bool has_turns = source.phase == Phase::done;
    if (has_accounts) ++out.with_accounts;
    if (has_turns) ++out.with_turns;
    if (!has_accounts && !source.timed_out) ++out.awaited_for_accounts;
    if (!has_turns && !source.timed_out) ++out.awaited_for_turns;
  }
  return out;
}

bool StateTransfer::is_enough(std::size_t sources_done) const {
  return static_cast<std::int64_t>(sources_done) + max_skipped_sources_ >=
         static_cast<std::int64_t>(sources_.size());
}

bool StateTransfer::has_enough_sources() const { return is_enough(progress().with_turns); }

void StateTransfer::update_completeness() {
  const Progress now = progress();
  const auto elapsed_ms = [this] {
    return std::to_string((dependencies_.timers.now() - started_at_).as_ms());
  };
  const std::string map = "map " + std::to_string(dependencies_.map.version);
  if (!ready_ && now.awaited_for_accounts == 0 && is_enough(now.with_accounts)) {
    ready_ = true;
    common::log_info("storage.ready", map + " elapsed_ms=" + elapsed_ms());
  }
  if (ready_ && !complete_ && now.awaited_for_turns == 0 && is_enough(now.with_turns)) {
    complete_ = true;
    on_complete_();
    common::log_info("storage.whole", map + ", turns " + std::to_string(dependencies_.store.turn_count()) +
                                          " elapsed_ms=" + elapsed_ms());
  }
}

std::string StateTransfer::describe() const {
  const Progress now = progress();
  const std::string level = complete_ ? "whole" : ready_ ? "ready" : "transferring";
  return level + ", sources " + std::to_string(sources_.size()) + ", sent accounts " +
         std::to_string(now.with_accounts) + ", sent turns " + std::to_string(now.with_turns) +
         ", may skip " + std::to_string(max_skipped_sources_);
}

}  // namespace chutevane::storage
