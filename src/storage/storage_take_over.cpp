// A storage node's take-over: what it gives to others, what it asks of them when the map changes, and when it
// has enough.
#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "common/storage_map.hpp"
#include "storage/storage_plane.hpp"

namespace chutevane::storage {
namespace {

using common::Account;
using common::Turn;

constexpr Span pull_most = Span::ms(400);       // for one answer
constexpr Span pull_again = Span::ms(25);       // where the other has not got the map yet
constexpr Span silent_most = Span::ms(500);     // an other that says nothing for so long counts as lost
constexpr Span write_again = Span::ms(100);     // between tries of a disk that fails
constexpr std::size_t pull_bytes = 256 * 1024;  // of one answer: others have their turn between
constexpr std::size_t pull_names = 2000;        // of one answer
constexpr std::size_t pull_accounts = 500;      // of one answer

}  // namespace

// What the asker holds by the map. Only while this one has the same: from then on nothing is added here under
// an older one; and by a later one the asker may hold less, while edges still ask it under its own.
void StoragePlane::answer_pull(Connection& connection, std::uint64_t number, const common::PullRequest& ask) {
  if (store_.failing() || map_record_due_)
    return;  // silent as a lost one is: the asker does without it where it may
  common::PullReply out;
  out.map_version = map_;
  out.last = true;
  const auto mine = [&](const std::string& program) {
    for (const std::size_t i : replica_group(program, storage_nodes_, settings_.machine_losses)) {
      if (storage_nodes_[i].node == ask.node) return true;
    }
    return false;
  };
  std::size_t bytes = 0;
  const bool named = std::any_of(
      storage_nodes_.begin(), storage_nodes_.end(),
      [&](const common::StorageNode& c) { return c.node == settings_.node && c.disk == record_.disk; });
  if (map_ != ask.map_version) {
    out.verdict = static_cast<std::int64_t>(check(ask.map_version));
  } else if (!named) {  // a disk that no map names yet is no source: what its place held is not here
    out.verdict = static_cast<std::int64_t>(ReplicaStatus::not_ready);
  } else if (!ask.wanted_ids.empty()) {
    out.last = false;  // says nothing about the names
    for (const std::string& id : ask.wanted_ids) {
      const Turn* t = store_.find(id);
      if (t != nullptr) out.turns.push_back(*t);
    }
  } else if (ask.turns) {
    const std::set<std::string> beyond = store_.chains_of_others(mine);
    store_.each_turn(ask.after_id, [&](const Turn& t) {
      if (!mine(t.program) && !beyond.contains(t.id)) return true;
      out.ids.push_back(t.id);
      bytes += t.input.data.size() + t.output.data.size();
      return out.last = out.ids.size() < pull_names && bytes < pull_bytes;
    });
  } else {
    store_.each_account(ask.after_id, [&](const Account& a) {
      if (mine(a.program)) out.accounts.push_back(a);
      return out.last = out.accounts.size() < pull_accounts;
    });
  }
  // What is told here and not on disk yet may be gone with this machine: the asker would have it alone.
  answer_when_synced(connection, number, std::move(out));
}

void StoragePlane::value_came(const common::RegisterValue& value) {
  if (value.map_version <= map_ || value.map_version < map_record_.map_version)
    return;  // a controller that lags
  const std::vector<common::StorageNode> before = std::move(storage_nodes_);
  const std::int64_t map_before = map_;
  storage_nodes_ = value.storage_nodes;
  map_ = value.map_version;
  const auto in = [](const std::vector<common::StorageNode>& all, const common::StorageNode& c) {
    return std::any_of(all.begin(), all.end(), [&](const common::StorageNode& o) {
      return o.node == c.node && o.disk == c.disk && o.draining == c.draining;
    });
  };
  // Who was here for the map before, and lost nobody by this one, has what is its own already.
  // One that a map in between may have given up has missed what was kept since.
  const auto me = [&](const common::StorageNode& c) {
    return c.node == settings_.node && c.disk == record_.disk;
  };
  const bool was_in = std::any_of(before.begin(), before.end(), me);
  const bool went_on = map_before > 0 && ready_ && whole_ && was_in && map_ == map_before + 1;
  const bool lost_some = std::any_of(before.begin(), before.end(), [&](const common::StorageNode& c) {
    return !c.draining && !in(storage_nodes_, c) &&
           std::none_of(storage_nodes_.begin(), storage_nodes_.end(),
                        [&](const common::StorageNode& o) { return o.node == c.node && !o.draining; });
  });
  if (went_on && !lost_some) {
    write_map_record(map_, true);
    sessions_->report_complete_map(map_);
    return;
  }
  if (map_before == 0 && std::any_of(storage_nodes_.begin(), storage_nodes_.end(), me) && was_whole()) {
    ready_ = whole_ = true;
    may_miss_ = 0;
    common::log_info("storage.returned", "map " + std::to_string(map_));
    sessions_->report_complete_map(map_);
    return;
  }
  write_map_record(map_, false);
  if (std::none_of(storage_nodes_.begin(), storage_nodes_.end(), me)) {  // nothing is its own by this map
    ready_ = whole_ = false;
    taking_.clear();
    ++turn_;
    return;
  }
  // Copies that are missing already may not be missed twice: so many fewer of the others may be left out, and
  // where more are missing than may be lost, the map has to change before this one is whole.
  may_miss_ = static_cast<std::int64_t>(settings_.machine_losses) -
              static_cast<std::int64_t>(common::missing_replicas(value));
  take_over(before);
}

void StoragePlane::take_over(const std::vector<common::StorageNode>& before) {
  ready_ = whole_ = false;
  takeover_since_ = timers_.now();
  ++turn_;
  taking_.clear();
  for (const std::vector<common::StorageNode>* all : {&std::as_const(storage_nodes_), &before}) {
    for (const common::StorageNode& c : *all) {
      // One that the map has given up is lost; one that leaves still answers, and stands in the map.
      const bool there = std::any_of(storage_nodes_.begin(), storage_nodes_.end(),
                                     [&](const common::StorageNode& o) { return o.node == c.node; });
      if (c.node == settings_.node || !there || taking_.contains(c.node)) continue;
      Taking& t = taking_[c.node];
      t.address = c.address;
      t.since = timers_.now();
      t.turn = turn_;
    }
  }
  std::vector<std::string> nodes;
  for (const auto& [node, t] : taking_) nodes.push_back(node);
  for (const std::string& node : nodes) ask(node);
  look_ready();
}

void StoragePlane::ask(const std::string& node) {
  Taking& t = taking_[node];
  common::PullRequest pull;
  pull.map_version = map_;
  pull.node = settings_.node;
  pull.turns = t.accounts_done;
  pull.after_id = t.after;
  if (!t.wanted.empty()) {
    const std::size_t some = std::min<std::size_t>(t.wanted.size(), 16);  // some 100 KB of turns
    pull.wanted_ids.assign(t.wanted.end() - static_cast<std::ptrdiff_t>(some), t.wanted.end());
    t.wanted.resize(t.wanted.size() - some);
  }
  link(t.address).call<common::PullReply>(
      pull, pull_most, [this, node, turn = turn_](auto got) { pulled(node, turn, std::move(got)); });
}

void StoragePlane::pulled(const std::string& node, std::uint64_t turn,
                          absl::StatusOr<common::PullReply> got) {
  const auto found = taking_.find(node);
  if (turn != turn_ || found == taking_.end()) return;
  Taking& t = found->second;
  const TimePoint now = timers_.now();
  if (!got.ok() || static_cast<ReplicaStatus>(got->verdict) != ReplicaStatus::ok) {
    if (got.ok()) t.since = now;
    if (now - t.since > silent_most) t.given_up = true;
    t.wanted.clear();  // asked for again by name
    if (t.accounts_done) t.after.clear();
    timers_.after(pull_again, [this, node, turn] {
      if (turn == turn_ && taking_.contains(node) && !taking_[node].done) ask(node);
    });
    look_ready();
    return;
  }
  t.since = now;
  t.given_up = false;
  for (const Account& a : got->accounts) store_.merge(a, now);
  for (const Turn& one : got->turns) store_.keep(one, now);
  if (!got->ids.empty() || (t.accounts_done && got->turns.empty())) {
    for (const std::string& id : got->ids) {
      if (store_.find(id) == nullptr) t.wanted.push_back(id);
    }
    if (!got->ids.empty()) t.after = got->ids.back();
    if (got->last) t.after = "\xff";  // names are hex: nothing is behind it
  }
  if (!t.accounts_done) {
    if (!got->accounts.empty()) t.after = got->accounts.back().program;
    if (got->last) {
      t.accounts_done = true;
      t.after.clear();
    }
  } else if (t.wanted.empty() && t.after == "\xff") {
    t.done = true;
  }
  when_synced([this, node, turn] {
    if (turn != turn_) return;
    look_ready();
    if (taking_.contains(node) && !taking_[node].done) ask(node);
  });
}

bool StoragePlane::was_whole() const {
  return !map_record_due_ && map_record_.complete && map_record_.map_version == map_ &&
         map_record_.disk == record_.disk;
}

void StoragePlane::write_map_record(std::int64_t map, bool whole) {
  map_record_.map_version = map;
  map_record_.complete = whole;
  if (std::exchange(map_record_due_, true)) return;  // the next try writes it
  write_map_record_again();
}

void StoragePlane::write_map_record_again() {
  if (map_slots_.write_checkpoint(common::encoded(map_record_)).ok()) {
    map_record_due_ = false;
    return;
  }
  timers_.after(write_again, [this] { write_map_record_again(); });
}

// Ready: no account that a majority had set down can be missing here. Whole: no turn either.
void StoragePlane::look_ready() {
  std::size_t accounts = 0, turns = 0, pending_accounts = 0, pending_turns = 0;
  for (const auto& [node, t] : taking_) {
    accounts += t.accounts_done ? 1 : 0;
    turns += t.done ? 1 : 0;
    pending_accounts += !t.accounts_done && !t.given_up ? 1 : 0;
    pending_turns += !t.done && !t.given_up ? 1 : 0;
  }
  const auto enough = [this](std::size_t done) {
    return static_cast<std::int64_t>(done) + may_miss_ >= static_cast<std::int64_t>(taking_.size());
  };
  if (!ready_ && pending_accounts == 0 && enough(accounts)) {
    ready_ = true;
    common::log_info("storage.ready", "map " + std::to_string(map_) + " after ms " +
                                          std::to_string((timers_.now() - takeover_since_).as_ms()));
  }
  if (ready_ && !whole_ && pending_turns == 0 && enough(turns)) {
    whole_ = true;
    sessions_->report_complete_map(map_);
    when_synced([this, map = map_] {
      if (whole_ && map == map_) write_map_record(map, true);
    });
    common::log_info("storage.whole", "map " + std::to_string(map_) + ", turns " +
                                          std::to_string(store_.turns()) + " after ms " +
                                          std::to_string((timers_.now() - takeover_since_).as_ms()));
  }
}

}  // namespace chutevane::storage
