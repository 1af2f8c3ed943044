/// Decides for one sidecar: where an API call goes, whether it goes again, how long it waits. No I/O, no
/// clock.
///
/// The owner reports events, carries out the answers that come back, and calls woken() no later than
/// next_wake(). Every event brings the time of one monotonic clock, never falling. Views that are returned
/// hold until the next call. An instance serves one thread; instances share nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane {

/// What is to be done after an event, in order.
using Answers = std::span<const Answer>;

class Balancer {
 public:
  /// `settings`: of the deployment, by name. `seed`: of all random choices. Throws SettingError, naming key
  /// and value, when a needed setting is missing or no number.
  Balancer(const Settings& settings, std::uint64_t seed, TimePoint now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // --- Events
  /// An endpoint list has come, in full or as changes; or asking for one has failed.
  Answers listed(ListKind kind, std::span<const ListedEndpoint> entries, TimePoint now);
  /// A new API call: exactly one answer, which may be to wait.
  Answer arrived(const ApiCall& call, TimePoint now);
  /// A dispatch has ended. Without `call_over` the call is still owed its answer.
  Answers ended(const DispatchEnd& end, TimePoint now);
  /// More of a large request has been sent on, or the last of it: the call's time counts from here, and with
  /// the last part the call counts among those in progress.
  void moved(CallId call, bool last, TimePoint now);
  /// A response has broken off after its dispatch was reported as done, when it began.
  void broke(EndpointId endpoint, TimePoint now);
  /// The client has left; nothing more is owed to it.
  Answers client_left(CallId call, TimePoint now);
  /// Another sidecar's `tell` has come: its endpoint and number.
  void told(EndpointId endpoint, std::uint32_t load, TimePoint now);
  /// Time has passed.
  Answers woken(TimePoint now);
  /// When woken() is to be called, unless another event comes first and changes it.
  [[nodiscard]] TimePoint next_wake() const;

  // --- Warm start: what one process has learned, for the next
  /// The latencies of ready endpoints, where measured.
  [[nodiscard]] std::vector<LearnedLatency> learned_latencies() const;
  /// Takes latencies of endpoints that the list has named; what is measured already stays. Those of another
  /// start of an endpoint are left out.
  void restore_latencies(std::span<const LearnedLatency> latencies, TimePoint now);
  [[nodiscard]] LearnedLoad learned_load(TimePoint now) const;
  /// To be called once the first list has come.
  void restore_load(const LearnedLoad& load, TimePoint now);

  /// The share of this sidecar's slow start budgets that is this process's, 0 to 1: during a hot restart two
  /// processes serve as one sidecar.
  void set_slow_start_share(double share);

  // --- For counters and checks
  /// Ready endpoints that are passed over now.
  [[nodiscard]] std::size_t avoided(TimePoint now) const;
  /// Whether calls may go to the endpoint; it may be one that a list has dropped.
  [[nodiscard]] bool usable(EndpointId endpoint) const;
  /// Places for endpoints: as many as were listed, or still answered calls, at one time.
  [[nodiscard]] std::size_t endpoints_kept() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace chutevane
