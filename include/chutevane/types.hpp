/// The value types of the balancer's interface.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <stdexcept>
#include <string>

namespace chutevane {

/// A duration with a resolution of 1 us.
class Span {
 public:
  constexpr Span() = default;
  static constexpr Span ms(double v) { return Span(static_cast<std::int64_t>(v * 1000.0)); }
  static constexpr Span us(std::int64_t v) { return Span(v); }
  constexpr double as_ms() const { return static_cast<double>(us_) / 1000.0; }
  constexpr std::int64_t as_us() const { return us_; }
  constexpr auto operator<=>(const Span&) const = default;
  constexpr Span operator+(Span o) const { return Span(us_ + o.us_); }
  constexpr Span operator-(Span o) const { return Span(us_ - o.us_); }
  constexpr Span operator*(double f) const {
    return Span(static_cast<std::int64_t>(static_cast<double>(us_) * f));
  }
  constexpr double operator/(Span o) const { return static_cast<double>(us_) / static_cast<double>(o.us_); }

 private:
  constexpr explicit Span(std::int64_t us) : us_(us) {}
  std::int64_t us_ = 0;
};

/// A point in time on the caller's monotonic clock. The library reads no clock: each call passes the time.
class TimePoint {
 public:
  constexpr TimePoint() = default;
  static constexpr TimePoint at_ms(double v) { return TimePoint(static_cast<std::int64_t>(v * 1000.0)); }
  static constexpr TimePoint never() { return TimePoint(std::numeric_limits<std::int64_t>::max() / 4); }
  constexpr double as_ms() const { return static_cast<double>(us_) / 1000.0; }
  constexpr auto operator<=>(const TimePoint&) const = default;
  constexpr TimePoint operator+(Span s) const { return TimePoint(us_ + s.as_us()); }
  constexpr TimePoint operator-(Span s) const { return TimePoint(us_ - s.as_us()); }
  constexpr Span operator-(TimePoint o) const { return Span::us(us_ - o.us_); }

 private:
  constexpr explicit TimePoint(std::int64_t us) : us_(us) {}
  std::int64_t us_ = 0;
};

using CallId = std::uint64_t;
using EndpointId = std::uint64_t;  ///< the endpoint's identifier on the wire, as received

/// Settings by name. The balancer ignores names that it does not know.
using Settings = std::map<std::string, std::string, std::less<>>;

/// A missing or malformed setting. `key` is the setting's name.
struct SettingError : std::runtime_error {
  SettingError(const std::string& k, const std::string& why) : std::runtime_error(k + ": " + why), key(k) {}
  std::string key;
};

enum class Availability : std::uint8_t { ready, draining, gone };

/// An entry of an endpoint list.
struct ListedEndpoint {
  EndpointId id = 0;
  std::uint16_t zone = 0;
  std::uint16_t cell = 0;
  Availability availability = Availability::ready;
  double size = 1.0;            ///< relative capacity, as stated by the list
  TimePoint started_at;         ///< start time of the endpoint's process; zero: long ago
  std::uint16_t model = 0;      ///< machine model, as numbered by the list
  std::uint64_t stable_id = 0;  ///< identifier that all sidecars agree on; 0: `id` is used
};

/// The measured latency of an endpoint, for a process that takes over the same clients.
struct LearnedLatency {
  EndpointId endpoint = 0;
  TimePoint started_at;     ///< start time of the endpoint's process that was measured
  double latency_ms = 0.0;  ///< smoothed
};

/// A sidecar's load estimate, for the process that takes over its clients.
struct LearnedLoad {
  double limit = 0.0;          ///< limit on calls in progress; 0: not learned
  double rate = 0.0;           ///< calls/s
  double late_fraction = 0.0;  ///< fraction of results that were late
  double retry_tokens = 0.0;
  /// Quantiles of the response times in the estimate's window, at the middle of each twentieth. Zeros: not
  /// measured.
  std::array<double, 20> times_ms{};
  bool is_on_trial = false;        ///< the limit predates a gap: it is dropped if the first results are late
  bool are_budgets_spent = false;  ///< slow start budgets begin empty
};

enum class ListKind : std::uint8_t { failed, full, cached, changes };

/// The attempts that other endpoint pools have already made for an API call.
struct PriorAttempts {
  bool is_rerouted = false;  ///< the call was in another pool before
  std::uint8_t dispatches = 0;
  bool may_have_run = false;  ///< at least one of the dispatches may have been executed
  Span spent;                 ///< time since the call arrived at the first pool
};

struct ApiCall {
  CallId id = 0;
  std::uint32_t track = 0;
  Span time_left;                ///< time until the client times out
  bool is_marked_retry = false;  ///< the client marks the call as a retry
  PriorAttempts prior_attempts{};
  std::uint64_t key = 0;      ///< the call's key, for cache affinity and ordering; 0: none
  bool is_uploading = false;  ///< its large request is still arriving: see Balancer::on_upload_progress()
};

/// How a dispatch ended.
enum class Outcome : std::uint8_t {
  done,
  error,
  rejected,
  timed_out,
  not_connected,
  reset,
  cancelled,
  not_sent
};

/// The load that an endpoint reports with a response. A negative value was not reported.
struct LoadReport {
  double waiting = -1.0;     ///< queued API calls
  double held = -1.0;        ///< API calls in the endpoint, queued or in service
  double busy = -1.0;        ///< fraction of its cores in use
  double service_ms = -1.0;  ///< service time of this call
};

/// The end of a dispatch.
struct DispatchEnd {
  CallId call = 0;
  EndpointId endpoint = 0;
  std::uint32_t number = 0;  ///< 0 for a call's first dispatch, then 1, 2, ...
  bool call_over = false;    ///< the client has its response, or needs none
  Outcome outcome = Outcome::done;
  Span elapsed;
  LoadReport load{};
  bool cannot_retry = false;  ///< the request is no longer buffered whole, so it cannot be retried
};

/// The kind of an Answer.
enum class Verdict : std::uint8_t {
  nothing,
  dispatch,  ///< send `call` to `endpoint` with a timeout of `span`; if `until` is set, only before `until`
  wait,      ///< hold `call`; the balancer decides on it by `until`
  reject,    ///< final: the client may retry safely, after `span` if it is not zero
  fail,      ///< final: the call may have been executed, so a retry may not be safe
  cancel,    ///< cancel dispatch `number` of `call`
  publish_load,  ///< publish `endpoint` and `number` to all other sidecars: see on_published_load()
  subscribe,     ///< subscribe to the endpoint list and its changes
  log,           ///< write `text` to the log
};

/// One decision of the balancer. The members that its verdict names are set.
struct Answer {
  Verdict verdict = Verdict::nothing;
  CallId call = 0;
  EndpointId endpoint = 0;
  std::uint32_t number = 0;
  Span span{};
  TimePoint until{};
  bool needs_new_connection = false;  ///< dispatch: use a new connection, and close the endpoint's idle ones
  std::array<char, 96> text{};
};

}  // namespace chutevane
