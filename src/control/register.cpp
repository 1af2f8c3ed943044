#include "control/register.hpp"

#include <xxhash.h>

#include <algorithm>

#include "common/invariant.hpp"
#include "common/value_update.hpp"

namespace chutevane::control {
namespace {

using common::Accept;
using common::Accepted;
using common::Prepare;
using common::Promise;

constexpr Span round_most = Span::ms(400);  // for the answers of one round: a way and a sync take some ms
constexpr Span pause_least =
    Span::ms(8);  // before the next ballot after one that met a later one: two rounds
constexpr Span pause_spread = Span::ms(40);  // ... and as much as this more, so that two do not meet again
constexpr int doublings_most = 3;            // of the spread, one for each try that was in vain

}  // namespace

RegisterValue first_value(std::vector<Acceptor> acceptors) {
  RegisterValue out;
  out.epoch = 1;
  std::sort(acceptors.begin(), acceptors.end(),
            [](const Acceptor& a, const Acceptor& b) { return a.address < b.address; });
  out.acceptors = std::move(acceptors);
  return out;
}

RegisterValue opened(const RegisterValue& last) {
  RegisterValue out = last;
  ++out.number;
  ++out.epoch;
  out.acceptors = last.next_acceptors;
  out.next_acceptors.clear();
  return out;
}

std::size_t majority(const RegisterValue& initial) { return initial.acceptors.size() / 2 + 1; }

AcceptorState::AcceptorState(common::Disk& disk, std::string address, std::string disk_id, bool first)
    : slots_(disk, "acceptor"), address_(std::move(address)), disk_id_(std::move(disk_id)), first_(first) {}

absl::Status AcceptorState::open() {
  const auto got = slots_.recover();
  if (absl::IsNotFound(got.status())) return absl::OkStatus();
  if (!got.ok()) return got.status();
  if (!common::decode(got->checkpoint, state_)) return absl::DataLossError("acceptor: slot not read");
  for (const std::string& change : got->changes) {
    if (!common::decode(change, state_)) return absl::DataLossError("acceptor: log not read");
  }
  return absl::OkStatus();
}

absl::Status AcceptorState::store(bool whole) {
  common::check_invariant(common::Invariant::accepted_not_above_promised,
                          !(state_.promised < state_.accepted), [&] {
                            return "promised round " + std::to_string(state_.promised.round) + ", accepted " +
                                   std::to_string(state_.accepted.round);
                          });
  const std::string record = common::encoded(state_);
  const bool as_slot = whole || slots_.is_log_full() || slots_.needs_checkpoint();
  return as_slot ? slots_.write_checkpoint(record) : slots_.append_change(record);
}

bool AcceptorState::named(const RegisterValue& initial) const {
  return std::any_of(initial.acceptors.begin(), initial.acceptors.end(), [&](const Acceptor& a) {
    return a.address == address_ && (a.disk == disk_id_ || (a.disk.empty() && first_ && initial.epoch == 1));
  });
}

// Begins a later epoch, where it is one of its acceptors. In memory: what follows stores it.
bool AcceptorState::enter(std::int64_t epoch, const RegisterValue& initial) {
  if (epoch != initial.epoch || !named(initial)) return false;
  state_ = {};
  state_.epoch = epoch;
  state_.initial = state_.value = initial;
  return true;
}

absl::StatusOr<Promise> AcceptorState::prepare(const Prepare& ask) {
  Promise out;
  bool entered = false;
  const common::AcceptorRecord before = state_;
  if (ask.epoch > state_.epoch) {
    if (!enter(ask.epoch, ask.initial)) {
      out.verdict = static_cast<std::int64_t>(Verdict::stranger);
      return out;
    }
    entered = true;
  }
  out.epoch = state_.epoch;
  if (ask.epoch < state_.epoch) {
    out.initial = state_.initial;
    out.verdict = static_cast<std::int64_t>(Verdict::moved);
    return out;
  }
  if (!ask.read_only && state_.promised < ask.ballot) {
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
  const bool yes = ask.read_only || state_.promised == ask.ballot;
  out.verdict = static_cast<std::int64_t>(yes ? Verdict::yes : Verdict::later);
  out.value_known = ask.known_ballot.round > 0 && ask.known_ballot == state_.accepted;
  if (yes && !out.value_known) out.value = state_.value;
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
  out.verdict = static_cast<std::int64_t>(Verdict::yes);
  if (ask.ballot.round > 0 && ask.ballot == state_.accepted) return out;  // a repeat: it is on disk
  absl::StatusOr<RegisterValue> value = ask.value;
  if (common::is_difference(ask.difference))
    value = common::apply_value_difference(ask.difference, common::encoded(state_.value));
  if (!value.ok()) {
    out.verdict = static_cast<std::int64_t>(Verdict::whole);
    return out;
  }
  const common::AcceptorRecord before = state_;
  state_.promised = state_.accepted = ask.ballot;
  state_.value = *std::move(value);
  if (absl::Status s = store(false); !s.ok()) {
    state_ = before;
    return s;
  }
  return out;
}

struct Register::Round {
  Change change;
  Done done;
  TimePoint until;
  net::TimerQueue::Handle due;
  bool over = false;
  int in_vain = 0;        // tries that met a later ballot or no majority
  std::int64_t turn = 0;  // answers to an earlier ballot are no answers to this one
  Ballot ballot;
  RegisterValue initial;                       // of the epoch that it is in
  std::shared_ptr<const AcceptedValue> known;  // of this epoch: promises may leave its value out
  std::vector<Promise> promises;
  std::size_t yes = 0, no = 0;
  bool deciding = false, look_only = true;
  RegisterValue value;                 // that is proposed
  common::ValueDifference difference;  // from what was found; none: it would not be shorter
};

Register::Register(net::TimerQueue& later, Voters& voters, std::uint64_t proposer)
    : timers_(later), voters_(voters), proposer_(proposer), random_(proposer) {}

void Register::learn_epoch(const RegisterValue& initial) {
  if (initial.epoch <= initial_.epoch) return;
  initial_ = initial;
  accepted_.reset();
  entered_.clear();
}

void Register::learn_accepted(std::int64_t epoch, const Ballot& ballot, const RegisterValue& value) {
  if (epoch != initial_.epoch || (accepted_ && !(accepted_->ballot < ballot))) return;
  accepted_ = std::make_shared<const AcceptedValue>(AcceptedValue{epoch, ballot, value});
}

const RegisterValue& Register::value_of(const Round& round, const Promise& promise) {
  return promise.value_known ? round.known->value : promise.value;
}

void Register::learn_chosen(const RegisterValue& value, const RegisterValue& initial) {
  learn_epoch(initial);
  common::check_invariant(
      common::Invariant::one_value_under_a_number,
      !known_ || known_->number != value.number ||
          (known_->config_version == value.config_version && known_->map_version == value.map_version),
      [&] {
        return "number " + std::to_string(value.number) + ": version " +
               std::to_string(value.config_version) + " and " + std::to_string(known_->config_version) +
               ", map " + std::to_string(value.map_version) + " and " + std::to_string(known_->map_version);
      });
  if (known_ && known_->number >= value.number) return;
  known_ = value;
  if (told_) told_(value);
}

void Register::change(Change change, Span most, Done done) {
  auto round = std::make_shared<Round>();
  round->change = std::move(change);
  round->done = std::move(done);
  round->until = timers_.now() + most;
  begin(round);
}

void Register::finish(const std::shared_ptr<Round>& round, absl::StatusOr<RegisterValue> result) {
  if (round->over) return;
  round->over = true;
  timers_.cancel(round->due);
  const bool proposed = proposing_ == round;
  round->done(std::move(result));
  if (proposed) let_next_propose();
}

// False: it waits until it may, or until its time is over.
bool Register::may_propose(const std::shared_ptr<Round>& round) {
  if (!proposing_) proposing_ = round;
  if (proposing_ == round) return true;
  ++round->turn;
  timers_.cancel(round->due);
  round->due = timers_.at(round->until, [this, round] {
    std::erase(waiting_, round);
    finish(round, absl::DeadlineExceededError("others were before it"));
  });
  waiting_.push_back(round);
  return false;
}

void Register::let_next_propose() {
  proposing_.reset();
  if (waiting_.empty()) return;
  const std::shared_ptr<Round> next = waiting_.front();
  waiting_.pop_front();
  proposing_ = next;
  next->look_only = true;  // what it waited for may be all that it wants
  begin(next);
}

// The first try only looks: where a majority holds one accepted value, that is chosen, and a read is over.
void Register::begin(const std::shared_ptr<Round>& round) {
  if (round->over) return;
  if (initial_.epoch == 0) return finish(round, absl::UnavailableError("no acceptors known yet"));
  if (timers_.now() >= round->until) return finish(round, absl::DeadlineExceededError("no majority in time"));
  if (!round->look_only && !may_propose(round)) return;
  ++round->turn;
  round->initial = initial_;
  round->promises.clear();
  round->yes = round->no = 0;
  round->deciding = false;
  if (!round->look_only) round->ballot = {++highest_, static_cast<std::int64_t>(proposer_)};
  const std::int64_t turn = round->turn;
  timers_.cancel(round->due);
  round->due =
      timers_.at(std::min(round->until, timers_.now() + round_most), [this, round] { again(round); });
  round->known = accepted_;
  Prepare ask{round->initial.epoch, round->ballot, {}, round->look_only, {}};
  if (round->known) ask.known_ballot = round->known->ballot;
  for (std::size_t i = 0; i < round->initial.acceptors.size(); ++i) {
    const std::string to = round->initial.acceptors[i].address;
    ask.initial = entered_.contains(to) ? RegisterValue{} : round->initial;
    voters_.prepare(to, ask, [this, round, i, turn](absl::StatusOr<Promise> got) {
      on_promise(round, i, turn, std::move(got));
    });
    if (round->over || round->turn != turn) return;
  }
}

void Register::again(const std::shared_ptr<Round>& round) {
  if (round->over) return;
  ++round->turn;  // what is still on its way is no answer any more
  random_ = XXH3_64bits(&random_, sizeof random_);
  const double part = static_cast<double>(random_ >> 11U) * 0x1p-53;
  timers_.cancel(round->due);
  const double spread = static_cast<double>(1 << std::min(round->in_vain++, doublings_most));
  const TimePoint next = timers_.now() + pause_least + pause_spread * spread * part;
  round->due = timers_.at(std::min(round->until, next), [this, round] { begin(round); });
}

void Register::on_promise(const std::shared_ptr<Round>& round, std::size_t from, std::int64_t turn,
                          absl::StatusOr<Promise> got) {
  if (round->over || round->turn != turn || round->deciding) return;
  if (got.ok()) {
    highest_ = std::max(highest_, got->promised.round);
    auto verdict = static_cast<Verdict>(got->verdict);
    note_entered(round->initial, from, *got);
    // Not asked for: an answer to another question.
    if (got->value_known && (!round->known || round->known->ballot != got->accepted))
      verdict = Verdict::stranger;
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
    const RegisterValue& seen = value_of(*round, *newest);
    if (quiet) learn_accepted(round->initial.epoch, newest->accepted, seen);
    if (quiet && !sealed(seen) && !round->change(seen)) {
      const RegisterValue value = seen;
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

// An acceptor that has answered in an epoch has its first value on disk: it need not be sent again.
void Register::note_entered(const RegisterValue& initial, std::size_t from, const Promise& got) {
  const std::string& address = initial.acceptors[from].address;
  if (initial.epoch != initial_.epoch) return;
  if (got.epoch == initial.epoch && static_cast<Verdict>(got.verdict) != Verdict::stranger) {
    entered_.insert(address);
  } else {
    entered_.erase(address);
  }
}

void Register::decide(const std::shared_ptr<Round>& round) {
  const Promise* newest = &round->promises.front();
  for (const Promise& p : round->promises) {
    if (newest->accepted < p.accepted) newest = &p;
  }
  const RegisterValue current = value_of(*round, *newest);
  learn_accepted(round->initial.epoch, newest->accepted, current);
  if (!sealed(current)) {
    if (std::optional<RegisterValue> wanted = round->change(current)) {
      wanted->number = current.number + 1;
      propose(round, current, std::move(*wanted));
      return;
    }
  }
  // It stands, and has to be chosen before it is told of: what was lost to it must not come back.
  propose(round, current, current);
}

void Register::propose(const std::shared_ptr<Round>& round, const RegisterValue& found, RegisterValue value) {
  round->value = std::move(value);
  round->yes = round->no = 0;
  const std::string record = common::encoded(round->value);
  round->difference = common::value_difference(found.number, common::encoded(found), record);
  if (round->difference.content.data.size() > record.size() / 2) round->difference = {};
  const std::int64_t turn = round->turn;
  for (std::size_t i = 0; i < round->initial.acceptors.size(); ++i) {
    ask_accept(round, i, turn, !common::is_difference(round->difference));
    if (round->over || round->turn != turn) return;
  }
}

void Register::ask_accept(const std::shared_ptr<Round>& round, std::size_t to, std::int64_t turn,
                          bool whole) {
  Accept ask{round->initial.epoch, round->ballot, {}, {}};
  if (whole) {
    ask.value = round->value;
  } else {
    ask.difference = round->difference;
  }
  voters_.accept(round->initial.acceptors[to].address, ask,
                 [this, round, to, turn, whole](absl::StatusOr<Accepted> got) {
                   if (round->over || round->turn != turn) return;
                   if (got.ok()) highest_ = std::max(highest_, got->promised.round);
                   const auto verdict = got.ok() ? static_cast<Verdict>(got->verdict) : Verdict::later;
                   if (verdict == Verdict::whole && !whole) return ask_accept(round, to, turn, true);
                   const bool yes = verdict == Verdict::yes;
                   ++(yes ? round->yes : round->no);
                   if (yes && round->yes == majority(round->initial)) {
                     chosen(round);
                   } else if (round->initial.acceptors.size() - round->no < majority(round->initial)) {
                     again(round);
                   }
                 });
}

void Register::chosen(const std::shared_ptr<Round>& round) {
  if (sealed(round->value)) {  // the epoch is over: on to the next, which begins with what this one held
    learn_epoch(opened(round->value));
    ++round->turn;
    begin(round);
    return;
  }
  const RegisterValue value = round->value;
  learn_accepted(round->initial.epoch, round->ballot, value);
  learn_chosen(value, round->initial);
  finish(round, value);
}

}  // namespace chutevane::control
