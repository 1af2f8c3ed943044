#include "tier_simulation/coordination_clients.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

#include "tier_simulation/coordination_calls.hpp"
#include "tier_simulation/random.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr Span max_put_duration = Span::ms(4000);  // for so long a put is sent again
constexpr Span retry_pause = Span::ms(100);
constexpr Span final_retry_pause = Span::ms(50);

std::string group_name(std::size_t group) {
  std::string out = "g";
  return out.append(std::to_string(group)).append(".");
}

std::string key_name(std::size_t group, std::size_t key) { return group_name(group) + std::to_string(key); }

std::vector<std::string> numbered(const std::string& prefix, std::size_t count) {
  std::vector<std::string> out;
  for (std::size_t i = 0; i < count; ++i) out.push_back(prefix + std::to_string(i));
  return out;
}

/// Takes locks again and again, for a short hold or for one that it renews. Some holds end by its death, and
/// in some it sleeps beyond its time and then goes on as if it had not.
class LockCaller : public CoordinationClient {
 public:
  LockCaller(CoordinationContext& context, std::string name, std::vector<std::string> locks, Span hold,
             bool renews, std::uint64_t seed)
      : CoordinationClient(context, std::move(name), seed),
        locks_(std::move(locks)),
        hold_(hold),
        renews_(renews) {}
  void begin() override { schedule_next(draw_pause()); }

 private:
  static constexpr double death_probability = 0.1;
  static constexpr double sleep_probability = 0.1;
  static constexpr double late_release_probability = 0.1;
  static constexpr std::size_t max_renewals = 8;
  static constexpr std::size_t max_releases = 3;

  void schedule_next(Span pause) {
    run_after(pause, [this] { acquire(); });
  }
  void acquire();
  void on_granted(std::int64_t fence);
  void sleep_beyond_hold();
  void renew();
  void release();
  void send_release(const std::string& lock, std::int64_t fence, std::size_t attempts);

  const std::vector<std::string> locks_;
  const Span hold_;
  const bool renews_;
  std::string lock_;
  std::int64_t fence_ = 0;
  std::size_t renewals_left_ = 0;
};

void LockCaller::acquire() {
  if (context_.is_stopped) return;
  lock_ = locks_[draw_below(locks_.size())];
  const CoordinationChecker::LockCall call = checker().begin_lock_call(lock_, name_, now(), hold_);
  send(acquire_request(lock_, name_, hold_), [this, call](const std::optional<HttpResult>& result) {
    if (outcome_of(result) != CallOutcome::done) return schedule_next(draw_pause());
    const std::int64_t fence = integer_in(*result, "fence");
    if (!checker().record_grant(call, fence, now())) return schedule_next(draw_pause());
    on_granted(fence);
  });
}

void LockCaller::on_granted(std::int64_t fence) {
  fence_ = fence;
  renewals_left_ = renews_ ? draw_below(max_renewals) : 0;
  if (happens(death_probability)) {
    checker().end_hold(lock_, name_);
    return schedule_next(hold_ * random_.unit());
  }
  if (happens(sleep_probability)) return sleep_beyond_hold();
  const Span pause = renews_ ? hold_ * 0.3 : hold_ * (0.6 * random_.unit());
  run_after(pause, [this] { renew(); });
}

void LockCaller::sleep_beyond_hold() {
  renewals_left_ = happens(0.5) ? 1 : 0;
  run_after(hold_ * (0.8 + random_.unit()), [this] { renew(); });
}

void LockCaller::renew() {
  if (renewals_left_ == 0) return release();
  --renewals_left_;
  const CoordinationChecker::LockCall call = checker().begin_lock_call(lock_, name_, now(), hold_);
  send(renew_request(lock_, name_, fence_, hold_), [this, call](const std::optional<HttpResult>& result) {
    const CallOutcome outcome = outcome_of(result);
    if (outcome == CallOutcome::unclear || outcome == CallOutcome::refused) return renew();
    const bool is_held = outcome == CallOutcome::done && checker().record_renewal(call, fence_, now());
    if (is_held) return run_after(hold_ * 0.3, [this] { renew(); });
    checker().end_hold(lock_, name_);
    schedule_next(draw_pause());
  });
}

void LockCaller::release() {
  checker().end_hold(lock_, name_);
  send_release(lock_, fence_, max_releases);
  if (happens(late_release_probability))
    run_after(hold_ * random_.unit(), [this, lock = lock_, fence = fence_] { send_release(lock, fence, 1); });
  schedule_next(draw_pause());
}

void LockCaller::send_release(const std::string& lock, std::int64_t fence, std::size_t attempts) {
  send(release_request(lock, name_, fence),
       [this, lock, fence, attempts](const std::optional<HttpResult>& result) {
         if (outcome_of(result) != CallOutcome::done && attempts > 1) send_release(lock, fence, attempts - 1);
       });
}

class NumberCaller : public CoordinationClient {
 public:
  using CoordinationClient::CoordinationClient;
  void begin() override {
    run_after(draw_pause(), [this] { ask(); });
  }

 private:
  void ask() {
    if (context_.is_stopped) return;
    const std::string name = numbered("n", load().numbers)[draw_below(load().numbers)];
    const CoordinationChecker::NumberCall call = checker().begin_number(name);
    send(number_request(name), [this, call](const std::optional<HttpResult>& result) {
      if (outcome_of(result) == CallOutcome::done)
        checker().record_number(call, integer_in(*result, "value"));
      begin();
    });
  }
};

/// Reads keys and puts to them, to whatever they have or to the revision that it knows.
class KeyCaller : public CoordinationClient {
 public:
  using CoordinationClient::CoordinationClient;
  void begin() override {
    run_after(draw_pause(), [this] { call_next(); });
  }

 private:
  static constexpr double read_probability = 0.4;
  static constexpr double any_revision_probability = 0.4;
  static constexpr double read_back_probability = 0.4;
  static constexpr double give_up_probability = 0.3;  // where it is told that nothing was done

  void call_next();
  void read(const std::string& key);
  /// Right after an acknowledgement, while other controllers may not have heard of it.
  void read_elsewhere(const std::string& key) {
    choose_controller();
    read(key);
  }
  void put(const std::string& key);
  void send_put(CoordinationChecker::Put& put, TimePoint until);
  void on_put_answer(CoordinationChecker::Put& put, const CoordinationChecker::Reading& reading,
                     const std::optional<HttpResult>& result, TimePoint until);

  std::map<std::string, std::int64_t> known_revisions_;
  std::size_t puts_ = 0;
};

void KeyCaller::call_next() {
  if (context_.is_stopped) return;
  const std::string key = key_name(draw_below(load().groups), draw_below(load().keys_of_group));
  if (happens(read_probability)) return read(key);
  put(key);
}

void KeyCaller::read(const std::string& key) {
  send(read_request(key),
       [this, reading = checker().begin_read(key)](const std::optional<HttpResult>& result) {
         if (outcome_of(result) == CallOutcome::done) {
           const std::int64_t revision = integer_in(*result, "revision");
           checker().record_read(reading, revision, value_in(*result));
           known_revisions_[reading.key] = revision;
         }
         begin();
       });
}

void KeyCaller::put(const std::string& key) {
  const std::int64_t applies_to = happens(any_revision_probability) ? -1 : known_revisions_[key];
  CoordinationChecker::Put& put = checker().begin_put(key, name_ + "-" + std::to_string(++puts_), applies_to);
  send_put(put, now() + max_put_duration);
}

void KeyCaller::send_put(CoordinationChecker::Put& put, TimePoint until) {
  const CoordinationChecker::Reading reading = checker().begin_attempt(put);
  send(put_request(put.key, put.value, put.applies_to),
       [this, &put, reading, until](const std::optional<HttpResult>& result) {
         on_put_answer(put, reading, result, until);
       });
}

void KeyCaller::on_put_answer(CoordinationChecker::Put& put, const CoordinationChecker::Reading& reading,
                              const std::optional<HttpResult>& result, TimePoint until) {
  const CallOutcome outcome = outcome_of(result);
  if (outcome == CallOutcome::done) {
    const std::int64_t revision = integer_in(*result, "revision");
    checker().record_put(put, revision);
    known_revisions_[put.key] = revision;
    if (happens(read_back_probability)) return read_elsewhere(put.key);
    return begin();
  }
  if (outcome == CallOutcome::conflict) {
    const std::int64_t revision = integer_in(*result, "revision");
    checker().record_mismatch(put, reading, revision);
    known_revisions_[put.key] = revision;
    return begin();
  }
  if (outcome == CallOutcome::refused) CoordinationChecker::record_refusal(put);
  const bool gives_up = outcome == CallOutcome::refused && happens(give_up_probability);
  if (gives_up || now() >= until) return begin();
  run_after(retry_pause, [this, &put, until] { send_put(put, until); });
}

/// Follows a group, with pauses that stay within the history. At the end it resumes from the oldest revision
/// that it may still resume from, and has to get to all that was acknowledged.
class Watcher : public CoordinationClient {
 public:
  Watcher(CoordinationContext& context, std::string name, std::string group, std::uint64_t seed)
      : CoordinationClient(context, std::move(name), seed), group_(std::move(group)) {}
  void begin() override { ask(); }
  void begin_final() override;
  void finish_final() override;

 private:
  static constexpr double pause_probability = 0.15;
  static constexpr Span max_wait = Span::ms(2000);
  static constexpr Span resume_margin = Span::ms(1500);  // an answer takes as long

  struct Saved {
    std::int64_t revision = 0;
    TimePoint got_at;
  };
  void ask();
  void on_answer(const CoordinationChecker::Watch& watch, const std::optional<HttpResult>& result);
  Span draw_watch_pause(CallOutcome outcome);

  const std::string group_;
  std::deque<Saved> saved_{{}};  // never empty; the last one is where it is
  std::int64_t final_revision_ = 0;
  bool is_final_ = false;
};

void Watcher::ask() {
  const Saved& at = saved_.back();
  const CoordinationChecker::Watch watch = checker().begin_watch(group_, at.revision, at.got_at);
  const Span wait = is_final_ ? Span::ms(500) : max_wait * random_.unit();
  send(
      watch_request(group_, at.revision, wait),
      [this, watch](const std::optional<HttpResult>& result) { on_answer(watch, result); }, wait);
}

void Watcher::on_answer(const CoordinationChecker::Watch& watch, const std::optional<HttpResult>& result) {
  const CallOutcome outcome = outcome_of(result);
  if (watch.after == saved_.back().revision) {  // not one from before the end
    if (outcome == CallOutcome::done) {
      const std::int64_t revision = integer_in(*result, "revision");
      checker().record_watch(watch, events_in(*result), revision);
      saved_.push_back({revision, now()});
    } else if (outcome == CallOutcome::gone) {
      checker().record_gone(watch, now());
      saved_.push_back({});
    }
  }
  if (is_final_ && saved_.back().revision >= final_revision_) return;
  run_after(draw_watch_pause(outcome), [this] { ask(); });
}

Span Watcher::draw_watch_pause(CallOutcome outcome) {
  if (outcome != CallOutcome::done || saved_.back().revision == 0) return retry_pause;
  if (is_final_ || !happens(pause_probability)) return Span::ms(1);
  return context_.history * (0.8 * random_.unit());
}

void Watcher::begin_final() {
  is_final_ = true;
  final_revision_ = checker().newest_revision(group_);
  const TimePoint oldest = now() - (context_.history - resume_margin);
  const auto young = std::find_if(saved_.begin(), saved_.end(),
                                  [&](const Saved& one) { return one.revision > 0 && one.got_at >= oldest; });
  const Saved from = young == saved_.end() ? Saved{} : *young;
  saved_.push_back(from);
  if (from.revision < final_revision_) ask();
}

void Watcher::finish_final() {
  if (saved_.back().revision >= final_revision_) return;
  checker().report_lost("watch of " + group_ + " by " + name_ + " is at " +
                        std::to_string(saved_.back().revision) + ", " + std::to_string(final_revision_) +
                        " was seen");
}

/// A call of the end, sent again until it is answered.
class FinalCall : public CoordinationClient {
 public:
  using CoordinationClient::CoordinationClient;
  void begin_final() override { ask(); }
  void finish_final() override {
    if (!is_answered_) checker().report_lost(name_ + " is not answered at the end");
  }

 protected:
  virtual void ask() = 0;
  void handle(const std::optional<HttpResult>& result) {
    is_answered_ = outcome_of(result) == CallOutcome::done;
    if (!is_answered_) run_after(final_retry_pause, [this] { ask(); });
  }

 private:
  bool is_answered_ = false;
};

class FinalRead : public FinalCall {
 public:
  using FinalCall::FinalCall;

 private:
  void ask() override {
    send(read_request(name_),
         [this, reading = checker().begin_read(name_)](const std::optional<HttpResult>& result) {
           if (outcome_of(result) == CallOutcome::done)
             checker().record_read(reading, integer_in(*result, "revision"), value_in(*result));
           handle(result);
         });
  }
};

class FinalNumber : public FinalCall {
 public:
  using FinalCall::FinalCall;

 private:
  void ask() override {
    send(number_request(name_),
         [this, call = checker().begin_number(name_)](const std::optional<HttpResult>& result) {
           if (outcome_of(result) == CallOutcome::done)
             checker().record_number(call, integer_in(*result, "value"));
           handle(result);
         });
  }
};

/// All holds are over by then: the lock has to be granted.
class FinalLock : public FinalCall {
 public:
  using FinalCall::FinalCall;

 private:
  void ask() override {
    const std::string holder = "last";
    const CoordinationChecker::LockCall call =
        checker().begin_lock_call(name_, holder, now(), load().lock_hold);
    send(acquire_request(name_, holder, load().lock_hold),
         [this, call](const std::optional<HttpResult>& result) {
           if (outcome_of(result) == CallOutcome::done)
             checker().record_grant(call, integer_in(*result, "fence"), now());
           handle(result);
         });
  }
};

/// Creates the clients of one run.
class ClientFactory {
 public:
  ClientFactory(CoordinationContext& context, std::vector<std::unique_ptr<CoordinationClient>>& clients,
                std::uint64_t seed)
      : context_(context), clients_(clients), random_(seed) {}
  void add_all() {
    add_callers();
    add_final_calls();
  }

 private:
  template <class Client, class... Arguments>
  void add(Arguments&&... arguments) {
    clients_.push_back(
        std::make_unique<Client>(context_, std::forward<Arguments>(arguments)..., draw_bits(random_)));
  }
  void add_callers() {
    const CoordinationLoad& load = context_.load;
    const std::vector<std::string> locks = numbered("l", load.locks);
    const std::vector<std::string> elections = numbered("e", load.elections);
    for (const std::string& name : numbered("lock-caller-", load.lock_callers))
      add<LockCaller>(name, locks, load.lock_hold, false);
    for (const std::string& name : numbered("candidate-", load.election_callers))
      add<LockCaller>(name, elections, load.election_hold, true);
    for (const std::string& name : numbered("number-caller-", load.number_callers)) add<NumberCaller>(name);
    for (const std::string& name : numbered("key-caller-", load.key_callers)) add<KeyCaller>(name);
    for (std::size_t i = 0; i < load.watchers; ++i)
      add<Watcher>("watcher-" + std::to_string(i), group_name(i % load.groups));
  }
  void add_final_calls() {
    const CoordinationLoad& load = context_.load;
    for (const std::string& name : numbered("l", load.locks)) add<FinalLock>(name);
    for (const std::string& name : numbered("e", load.elections)) add<FinalLock>(name);
    for (const std::string& name : numbered("n", load.numbers)) add<FinalNumber>(name);
    for (std::size_t group = 0; group < load.groups; ++group) {
      for (std::size_t key = 0; key < load.keys_of_group; ++key) add<FinalRead>(key_name(group, key));
    }
  }

  CoordinationContext& context_;
  std::vector<std::unique_ptr<CoordinationClient>>& clients_;
  Pcg random_;
};

}  // namespace

CoordinationClients::CoordinationClients(Deployment& deployment, HttpClient& http_client,
                                         const CoordinationLoad& load, Span history,
                                         std::function<void(const std::string&, const std::string&)> report,
                                         std::uint64_t seed)
    : checker_(history, std::move(report)), context_{deployment, http_client, checker_, load, history} {
  ClientFactory(context_, clients_, seed).add_all();
}

void CoordinationClients::begin() {
  for (const auto& client : clients_) client->begin();
}

void CoordinationClients::stop() { context_.is_stopped = true; }

void CoordinationClients::ask_for_all() {
  checker_.begin_final_calls();
  for (const auto& client : clients_) client->begin_final();
}

void CoordinationClients::finish() {
  for (const auto& client : clients_) client->finish_final();
  checker_.finish();
}

}  // namespace chutevane::tier_simulation
