#include "storage/store.hpp"

#include <algorithm>
#include <charconv>

#include "common/record_framing.hpp"

namespace chutevane::storage {
namespace {

using common::Account;
using common::Reservation;
using common::Turn;

constexpr std::size_t segment_most = 4U << 20U;  // bytes: some tens of seconds of a small deployment
constexpr Span account_kept =
    Span::ms(180000);                           // after its last entry: a program's longest pause, many times
constexpr Span segment_old = Span::ms(150000);  // what is still in use then is written again
constexpr std::size_t chain_most = 10000;       // turns: guards against names that go round in a ring
constexpr Span sweep_every = Span::ms(1000);
constexpr std::uint64_t segment_salt = 0x63656c6c6172ULL;

std::size_t weight(const Turn& t) { return t.input.data.size() + t.output.data.size() + 200; }

}  // namespace

std::string Store::segment_name(std::uint64_t number) { return "turns." + std::to_string(number); }

template <class M>
void Store::put(const M& record) {
  std::string text(1, static_cast<char>(M::kind));
  text += common::encoded(record);
  pending_ += common::frame_record(text, segment_salt ^ current_);
}

std::optional<std::uint64_t> Store::segment_of(const std::string& name) {
  if (!name.starts_with("turns.")) return std::nullopt;
  std::uint64_t number = 0;
  const auto got = std::from_chars(name.data() + 6, name.data() + name.size(), number);
  if (got.ec != std::errc() || name != segment_name(number)) return std::nullopt;
  return number;
}

std::vector<std::string> Store::records(std::string_view file, std::uint64_t segment,
                                        std::size_t* good_size) {
  common::ParsedFrames frames = common::parse_frames(file, segment_salt ^ segment);
  if (good_size != nullptr) *good_size = frames.valid_size;
  return std::move(frames.records);
}

absl::Status Store::open(TimePoint now) {
  for (const std::string& name : disk_.list_files()) {
    if (const auto number = segment_of(name)) segments_[*number].since = now;
  }
  for (const auto& [number, segment] : segments_) {
    const auto text = disk_.read(segment_name(number));
    if (!text.ok()) return text.status();
    // What a process before wrote may be read from memory alone: it lasts before it is told of again.
    if (absl::Status s = disk_.sync(segment_name(number)); !s.ok()) return s;
    for (const std::string& record : records(*text, number)) load(record, number, now);
  }
  // What was torn at the end of the last one stays there: nothing is appended behind it.
  current_ = segments_.empty() ? 1 : segments_.rbegin()->first + 1;
  segments_[current_].since = now;
  return absl::OkStatus();
}

void Store::load(const std::string& record, std::uint64_t segment, TimePoint now) {
  if (record.empty()) return;
  const auto kind = static_cast<std::uint8_t>(record[0]);
  const std::string_view body = std::string_view(record).substr(1);
  if (kind == Turn::kind) {
    Turn turn;
    if (common::decode(body, turn)) insert(std::move(turn), segment, now);
  } else if (kind == Account::kind) {
    Account account;
    if (!common::decode(body, account)) return;
    for (const Reservation& r : account.entries) {
      Reservation& at = entry(account.program, r.attempt, now);
      if (!at.committed || r.committed) at.tokens = r.tokens;
      at.committed = at.committed || r.committed;
    }
  }
}

Reservation& Store::entry(const std::string& program, const std::string& attempt, TimePoint now) {
  Open& open = accounts_[program];
  open.account.program = program;
  open.until = now + account_kept;
  for (Reservation& r : open.account.entries) {
    if (r.attempt == attempt) return r;
  }
  open.account.entries.push_back({attempt, -1, false});
  return open.account.entries.back();
}

void Store::write_account(const Account& account) { put(account); }

std::vector<Reservation> Store::reserve(const std::string& program, const std::string& attempt,
                                        std::int64_t most, TimePoint now) {
  Reservation& mine = entry(program, attempt, now);
  if (mine.tokens < 0) {
    mine.tokens = most;
    write_account({program, {mine}});
  }
  std::vector<Reservation> others = accounts_[program].account.entries;
  std::erase_if(others, [&](const Reservation& r) { return r.attempt == attempt; });
  return others;
}

void Store::settle(const std::string& program, const std::string& attempt, std::int64_t used, TimePoint now) {
  Reservation& mine = entry(program, attempt, now);
  if (mine.committed) return;
  mine.tokens = used;
  mine.committed = true;
  write_account({program, {mine}});
}

void Store::merge(const Account& account, TimePoint now) {
  Account changed{account.program, {}};
  for (const Reservation& r : account.entries) {
    Reservation& mine = entry(account.program, r.attempt, now);
    if (mine.committed || (mine.tokens >= 0 && !r.committed)) continue;
    mine = r;
    changed.entries.push_back(r);
  }
  if (!changed.entries.empty()) write_account(changed);
}

void Store::insert(Turn turn, std::uint64_t segment, TimePoint now) {
  Kept& at = turns_[turn.id];
  if (at.segment != 0) {
    bytes_ -= weight(at.turn);
    --segments_[at.segment].live;
  }
  bytes_ += weight(turn);
  ++segments_[segment].live;
  at.until = now + Span::ms(static_cast<double>(turn.retention_ms));
  at.segment = segment;
  at.turn = std::move(turn);
}

bool Store::keep(const Turn& turn, TimePoint now) {
  const auto found = turns_.find(turn.id);
  if (found == turns_.end()) {
    if (bytes_ + weight(turn) > bytes_most_) return false;
    put(turn);
    insert(turn, current_, now);
  }
  // Kept with its chain: what it goes on from is in use as long as it is.
  const Span stay = Span::ms(static_cast<double>(turn.retention_ms));
  std::size_t steps = 0;
  for (auto at = turns_.find(turn.id); at != turns_.end(); at = turns_.find(at->second.turn.previous)) {
    at->second.until = std::max(at->second.until, now + stay);
    if (at->second.turn.previous.empty() || ++steps > chain_most) break;
  }
  return true;
}

absl::Status Store::commit(TimePoint now) {
  if (pending_.empty()) return absl::OkStatus();
  const std::string name = segment_name(current_);
  if (failing_) {
    // What a failed try has left, torn or whole, would hide what is appended next or stand there twice.
    if (absl::Status s = disk_.truncate(name, current_size_); !s.ok()) return s;
  }
  failing_ = true;
  if (absl::Status s = disk_.append(name, pending_); !s.ok()) return s;
  if (absl::Status s = disk_.sync(name); !s.ok()) return s;
  failing_ = false;
  current_size_ += pending_.size();
  pending_.clear();
  if (current_size_ > segment_most) {
    ++current_;
    current_size_ = 0;
    segments_[current_].since = now;
  }
  return absl::OkStatus();
}

const Turn* Store::find(const std::string& id) const {
  const auto found = turns_.find(id);
  return found == turns_.end() ? nullptr : &found->second.turn;
}

std::vector<const Turn*> Store::chain(const std::string& id, std::size_t bytes_most, TimePoint now) {
  std::vector<const Turn*> out;
  std::size_t bytes = 0;
  for (auto at = turns_.find(id); at != turns_.end(); at = turns_.find(at->second.turn.previous)) {
    Kept& kept = at->second;
    bytes += weight(kept.turn);
    if (!out.empty() && bytes > bytes_most) break;
    kept.until = std::max(kept.until, now + Span::ms(static_cast<double>(kept.turn.retention_ms)));
    out.push_back(&kept.turn);
    if (kept.turn.previous.empty() || out.size() > chain_most) break;
  }
  return out;
}

std::string Store::first_missing(const std::string& id) const {
  std::string at = id;
  for (std::size_t steps = 0; !at.empty() && steps < chain_most; ++steps) {
    const auto found = turns_.find(at);
    if (found == turns_.end()) return at;
    at = found->second.turn.previous;
  }
  return "";
}

std::set<std::string> Store::chains_of_others(
    const std::function<bool(const std::string& program)>& wanted) const {
  std::set<std::string> out;
  for (const auto& [id, kept] : turns_) {
    auto at = turns_.find(kept.turn.previous);
    if (at == turns_.end() || at->second.turn.program == kept.turn.program) continue;
    if (!wanted(kept.turn.program)) continue;
    for (; at != turns_.end() && out.insert(at->first).second; at = turns_.find(at->second.turn.previous)) {
    }
  }
  return out;
}

void Store::each_turn(const std::string& after, const std::function<bool(const Turn&)>& take) const {
  for (auto at = turns_.upper_bound(after); at != turns_.end() && take(at->second.turn); ++at) {
  }
}

void Store::each_account(const std::string& after, const std::function<bool(const Account&)>& take) const {
  for (auto at = accounts_.upper_bound(after); at != accounts_.end() && take(at->second.account); ++at) {
  }
}

void Store::sweep(TimePoint now) {
  if (now - swept_ < sweep_every) return;
  swept_ = now;
  for (auto at = turns_.begin(); at != turns_.end();) {
    if (at->second.until >= now) {
      ++at;
      continue;
    }
    bytes_ -= weight(at->second.turn);
    --segments_[at->second.segment].live;
    at = turns_.erase(at);
  }
  std::erase_if(accounts_, [&](const auto& one) { return one.second.until < now; });
  if (!failing_) drop_segments(now);
}

void Store::drop_segments(TimePoint now) {
  while (segments_.size() > 1) {
    const auto oldest = segments_.begin();
    if (oldest->first == current_) return;
    const bool old = now - oldest->second.since > segment_old;
    if (oldest->second.live > 0 && !old) return;
    const std::uint64_t number = oldest->first;
    if (oldest->second.live > 0) {
      std::vector<Turn> again;
      for (const auto& [id, kept] : turns_) {
        if (kept.segment == number) again.push_back(kept.turn);
      }
      for (Turn& t : again) {
        const TimePoint until = turns_[t.id].until;
        put(t);
        insert(t, current_, now);
        turns_[t.id].until = until;
      }
    }
    // Accounts lie anywhere: those that are open are written again before any segment goes.
    for (const auto& [program, open] : accounts_) put(open.account);
    if (!commit(now).ok() || !disk_.remove(segment_name(number)).ok()) return;
    segments_.erase(number);
  }
}

}  // namespace chutevane::storage
