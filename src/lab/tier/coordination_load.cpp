#include "lab/tier/coordination_load.hpp"

#include <algorithm>
#include <utility>

namespace chutevane::lab::tier {
namespace {

using Kind = CoordinationKind;
using Outcome = CoordinationOutcome;

constexpr Span mean_pause = Span::ms(420);      // of a caller between two calls
constexpr Span repeat_pause = Span::ms(60);     // before the same call is sent to another controller
constexpr Span repeats_limit = Span::ms(5000);  // for which a put without a clear answer is sent again
constexpr Span watch_wait = Span::ms(1000);
constexpr Span long_sleep = Span::ms(3000);        // of a watcher, at most, before it resumes
constexpr Span final_pause = Span::ms(100);        // between the repeats of a final call
constexpr Span final_limit = Span::ms(3000);       // for which each is repeated
constexpr Span final_lock_limit = Span::ms(8000);  // as much, once the last hold has ended
constexpr std::size_t lock_callers = 4, election_callers = 3, number_callers = 2, put_callers = 3,
                      read_callers = 2;
constexpr std::size_t locks_of_a_set = 3, numbers_of_a_set = 2, groups_of_a_set = 2, keys_of_a_group = 4;

/// How a caller holds its locks.
struct HoldHabits {
  Span least, spread;  // of a hold
  std::size_t renewals_least = 0, renewals_spread = 1;
  double dies = 0, oversleeps = 0;  // parts of its holds
};
constexpr HoldHabits brief_holds{Span::ms(300), Span::ms(1200), 0, 3, 0.1, 0.15};
constexpr HoldHabits long_holds{Span::ms(1500), Span::ms(500), 4, 8, 0.2, 0.1};

}  // namespace

// ---- Callers

class CoordinationLoad::Caller {
 public:
  Caller(CoordinationLoad& load, std::string name)
      : shared_(load.shared_),
        chance_(load.spec_.seed, name),
        name_(std::move(name)),
        mean_pause_(mean_pause * (1 / load.spec_.pace)),
        client_(
            shared_, chance_.below(shared_.controllers.size()),
            chance_.one_in(0.5) ? ControllerChoice::stays_until_gone : ControllerChoice::leaves_on_refusal) {}
  virtual ~Caller() { shared_.timers.cancel(next_); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void begin() { after(pause()); }
  /// Only a call that is under way is still waited for.
  void stop() {
    is_stopped_ = true;
    shared_.timers.cancel(next_);
  }
  bool is_idle() const { return is_stopped_ && !client_.is_calling(); }

 protected:
  virtual void step() = 0;

  Span pause() { return mean_pause_ * (2 * chance_.unit()); }
  TimePoint now() const { return shared_.timers.now(); }
  void after(Span span) {
    after(span, [this] { step(); });
  }
  void after(Span span, std::function<void()> what) {
    if (!is_stopped_) next_ = shared_.timers.after(span, std::move(what));
  }
  template <class Names>
  const std::string& one_of(const Names& names) {
    return names[chance_.below(names.size())];
  }

  CoordinationClient::Shared& shared_;
  Chance chance_;
  const std::string name_;
  const Span mean_pause_;
  CoordinationClient client_;

 private:
  net::TimerQueue::Handle next_;
  bool is_stopped_ = false;
};

/// Takes locks, renews them, gives them back, dies with them (and comes again under its name) or sleeps
/// beyond its time.
class CoordinationLoad::LockCaller final : public Caller {
 public:
  LockCaller(CoordinationLoad& load, std::string name, const std::vector<std::string>& locks,
             const HoldHabits& habits)
      : Caller(load, std::move(name)), locks_(locks), habits_(habits) {}

 private:
  void step() override {
    call_ = {};
    call_.kind = Kind::acquire_lock;
    call_.name = one_of(locks_);
    call_.holder = name_;
    call_.hold = habits_.least + habits_.spread * chance_.unit();
    renewals_left_ = habits_.renewals_least + chance_.below(habits_.renewals_spread);
    take();
  }
  void take() {
    client_.call(call_, [this](const CoordinationAnswer& answer) {
      if (answer.outcome == Outcome::unclear) return after(repeat_pause, [this] { take(); });
      if (answer.outcome != Outcome::done) return after(pause());
      call_.fence = answer.number;
      hold();
    });
  }
  bool is_holding() const {
    const auto until = shared_.auditor.holds_until(call_.name, name_);
    return until && *until > now();
  }
  void hold() {
    if (!is_holding()) return after(pause());
    const double habit = chance_.unit();
    if (habit < habits_.dies) return after(call_.hold * chance_.unit());
    if (habit < habits_.dies + habits_.oversleeps) {
      const bool renews = chance_.one_in(0.5);
      return after(call_.hold * (1 + chance_.unit()), [=, this] { renews ? renew() : release(); });
    }
    if (renewals_left_ == 0) return after(call_.hold * (0.7 * chance_.unit()), [this] { release(); });
    --renewals_left_;
    after(call_.hold * (0.2 + 0.3 * chance_.unit()), [this] { renew(); });
  }
  void renew() {
    call_.kind = Kind::renew_lock;
    client_.call(call_, [this](const CoordinationAnswer& answer) {
      if (answer.outcome == Outcome::done) return hold();
      const bool is_lost = answer.outcome == Outcome::held_by_other || !is_holding();
      if (is_lost) return after(pause());
      after(repeat_pause, [this] { renew(); });
    });
  }
  void release() {
    call_.kind = Kind::release_lock;
    client_.call(call_, [this](const CoordinationAnswer&) { after(pause()); });
  }

  const std::vector<std::string> locks_;
  const HoldHabits habits_;
  CoordinationCall call_;
  std::size_t renewals_left_ = 0;
};

class CoordinationLoad::NumberCaller final : public Caller {
 public:
  NumberCaller(CoordinationLoad& load, std::string name, const std::vector<std::string>& numbers)
      : Caller(load, std::move(name)), numbers_(numbers) {}

 private:
  void step() override {
    CoordinationCall call;
    call.kind = Kind::next_number;
    call.name = one_of(numbers_);
    client_.call(call, [this](const CoordinationAnswer&) { after(pause()); });
  }
  const std::vector<std::string> numbers_;
};

/// Puts values of its own, half of them on top of the revision that it knows; what got no clear answer, and
/// now and then what got one, is put again.
class CoordinationLoad::PutCaller final : public Caller {
 public:
  PutCaller(CoordinationLoad& load, std::string name, const std::vector<std::string>& keys)
      : Caller(load, std::move(name)), keys_(keys) {}

 private:
  static constexpr double conditional_part = 0.5, put_again_part = 0.15;

  void step() override {
    call_ = {};
    call_.kind = Kind::put_key;
    call_.name = one_of(keys_);
    call_.value = name_ + "-" + std::to_string(++puts_);
    if (chance_.one_in(conditional_part)) call_.applies_to = known_[call_.name];
    first_sent_at_ = now();
    is_to_put_again_ = chance_.one_in(put_again_part);
    put();
  }
  void put() {
    client_.call(call_, [this](const CoordinationAnswer& answer) {
      const bool is_clear = answer.outcome == Outcome::done || answer.outcome == Outcome::revision_mismatch;
      if (is_clear) known_[call_.name] = std::max(known_[call_.name], answer.number);
      const bool is_repeated = !is_clear && now() - first_sent_at_ < repeats_limit;
      if (is_repeated) return after(repeat_pause, [this] { put(); });
      if (answer.outcome == Outcome::done && std::exchange(is_to_put_again_, false))
        return after(pause(), [this] { put(); });
      after(pause());
    });
  }

  const std::vector<std::string> keys_;
  std::map<std::string, std::int64_t> known_;  // revisions, by key
  CoordinationCall call_;
  TimePoint first_sent_at_;
  std::size_t puts_ = 0;
  bool is_to_put_again_ = false;
};

class CoordinationLoad::ReadCaller final : public Caller {
 public:
  ReadCaller(CoordinationLoad& load, std::string name, const std::vector<std::string>& keys)
      : Caller(load, std::move(name)), keys_(keys) {}

 private:
  void step() override {
    CoordinationCall call;
    call.kind = Kind::get_key;
    call.name = one_of(keys_);
    client_.call(call, [this](const CoordinationAnswer&) { after(pause()); });
  }
  const std::vector<std::string> keys_;
};

/// Watches a group from its present revision on; sleeps now and then before it resumes.
class CoordinationLoad::WatchCaller final : public Caller {
 public:
  WatchCaller(CoordinationLoad& load, std::string name, std::string group) : Caller(load, std::move(name)) {
    call_.kind = Kind::watch;
    call_.name = std::move(group);
  }
  /// From where it would go on.
  const CoordinationCall& resumption() const { return call_; }

 private:
  static constexpr double sleeping_part = 0.05;

  void step() override {
    call_.wait = call_.after == 0 ? Span() : watch_wait;
    client_.call(call_, [this](const CoordinationAnswer& answer) {
      if (answer.outcome == Outcome::history_gone) call_.after = 0;
      if (answer.outcome != Outcome::done) return after(repeat_pause);
      call_.after = answer.number;
      call_.after_received_at = now();
      if (call_.after == 0) return after(pause());  // the group has no put yet
      after(chance_.one_in(sleeping_part) ? long_sleep * chance_.unit() : Span());
    });
  }
  CoordinationCall call_;
};

/// One call at the end, repeated until its answer is clear and, for a watch, has reached what was
/// acknowledged.
class CoordinationLoad::FinalCall {
 public:
  FinalCall(CoordinationLoad& load, CoordinationCall call, std::size_t controller, ControllerChoice choice,
            Span limit)
      : shared_(load.shared_),
        client_(shared_, controller, choice),
        call_(std::move(call)),
        limit_(limit),
        target_(shared_.auditor.acknowledged_revision(call_.name)) {
    call_.at_end = true;
  }
  ~FinalCall() { shared_.timers.cancel(next_); }
  FinalCall(const FinalCall&) = delete;
  FinalCall& operator=(const FinalCall&) = delete;

  void begin(std::function<void()> done) {
    done_ = std::move(done);
    until_ = shared_.timers.now() + limit_;
    send();
  }

 private:
  void send() {
    client_.call(call_, [this](const CoordinationAnswer& answer) {
      if (is_answer(answer)) return done_();
      if (shared_.timers.now() >= until_) {
        shared_.auditor.unanswered_at_end(call_);
        return done_();
      }
      next_ = shared_.timers.after(final_pause, [this] { send(); });
    });
  }
  bool is_answer(const CoordinationAnswer& answer) {
    // A read of what was never put, and a watch from a revision that is too old: both are judged by the
    // auditor.
    const bool is_clear_refusal =
        answer.outcome == Outcome::not_found || answer.outcome == Outcome::history_gone;
    if (is_clear_refusal) return true;
    if (answer.outcome != Outcome::done) return false;
    if (call_.kind != Kind::watch) return true;
    call_.after = answer.number;
    call_.after_received_at = shared_.timers.now();
    return answer.number >= target_;
  }

  CoordinationClient::Shared& shared_;
  CoordinationClient client_;
  CoordinationCall call_;
  const Span limit_;
  const std::int64_t target_;  // of a watch: the group's acknowledged revision
  TimePoint until_;
  std::function<void()> done_;
  net::TimerQueue::Handle next_;
};

// ---- The whole

CoordinationLoad::CoordinationLoad(HttpConnector& connector, net::TimerQueue& timers,
                                   std::vector<sockaddr_in> controllers, const Spec& spec)
    : shared_{connector, timers, std::move(controllers), CoordinationAuditor(spec.history), {}}, spec_(spec) {
  for (std::size_t set = 0; set < spec.sets; ++set) {
    Names& names = names_.emplace_back();
    const std::string suffix = std::to_string(set + 1);
    for (std::size_t i = 1; i <= locks_of_a_set; ++i)
      names.locks.push_back("l" + suffix + "-" + std::to_string(i));
    names.elections.push_back("e" + suffix);
    for (std::size_t i = 1; i <= numbers_of_a_set; ++i)
      names.numbers.push_back("n" + suffix + "-" + std::to_string(i));
    for (std::size_t i = 1; i <= groups_of_a_set; ++i) {
      const std::string& group = names.groups.emplace_back("g" + suffix + "-" + std::to_string(i) + ".");
      for (std::size_t key = 1; key <= keys_of_a_group; ++key)
        names.keys.push_back(group + "k" + std::to_string(key));
    }
    add_callers(names, set);
  }
}

CoordinationLoad::~CoordinationLoad() = default;

template <class Kind, class... Arguments>
Kind& CoordinationLoad::add(Arguments&&... arguments) {
  auto caller = std::make_unique<Kind>(*this, std::forward<Arguments>(arguments)...);
  Kind& out = *caller;
  callers_.push_back(std::move(caller));
  return out;
}

void CoordinationLoad::add_callers(const Names& names, std::size_t set) {
  const auto name = [set](const char* kind, std::size_t number) {
    return std::string(kind) + std::to_string(set + 1) + "." + std::to_string(number + 1);
  };
  for (std::size_t i = 0; i < lock_callers; ++i) add<LockCaller>(name("holder", i), names.locks, brief_holds);
  for (std::size_t i = 0; i < election_callers; ++i)
    add<LockCaller>(name("candidate", i), names.elections, long_holds);
  for (std::size_t i = 0; i < number_callers; ++i) add<NumberCaller>(name("number", i), names.numbers);
  for (std::size_t i = 0; i < put_callers; ++i) add<PutCaller>(name("put", i), names.keys);
  for (std::size_t i = 0; i < read_callers; ++i) add<ReadCaller>(name("read", i), names.keys);
  for (std::size_t i = 0; i < names.groups.size(); ++i)
    watchers_.push_back(&add<WatchCaller>(name("watch", i), names.groups[i]));
}

void CoordinationLoad::begin() {
  for (const auto& caller : callers_) caller->begin();
}

void CoordinationLoad::stop() {
  for (const auto& caller : callers_) caller->stop();
}

bool CoordinationLoad::is_idle() const {
  return std::all_of(callers_.begin(), callers_.end(), [](const auto& caller) { return caller->is_idle(); });
}

void CoordinationLoad::add_final_call(CoordinationCall call, std::size_t controller, ControllerChoice choice,
                                      Span limit) {
  final_calls_.push_back(std::make_unique<FinalCall>(*this, std::move(call), controller, choice, limit));
}

void CoordinationLoad::add_final_calls() {
  const auto at_each_controller = [this](Kind kind, const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      for (std::size_t i = 0; i < shared_.controllers.size(); ++i) {
        CoordinationCall call;
        call.kind = kind;
        call.name = name;
        add_final_call(call, i, ControllerChoice::fixed, final_limit);
      }
    }
  };
  const auto take = [this](const std::vector<std::string>& locks) {
    for (const std::string& name : locks) {
      CoordinationCall call;
      call.kind = Kind::acquire_lock;
      call.name = name;
      call.holder = "last";
      call.hold = brief_holds.least;
      add_final_call(call, 0, ControllerChoice::leaves_on_refusal, final_lock_limit);
    }
  };
  for (const Names& names : names_) {
    at_each_controller(Kind::get_key, names.keys);
    at_each_controller(Kind::next_number, names.numbers);
    take(names.locks);
    take(names.elections);
  }
}

void CoordinationLoad::add_final_watches() {
  for (const WatchCaller* const watcher : watchers_) {
    CoordinationCall call = watcher->resumption();
    call.wait = call.after == 0 ? Span() : watch_wait;
    for (std::size_t i = 0; i < shared_.controllers.size(); ++i)
      add_final_call(call, i, ControllerChoice::fixed, final_limit);
  }
}

void CoordinationLoad::read_back(const std::function<void()>& done) {
  add_final_calls();
  add_final_watches();
  if (final_calls_.empty()) return done();
  const auto left = std::make_shared<std::size_t>(final_calls_.size());
  for (const auto& call : final_calls_) {
    call->begin([left, done] {
      if (--*left == 0) done();
    });
  }
}

}  // namespace chutevane::lab::tier
