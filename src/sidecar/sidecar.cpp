#include "sidecar/sidecar.hpp"

#include <algorithm>
#include <csignal>
#include <system_error>

#include "base/log.hpp"
#include "base/settings_reader.hpp"
#include "snapshot/file_snapshot_store.hpp"

namespace chutevane::sidecar {
namespace {

constexpr net::Waker::Bits due = net::Waker::own, told = net::Waker::own << 1U;
constexpr Span crossing = Span::ms(600);  // new connections still come for so long
constexpr Span drain_most =
    Span::ms(3000);  // the platform kills after the longest client timeout, at most this,
constexpr Span drain_slack = Span::ms(550);  // and 0.7 s: all is answered by then, with time to be taken
// Callers go on using the connections that they have. Those are served until this long before the end: most
// answers take less, and the process that follows comes no sooner for an early end.
constexpr Span drain_last = Span::ms(600);
// Out of service: idle connections are closed once most that are in use have ended with an answer, and those
// that were just served have had time for a request that crosses. All of it is over two seconds before the
// platform's look at 4 s.
constexpr Span idle_from = Span::ms(600), idle_least = Span::ms(250);
constexpr double shared_part = 0.5;        // of what one sidecar may have, while two processes are one
constexpr Span ask_most = Span::ms(2000);  // for the process before to answer: a turn of a busy one
constexpr std::size_t desk_least = 8, desk_most = 32;  // connections at the second address, of a 24th of all
constexpr Span drain_look = Span::ms(10);              // between looks at what is left

// A quarter of the memory: the program, its list and the kernel's part of each connection need the rest.
std::size_t held_most(std::size_t memory) { return memory / 4; }

}  // namespace

Sidecar::Sidecar(net::Scheduler& scheduler, const config::Config& config)
    : scheduler_(scheduler),
      listen_at_{*net::parse_address(config.listen)},
      longest_timeout_(config.longest_timeout),
      deployment_(snapshot::deployment_name(config.settings)),
      front_(config.settings),
      held_(held_most(config.memory)),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      keeper_(keep_phase()) {
  counters_.classes = front_.classes();
  pools_.push_back(std::make_unique<Pool>(scheduler, config, front_, counters_, nullptr, &held_));
  single_ = std::make_unique<SingleService>(front_, pools_.front()->driver);
  callers_.push_back(
      std::make_unique<Callers>(scheduler, config, front_, *single_, counters_, open_ids_, held_));
  open_desk(config.admin, config.sockets);
}

Sidecar::Sidecar(net::Scheduler& scheduler, const opfile::Model& model)
    : scheduler_(scheduler),
      longest_timeout_(pool_config(model, 0).longest_timeout),
      front_(opfile::settings_of(model, model.pools.front()), header_names(model)),
      held_(held_most(model.memory)),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      keeper_(keep_phase()) {
  for (const opfile::TrackModel& t : model.tracks) counters_.classes.push_back({t.name, {}});
  open_desk(model.admin, model.sockets);
  for (std::size_t i = 0; i < model.pools.size(); ++i)
    pools_.push_back(
        std::make_unique<Pool>(scheduler, pool_config(model, i), front_, counters_, &room_, &held_));
  services_ = std::make_unique<Services>(scheduler, model, front_, pools_, counters_);
  for (const std::string& address : model.listen) {
    listen_at_.push_back(*net::parse_address(address));
    config::Config part = pool_config(model, 0);
    part.sockets /= model.listen.size();  // listeners share the callers' descriptors evenly
    callers_.push_back(
        std::make_unique<Callers>(scheduler, part, front_, *services_, counters_, open_ids_, held_));
  }
}

void Sidecar::listen() {
  for (std::size_t i = 0; i < callers_.size(); ++i) callers_[i]->listen(listen_at_[i]);
  open();
}

bool Sidecar::listen_on(const std::vector<int>& fds) {
  bool fits = fds.size() == callers_.size();
  for (std::size_t i = 0; fits && i < fds.size(); ++i) {
    const auto at = scheduler_.system().local(fds[i]);
    fits = at && at->sin_addr.s_addr == listen_at_[i].sin_addr.s_addr &&
           (listen_at_[i].sin_port == 0 || at->sin_port == listen_at_[i].sin_port);
  }
  if (!fits) return false;
  for (std::size_t i = 0; i < fds.size(); ++i) callers_[i]->listen_on(fds[i]);
  open();
  return true;
}

std::vector<int> Sidecar::listeners() const {
  std::vector<int> out;
  for (const auto& one : callers_) out.push_back(one->listener());
  return out;
}

std::string Sidecar::hand_over() const { return snapshot::serialize(learnt()); }

// The process before lives and serves: all that it knows is of this moment.
void Sidecar::take_over(std::string_view handed) {
  const snapshot::Snapshot all = snapshot::parse(handed);
  if (all.deployment != deployment_)
    throw snapshot::FormatError("deployment: '" + all.deployment + "', this is '" + deployment_ + "'");
  snapshot::WarmStart known;
  known.endpoints = all.endpoints;
  known.load = all.load;
  pools_.front()->driver.recall(known);
  started_from_ = "the process before";
  log_line("handover: %zu endpoints known, a limit of %.1f calls", all.endpoints.size(), all.load.limit);
}

void Sidecar::beside(bool after_serves, bool before_serves, bool lives) {
  const double part = lives ? shared_part : 1.0;
  held_.share(part);
  for (auto& pool : pools_) pool->driver.share(part);
  other_serves_ = after_serves || (ending_ && before_serves);
  for (auto& one : callers_) {
    one->share(part);
    one->leave_new(other_serves_);
    if (!ending_) continue;
    if (other_serves_) {  // a check of /ready that comes on a kept connection is told of the pair
      one->end_drain();
    } else if (phase_ != Phase::serving) {
      one->begin_drain();
    }
    if (other_serves_ || phase_ == Phase::closing) one->end_with_answers();
  }
  waker_.set(told);
}

void Sidecar::open() {
  if (desk_) desk_->listen(*desk_at_);
  enter(Phase::serving, scheduler_.now());
  coming_back_.start(scheduler_.now(), started_from_);
  keeper_.start();
}

std::size_t Sidecar::callers() const {
  std::size_t out = 0;
  for (const auto& one : callers_) out += one->size();
  return out;
}

snapshot::Snapshot Sidecar::learnt() const {
  snapshot::Snapshot out = pools_.front()->driver.learnt();
  out.deployment = deployment_;
  return out;
}

void Sidecar::recall(const snapshot::WarmStart& known) {
  pools_.front()->driver.recall(known);
  started_from_ = known.reason;
}

void Sidecar::look_at_return() {
  if (!desk_ || coming_back_.is_at_full_service()) return;
  coming_back_.update({counters_.calls, counters_.rejected + counters_.broken_off}, scheduler_.now());
}

std::string Sidecar::startup_progress_json() const { return coming_back_.to_json(scheduler_.now()); }

Span Sidecar::drain_time() const { return std::min(longest_timeout_, drain_most) + drain_slack; }

void Sidecar::reconfigure(const config::Config& config) {
  pools_.front()->driver.move_discovery(config.discovery);
  callers_.front()->set_bounds(config.request_most, config.idle_most);
}

void Sidecar::open_desk(const std::string& address, std::size_t sockets) {
  if (address.empty()) return;
  desk_at_ = net::parse_address(address);
  desk_ = std::make_unique<admin::AdminServer>(scheduler_, *this,
                                               std::clamp(sockets / 24, desk_least, desk_most));
}

std::string Sidecar::counters_json() const {
  std::size_t listed = 0, avoided = 0;
  for (const auto& pool : pools_) {
    listed += pool->driver.endpoints_listed();
    avoided += pool->driver.endpoints_avoided();
  }
  return counters_.figures(listed, avoided);
}

bool Sidecar::take_out_of_service() {
  if (phase_ == Phase::serving) {
    log_line("out of service: told at the second address");
    enter(Phase::crossing, scheduler_.now());
  }
  return true;
}

bool Sidecar::return_to_service() {
  if (ending_) return false;
  if (phase_ == Phase::crossing || phase_ == Phase::emptying) {
    log_line("in service again");
    enter(Phase::serving, scheduler_.now());
  }
  return true;
}

void Sidecar::drain(Span within) {
  if (ending_) return;
  ending_ = true;
  const TimePoint now = scheduler_.now();
  last_ = now + std::max(within, crossing);
  enter(Phase::crossing, now);
}

void Sidecar::enter(Phase phase, TimePoint now) {
  phase_ = phase;
  since_ = now;
  for (auto& one : callers_) {
    switch (phase) {
      case Phase::starting:
      case Phase::breaking:
      case Phase::finished: break;
      case Phase::serving: one->end_drain(); break;
      case Phase::crossing:
        if (ending_ && other_serves_) {
          one->end_with_answers();
        } else {
          one->begin_drain();
        }
        break;
      case Phase::emptying:
        if (ending_) {
          one->stop_listening();
        } else {
          one->end_with_answers();
        }
        break;
      case Phase::closing:
        one->end_with_answers();
        one->close_idle(Span());
        break;
    }
  }
  if (phase == Phase::breaking) intake().break_off_all();
  waker_.set(told);
}

// One step of a drain or an end, by the time alone.
void Sidecar::step(TimePoint now) {
  switch (phase_) {
    case Phase::starting:
    case Phase::serving:
    case Phase::finished: break;
    case Phase::crossing:
      if (now - since_ >= crossing || (ending_ && other_serves_)) enter(Phase::emptying, now);
      break;
    case Phase::emptying:
      if ((!ending_ || other_serves_) && now - since_ >= idle_from) {
        for (auto& one : callers_) one->close_idle(idle_least);
      }
      if (ending_ && (callers() == 0 || now >= last_ - drain_last)) enter(Phase::closing, now);
      break;
    case Phase::closing:
      if (callers() == 0 || now >= last_) enter(Phase::breaking, now);
      break;
    case Phase::breaking:  // one look's time for the answers to be written
      if (now - since_ >= drain_look) enter(Phase::finished, now);
      break;
  }
}

net::Task Sidecar::keep_phase() {
  while (!finished()) {
    step(scheduler_.now());
    timer_.cancel();
    if (phase_ != Phase::serving && phase_ != Phase::starting) timer_.set(scheduler_.now() + drain_look);
    co_await waker_.wait(due | told);
  }
}

bool reload(Sidecar& sidecar, const Reading& reading, const config::Config& in_force) {
  try {
    const config::Config again = reading();
    sidecar.reconfigure(again);
    const std::string waits = config::waits_for_start(in_force, again);
    log_line("configuration read again%s%s",
             waits.empty() ? "" : "; changed but kept until the next start: ", waits.c_str());
    return true;
  } catch (const std::exception& e) {
    log_line("configuration not taken, the old one stays: %s", e.what());
    return false;
  }
}

config::Config Daemon::within(config::Config config, net::System& system) {
  config.sockets = std::min(config.sockets, system.descriptors(config.sockets));
  return config;
}

opfile::Model Daemon::within(opfile::Model model, net::System& system) {
  model.sockets = std::min(model.sockets, system.descriptors(model.sockets));
  return model;
}

Daemon::Daemon(net::Scheduler& scheduler, Reading reading, const std::string& folder,
               std::unique_ptr<snapshot::SnapshotStore> store)
    : scheduler_(scheduler),
      waker_(scheduler),
      signals_(scheduler, waker_, {SIGTERM, SIGINT, SIGUSR1, SIGHUP}),
      reading_(std::move(reading)),
      in_force_(reading_()),
      store_(std::move(store)),
      chance_(in_force_.seed),
      name_(in_force_.name),
      where_(in_force_.listen),
      place_(hot_restart::socket_path_for(folder, name_)),
      given_(hot_restart::request_transfer(place_, ask_most)),
      sidecar_(scheduler, within(started_with(in_force_), scheduler.system())) {
  inherit();
}

Daemon::Daemon(net::Scheduler& scheduler, const opfile::Model& model, const std::string& folder)
    : scheduler_(scheduler),
      waker_(scheduler),
      signals_(scheduler, waker_, {SIGTERM, SIGINT, SIGUSR1, SIGHUP}),
      chance_(0),
      model_(within(model, scheduler.system())),
      name_(model.name),
      place_(hot_restart::socket_path_for(folder, name_)),
      given_(hot_restart::request_transfer(place_, ask_most)),
      sidecar_(scheduler, model_) {
  for (const std::string& one : model.listen) where_ += (where_.empty() ? "" : ", ") + one;
  inherit();
}

// The list that the process before had last stands for the one in the file, which may be old.
config::Config Daemon::started_with(config::Config config) {
  if (!store_ && !config.state.empty()) store_ = snapshot::open_file_store(config.state);
  if (store_) look_back();
  if (given_.link >= 0) {
    try {
      snapshot::Snapshot before = snapshot::parse(given_.state);
      // One that was cut to fit is no list to start from; one of another deployment is of other endpoints.
      if (before.endpoint_list.full && before.deployment == snapshot::deployment_name(config.settings))
        config.known = std::move(before.endpoint_list);
    } catch (const snapshot::FormatError&) {  // said when the rest of it is read
    }
  } else if (store_) {
    config.known = snapshot::newer_list(config.known, before_, known_);
    known_ = snapshot::restrict_to_list(known_, config.known);
  }
  return config;
}

// Reads what lies there, the older generation where the newer one is broken. What cannot be used costs a
// line.
void Daemon::look_back() {
  const snapshot::ProcessContext here{
      in_force_.name, snapshot::deployment_name(in_force_.settings),
      static_cast<std::uint32_t>(SettingsReader(in_force_.settings).number("sidecars")), store_->now()};
  known_ = snapshot::cold_start("there is no state");
  for (const std::string& text : store_->read_generations()) {
    try {
      before_ = snapshot::parse(text);
      known_ = snapshot::evaluate(before_, here);
      return;
    } catch (const snapshot::FormatError& e) {
      log_line("state: set aside: %s", e.what());
      known_ = snapshot::cold_start(e.what());
      store_->quarantine_newest();
    }
  }
}

void Daemon::save(bool ended) {
  const Span every = in_force_.snapshot_every;
  save_at_ = scheduler_.now() + every * (0.9 + 0.2 * chance_.unit());
  snapshot::Snapshot content = sidecar_.learnt();
  content.sidecar_name = in_force_.name;
  content.sidecar_count = static_cast<std::uint32_t>(SettingsReader(in_force_.settings).number("sidecars"));
  content.incarnation = before_.incarnation + 1;
  content.is_clean_shutdown = ended;
  content.written_at = store_->now();
  store_->save(std::move(content));
}

// A store that fails is told of once, and once that it works again.
void Daemon::tell_of_store() {
  const snapshot::StoreCounters now = store_->counters();
  const bool failed = now.failed > told_.failed, worked = now.written > told_.written;
  if (failed && !store_fails_) log_line("state: not kept: %s", now.last_error.c_str());
  if (worked && !failed && store_fails_) log_line("state: kept again");
  if (now.superseded > told_.superseded)
    log_line("state: the disk is slow, %llu snapshots were replaced before they were written",
             static_cast<unsigned long long>(now.superseded - told_.superseded));
  if (failed || worked) store_fails_ = failed;
  told_ = now;
}

void Daemon::inherit() {
  if (given_.is_refused) throw std::runtime_error("another successor starts at " + place_);
  if (store_) save_at_ = scheduler_.now() + in_force_.snapshot_every * chance_.unit();
  if (given_.link >= 0 && reading_) {
    try {
      return sidecar_.take_over(given_.state);
    } catch (const snapshot::FormatError& e) {
      log_line("handover: state set aside, all is learnt anew: %s", e.what());
    }
  }
  if (!store_) return;
  log_line("state: %s", known_.reason.c_str());
  sidecar_.recall(known_);
}

hot_restart::TransferPayload Daemon::estate() const {
  return {sidecar_.listeners(), reading_ ? sidecar_.hand_over() : std::string("{}")};
}

void Daemon::meet() {
  const hot_restart::PeerLink &before = post_->predecessor(), &after = post_->successor();
  sidecar_.beside(after.is_serving(), before.is_serving(), before.is_connected() || after.is_connected());
  // The successor that served is gone, or ends: clients are this one's again, and so are successors.
  const bool mine = !sidecar_.ending() && !after.is_serving();
  if (mine && !std::exchange(serves_, mine)) {
    post_->listen();
    post_->announce(true);
  } else if (!mine && std::exchange(serves_, mine)) {
    post_->announce(false);
  }
}

bool Daemon::listen() {
  try {
    if (given_.link >= 0 && sidecar_.listen_on(given_.listeners)) {
      given_.listeners.clear();  // they are the sidecar's now
    } else {
      sidecar_.listen();
    }
  } catch (const std::system_error& e) {
    log_line("%s: %s", where_.c_str(), e.what());
    return false;
  }
  log_line("%s serves at %s", name_.c_str(), where_.c_str());
  if (!place_.empty()) {
    post_.emplace(
        scheduler_, place_, [this] { return estate(); }, [this] { meet(); });
    if (given_.link >= 0) post_->adopt_predecessor(std::exchange(given_.link, -1));
    meet();
  }
  return true;
}

void Daemon::heed(int signal) {
  if (signal == SIGUSR1) {
    log_line("%s", sidecar_.counters().as_json().c_str());
  } else if (signal != SIGHUP) {
    log_line("%s drains", name_.c_str());
    // Now, not at the end: the process that follows may start while this one still answers.
    if (store_) save(false);
    sidecar_.drain(sidecar_.drain_time());
    if (post_) meet();
  } else if (reading_) {
    sidecar_.heard_sighup(reload(sidecar_, reading_, in_force_));
  } else {
    log_line("the operator's file is read at a start only; nothing changes");
  }
}

bool Daemon::step() {
  scheduler_.turn();
  while (const int number = signals_.next()) heed(number);
  sidecar_.look_at_return();
  if (store_ && scheduler_.now() >= save_at_) {
    tell_of_store();
    save(false);
  }
  if (!sidecar_.finished()) return true;
  if (store_) {
    save(true);
    store_->flush();
  }
  log_line("%s", sidecar_.counters().as_json().c_str());
  return false;
}

namespace {

int serve(Daemon& daemon) {
  std::signal(SIGPIPE, SIG_IGN);
  if (!daemon.listen()) return 1;
  while (daemon.step()) {
  }
  return 0;
}

}  // namespace

int serve(const Reading& reading, const std::string& folder) {
  net::Scheduler scheduler;
  Daemon daemon(scheduler, reading, folder);
  return serve(daemon);
}

int serve_file(const opfile::Model& model, const std::string& folder) {
  net::Scheduler scheduler;
  Daemon daemon(scheduler, model, folder);
  return serve(daemon);
}

}  // namespace chutevane::sidecar
