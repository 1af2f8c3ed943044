/// The load balancer of one sidecar: selects the endpoint of each API call, and decides whether the call is
/// retried and how long it may wait. It does no I/O and reads no clock.
///
/// The owner reports events, executes the answers that are returned, and calls on_timer() no later than
/// next_wake(). Every event carries the time of one monotonic clock, which never decreases. Returned views
/// stay valid until the next call. An instance is used by one thread; instances share no state.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane {

/// The balancer's decisions on an event, in the order in which they are to be executed.
using Answers = std::span<const Answer>;

class Balancer {
 public:
  /// `settings` are those of the deployment, by name; `seed` determines all random choices. Throws
  /// SettingError, which names the key and the value, if a required setting is missing or malformed.
  Balancer(const Settings& settings, std::uint64_t seed, TimePoint now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // --- Events
  /// Applies an endpoint list, in full or as changes, or records that a request for one has failed.
  Answers on_endpoint_list(ListKind kind, std::span<const ListedEndpoint> entries, TimePoint now);
  /// Handles a new API call. Returns exactly one answer, which may be `wait`.
  Answer on_call(const ApiCall& call, TimePoint now);
  /// Handles the end of a dispatch. Unless `end.call_over` is set, the call still needs a final answer.
  Answers on_dispatch_end(const DispatchEnd& end, TimePoint now);
  /// Records that a part of a large request has been forwarded. The call's time restarts here. After the
  /// last part the call counts as in progress.
  void on_upload_progress(CallId call, bool last, TimePoint now);
  /// Records that a response was cut off after its dispatch had been reported as done, at its first byte.
  void on_response_broken(EndpointId endpoint, TimePoint now);
  /// Records that the client has disconnected: its call needs no final answer any more.
  Answers on_client_disconnect(CallId call, TimePoint now);
  /// Applies the load of an endpoint that another sidecar published (Verdict::publish_load).
  void on_published_load(EndpointId endpoint, std::uint32_t load, TimePoint now);
  /// Runs the timers that are due.
  Answers on_timer(TimePoint now);
  /// Returns the time at which on_timer() is to be called. Any event may change it.
  [[nodiscard]] TimePoint next_wake() const;

  // --- Warm start: learned state that one process hands over to the next
  /// Returns the measured latencies of ready endpoints.
  [[nodiscard]] std::vector<LearnedLatency> learned_latencies() const;
  /// Restores the latencies of listed endpoints. Existing measurements are kept, and latencies of an earlier
  /// process of an endpoint are ignored.
  void restore_latencies(std::span<const LearnedLatency> latencies, TimePoint now);
  [[nodiscard]] LearnedLoad learned_load(TimePoint now) const;
  /// Restores the load estimate. To be called after the first endpoint list has been applied.
  void restore_load(const LearnedLoad& load, TimePoint now);

  /// Sets the share, from 0 to 1, of this sidecar's slow start budgets that this process may use: during a
  /// hot restart two processes act as one sidecar.
  void set_slow_start_share(double share);

  // --- For metrics and tests
  /// Returns the number of ready endpoints that are ejected or silent.
  [[nodiscard]] std::size_t avoided_endpoint_count(TimePoint now) const;
  /// Returns true if calls may be sent to the endpoint, even if the current list does not contain it.
  [[nodiscard]] bool is_usable(EndpointId endpoint) const;
  /// Returns the number of allocated endpoint slots: the most endpoints that were listed or in use at a time.
  [[nodiscard]] std::size_t endpoint_slot_count() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace chutevane
