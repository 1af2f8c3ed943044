/// One sidecar, put together: listeners for clients, the router, a pool of endpoints for each balancer, the
/// admin address, and the state machine by which it drains.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admin/admin_server.hpp"
#include "config/config.hpp"
#include "net/scheduler.hpp"
#include "net/task.hpp"
#include "sidecar/balancer_driver.hpp"
#include "sidecar/call_protocol.hpp"
#include "sidecar/counters.hpp"
#include "sidecar/listener.hpp"
#include "sidecar/service_router.hpp"
#include "sidecar/upstream_pool.hpp"
#include "snapshot/startup_progress.hpp"
#include "snapshot/warm_start.hpp"

namespace chutevane::sidecar {

/// How far a drain has come. `announcing` and `draining` are of every drain, and end in `serving` again or go
/// on to the process's end; the phases behind them are of that end alone.
///
///   starting -> serving -> announcing -> draining -> closing -> aborting -> finished
enum class DrainPhase : std::uint8_t {
  starting,  // not listening yet
  serving,
  announcing,  // `GET /ready` answers 503; new connections are still on their way and are served
  draining,    // out of service: responses end their connections. Before an end: no new connections
  closing,     // idle connections are closed, each response ends its connection
  aborting,    // the time is up: every call in flight has been answered with an abort
  finished
};

/// Owns all that serves; runs on the scheduler's one thread.
class Sidecar final : public admin::AdminHandler {
 public:
  /// From the platform's configuration: one service with one pool. `scheduler` outlives it.
  Sidecar(net::Scheduler& scheduler, const config::Config& config);
  /// From an operator's file; `model` outlives it.
  Sidecar(net::Scheduler& scheduler, const operator_file::Model& model);

  /// Starts serving. Throws std::system_error.
  void listen();
  /// The same with listening descriptors of another process, which it takes over; false, with nothing done,
  /// where their addresses are not those of this sidecar.
  [[nodiscard]] bool listen_on(const std::vector<int>& fds);
  std::vector<int> listening_descriptors() const;
  /// The first listener's address, or that of one by its index in the file.
  std::optional<sockaddr_in> address(std::size_t listener = 0) const {
    return listeners_[listener]->address();
  }

  // Hot restart: two processes serve side by side for a while (docs/days.md).

  /// What is known of the other process on this address: whether a successor or a predecessor serves, and
  /// whether either lives. While it does, this process uses its share of the limits.
  void on_peer_status(bool successor_serves, bool predecessor_serves, bool peer_lives);
  /// The learned state as the successor takes it.
  std::string serialize_state() const;
  /// Takes over the state of a predecessor that serves at this moment. Throws snapshot::FormError.
  void restore_state(std::string_view serialized);

  /// Takes over what may change while it serves: the address of discovery and the time-outs of downstream
  /// connections. Connections, calls and the endpoint list stay.
  void reconfigure(const config::Config& config);
  /// Counts a SIGHUP, for operators.
  void count_reload(bool applied) { ++(applied ? counters_.sighup_applied : counters_.sighup_rejected); }

  /// Drains and ends; what is still in flight after `timeout` is aborted. Only the first call counts.
  void shut_down(Span timeout);
  /// The time-out of a shutdown: until no client waits any more, within what the platform leaves.
  Span shutdown_timeout() const;
  bool is_ending() const { return is_ending_; }
  bool finished() const { return phase_ == DrainPhase::finished; }

  /// What a snapshot keeps for the next process; owner and times are for the caller to fill in.
  snapshot::Snapshot learned_state() const;
  /// Takes what of an earlier process's snapshot still counts.
  void restore(const snapshot::WarmStart& warm_start);
  /// Follows how far the sidecar is on its way to full service, where somebody can ask for it.
  void update_warm_start();

  // admin::AdminHandler: operators' calls, from the admin address
  bool accepts_clients() const override { return phase_ == DrainPhase::serving; }
  std::string counters_json() const override;
  std::string startup_progress_json() const override;
  bool take_out_of_service() override;
  bool return_to_service() override;
  std::optional<sockaddr_in> admin_address() const { return admin_ ? admin_->address() : std::nullopt; }

  /// Null with the platform's configuration.
  const ServiceRouter* service_router() const { return service_router_.get(); }
  const net::BufferBudget& buffer_budget() const { return buffer_budget_; }
  const Counters& counters() const { return counters_; }

 private:
  net::Task run_phases();
  void advance_phase(TimePoint now);
  void enter(DrainPhase phase, TimePoint now);
  static void apply_phase(Listener& listener, DrainPhase phase, bool is_ending, bool peer_serves);
  void start_serving();
  void create_admin_server(const std::string& address, std::size_t descriptors);
  std::size_t downstream_connections() const;
  CallRouter& router() {
    return single_router_ ? static_cast<CallRouter&>(*single_router_) : *service_router_;
  }

  net::Scheduler& scheduler_;
  std::vector<sockaddr_in> listen_addresses_;
  const Span longest_client_timeout_;
  const std::string deployment_;  // a fingerprint of the settings; empty: an operator's file
  Counters counters_;
  snapshot::StartupProgress startup_progress_;
  std::string started_from_ = "nothing";  // whose state it was restored from, for operators
  CallProtocol protocol_;
  net::BufferBudget buffer_budget_;  // the bytes of all connections: declared before whatever counts in it
  ConnectionBudget connection_budget_;
  std::vector<std::unique_ptr<EndpointPool>> pools_;
  // One of the two: by the platform's configuration, by an operator's file.
  std::unique_ptr<SingleServiceRouter> single_router_;
  std::unique_ptr<ServiceRouter> service_router_;
  ActiveRequestIds active_ids_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::optional<sockaddr_in> admin_listen_address_;
  std::unique_ptr<admin::AdminServer> admin_;  // null: no admin address
  DrainPhase phase_ = DrainPhase::starting;
  bool peer_serves_ = false;  // new connections are another process's
  bool is_ending_ = false;    // the phases lead to the process's end and not back
  TimePoint phase_since_, shutdown_deadline_;
  net::Waker waker_;
  net::Timer timer_;
  net::Task phase_task_;
};

}  // namespace chutevane::sidecar
