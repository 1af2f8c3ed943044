#include "sidecar/sidecar.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace chutevane::sidecar {
namespace {

constexpr net::Waker::Bits due = net::Waker::own, phase_changed = net::Waker::own << 1U;
// New connections still come for so long after /ready has begun to say no.
constexpr Span announce_time = Span::ms(600);
// The platform kills a process the longest client time-out, at most max_drain_time, and 0.7 s after SIGTERM.
// All is answered by then, with time for the answers to be read.
constexpr Span max_drain_time = Span::ms(3000), drain_slack = Span::ms(550);
// Clients go on using the connections that they have, and are served on them until this long before the end:
// most responses take less, and the next process comes no sooner for an early end.
constexpr Span closing_time = Span::ms(600);
// Out of service, idle connections are closed once most of those in use have ended with a response, and the
// ones that were just served have had time for a request that crosses with the end. All of it is over two
// seconds before the platform looks, 4 s after the call.
constexpr Span idle_close_delay = Span::ms(600), min_idle_to_close = Span::ms(250);
constexpr double shared_part = 0.5;  // of the limits, while two processes serve as one
// Descriptors of the admin address: a 24th of all, within these.
constexpr std::size_t min_admin_connections = 8, max_admin_connections = 32, admin_fraction = 24;
constexpr Span phase_check_interval = Span::ms(10);

/// A quarter of the process's memory: the program, its list and the kernel's part of each connection need the
/// rest.
std::size_t max_buffered_bytes(std::size_t memory) { return memory / 4; }

}  // namespace

Sidecar::Sidecar(net::Scheduler& scheduler, const config::Config& config)
    : scheduler_(scheduler),
      listen_addresses_{*net::parse_address(config.listen)},
      longest_client_timeout_(config.max_client_timeout),
      deployment_(snapshot::deployment_name(config.settings)),
      protocol_(config.settings),
      buffer_budget_(max_buffered_bytes(config.max_memory)),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      phase_task_(run_phases()) {
  counters_.classes = protocol_.request_classes();
  pools_.push_back(
      std::make_unique<EndpointPool>(scheduler, config, protocol_, counters_, nullptr, &buffer_budget_));
  single_router_ = std::make_unique<SingleServiceRouter>(protocol_, pools_.front()->driver);
  listeners_.push_back(std::make_unique<Listener>(scheduler, config, protocol_, *single_router_, counters_,
                                                  active_ids_, buffer_budget_));
  create_admin_server(config.admin_address, config.max_descriptors);
}

Sidecar::Sidecar(net::Scheduler& scheduler, const operator_file::Model& model)
    : scheduler_(scheduler),
      longest_client_timeout_(pool_config(model, 0).max_client_timeout),
      protocol_(operator_file::settings_of(model, model.pools.front()), header_names(model)),
      buffer_budget_(max_buffered_bytes(model.max_memory)),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      phase_task_(run_phases()) {
  for (const operator_file::TrackModel& track : model.tracks) counters_.classes.push_back({track.name, {}});
  create_admin_server(model.admin_address, model.max_descriptors);
  for (std::size_t i = 0; i < model.pools.size(); ++i)
    pools_.push_back(std::make_unique<EndpointPool>(scheduler, pool_config(model, i), protocol_, counters_,
                                                    &connection_budget_, &buffer_budget_));
  service_router_ = std::make_unique<ServiceRouter>(scheduler, model, protocol_, pools_, counters_);
  for (const std::string& address : model.listen) {
    listen_addresses_.push_back(*net::parse_address(address));
    config::Config config = pool_config(model, 0);
    config.max_descriptors /= model.listen.size();  // listeners share the downstream descriptors evenly
    listeners_.push_back(std::make_unique<Listener>(scheduler, config, protocol_, *service_router_, counters_,
                                                    active_ids_, buffer_budget_));
  }
}

void Sidecar::create_admin_server(const std::string& address, std::size_t descriptors) {
  if (address.empty()) return;
  admin_listen_address_ = net::parse_address(address);
  admin_ = std::make_unique<admin::AdminServer>(
      scheduler_, *this,
      std::clamp(descriptors / admin_fraction, min_admin_connections, max_admin_connections));
}

void Sidecar::listen() {
  for (std::size_t i = 0; i < listeners_.size(); ++i) listeners_[i]->listen(listen_addresses_[i]);
  start_serving();
}

bool Sidecar::listen_on(const std::vector<int>& fds) {
  bool fits = fds.size() == listeners_.size();
  for (std::size_t i = 0; fits && i < fds.size(); ++i) {
    const auto at = scheduler_.system().local(fds[i]);
    fits = at && at->sin_addr.s_addr == listen_addresses_[i].sin_addr.s_addr &&
           (listen_addresses_[i].sin_port == 0 || at->sin_port == listen_addresses_[i].sin_port);
  }
  if (!fits) return false;
  for (std::size_t i = 0; i < fds.size(); ++i) listeners_[i]->listen_on(fds[i]);
  start_serving();
  return true;
}

void Sidecar::start_serving() {
  if (admin_) admin_->listen(*admin_listen_address_);
  enter(DrainPhase::serving, scheduler_.now());
  startup_progress_.start(scheduler_.now(), started_from_);
  phase_task_.start();
}

std::vector<int> Sidecar::listening_descriptors() const {
  std::vector<int> out;
  for (const auto& listener : listeners_) out.push_back(listener->descriptor());
  return out;
}

std::size_t Sidecar::downstream_connections() const {
  std::size_t out = 0;
  for (const auto& listener : listeners_) out += listener->size();
  return out;
}

void Sidecar::reconfigure(const config::Config& config) {
  pools_.front()->driver.set_discovery_address(config.discovery);
  listeners_.front()->set_timeouts(config.request_timeout, config.idle_timeout);
}

// --- Hot restart and warm start

std::string Sidecar::serialize_state() const { return snapshot::serialize(learned_state()); }

void Sidecar::restore_state(std::string_view serialized) {
  const snapshot::Snapshot content = snapshot::parse(serialized);
  if (content.deployment != deployment_)
    throw snapshot::FormatError("deployment: '" + content.deployment + "', this is '" + deployment_ + "'");
  // The predecessor serves: all that it knows is of this moment and counts as it is.
  snapshot::WarmStart warm_start;
  warm_start.endpoints = content.endpoints;
  warm_start.load = content.load;
  pools_.front()->driver.restore(warm_start);
  started_from_ = "the process before";
  log_line("handover: %zu endpoints known, a limit of %.1f calls", content.endpoints.size(),
           content.load.limit);
}

void Sidecar::on_peer_status(bool successor_serves, bool predecessor_serves, bool peer_lives) {
  const double share = peer_lives ? shared_part : 1.0;
  buffer_budget_.share(share);
  for (auto& pool : pools_) pool->driver.set_share(share);
  peer_serves_ = successor_serves || (is_ending_ && predecessor_serves);
  for (auto& listener : listeners_) {
    listener->set_share(share);
    listener->leave_new_connections(peer_serves_);
    if (!is_ending_) continue;
    if (peer_serves_) {  // a readiness check on a kept connection is answered for the pair of processes
      listener->end_draining();
    } else if (phase_ != DrainPhase::serving) {
      listener->start_draining();
    }
    if (peer_serves_ || phase_ == DrainPhase::closing) listener->close_after_responses();
  }
  waker_.set(phase_changed);
}

snapshot::Snapshot Sidecar::learned_state() const {
  snapshot::Snapshot out = pools_.front()->driver.learned_state();
  out.deployment = deployment_;
  return out;
}

void Sidecar::restore(const snapshot::WarmStart& warm_start) {
  pools_.front()->driver.restore(warm_start);
  started_from_ = warm_start.reason;
}

void Sidecar::update_warm_start() {
  if (!admin_ || startup_progress_.is_at_full_service()) return;
  startup_progress_.update({counters_.calls, counters_.rejected + counters_.aborted}, scheduler_.now());
}

// --- Operators

std::string Sidecar::startup_progress_json() const { return startup_progress_.to_json(scheduler_.now()); }

std::string Sidecar::counters_json() const {
  std::size_t listed = 0, ejected = 0;
  for (const auto& pool : pools_) {
    listed += pool->driver.listed_endpoints();
    ejected += pool->driver.ejected_endpoints();
  }
  return counters_.summary_json(listed, ejected);
}

bool Sidecar::take_out_of_service() {
  if (phase_ == DrainPhase::serving) {
    log_line("out of service: told at the second address");
    enter(DrainPhase::announcing, scheduler_.now());
  }
  return true;
}

bool Sidecar::return_to_service() {
  if (is_ending_) return false;
  if (phase_ == DrainPhase::announcing || phase_ == DrainPhase::draining) {
    log_line("in service again");
    enter(DrainPhase::serving, scheduler_.now());
  }
  return true;
}

// --- Draining

Span Sidecar::shutdown_timeout() const {
  return std::min(longest_client_timeout_, max_drain_time) + drain_slack;
}

void Sidecar::shut_down(Span timeout) {
  if (is_ending_) return;
  is_ending_ = true;
  const TimePoint now = scheduler_.now();
  shutdown_deadline_ = now + std::max(timeout, announce_time);
  enter(DrainPhase::announcing, now);
}

void Sidecar::enter(DrainPhase phase, TimePoint now) {
  phase_ = phase;
  phase_since_ = now;
  for (auto& listener : listeners_) apply_phase(*listener, phase, is_ending_, peer_serves_);
  if (phase == DrainPhase::aborting) router().abort_all();
  waker_.set(phase_changed);
}

void Sidecar::apply_phase(Listener& listener, DrainPhase phase, bool is_ending, bool peer_serves) {
  switch (phase) {
    case DrainPhase::starting:
    case DrainPhase::aborting:
    case DrainPhase::finished: break;
    case DrainPhase::serving: listener.end_draining(); break;
    case DrainPhase::announcing:
      if (is_ending && peer_serves) {  // clients come to the successor: nothing is to be announced
        listener.close_after_responses();
      } else {
        listener.start_draining();
      }
      break;
    case DrainPhase::draining:
      if (is_ending) {
        listener.stop_listening();
      } else {
        listener.close_after_responses();
      }
      break;
    case DrainPhase::closing:
      listener.close_after_responses();
      listener.close_idle(Span());
      break;
  }
}

/// Goes on to the next phase when it is time.
void Sidecar::advance_phase(TimePoint now) {
  switch (phase_) {
    case DrainPhase::starting:
    case DrainPhase::serving:
    case DrainPhase::finished: break;
    case DrainPhase::announcing:
      if (now - phase_since_ >= announce_time || (is_ending_ && peer_serves_))
        enter(DrainPhase::draining, now);
      break;
    case DrainPhase::draining:
      if ((!is_ending_ || peer_serves_) && now - phase_since_ >= idle_close_delay) {
        for (auto& listener : listeners_) listener->close_idle(min_idle_to_close);
      }
      if (is_ending_ && (downstream_connections() == 0 || now >= shutdown_deadline_ - closing_time))
        enter(DrainPhase::closing, now);
      break;
    case DrainPhase::closing:
      if (downstream_connections() == 0 || now >= shutdown_deadline_) enter(DrainPhase::aborting, now);
      break;
    case DrainPhase::aborting:  // time for the responses to be written
      if (now - phase_since_ >= phase_check_interval) enter(DrainPhase::finished, now);
      break;
  }
}

net::Task Sidecar::run_phases() {
  while (!finished()) {
    advance_phase(scheduler_.now());
    timer_.cancel();
    if (phase_ != DrainPhase::serving && phase_ != DrainPhase::starting)
      timer_.set(scheduler_.now() + phase_check_interval);
    co_await waker_.wait(due | phase_changed);
  }
}

}  // namespace chutevane::sidecar
