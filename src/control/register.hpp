// The register of control state: a value that is changed in two rounds at a majority of its acceptors, with
// the value that the change expects. No log, no leader.
//
// Acceptors are named by address and disk. A set of them serves one epoch: to change the set, the epoch's
// value is sealed with the next set, chosen like any other value and the last of its epoch; the next epoch
// begins with what it held. An acceptor whose disk is gone has another disk, is in no set, and votes for
// nothing until a later epoch names it: nothing has to be trusted of what it may have promised.
// docs/register.md weighs this against the other ways.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "absl/status/statusor.h"
#include "common/disk.hpp"
#include "common/messages.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control {

using common::Acceptor;
using common::Ballot;
using common::RegisterValue;

// The first epoch's value: alike at all who know the same acceptors.
RegisterValue first_value(std::vector<Acceptor> acceptors);
// What the next epoch begins with.
RegisterValue opened(const RegisterValue& sealed);
inline bool sealed(const RegisterValue& value) { return !value.next_acceptors.empty(); }
std::size_t majority(const RegisterValue& initial);
inline bool names(const std::vector<Acceptor>& set, const std::string& address) {
  return std::any_of(set.begin(), set.end(), [&](const Acceptor& a) { return a.address == address; });
}

// What an acceptor answers.
enum class Verdict : std::int64_t {
  yes,       // promised, or accepted
  later,     // it has promised a later ballot
  moved,     // it is in a later epoch: its initial value comes with the answer
  stranger,  // it is no acceptor of that epoch
  whole,     // it has another value than the one that the difference rests on: to be sent whole
};

// Keeps what it promised and accepted on disk before it says so.
//
// Where the disk fails, the request that met it is not answered, and the state in memory stays what was last
// on disk: that is told to those who only look. Nothing is promised or accepted until a whole state has been
// written again, with the next request or by write_again().
class AcceptorState {
 public:
  AcceptorState(common::Disk& disk, std::string address, std::string disk_id, bool first);
  // Reads its disk. An error: this process cannot vote.
  absl::Status open();
  // Called with the first value of each epoch that it enters, once that is on disk. A new member of the set
  // may be the only one left that knows of the epoch: who proposes from its sidecar has to hear of it.
  void on_entered(std::function<void(const RegisterValue& initial)> told) { told_ = std::move(told); }

  // Errors are the disk's: nothing may be answered then.
  absl::StatusOr<common::Promise> prepare(const common::Prepare& ask);
  absl::StatusOr<common::Accepted> accept(const common::Accept& ask);

  // The disk has refused a state and has taken none since.
  bool disk_failing() const { return slots_.needs_checkpoint(); }
  // Tries again, with the state as it is.
  absl::Status write_again() { return store(true); }

  std::int64_t epoch() const { return state_.epoch; }
  bool voting() const { return state_.epoch > 0; }
  std::int64_t accepted_number() const { return state_.value.number; }
  const Ballot& accepted() const { return state_.accepted; }
  const RegisterValue& value() const { return state_.value; }  // under accepted()
  const RegisterValue& initial() const { return state_.initial; }

 private:
  bool named(const RegisterValue& initial) const;
  bool enter(std::int64_t epoch, const RegisterValue& initial);
  absl::Status store(bool whole);
  common::DurableState slots_;
  const std::string address_, disk_id_;
  const bool first_;  // its disk was new when the whole system was: it is the one that the first set names
  common::AcceptorRecord state_;
  std::function<void(const RegisterValue&)> told_;
};

// The way to the acceptors, by address. Answers may come at once, later or never.
class Voters {
 public:
  virtual void prepare(const std::string& address, const common::Prepare& ask,
                       std::function<void(absl::StatusOr<common::Promise>)> answered) = 0;
  virtual void accept(const std::string& address, const common::Accept& ask,
                      std::function<void(absl::StatusOr<common::Accepted>)> answered) = 0;

 protected:
  ~Voters() = default;
};

// Reads and changes the register from one sidecar.
class Register {
 public:
  // What a change makes of the chosen value: another value to be chosen, or nothing, where that one stands.
  using Change = std::function<std::optional<RegisterValue>(const RegisterValue& current)>;
  // The value that is chosen after it, or why that is not known: the change may be chosen all the same, or
  // never.
  using Done = std::function<void(absl::StatusOr<RegisterValue>)>;

  Register(net::TimerQueue& later, Voters& voters, std::uint64_t proposer);

  // The newest epoch that is known; older ones are no news.
  void learn_epoch(const RegisterValue& initial);
  const RegisterValue& initial() const { return initial_; }
  // Calls `chosen` with each value that this one knows to be chosen, numbers rising.
  void on_chosen(std::function<void(const RegisterValue&)> told) { told_ = std::move(told); }
  void learn_chosen(const RegisterValue& value, const RegisterValue& initial);
  // The value that was accepted under that ballot of that epoch: acceptors need not send it.
  void learn_accepted(std::int64_t epoch, const Ballot& ballot, const RegisterValue& value);
  const std::optional<RegisterValue>& known() const { return known_; }
  // Whether the machine at that address may go with its disk: a majority of a set without it has the value.
  bool released(const std::string& address) const {
    return known_ && known_->epoch == initial_.epoch && !names(known_->acceptors, address);
  }
  // Under which the known value was accepted, in initial()'s epoch; round 0 where that is not known.
  Ballot known_ballot() const {
    return accepted_ && known_ && accepted_->value.number == known_->number ? accepted_->ballot : Ballot{};
  }

  void change(Change change, Span most, Done done);
  // The chosen value as of now.
  void read(Span most, Done done) {
    change([](const RegisterValue&) { return std::nullopt; }, most, std::move(done));
  }

 private:
  struct Round;
  // A value under the ballot that names it: a ballot has one proposer, and that proposes one value under it.
  struct AcceptedValue {
    std::int64_t epoch = 0;
    Ballot ballot;
    RegisterValue value;
  };
  static const RegisterValue& value_of(const Round& round, const common::Promise& promise);
  void begin(const std::shared_ptr<Round>& round);
  void on_promise(const std::shared_ptr<Round>& round, std::size_t from, std::int64_t turn,
                  absl::StatusOr<common::Promise> got);
  void note_entered(const RegisterValue& initial, std::size_t from, const common::Promise& got);
  void decide(const std::shared_ptr<Round>& round);
  // `found`: what the round has found accepted, so what most of its acceptors have.
  void propose(const std::shared_ptr<Round>& round, const RegisterValue& found, RegisterValue value);
  void ask_accept(const std::shared_ptr<Round>& round, std::size_t to, std::int64_t turn, bool whole);
  void chosen(const std::shared_ptr<Round>& round);
  void again(const std::shared_ptr<Round>& round);
  bool may_propose(const std::shared_ptr<Round>& round);
  void let_next_propose();
  void finish(const std::shared_ptr<Round>& round, absl::StatusOr<RegisterValue> result);

  net::TimerQueue& timers_;
  Voters& voters_;
  const std::uint64_t proposer_;
  std::uint64_t random_;
  std::int64_t highest_ = 0;  // round that was met
  RegisterValue initial_;
  std::shared_ptr<const AcceptedValue> accepted_;  // the newest that was seen, proposed or told of
  std::set<std::string> entered_;  // addresses of acceptors that have answered in initial_'s epoch
  std::optional<RegisterValue> known_;
  std::function<void(const RegisterValue&)> told_;
  // One round of this process proposes at a time, or they would outbid one another; the others wait, the
  // oldest first. Looks do not wait.
  std::shared_ptr<Round> proposing_;
  std::deque<std::shared_ptr<Round>> waiting_;
};

}  // namespace chutevane::control
