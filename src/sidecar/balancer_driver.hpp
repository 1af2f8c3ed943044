/// Connects the balancer of one pool with the world: hands it every event with the time, and carries out what
/// it decides. Decides nothing itself.
///
/// The balancer is never entered while it is at work. Its answers, and the ends of dispatches that come of
/// carrying them out, are queued and processed one after the other (process_queues()).
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/slab.hpp"
#include "chutevane/balancer.hpp"
#include "config/config.hpp"
#include "discovery/endpoint_watcher.hpp"
#include "net/scheduler.hpp"
#include "sidecar/counters.hpp"
#include "sidecar/downstream_request.hpp"
#include "sidecar/recent_removals.hpp"
#include "sidecar/upstream_pool.hpp"
#include "snapshot/warm_start.hpp"

namespace chutevane::sidecar {

/// One per pool of endpoints. Single-threaded, as everything on a scheduler.
class BalancerDriver final : public DispatchObserver, public discovery::EndpointListObserver {
 public:
  /// References outlive it. Starts from the configuration's list, and watches discovery if that is
  /// configured.
  BalancerDriver(net::Scheduler& scheduler, const config::Config& config, UpstreamPool& pool,
                 Counters& counters);

  /// Starts a call; returns its id. The response may have been delivered before this returns.
  CallId submit(ApiCall call, DownstreamRequest& request);
  /// The client is gone; nothing for an id that is not known.
  void cancel(CallId call);
  /// The process is about to end: aborts every call in flight, with a response for each.
  void abort_all();

  void set_discovery_address(const std::string& address) {
    if (watcher_) watcher_->set_address(address);
  }
  std::size_t listed_endpoints() const { return pool_.listed_count(); }
  std::size_t ejected_endpoints() const { return balancer_.avoided_endpoint_count(scheduler_.now()); }
  std::size_t ready_endpoints() const { return pool_.ready_count(); }
  /// What the balancer has learned, and the list; owner, time and deployment are for the caller to fill in.
  snapshot::Snapshot learned_state() const;
  void restore(const snapshot::WarmStart& warm_start);
  /// This process's part, 0 to 1, of the sidecar's budgets, while two processes serve side by side.
  void set_share(double share) { balancer_.set_slow_start_share(share), pool_.set_share(share); }

  // DispatchObserver
  void on_request_progress(const Dispatch& dispatch, bool is_last) override;
  bool on_response_started(const Dispatch& dispatch, const http::Parser& response,
                           const std::shared_ptr<BodyPipe>& body) override;
  void on_response_broken(EndpointId endpoint) override {
    balancer_.on_response_broken(endpoint, scheduler_.now());
  }
  void on_dispatch_end(const Dispatch& dispatch, Outcome outcome, const http::Parser* response) override;
  // discovery::EndpointListObserver
  void on_endpoint_list(const discovery::EndpointList& list) override;
  void on_endpoint_list_failure() override;

 private:
  static constexpr std::size_t max_dispatches = 8;  // of one call: as many as the balancer can keep
  struct Call {
    CallId id = 0;
    DownstreamRequest* request = nullptr;  // null once answered or cancelled
    std::uint8_t dispatches_in_flight = 0;
    bool timed_out = false;  // how its last dispatch ended
    pool::AttemptHistory history;
    std::array<UpstreamConnection*, max_dispatches> connections{};  // by dispatch number
  };

  net::Task run_timer();

  void apply_list(ListKind kind, const discovery::EndpointList& list);
  ListedEndpoint apply_entry(const discovery::EndpointEntry& entry, bool is_stale);
  void remove_confirmed();

  void enqueue(Answers answers);
  void process_queues();
  void process_dispatch_end();
  void execute(const Answer& answer);
  void dispatch(std::uint32_t slot, const Answer& answer);
  void reject_or_abort(std::uint32_t slot, const Answer& answer);

  DownstreamRequest* release_request(std::uint32_t slot);
  pool::AttemptHistory history_of(std::uint32_t slot) const;
  void queue_dispatch_end(const Dispatch& dispatch, Outcome outcome, bool call_over, bool is_last);
  void cancel_unsent(CallId call);
  void erase_if_finished(std::uint32_t slot);

  net::Scheduler& scheduler_;
  UpstreamPool& pool_;
  Counters& counters_;
  Balancer balancer_;
  // The balancer takes zones and machine models by number: the index of their names here.
  std::vector<std::string> zones_, models_;
  std::map<std::string, discovery::EndpointEntry> listed_;  // the current list, by discovery's ids
  std::uint64_t list_version_ = 0;
  RecentRemovals removals_;
  CallId last_id_ = 0;
  Slab<Call> calls_;
  IdIndex call_index_;
  std::deque<Answer> answers_;             // still to be carried out, in order
  std::deque<DispatchEnd> dispatch_ends_;  // still to be handed to the balancer
  bool is_processing_ = false;
  std::optional<discovery::EndpointWatcher> watcher_;  // none: the list is the configuration's
  net::Waker waker_;
  net::Timer timer_;
  net::Task timer_task_;
};

}  // namespace chutevane::sidecar
