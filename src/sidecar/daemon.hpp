/// A sidecar as a process has it: signals, hot restart, snapshots of its learned state.
///
/// Signals: SIGTERM and SIGINT drain and end it; SIGHUP reads the configuration again; SIGUSR1 logs the
/// counters.
///
/// Hot restart: a process that starts asks for a predecessor at the meeting point (a Unix socket in a
/// folder). From a predecessor it gets the listening descriptors, the endpoint list and the learned state.
/// Then both keep a link over which each tells whether it serves, and the process itself becomes the one that
/// a successor will find.
///
/// Snapshots: without a predecessor it starts from the last snapshot, as far as that still counts; it writes
/// one at intervals, on SIGTERM and at its end.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/pcg.hpp"
#include "config/config.hpp"
#include "hot_restart/hot_restart_channel.hpp"
#include "net/scheduler.hpp"
#include "net/signals.hpp"
#include "sidecar/sidecar.hpp"
#include "snapshot/snapshot_store.hpp"
#include "snapshot/warm_start.hpp"

namespace chutevane::sidecar {

/// Reads the configuration, at the start and on each SIGHUP. Throws ConfigError.
using ConfigReader = std::function<config::Config()>;

/// Reads the configuration again and takes over what may change while the sidecar serves. A configuration
/// that cannot be used changes nothing and costs one log line, which names the key; false then.
bool reload(Sidecar& sidecar, const ConfigReader& reader, const config::Config& in_force);

class Daemon {
 public:
  /// From the platform's configuration. `folder`: where processes of one sidecar meet; empty: no hot restart.
  /// `store`: of the snapshots; null: the files that the configuration names, if it does. Throws ConfigError,
  /// and std::runtime_error where another successor is starting already.
  explicit Daemon(net::Scheduler& scheduler, ConfigReader reader, const std::string& folder = "",
                  std::unique_ptr<snapshot::SnapshotStore> store = nullptr);
  /// From an operator's file: without snapshots, and SIGHUP changes nothing.
  Daemon(net::Scheduler& scheduler, const operator_file::Model& model, const std::string& folder = "");

  /// Starts serving; false, after a log line, where it cannot listen.
  [[nodiscard]] bool listen();
  /// One turn of the scheduler, then what signals ask for; false once the sidecar has drained.
  bool step();
  void handle_signal(int signal);
  const Sidecar& sidecar() const { return sidecar_; }

 private:
  static config::Config with_available_descriptors(config::Config config, net::System& system);
  static operator_file::Model with_available_descriptors(operator_file::Model model, net::System& system);

  // The start
  config::Config with_known_list(config::Config config);
  void load_snapshot();
  snapshot::ProcessContext process_context() const;
  void restore_learned_state();

  // Hot restart
  hot_restart::TransferPayload transfer_payload() const;
  void on_peer_change();

  // Snapshots
  void write_snapshot(bool is_final);
  void log_store_status();
  std::uint32_t sidecar_count() const;

  net::Scheduler& scheduler_;
  net::Waker waker_;
  net::Signals signals_;
  ConfigReader config_reader_;                      // empty: an operator's file
  config::Config config_;                           // as it was at the start
  std::unique_ptr<snapshot::SnapshotStore> store_;  // null: no snapshots
  snapshot::Snapshot last_snapshot_;                // an earlier process's, if it could be read
  snapshot::WarmStart warm_start_;                  // what of it still counts
  TimePoint next_snapshot_at_;
  Pcg random_;  // spreads the snapshots of sidecars that started together
  snapshot::StoreCounters logged_store_status_;
  bool store_is_failing_ = false;  // as last logged
  operator_file::Model model_;     // of an operator's file
  std::string name_, listen_text_, hot_restart_socket_;
  hot_restart::ReceivedTransfer predecessor_;  // what it has handed over; without a link: there is none
  Sidecar sidecar_;
  std::optional<hot_restart::HotRestartChannel> hot_restart_;
  bool announced_serving_ = false;  // as last told to the other process
};

/// Serves until a drain is over. Returns the exit status. `folder`: see Daemon.
int serve(const ConfigReader& reader, const std::string& folder = "");
int serve_file(const operator_file::Model& model, const std::string& folder);

}  // namespace chutevane::sidecar
