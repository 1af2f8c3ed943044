/// Implements ReplicaStore: turns and accounts in memory, their log records, expiry and segment reclamation.
#include "storage/replica_store.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace chutevane::storage {
namespace {

using common::Account;
using common::Reservation;
using common::Turn;

/// Time since the last entry of an account; many times the longest pause of a program.
constexpr Span account_retention = Span::ms(180000);
/// Live turns of an older segment are rewritten to the current one.
constexpr Span max_segment_age = Span::ms(150000);
/// Number of turns; guards against cyclic chains.
constexpr std::size_t max_chain_length = 10000;
constexpr Span expiry_interval = Span::ms(1000);
/// For which the ids of expired turns are remembered: an answer that continues one may be under way.
constexpr Span expired_id_retention = Span::ms(10000);
constexpr std::int64_t tokens_unset = -1;  // in an entry that was just created
/// Approximate number of bytes that a turn takes in addition to its input and output.
constexpr std::size_t turn_overhead = 200;

std::size_t footprint(const Turn& turn) {
  return turn.input.data.size() + turn.output.data.size() + turn_overhead;
}

Span retention_of(const Turn& turn) { return Span::ms(static_cast<double>(turn.retention_ms)); }

}  // namespace

/// Appends a log record: one byte with the message kind, followed by the message in Avro encoding.
template <class Record>
void ReplicaStore::append_record(const Record& record) {
  std::string text(1, static_cast<char>(Record::kind));
  text += common::encoded(record);
  log_.append(text);
}

absl::Status ReplicaStore::recover(TimePoint now) {
  return log_.recover(
      now, [&](const std::string& record, std::uint64_t segment) { load_record(record, segment, now); });
}

void ReplicaStore::load_record(const std::string& record, std::uint64_t segment, TimePoint now) {
  if (record.empty()) return;
  const auto kind = static_cast<std::uint8_t>(record[0]);
  const std::string_view body = std::string_view(record).substr(1);
  if (kind == Turn::kind) {
    Turn turn;
    if (common::decode(body, turn)) insert_turn(std::move(turn), segment, now);
  } else if (kind == Account::kind) {
    Account account;
    if (common::decode(body, account)) load_account(account, now);
  }
}

void ReplicaStore::load_account(const Account& account, TimePoint now) {
  for (const Reservation& loaded : account.entries) {
    Reservation& entry = find_or_create_entry(account.program, loaded.attempt, now);
    // A power loss can restore a removed segment. A reservation in it must not replace committed usage.
    if (!entry.committed || loaded.committed) entry.tokens = loaded.tokens;
    entry.committed = entry.committed || loaded.committed;
  }
}

Reservation& ReplicaStore::find_or_create_entry(const std::string& program, const std::string& attempt,
                                                TimePoint now) {
  StoredAccount& stored = accounts_[program];
  stored.account.program = program;
  stored.expires_at = now + account_retention;
  for (Reservation& entry : stored.account.entries) {
    if (entry.attempt == attempt) return entry;
  }
  stored.account.entries.push_back({attempt, tokens_unset, false});
  return stored.account.entries.back();
}

std::vector<Reservation> ReplicaStore::reserve(const std::string& program, const std::string& attempt,
                                               std::int64_t max_tokens, TimePoint now) {
  Reservation& own = find_or_create_entry(program, attempt, now);
  if (own.tokens < 0) {
    own.tokens = max_tokens;
    append_record(Account{program, {own}});
  }
  std::vector<Reservation> others = accounts_[program].account.entries;
  std::erase_if(others, [&](const Reservation& entry) { return entry.attempt == attempt; });
  return others;
}

void ReplicaStore::commit_usage(const std::string& program, const std::string& attempt,
                                std::int64_t used_tokens, TimePoint now) {
  Reservation& entry = find_or_create_entry(program, attempt, now);
  if (entry.committed) return;
  entry.tokens = used_tokens;
  entry.committed = true;
  append_record(Account{program, {entry}});
}

void ReplicaStore::merge_account(const Account& account, TimePoint now) {
  Account changed{account.program, {}};
  for (const Reservation& theirs : account.entries) {
    Reservation& own = find_or_create_entry(account.program, theirs.attempt, now);
    const bool keeps_own = own.committed || (own.tokens >= 0 && !theirs.committed);
    if (keeps_own) continue;
    own = theirs;
    changed.entries.push_back(theirs);
  }
  if (!changed.entries.empty()) append_record(changed);
}

void ReplicaStore::insert_turn(Turn turn, std::uint64_t segment, TimePoint now) {
  const std::string id = turn.id;
  TimePoint expires_at = now + retention_of(turn);
  if (const auto descendants = awaited_ancestors_.extract(id); !descendants.empty())
    expires_at = std::max(expires_at, descendants.mapped());
  StoredTurn& stored = turns_[id];
  if (stored.segment != 0) {
    turn_bytes_ -= footprint(stored.turn);
    log_.drop_reference(stored.segment);
  }
  turn_bytes_ += footprint(turn);
  log_.add_reference(segment);
  stored.segment = segment;
  stored.turn = std::move(turn);
  extend_chain(id, expires_at);
}

bool ReplicaStore::store_turn(const Turn& turn, TimePoint now) {
  if (turns_.contains(turn.id)) {
    extend_chain(turn.id, now + retention_of(turn));
    return true;
  }
  if (turn_bytes_ + footprint(turn) > max_bytes_) return false;
  append_record(turn);
  insert_turn(turn, log_.current_segment(), now);
  return true;
}

void ReplicaStore::extend_chain(const std::string& newest, TimePoint expires_at) {
  for (std::string id = newest; !id.empty();) {
    const auto at = turns_.find(id);
    if (at == turns_.end()) {
      TimePoint& awaited_until = awaited_ancestors_[id];
      awaited_until = std::max(awaited_until, expires_at);
      return;
    }
    if (at->second.expires_at >= expires_at) return;  // and so do all its ancestors
    at->second.expires_at = expires_at;
    id = at->second.turn.previous;
  }
}

const Turn* ReplicaStore::find_turn(const std::string& id) const {
  const auto found = turns_.find(id);
  return found == turns_.end() ? nullptr : &found->second.turn;
}

std::vector<const Turn*> ReplicaStore::read_chain(const std::string& id, std::size_t max_bytes,
                                                  TimePoint now) {
  std::vector<const Turn*> chain;
  std::size_t bytes = 0;
  for (auto at = turns_.find(id); at != turns_.end(); at = turns_.find(at->second.turn.previous)) {
    const StoredTurn& stored = at->second;
    bytes += footprint(stored.turn);
    if (!chain.empty() && bytes > max_bytes) break;
    extend_chain(at->first, now + retention_of(stored.turn));
    chain.push_back(&stored.turn);
    if (stored.turn.previous.empty() || chain.size() > max_chain_length) break;
  }
  return chain;
}

std::string ReplicaStore::first_missing_ancestor(const std::string& id) const {
  std::string current_id = id;
  for (std::size_t length = 0; !current_id.empty() && length < max_chain_length; ++length) {
    const Turn* const turn = find_turn(current_id);
    if (turn == nullptr) return current_id;
    current_id = turn->previous;
  }
  return "";
}

std::optional<TimePoint> ReplicaStore::expired_at(const std::string& id) const {
  const auto found = expired_.find(id);
  return found == expired_.end() ? std::nullopt : std::optional(found->second);
}

std::set<std::string> ReplicaStore::cross_program_ancestors(
    const std::function<bool(const std::string& program)>& is_wanted) const {
  std::set<std::string> ancestors;
  for (const auto& [id, stored] : turns_) {
    auto at = turns_.find(stored.turn.previous);
    if (at == turns_.end() || at->second.turn.program == stored.turn.program) continue;
    if (!is_wanted(stored.turn.program)) continue;
    // Ends when the chain joins one that was visited before, or is cyclic.
    while (at != turns_.end() && ancestors.insert(at->first).second)
      at = turns_.find(at->second.turn.previous);
  }
  return ancestors;
}

void ReplicaStore::for_each_turn(const std::string& after,
                                 const std::function<bool(const Turn&)>& visit) const {
  auto at = turns_.upper_bound(after);
  while (at != turns_.end() && visit(at->second.turn)) ++at;
}

void ReplicaStore::for_each_account(const std::string& after,
                                    const std::function<bool(const Account&)>& visit) const {
  auto at = accounts_.upper_bound(after);
  while (at != accounts_.end() && visit(at->second.account)) ++at;
}

void ReplicaStore::expire(TimePoint now) {
  if (now - last_expiry_ < expiry_interval) return;
  last_expiry_ = now;
  drop_expired_turns(now);
  std::erase_if(accounts_, [&](const auto& account) { return account.second.expires_at < now; });
  // While the disk accepts no writes, rewriting would grow the buffer without any new data.
  if (!is_failing()) reclaim_segments(now);
}

void ReplicaStore::drop_expired_turns(TimePoint now) {
  std::erase_if(awaited_ancestors_, [&](const auto& ancestor) { return ancestor.second < now; });
  std::erase_if(expired_, [&](const auto& turn) { return now - turn.second > expired_id_retention; });
  for (auto at = turns_.begin(); at != turns_.end();) {
    if (at->second.expires_at >= now) {
      ++at;
      continue;
    }
    turn_bytes_ -= footprint(at->second.turn);
    log_.drop_reference(at->second.segment);
    expired_[at->first] = now;
    at = turns_.erase(at);
  }
}

void ReplicaStore::reclaim_segments(TimePoint now) {
  while (const auto oldest = log_.oldest_closed()) {
    const bool too_old = now - oldest->opened_at > max_segment_age;
    if (oldest->references > 0 && !too_old) return;
    if (oldest->references > 0) rewrite_turns_of(oldest->number);
    for (const auto& [program, stored] : accounts_) append_record(stored.account);
    if (!commit(now).ok() || !log_.remove(oldest->number).ok()) return;
  }
}

void ReplicaStore::rewrite_turns_of(std::uint64_t segment) {
  for (auto& [id, stored] : turns_) {
    if (stored.segment != segment) continue;
    append_record(stored.turn);
    log_.drop_reference(segment);
    stored.segment = log_.current_segment();
    log_.add_reference(stored.segment);
  }
}

}  // namespace chutevane::storage
