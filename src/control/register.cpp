#include "control/register.hpp"

#include <xxhash.h>

#include <algorithm>

namespace chutevane::control {
namespace {

using market::Accept;
using market::Accepted;
using market::Prepare;
using market::Promise;

constexpr Span round_most = Span::ms(400);  // for the answers of one round: a way and a sync take some ms
constexpr Span pause_least =
    Span::ms(8);  // before the next ballot after one that met a later one: two rounds
constexpr Span pause_spread = Span::ms(40);  // ... and as much as this more, so that two do not meet again

}  // namespace

Value first_value(std::vector<Acceptor> acceptors) {
  Value out;
  out.epoch = 1;
  std::sort(acceptors.begin(), acceptors.end(),
            [](const Acceptor& a, const Acceptor& b) { return a.address < b.address; });
  out.acceptors = std::move(acceptors);
  return out;
}

Value opened(const Value& last) {
  Value out = last;
  ++out.number;
  ++out.epoch;
  out.acceptors = last.next;
  out.next.clear();
  return out;
}

std::size_t majority(const Value& initial) { return initial.acceptors.size() / 2 + 1; }

AcceptorState::AcceptorState(market::Disk& disk, std::string address, std::string disk_id, bool first)
    : slots_(disk, "acceptor"), address_(std::move(address)), disk_id_(std::move(disk_id)), first_(first) {}

absl::Status AcceptorState::open() {
  const auto got = slots_.open();
  if (absl::IsNotFound(got.status())) return absl::OkStatus();
  if (!got.ok()) return got.status();
  if (!market::decode(got->state, state_)) return absl::DataLossError("acceptor: slot not read");
  for (const std::string& change : got->changes) {
    if (!market::decode(change, state_)) return absl::DataLossError("acceptor: log not read");
  }
  return absl::OkStatus();
}

absl::Status AcceptorState::store(bool whole) {
  const std::string record = market::encoded(state_);
  const bool as_slot = whole || slots_.log_is_long() || slots_.needs_write();
  return as_slot ? slots_.write(record) : slots_.append(record);
}

bool AcceptorState::named(const Value& initial) const {
  return std::any_of(initial.acceptors.begin(), initial.acceptors.end(), [&](const Acceptor& a) {
    return a.address == address_ && (a.disk == disk_id_ || (a.disk.empty() && first_ && initial.epoch == 1));
  });
}

// Begins a later epoch, where it is one of its acceptors. In memory: what follows stores it.
bool AcceptorState::enter(std::int64_t epoch, const Value& initial) {
  if (epoch != initial.epoch || !named(initial)) return false;
  state_ = {};
  state_.epoch = epoch;
  state_.initial = state_.value = initial;
  return true;
}

absl::StatusOr<Promise> AcceptorState::prepare(const Prepare& ask) {
  Promise out;
  bool entered = false;
  const market::AcceptorRecord before = state_;
  if (ask.epoch > state_.epoch) {
    if (!enter(ask.epoch, ask.initial)) {
      out.verdict = static_cast<std::int64_t>(Verdict::stranger);
      return out;
    }
    entered = true;
  }
  out.epoch = state_.epoch;
  out.initial = state_.initial;
  if (ask.epoch < state_.epoch) {
    out.verdict = static_cast<std::int64_t>(Verdict::moved);
    return out;
  }
  if (!ask.look_only && state_.promised < ask.ballot) {
    state_.promised = ask.ballot;
    if (absl::Status s = store(entered); !s.ok()) {
      state_ = before;
      return s;
    }
  } else if (entered) {
    if (absl::Status s = store(true); !s.ok()) {
      state_ = before;
      return s;
    }
  }
  if (entered && told_) told_(state_.initial);
  out.promised = state_.promised;
  out.accepted = state_.accepted;
  out.value = state_.value;
  const bool yes = ask.look_only || state_.promised == ask.ballot;
  out.verdict = static_cast<std::int64_t>(yes ? Verdict::yes : Verdict::later);
  return out;
}

absl::StatusOr<Accepted> AcceptorState::accept(const Accept& ask) {
  Accepted out;
  out.epoch = state_.epoch;
  out.promised = state_.promised;
  if (ask.epoch != state_.epoch) {
    out.verdict = static_cast<std::int64_t>(ask.epoch < state_.epoch ? Verdict::moved : Verdict::stranger);
    return out;
  }
  if (ask.ballot < state_.promised) {
    out.verdict = static_cast<std::int64_t>(Verdict::later);
    return out;
  }
  const market::AcceptorRecord before = state_;
  state_.promised = state_.accepted = ask.ballot;
  state_.value = ask.value;
  if (absl::Status s = store(false); !s.ok()) {
    state_ = before;
    return s;
  }
  out.verdict = static_cast<std::int64_t>(Verdict::yes);
  return out;
}

struct Register::Round {
  Change change;
  Done done;
  TimePoint until;
  net::Later::Ticket due;
  bool over = false;
  std::int64_t turn = 0;  // answers to an earlier ballot are no answers to this one
  Ballot ballot;
  Value initial;  // of the epoch that it is in
  std::vector<Promise> promises;
  std::size_t yes = 0, no = 0;
  bool deciding = false, look_only = true;
  Value value;  // that is proposed
};

Register::Register(net::Later& later, Voters& voters, std::uint64_t proposer)
    : later_(later), voters_(voters), proposer_(proposer), luck_(proposer) {}

void Register::learn_epoch(const Value& initial) {
  if (initial.epoch > initial_.epoch) initial_ = initial;
}

void Register::learn_chosen(const Value& value, const Value& initial) {
  learn_epoch(initial);
  if (known_ && known_->number >= value.number) return;
  known_ = value;
  if (told_) told_(value);
}

void Register::change(Change change, Span most, Done done) {
  auto round = std::make_shared<Round>();
  round->change = std::move(change);
  round->done = std::move(done);
  round->until = later_.now() + most;
  begin(round);
}

void Register::finish(const std::shared_ptr<Round>& round, absl::StatusOr<Value> result) {
  if (round->over) return;
  round->over = true;
  later_.cancel(round->due);
  round->done(std::move(result));
}

// The first try only looks: where a majority holds one accepted value, that is chosen, and a read is over.
void Register::begin(const std::shared_ptr<Round>& round) {
  if (round->over) return;
  if (initial_.epoch == 0) return finish(round, absl::UnavailableError("no acceptors known yet"));
  if (later_.now() >= round->until) return finish(round, absl::DeadlineExceededError("no majority in time"));
  ++round->turn;
  round->initial = initial_;
  round->promises.clear();
  round->yes = round->no = 0;
  round->deciding = false;
  if (!round->look_only) round->ballot = {++highest_, static_cast<std::int64_t>(proposer_)};
  const std::int64_t turn = round->turn;
  later_.cancel(round->due);
  round->due = later_.at(std::min(round->until, later_.now() + round_most), [this, round] { again(round); });
  const Prepare ask{round->initial.epoch, round->ballot, round->initial, round->look_only};
  for (std::size_t i = 0; i < round->initial.acceptors.size(); ++i) {
    const std::string to = round->initial.acceptors[i].address;
    voters_.prepare(to, ask, [this, round, i, turn](absl::StatusOr<Promise> got) {
      on_promise(round, i, turn, std::move(got));
    });
    if (round->over || round->turn != turn) return;
  }
}

void Register::again(const std::shared_ptr<Round>& round) {
  if (round->over) return;
  ++round->turn;  // what is still on its way is no answer any more
  luck_ = XXH3_64bits(&luck_, sizeof luck_);
  const double part = static_cast<double>(luck_ >> 11U) * 0x1p-53;
  later_.cancel(round->due);
  round->due = later_.after(pause_least + pause_spread * part, [this, round] { begin(round); });
}

void Register::on_promise(const std::shared_ptr<Round>& round, std::size_t, std::int64_t turn,
                          absl::StatusOr<Promise> got) {
  if (round->over || round->turn != turn || round->deciding) return;
  if (got.ok()) {
    highest_ = std::max(highest_, got->promised.round);
    const auto verdict = static_cast<Verdict>(got->verdict);
    if (verdict == Verdict::moved) {
      learn_epoch(got->initial);
      ++round->turn;
      begin(round);
      return;
    }
    if (verdict == Verdict::yes) {
      round->promises.push_back(std::move(*got));
      ++round->yes;
    } else {
      ++round->no;
    }
  } else {
    ++round->no;
  }
  const std::size_t all = round->initial.acceptors.size();
  if (round->yes >= majority(round->initial)) {
    if (!round->look_only) {
      round->deciding = true;
      decide(round);
      return;
    }
    // Only looked: enough where some one ballot's value is at a majority and nothing later is seen.
    const Promise* newest = nullptr;
    std::size_t alike = 0;
    for (const Promise& p : round->promises) {
      if (newest == nullptr || newest->accepted < p.accepted) newest = &p, alike = 0;
    }
    for (const Promise& p : round->promises) alike += p.accepted == newest->accepted ? 1 : 0;
    const bool quiet = alike >= majority(round->initial);
    if (quiet && !sealed(newest->value) && !round->change(newest->value)) {
      const Value value = newest->value;
      learn_chosen(value, round->initial);
      return finish(round, value);
    }
    if (!quiet && round->yes + round->no < all) return;  // another answer may tell
    round->look_only = false;
    begin(round);
    return;
  }
  if (all - round->no < majority(round->initial)) {
    round->look_only = false;
    again(round);
  }
}

void Register::decide(const std::shared_ptr<Round>& round) {
  const Promise* newest = &round->promises.front();
  for (const Promise& p : round->promises) {
    if (newest->accepted < p.accepted) newest = &p;
  }
  const Value current = newest->value;
  if (!sealed(current)) {
    if (std::optional<Value> wanted = round->change(current)) {
      wanted->number = current.number + 1;
      propose(round, std::move(*wanted));
      return;
    }
  }
  // It stands, and has to be chosen before it is told of: what was lost to it must not come back.
  propose(round, current);
}

void Register::propose(const std::shared_ptr<Round>& round, Value value) {
  round->value = std::move(value);
  round->yes = round->no = 0;
  const std::int64_t turn = round->turn;
  const Accept ask{round->initial.epoch, round->ballot, round->value};
  const std::size_t all = round->initial.acceptors.size();
  for (std::size_t i = 0; i < all; ++i) {
    voters_.accept(round->initial.acceptors[i].address, ask,
                   [this, round, turn, all](absl::StatusOr<Accepted> got) {
                     if (round->over || round->turn != turn) return;
                     if (got.ok()) highest_ = std::max(highest_, got->promised.round);
                     const bool yes = got.ok() && static_cast<Verdict>(got->verdict) == Verdict::yes;
                     ++(yes ? round->yes : round->no);
                     if (yes && round->yes == majority(round->initial)) {
                       chosen(round);
                     } else if (all - round->no < majority(round->initial)) {
                       again(round);
                     }
                   });
    if (round->over || round->turn != turn) return;
  }
}

void Register::chosen(const std::shared_ptr<Round>& round) {
  if (sealed(round->value)) {  // the epoch is over: on to the next, which begins with what this one held
    learn_epoch(opened(round->value));
    ++round->turn;
    begin(round);
    return;
  }
  const Value value = round->value;
  learn_chosen(value, round->initial);
  finish(round, value);
}

}  // namespace chutevane::control
