// One sidecar, put together: listens for callers, keeps the list, drives the balancer, drains when told.
#pragma once

#include <functional>

#include "admin/admin_server.hpp"
#include "config/config.hpp"
#include "hot_restart/hot_restart_channel.hpp"
#include "net/scheduler.hpp"
#include "net/signals.hpp"
#include "net/task.hpp"
#include "sidecar/callers.hpp"
#include "sidecar/counters.hpp"
#include "sidecar/driver.hpp"
#include "sidecar/endpoints.hpp"
#include "sidecar/front.hpp"
#include "sidecar/services.hpp"
#include "snapshot/snapshot_store.hpp"
#include "snapshot/startup_progress.hpp"
#include "snapshot/warm_start.hpp"

namespace chutevane::sidecar {

class Sidecar final : public admin::AdminHandler {
 public:
  // The platform's: one service with one pool.
  Sidecar(net::Scheduler& scheduler, const config::Config& config);
  // An operator's: what its file says, which outlives it.
  Sidecar(net::Scheduler& scheduler, const opfile::Model& model);
  void listen();  // from here on it serves; throws std::system_error
  // The same with descriptors that another process listens with; false where they are not those.
  bool listen_on(const std::vector<int>& fds);
  std::vector<int> listeners() const;
  // Of the other process on this address: whether a successor or one before serves, and whether any lives.
  void beside(bool after_serves, bool before_serves, bool lives);
  std::string hand_over() const;
  void take_over(std::string_view handed);  // throws snapshot::FormatError
  // Takes over what may change while it serves: where discovery is, and the bounds on callers. Connections,
  // calls and the list stay.
  void reconfigure(const config::Config& config);
  // The process is to end. Serves through the crossing of new connections, and those that stay for as long as
  // leaves time to answer,
  // then ends once all is answered. What is left when the time is up is broken off.
  void drain(Span within);
  // How long the platform leaves it: until no client waits any more, at most so long.
  Span drain_time() const;
  // What has been learnt, for the process that follows; and what of one before's is evidence.
  snapshot::Snapshot learnt() const;
  void recall(const snapshot::WarmStart& known);
  // How far it is on its way to full service; looks at its own counters, where somebody can ask.
  void look_at_return();
  bool ending() const { return ending_; }
  bool finished() const { return phase_ == Phase::finished; }
  // Operators' words, from the second address.
  bool accepts_clients() const override { return phase_ == Phase::serving; }
  std::string counters_json() const override;
  std::string startup_progress_json() const override;
  bool take_out_of_service() override;
  bool return_to_service() override;
  std::optional<sockaddr_in> admin_address() const { return desk_ ? desk_->address() : std::nullopt; }
  void heard_sighup(bool applied) { ++(applied ? counters_.sighup_applied : counters_.sighup_rejected); }
  std::optional<sockaddr_in> address() const { return callers_.front()->address(); }
  // Where each listener listens, in the file's order.
  std::optional<sockaddr_in> address(std::size_t listener) const { return callers_[listener]->address(); }
  const Services* services() const { return services_.get(); }  // none: the platform's
  const net::BufferBudget& held() const { return held_; }
  const Counters& counters() const { return counters_; }

 private:
  // `crossing` and `emptying` are a drain's, in service again or to the end; the others an end's alone.
  enum class Phase : std::uint8_t { starting, serving, crossing, emptying, closing, breaking, finished };
  net::Task keep_phase();
  void step(TimePoint now);
  void enter(Phase phase, TimePoint now);
  void open();
  void open_desk(const std::string& address, std::size_t sockets);
  Intake& intake() { return single_ ? static_cast<Intake&>(*single_) : *services_; }

  net::Scheduler& scheduler_;
  std::size_t callers() const;

  std::vector<sockaddr_in> listen_at_;
  const Span longest_timeout_;
  const std::string deployment_;
  Counters counters_;
  snapshot::StartupProgress coming_back_;
  std::string started_from_ = "nothing";
  Front front_;
  net::BufferBudget held_;  // the bytes of all connections; above what counts in it
  Room room_;
  std::vector<std::unique_ptr<Pool>> pools_;
  std::unique_ptr<SingleService> single_;
  std::unique_ptr<Services> services_;
  OpenIds open_ids_;
  std::vector<std::unique_ptr<Callers>> callers_;  // one for each listener
  std::optional<sockaddr_in> desk_at_;
  std::unique_ptr<admin::AdminServer> desk_;  // none: no second address
  Phase phase_ = Phase::starting;
  bool other_serves_ = false;  // new connections are another process's
  bool ending_ = false;        // SIGTERM: whatever is said from here on, it ends
  TimePoint since_, last_;     // of the phase; when all is answered at the latest
  net::Waker waker_;
  net::Timer timer_;
  net::Task keeper_;
};

using Reading = std::function<config::Config()>;  // of the configuration; throws ConfigError

// Reads again and reconfigures. What cannot be used costs one log line that names the key, and nothing
// changes; false then.
bool reload(Sidecar& sidecar, const Reading& reading, const config::Config& in_force);

// A sidecar as a process has it: with its signals. SIGTERM and SIGINT drain, SIGHUP reads the configuration
// again, SIGUSR1 prints the counters.
class Daemon {
 public:
  // `folder`: where processes of one sidecar meet; empty: they do not. Throws ConfigError, and
  // std::runtime_error where another successor starts already.
  // `store`: where its snapshots lie; none: in the files that the configuration names, if it does.
  explicit Daemon(net::Scheduler& scheduler, Reading reading, const std::string& folder = "",
                  std::unique_ptr<snapshot::SnapshotStore> store = nullptr);
  // Of an operator's file; SIGHUP changes nothing yet and says so.
  Daemon(net::Scheduler& scheduler, const opfile::Model& model, const std::string& folder = "");
  bool listen();          // false, and a line in the log, where it cannot
  bool step();            // one turn, then what signals ask; false once it has drained
  void heed(int signal);  // does what it asks
  const Sidecar& sidecar() const { return sidecar_; }

 private:
  static config::Config within(config::Config config, net::System& system);
  config::Config started_with(config::Config config);
  static opfile::Model within(opfile::Model model, net::System& system);
  void inherit();
  void meet();
  hot_restart::TransferPayload estate() const;
  void look_back();
  void save(bool ended);
  void tell_of_store();

  net::Scheduler& scheduler_;
  net::Waker waker_;
  net::Signals signals_;
  Reading reading_;
  config::Config in_force_;
  std::unique_ptr<snapshot::SnapshotStore> store_;  // none: nothing is kept
  snapshot::Snapshot before_;                       // as the process before wrote it, where it can be read
  snapshot::WarmStart known_;                       // of it
  TimePoint save_at_;
  Pcg chance_;  // spreads the snapshots of a fleet that started together
  snapshot::StoreCounters told_;
  bool store_fails_ = false;  // as last told
  opfile::Model model_;
  std::string name_, where_, place_;
  hot_restart::ReceivedTransfer given_;
  Sidecar sidecar_;
  std::optional<hot_restart::HotRestartChannel> post_;
  bool serves_ = false;  // as last told to the other process
};

// Serve on this machine until a drain is over; the exit status.
// `folder`: see Daemon.
int serve(const Reading& reading, const std::string& folder = "");
int serve_file(const opfile::Model& model, const std::string& folder);

}  // namespace chutevane::sidecar
