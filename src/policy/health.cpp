/// What ended attempts say of endpoints: speed, load, failures. An outlier, whose tail latency is far above
/// its peers', gets one call at a time. One that fails, or is silent while its peers respond, is ejected and
/// tried again after pauses that grow.
#include <algorithm>

#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {

constexpr double model_gain = 0.02;     // per response: the mean of some 50
constexpr double full_load = 1.2;       // calls an endpoint, reported: with more it has no spare capacity
constexpr double rejecting_load = 4.0;  // x min_calls_per_endpoint: taken for that of one which rejects
constexpr Span publish_interval = Span::ms(500);     // of one endpoint's load: reports are as old
constexpr double busy_offset = 0.02;                 // a core that is never idle counts as 50 calls
constexpr double load_gain = 0.05;                   // per report: the mean of some 20
constexpr Span utilization_memory = Span::ms(1000);  // so long a sidecar with few reports goes by its last
constexpr double overload_utilization = 1.2;  // for what a time-out or a full queue says, without a report
constexpr double full_busy = 0.88;            // of the cores, reported: busier ones have no spare capacity
constexpr double cap_growth = 0.2;            // per response: doubles in about 4 round trips
constexpr double min_lifted_cap = 2.0;
constexpr double lifted_cap_factor = 3.0;            // x mean in flight: then the cap is lifted
constexpr int max_consecutive_failures = 3;          // chance errors are rare and alone
constexpr Span min_ejection_pause = Span::ms(500);   // about the time a passing fault takes to show it passed
constexpr Span max_ejection_pause = Span::ms(4000);  // a recovered endpoint is found this soon
constexpr Span full_queue_pause = Span::ms(50);      // a full queue drains a few calls in this time
constexpr double silence_factor = 1.5;  // x p95 without any response, with two or more calls in flight
constexpr double single_call_silence_factor = 2.5;  // with one: it may just be a long call
constexpr double refused_gain = 0.1;                // per dispatch: the fraction of the last 10 or so
constexpr double max_refused_fraction = 0.3;        // more is not a matter of single endpoints that are down
constexpr Span min_suspect_idle = Span::ms(500);    // no network drops what was used just before
constexpr double safe_idle_factor = 0.8;            // of the idle time that one was lost at
constexpr Span suspicion_time = Span::ms(20000);    // after a loss; new connections cost endpoints work

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

// The endpoint's connection has idled as long as one that was lost: a new one is needed.
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
  if (endpoint.ejection_pause == Span()) answers.say_of(endpoint.id, "passed over: ", what);
  endpoint.ejection_pause = std::clamp(endpoint.ejection_pause * 2.0, min_ejection_pause, max_ejection_pause);
  endpoint.ejected_until = now + endpoint.ejection_pause;
  endpoint.concurrency_cap = initial_concurrency_cap;
  if (endpoint.is_unlisted) endpoint.availability = Availability::gone;
}

// Whether a connection was dropped unseen while it idled, as far as one can know: that is not the endpoint's
// fault, but such connections are suspect for a while. Silence counts only where many calls share a
// connection: otherwise it may be the endpoint's.
bool Balancer::State::is_idle_connection_loss(const Endpoint& endpoint, const Dispatch& dispatch,
                                              bool is_immediate_reset, TimePoint now) {
  if (!has_shared_connections && !is_immediate_reset) return false;
  if (dispatch.connection_idle < min_suspect_idle || endpoint.active_since > dispatch.sent_at) return false;
  const Span safe = dispatch.connection_idle * safe_idle_factor;
  safe_idle_time = now - idle_loss_at < suspicion_time ? std::min(safe_idle_time, safe) : safe;
  idle_loss_at = now;
  return true;
}

// A sidecar with few reports follows the newest more closely.
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
  // How busy the cores are says how many calls one queue before them would hold.
  const double load = report.held >= 0.0 ? report.held : report.busy / (1.0 + busy_offset - report.busy);
  mean_reported_load += (load - mean_reported_load) * load_gain;
  endpoint.reported_load = load;
  endpoint.load_reported_at = now;
  if (!can_publish_load || !has_warm_keys || load <= high_reported_load()) return;
  if (now - endpoint.load_published_at <= publish_interval) return;
  answers.add(Verdict::tell, 0, static_cast<std::uint32_t>(load * published_load_scale), endpoint.id);
  endpoint.load_published_at = now;
}

void Balancer::State::learn_from_response(Endpoint& endpoint, const DispatchEnd& end, TimePoint now) {
  const double latency_ms = end.load.service_ms > 0.0 ? end.load.service_ms : end.elapsed.as_ms();
  estimate.record_response(end.elapsed, now);
  endpoint.response_times.add(end.elapsed, now);
  endpoint.last_used_at = now;
  endpoint.connections = std::max(endpoint.connections, endpoint.in_flight + 1);
  weights.smooth(endpoint.latency_ms, latency_ms);
  // Models that are not measured are taken to be like it.
  std::replace(model_latency_ms.begin(), model_latency_ms.end(), 0.0, latency_ms);
  double& model_latency = model_latency_ms[endpoint.model];
  model_latency += (latency_ms - model_latency) * model_gain;
  if (endpoint.ejection_pause > Span()) answers.say_of(endpoint.id, "answers again");
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
  // A timeout that is shorter than most responses take says something of the caller, not of the endpoint.
  if (estimate.is_measured(now) && end.elapsed < estimate.high(now)) return;
  // An endpoint that is overloaded may answer nothing, and reports come with answers.
  if (has_load_reports) record_utilization(overload_utilization, now);
  record_failure(endpoint, now, "dispatches time out");
}

void Balancer::State::learn_from(Endpoint& endpoint, const Dispatch& dispatch, const DispatchEnd& end,
                                 TimePoint now) {
  --endpoint.in_flight;
  --in_flight;
  count_connections(endpoint, end.outcome, now);
  switch (end.outcome) {
    case Outcome::done: learn_from_response(endpoint, end, now); break;
    case Outcome::turned_away:
      endpoint.active_since = now;
      endpoint.ejected_until = std::max(endpoint.ejected_until, now + full_queue_pause);
      if (!has_load_reports) break;
      endpoint.reported_load = rejecting_load * min_calls_per_endpoint;
      endpoint.load_reported_at = now;
      record_utilization(overload_utilization, now);
      break;
    case Outcome::timed_out: learn_from_timeout(endpoint, dispatch, end, now); break;
    case Outcome::not_connected:  // never by chance
      record_failure(endpoint, now, "no connection", max_consecutive_failures);
      break;
    case Outcome::reset: {
      // Before any work could be done: the connection was lost before the call was sent.
      const bool is_immediate = end.elapsed < estimate.config().min_timeout;
      if (!is_idle_connection_loss(endpoint, dispatch, is_immediate, now))
        record_failure(endpoint, now, "connections break");
      break;
    }
    case Outcome::cancelled:
      if (dispatch.is_abandoned && !is_idle_connection_loss(endpoint, dispatch, false, now))
        record_failure(endpoint, now, "silent");
      break;
    case Outcome::error:
      // Several in a row are the endpoint's own. As it fails fast it would otherwise draw the most calls.
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
