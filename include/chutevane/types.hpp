/// The plain values that go in and out of the balancer.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <stdexcept>
#include <string>

namespace chutevane {

/// A length of time. Never mixes with a point in time except as point + span and point - point.
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

/// A reading of the caller's clock. There is no "now" in the library: every call brings its own.
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
using EndpointId = std::uint64_t;  ///< the bytes that name it, kept as they came

/// Settings by name. The balancer reads what it needs; names it does not know are left alone.
using Settings = std::map<std::string, std::string, std::less<>>;

struct SettingError : std::runtime_error {
  SettingError(const std::string& k, const std::string& why) : std::runtime_error(k + ": " + why), key(k) {}
  std::string key;
};

enum class Availability : std::uint8_t { ready, draining, gone };

struct ListedEndpoint {
  EndpointId id = 0;
  std::uint16_t zone = 0;
  std::uint16_t cell = 0;
  Availability availability = Availability::ready;
  double size = 1.0;        ///< relative, as the list states it
  TimePoint came_up;        ///< zero: long ago
  std::uint16_t model = 0;  ///< of machine, as the list numbers them
  std::uint64_t mark = 0;   ///< tells it from others, alike at all sidecars; 0: its id does
};

/// The latency of an endpoint as a process has learned it, for another process beside the same clients.
struct LearnedLatency {
  EndpointId endpoint = 0;
  TimePoint started_at;     ///< of the endpoint's process that was measured
  double latency_ms = 0.0;  ///< smoothed
};

/// What a sidecar has learned of its own load, for the process that takes over its clients.
struct LearnedLoad {
  double limit = 0.0;      ///< on calls in progress; 0: nothing was learned
  double rate = 0.0;       ///< calls/s
  double late_part = 0.0;  ///< fraction of its results that were late
  double retry_tokens = 0.0;
  /// Response times in the estimate's window: the quantiles at the middle of each twentieth. Zeros: not
  /// measured.
  std::array<double, 20> times_ms{};
  bool on_trial = false;  ///< the limit is from before a gap: it stands until first results speak against it
  bool budgets_spent = false;  ///< slow start budgets begin empty
};

enum class ListKind : std::uint8_t { failed, full, cached, changes };

/// What was done for an API call before it came here, by other pools of endpoints.
struct Elsewhere {
  bool was = false;
  std::uint8_t dispatches = 0;
  bool may_have_run = false;  ///< one of them
  Span spent;                 ///< since the call was first taken
};

struct ApiCall {
  CallId id = 0;
  std::uint32_t track = 0;
  Span left;  ///< until the client gives this try up
  bool repeated = false;
  Elsewhere elsewhere{};
  std::uint64_t key = 0;  ///< what the call is about; 0: not told
  bool coming = false;    ///< its request is large and still on its way: told of by moved()
};

enum class Outcome : std::uint8_t {
  done,
  error,
  turned_away,
  timed_out,
  not_connected,
  reset,
  cancelled,
  not_sent
};

/// What an endpoint says of its load; a negative figure was not given.
struct LoadReport {
  double waiting = -1.0;
  double held = -1.0;  ///< API calls that it holds, waiting or in work
  double busy = -1.0;
  double service_ms = -1.0;
};

struct DispatchEnd {
  CallId call = 0;
  EndpointId endpoint = 0;
  std::uint32_t number = 0;  ///< 0 for a call's first dispatch, then 1, 2, ...
  bool call_over = false;    ///< the client has its answer, or needs none
  Outcome outcome = Outcome::done;
  Span elapsed;
  LoadReport load{};
  bool last = false;  ///< its request is no longer held whole: it cannot go again
};

enum class Verdict : std::uint8_t {
  nothing,
  dispatch,  ///< send `call` to `endpoint`, give up on it after `span`; where `until` is set, it has gone out
             ///< by then or does not go out
  wait,      ///< hold `call`; the balancer comes back to it by `until`
  reject,    ///< final: safe to try again, after `span` where one is stated
  break_off,  ///< final: no promise
  cancel,     ///< stop waiting for dispatch `number` of `call`
  tell,       ///< pass `endpoint` and `number` on to all other sidecars, which take it in told()
  subscribe,  ///< ask for the list and its changes
  log,        ///< `text` is worth a line in the log
};

struct Answer {
  Verdict verdict = Verdict::nothing;
  CallId call = 0;
  EndpointId endpoint = 0;
  std::uint32_t number = 0;
  Span span{};
  TimePoint until{};
  bool fresh = false;  ///< dispatch: not on a connection that has idled; such ones are to be closed
  std::array<char, 96> text{};
};

}  // namespace chutevane
