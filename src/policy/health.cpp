/// Endpoint health, learned from ended attempts: latency, load, failures. An outlier, whose tail latency is
/// far above its peers', gets one call at a time. An endpoint that fails, or is silent while its peers
/// respond, is ejected and tried again with exponential backoff.
#include <algorithm>

#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {

constexpr double model_gain = 0.02;     // weight of a response: averages about 50
constexpr double full_load = 1.2;       // reported calls per endpoint above which it has no spare capacity
constexpr double rejecting_load = 4.0;  // multiple of min_calls_per_endpoint assumed for a rejecting endpoint
constexpr Span publish_interval = Span::ms(500);     // per endpoint; load reports are about as old
constexpr double busy_offset = 0.02;                 // a core that is never idle counts as 50 calls
constexpr double load_gain = 0.05;                   // weight of a report: averages about 20
constexpr Span utilization_memory = Span::ms(1000);  // time after which one report replaces the average
constexpr double overload_utilization = 1.2;  // assumed after a timeout or a full queue, without a report
constexpr double full_busy = 0.88;            // reported fraction of busy cores that leaves no spare capacity
constexpr double cap_growth = 0.2;            // calls per response: doubles in about 4 round trips
constexpr double min_lifted_cap = 2.0;
constexpr double lifted_cap_factor = 3.0;    // multiple of the mean in flight above which the cap is lifted
constexpr int max_consecutive_failures = 3;  // random errors are rare and isolated
constexpr Span min_ejection_pause = Span::ms(500);   // about the duration of a transient fault
constexpr Span max_ejection_pause = Span::ms(4000);  // a recovered endpoint is found within this time
constexpr Span full_queue_pause = Span::ms(50);      // a full queue drains a few calls in this time
// Multiples of p95 without any response: with two or more calls in flight, and with one, which may just be a
// long call.
constexpr double silence_factor = 1.5;
constexpr double single_call_silence_factor = 2.5;
constexpr double refused_gain = 0.1;              // weight of a dispatch: averages about the last 10
constexpr double max_refused_fraction = 0.3;      // more is not explained by single endpoints that are down
constexpr Span min_suspect_idle = Span::ms(500);  // no network drops a connection that was just in use
constexpr double safe_idle_factor = 0.8;          // fraction of the idle time after which a loss was seen
constexpr Span suspicion_time = Span::ms(20000);  // after a loss; new connections cost endpoints work

bool Balancer::State::is_healthy(const Endpoint& endpoint, TimePoint now) {
  if (now < endpoint.ejected_until || (endpoint.is_outlier && endpoint.in_flight > 0)) return false;
  return are_most_silent || !is_silent(endpoint, now);
}

bool Balancer::State::is_silent(const Endpoint& endpoint, TimePoint now) {
  if (endpoint.in_flight == 0 || !estimate.is_measured(now)) return false;
  const double factor = endpoint.in_flight > 1 ? silence_factor : single_call_silence_factor;
  const Span patience = estimate.high(now) * factor;
  return now - endpoint.active_since > std::max(estimate.config().min_timeout, patience);
}

// Returns true if the endpoint's connection has been idle about as long as one that was lost, so that a new
// one is needed.
bool Balancer::State::is_connection_suspect(const Endpoint& endpoint, TimePoint now) const {
  return now - idle_loss_at < suspicion_time && endpoint.in_flight == 0 &&
         endpoint.last_used_at > TimePoint() && now - endpoint.last_used_at >= safe_idle_time;
}

bool Balancer::State::has_spare_connection(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.connections > endpoint.in_flight && !is_connection_suspect(endpoint, now);
}

void Balancer::State::record_failure(Endpoint& endpoint, TimePoint now, const char* what, int weight) {
  endpoint.consecutive_failures += weight;
  if (endpoint.consecutive_failures < max_consecutive_failures || now < endpoint.ejected_until) return;
  if (endpoint.ejection_pause == Span()) answers.add_endpoint_log(endpoint.id, "ejected: ", what);
  endpoint.ejection_pause = std::clamp(endpoint.ejection_pause * 2.0, min_ejection_pause, max_ejection_pause);
  endpoint.ejected_until = now + endpoint.ejection_pause;
  endpoint.concurrency_cap = initial_concurrency_cap;
  if (endpoint.is_unlisted) endpoint.availability = Availability::gone;
}

// Returns true if the connection was probably dropped silently while it was idle. That is not the endpoint's
// fault, but idle connections are suspect for a while. A timeout counts as a loss only where many calls share
// a connection: otherwise the endpoint itself may be silent.
bool Balancer::State::is_idle_connection_loss(const Endpoint& endpoint, const Dispatch& dispatch,
                                              bool is_immediate_reset, TimePoint now) {
  if (!has_shared_connections && !is_immediate_reset) return false;
  if (dispatch.connection_idle < min_suspect_idle || endpoint.active_since > dispatch.sent_at) return false;
  const Span safe = dispatch.connection_idle * safe_idle_factor;
  safe_idle_time = now - idle_loss_at < suspicion_time ? std::min(safe_idle_time, safe) : safe;
  idle_loss_at = now;
  return true;
}

// With few reports, the newest one has a higher weight.
void Balancer::State::record_utilization(double measured, TimePoint now) {
  const double gain = has_load_reports
                          ? std::clamp((now - utilization_measured_at) / utilization_memory, load_gain, 1.0)
                          : 1.0;
  utilization += (measured - utilization) * gain;
  utilization_measured_at = now;
}

void Balancer::State::learn_from_load_report(Endpoint& endpoint, const LoadReport& report, TimePoint now) {
  if (report.busy < 0.0 && report.held < 0.0) return;
  record_utilization(report.busy >= 0.0 ? report.busy / full_busy : report.held / full_load, now);
  has_load_reports = true;
  // Without a count of calls, infer it from the fraction of busy cores, as of a single queue before them.
  const double load = report.held >= 0.0 ? report.held : report.busy / (1.0 + busy_offset - report.busy);
  mean_reported_load += (load - mean_reported_load) * load_gain;
  endpoint.reported_load = load;
  endpoint.load_reported_at = now;
  if (!can_publish_load || !has_warm_keys || load <= high_reported_load()) return;
  if (now - endpoint.load_published_at <= publish_interval) return;
  answers.add(Verdict::publish_load, 0, static_cast<std::uint32_t>(load * published_load_scale), endpoint.id);
  endpoint.load_published_at = now;
}

void Balancer::State::learn_from_response(Endpoint& endpoint, const DispatchEnd& end, TimePoint now) {
  const double latency_ms = end.load.service_ms > 0.0 ? end.load.service_ms : end.elapsed.as_ms();
  estimate.record_response(end.elapsed, now);
  endpoint.response_times.add(end.elapsed, now);
  endpoint.last_used_at = now;
  endpoint.connections = std::max(endpoint.connections, endpoint.in_flight + 1);
  weights.smooth(endpoint.latency_ms, latency_ms);
  // Machine models that are not measured yet are assumed to have the same latency.
  std::replace(model_latency_ms.begin(), model_latency_ms.end(), 0.0, latency_ms);
  double& model_latency = model_latency_ms[endpoint.model];
  model_latency += (latency_ms - model_latency) * model_gain;
  if (endpoint.ejection_pause > Span()) answers.add_endpoint_log(endpoint.id, "responds again");
  endpoint.consecutive_failures = 0;
  endpoint.ejection_pause = Span();
  endpoint.active_since = now;
  learn_from_load_report(endpoint, end.load, now);
  if (endpoint.concurrency_cap < 0.0) return;
  endpoint.concurrency_cap += cap_growth;
  const double enough = lifted_cap_factor * (in_flight + 1.0) / std::max(1, subset_ready_count);
  const bool may_be_lifted = endpoint.concurrency_cap > std::max(min_lifted_cap, enough);
  if (may_be_lifted && slow_start_factor(endpoint, now) >= 1.0) endpoint.concurrency_cap = -1.0;
}

void Balancer::State::count_connections(Endpoint& endpoint, Outcome outcome, TimePoint now) {
  const bool is_refused = outcome == Outcome::not_connected;
  if (outcome == Outcome::reset || outcome == Outcome::timed_out || outcome == Outcome::cancelled)
    endpoint.connections = std::max(0, endpoint.connections - 1);
  if (is_refused) endpoint.connections = endpoint.in_flight;
  refused_fraction += ((is_refused ? 1.0 : 0.0) - refused_fraction) * refused_gain;
  if ((has_warm_keys || uses_subset) && refused_fraction > max_refused_fraction)
    connections_scarce_until = now + suspicion_time;
}

void Balancer::State::learn_from_timeout(Endpoint& endpoint, const Dispatch& dispatch, const DispatchEnd& end,
                                         TimePoint now) {
  if (dispatch.has_adaptive_timeout) estimate.record_adaptive_timeout(end.elapsed, now);
  if (is_idle_connection_loss(endpoint, dispatch, false, now)) return;
  // A timeout shorter than most response times reflects the caller's impatience, not the endpoint's health.
  if (estimate.is_measured(now) && end.elapsed < estimate.high(now)) return;
  // An overloaded endpoint may not respond at all, and load reports come with responses.
  if (has_load_reports) record_utilization(overload_utilization, now);
  record_failure(endpoint, now, "attempts time out");
}

void Balancer::State::learn_from(Endpoint& endpoint, const Dispatch& dispatch, const DispatchEnd& end,
                                 TimePoint now) {
  --endpoint.in_flight;
  --in_flight;
  count_connections(endpoint, end.outcome, now);
  switch (end.outcome) {
    case Outcome::done: learn_from_response(endpoint, end, now); break;
    case Outcome::rejected:
      endpoint.active_since = now;
      endpoint.ejected_until = std::max(endpoint.ejected_until, now + full_queue_pause);
      if (!has_load_reports) break;
      endpoint.reported_load = rejecting_load * min_calls_per_endpoint;
      endpoint.load_reported_at = now;
      record_utilization(overload_utilization, now);
      break;
    case Outcome::timed_out: learn_from_timeout(endpoint, dispatch, end, now); break;
    case Outcome::not_connected:  // never random, so one is enough
      record_failure(endpoint, now, "connection failed", max_consecutive_failures);
      break;
    case Outcome::reset: {
      // Too early for any work to be done: the connection was lost before the call was sent.
      const bool is_immediate = end.elapsed < estimate.config().min_timeout;
      if (!is_idle_connection_loss(endpoint, dispatch, is_immediate, now))
        record_failure(endpoint, now, "connections are reset");
      break;
    }
    case Outcome::cancelled:
      if (dispatch.is_abandoned && !is_idle_connection_loss(endpoint, dispatch, false, now))
        record_failure(endpoint, now, "no response");
      break;
    case Outcome::error:
      // Several errors in a row are the endpoint's own fault. Since it fails fast, it would otherwise attract
      // the most calls.
      endpoint.active_since = now;
      if (++endpoint.consecutive_failures < max_consecutive_failures || now < endpoint.ejected_until) break;
      endpoint.ejection_pause =
          std::clamp(endpoint.ejection_pause * 2.0, min_ejection_pause, max_ejection_pause);
      endpoint.ejected_until = now + endpoint.ejection_pause;
      break;
    case Outcome::not_sent: break;
  }
}

}  // namespace chutevane
