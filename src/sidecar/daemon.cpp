#include "sidecar/daemon.hpp"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "base/log.hpp"
#include "base/settings_reader.hpp"
#include "snapshot/file_snapshot_store.hpp"

namespace chutevane::sidecar {
namespace {

/// For the predecessor to answer: a turn of a busy process.
constexpr Span predecessor_timeout = Span::ms(2000);
/// Snapshots are written at intervals of this part of the stated one to this plus the spread.
constexpr double min_interval_part = 0.9, interval_spread = 0.2;

}  // namespace

bool reload(Sidecar& sidecar, const ConfigReader& reader, const config::Config& in_force) {
  try {
    const config::Config config = reader();
    sidecar.reconfigure(config);
    const std::string pending = config::keys_needing_restart(in_force, config);
    log_line("configuration read again%s%s",
             pending.empty() ? "" : "; changed but kept until the next start: ", pending.c_str());
    return true;
  } catch (const std::exception& e) {
    log_line("configuration not taken, the old one stays: %s", e.what());
    return false;
  }
}

config::Config Daemon::with_available_descriptors(config::Config config, net::System& system) {
  config.max_descriptors = std::min(config.max_descriptors, system.descriptors(config.max_descriptors));
  return config;
}

operator_file::Model Daemon::with_available_descriptors(operator_file::Model model, net::System& system) {
  model.max_descriptors = std::min(model.max_descriptors, system.descriptors(model.max_descriptors));
  return model;
}

Daemon::Daemon(net::Scheduler& scheduler, ConfigReader reader, const std::string& folder,
               std::unique_ptr<snapshot::SnapshotStore> store)
    : scheduler_(scheduler),
      waker_(scheduler),
      signals_(scheduler, waker_, {SIGTERM, SIGINT, SIGUSR1, SIGHUP}),
      config_reader_(std::move(reader)),
      config_(config_reader_()),
      store_(std::move(store)),
      random_(config_.seed),
      name_(config_.name),
      listen_text_(config_.listen),
      hot_restart_socket_(hot_restart::socket_path_for(folder, name_)),
      predecessor_(hot_restart::request_transfer(hot_restart_socket_, predecessor_timeout)),
      sidecar_(scheduler, with_available_descriptors(with_known_list(config_), scheduler.system())) {
  restore_learned_state();
}

Daemon::Daemon(net::Scheduler& scheduler, const operator_file::Model& model, const std::string& folder)
    : scheduler_(scheduler),
      waker_(scheduler),
      signals_(scheduler, waker_, {SIGTERM, SIGINT, SIGUSR1, SIGHUP}),
      random_(0),
      model_(with_available_descriptors(model, scheduler.system())),
      name_(model.name),
      hot_restart_socket_(hot_restart::socket_path_for(folder, name_)),
      predecessor_(hot_restart::request_transfer(hot_restart_socket_, predecessor_timeout)),
      sidecar_(scheduler, model_) {
  for (const std::string& address : model.listen)
    listen_text_ += (listen_text_.empty() ? "" : ", ") + address;
  restore_learned_state();
}

// --- The start

/// The list of the predecessor, or of the last snapshot, replaces the configuration's, which may be old.
config::Config Daemon::with_known_list(config::Config config) {
  if (!store_ && !config.state_file.empty()) store_ = snapshot::open_file_store(config.state_file);
  if (store_) load_snapshot();
  if (predecessor_.link >= 0) {
    try {
      snapshot::Snapshot snapshot = snapshot::parse(predecessor_.state);
      // A list that was cut to fit is none to start from; one of another deployment names other endpoints.
      if (snapshot.endpoint_list.full && snapshot.deployment == snapshot::deployment_name(config.settings))
        config.known_endpoints = std::move(snapshot.endpoint_list);
    } catch (const snapshot::FormatError&) {
      // restore_learned_state() reads it again and logs the error.
    }
  } else if (store_) {
    config.known_endpoints = snapshot::newer_list(config.known_endpoints, last_snapshot_, warm_start_);
    warm_start_ = snapshot::restrict_to_list(warm_start_, config.known_endpoints);
  }
  return config;
}

std::uint32_t Daemon::sidecar_count() const {
  return static_cast<std::uint32_t>(SettingsReader(config_.settings).number("sidecars"));
}

snapshot::ProcessContext Daemon::process_context() const {
  return {config_.name, snapshot::deployment_name(config_.settings), sidecar_count(), store_->now()};
}

/// Takes the newest generation of the snapshot that can be read.
void Daemon::load_snapshot() {
  const snapshot::ProcessContext here = process_context();
  warm_start_ = snapshot::cold_start("there is no state");
  for (const std::string& text : store_->read_generations()) {
    try {
      last_snapshot_ = snapshot::parse(text);
      warm_start_ = snapshot::evaluate(last_snapshot_, here);
      return;
    } catch (const snapshot::FormatError& e) {
      log_line("state: set aside: %s", e.what());
      warm_start_ = snapshot::cold_start(e.what());
      store_->quarantine_newest();
    }
  }
}

/// Gives the sidecar the predecessor's state, or else what the snapshot's warm start is.
void Daemon::restore_learned_state() {
  if (predecessor_.is_refused) throw std::runtime_error("another successor starts at " + hot_restart_socket_);
  if (store_) next_snapshot_at_ = scheduler_.now() + config_.snapshot_interval * random_.unit();
  if (predecessor_.link >= 0 && config_reader_) {
    try {
      return sidecar_.restore_state(predecessor_.state);
    } catch (const snapshot::FormatError& e) {
      log_line("handover: state set aside, all is learnt anew: %s", e.what());
    }
  }
  if (!store_) return;
  log_line("state: %s", warm_start_.reason.c_str());
  sidecar_.restore(warm_start_);
}

bool Daemon::listen() {
  try {
    if (predecessor_.link >= 0 && sidecar_.listen_on(predecessor_.listeners)) {
      predecessor_.listeners.clear();  // the sidecar owns them now
    } else {
      sidecar_.listen();
    }
  } catch (const std::system_error& e) {
    log_line("%s: %s", listen_text_.c_str(), e.what());
    return false;
  }
  log_line("%s serves at %s", name_.c_str(), listen_text_.c_str());
  if (!hot_restart_socket_.empty()) {
    hot_restart_.emplace(
        scheduler_, hot_restart_socket_, [this] { return transfer_payload(); }, [this] { on_peer_change(); });
    if (predecessor_.link >= 0) hot_restart_->adopt_predecessor(std::exchange(predecessor_.link, -1));
    on_peer_change();
  }
  return true;
}

// --- Hot restart

hot_restart::TransferPayload Daemon::transfer_payload() const {
  return {sidecar_.listening_descriptors(), config_reader_ ? sidecar_.serialize_state() : std::string("{}")};
}

void Daemon::on_peer_change() {
  const hot_restart::PeerLink &predecessor = hot_restart_->predecessor(),
                              &successor = hot_restart_->successor();
  sidecar_.on_peer_status(successor.is_serving(), predecessor.is_serving(),
                          predecessor.is_connected() || successor.is_connected());
  // Once a successor that served is gone, or ends, this process serves alone again and may have another.
  const bool serves = !sidecar_.is_ending() && !successor.is_serving();
  if (std::exchange(announced_serving_, serves) == serves) return;
  if (serves) hot_restart_->listen();
  hot_restart_->announce(serves);
}

// --- Signals

void Daemon::handle_signal(int signal) {
  if (signal == SIGUSR1) {
    log_line("%s", sidecar_.counters().as_json().c_str());
  } else if (signal != SIGHUP) {
    log_line("%s drains", name_.c_str());
    // Now and not only at the end: the next process may start while this one still drains.
    if (store_) write_snapshot(false);
    sidecar_.shut_down(sidecar_.shutdown_timeout());
    if (hot_restart_) on_peer_change();
  } else if (config_reader_) {
    sidecar_.count_reload(reload(sidecar_, config_reader_, config_));
  } else {
    log_line("the operator's file is read at a start only; nothing changes");
  }
}

bool Daemon::step() {
  scheduler_.turn();
  while (const int signal = signals_.next()) handle_signal(signal);
  sidecar_.update_warm_start();
  if (store_ && scheduler_.now() >= next_snapshot_at_) {
    log_store_status();
    write_snapshot(false);
  }
  if (!sidecar_.finished()) return true;
  if (store_) {
    write_snapshot(true);
    store_->flush();
  }
  log_line("%s", sidecar_.counters().as_json().c_str());
  return false;
}

// --- Snapshots

void Daemon::write_snapshot(bool is_final) {
  next_snapshot_at_ =
      scheduler_.now() + config_.snapshot_interval * (min_interval_part + interval_spread * random_.unit());
  snapshot::Snapshot snapshot = sidecar_.learned_state();
  snapshot.sidecar_name = config_.name;
  snapshot.sidecar_count = sidecar_count();
  snapshot.incarnation = last_snapshot_.incarnation + 1;
  snapshot.is_clean_shutdown = is_final;
  snapshot.written_at = store_->now();
  store_->save(std::move(snapshot));
}

/// A store that fails is logged once, and once more when it works again.
void Daemon::log_store_status() {
  const snapshot::StoreCounters now = store_->counters();
  const bool has_failed = now.failed > logged_store_status_.failed;
  const bool has_written = now.written > logged_store_status_.written;
  if (has_failed && !store_is_failing_) log_line("state: not kept: %s", now.last_error.c_str());
  if (has_written && !has_failed && store_is_failing_) log_line("state: kept again");
  if (now.superseded > logged_store_status_.superseded)
    log_line("state: the disk is slow, %llu snapshots were replaced before they were written",
             static_cast<unsigned long long>(now.superseded - logged_store_status_.superseded));
  if (has_failed || has_written) store_is_failing_ = has_failed;
  logged_store_status_ = now;
}

// --- The program

namespace {

int serve(Daemon& daemon) {
  std::signal(SIGPIPE, SIG_IGN);
  if (!daemon.listen()) return 1;
  while (daemon.step()) {
  }
  return 0;
}

}  // namespace

int serve(const ConfigReader& reader, const std::string& folder) {
  net::Scheduler scheduler;
  Daemon daemon(scheduler, reader, folder);
  return serve(daemon);
}

int serve_file(const operator_file::Model& model, const std::string& folder) {
  net::Scheduler scheduler;
  Daemon daemon(scheduler, model, folder);
  return serve(daemon);
}

}  // namespace chutevane::sidecar
