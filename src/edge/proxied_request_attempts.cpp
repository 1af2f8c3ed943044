/// ProxiedRequest attempts: endpoint selection, attempt timeouts and retries.
#include <algorithm>
#include <cstdio>

#include "common/invariant.hpp"
#include "edge/data_plane.hpp"
#include "edge/downstream_connection.hpp"
#include "edge/proxied_request.hpp"

namespace chutevane::edge {
namespace {

constexpr std::size_t max_response_bytes = 64U << 20U;         // for a buffered response
constexpr std::size_t max_response_without_room = 64U << 10U;  // bytes, while the memory budget is full
constexpr std::size_t max_unsent_tries = 3;  // attempts that were not sent, in addition to counted attempts
constexpr int max_priority = 9;

}  // namespace

// ---- before the request is sent

void ProxiedRequest::start_attempt() {
  stage_ = Stage::attempting;
  common::check_invariant(common::Invariant::not_sent_twice, !may_have_run_ || route_->repeatable(),
                          [&] { return request_.attempt_id + " after " + attempt_.endpoint_id; });
  common::check_invariant(common::Invariant::reserved_before_sent, !needs_budget() || budget_.is_open(),
                          [&] { return request_.attempt_id; });
  const TimePoint now = plane_.timers().now();
  const Span time_left = deadline_ - now;
  if (const auto cause = attempt_denial(time_left, now)) return give_up(*cause);
  const std::shared_ptr<Endpoint> endpoint = choose_endpoint(now);
  if (!endpoint) return give_up(cause_without_endpoint());
  begin_attempt(*endpoint, now);
  const Span timeout = start_attempt_timer(time_left, now);
  // The adaptive timeout of a stream ends with its first event, so the endpoint may take longer than that.
  const Span endpoint_time = is_stream_ ? std::min(route_->timeout, time_left) : timeout;
  attempt_.connection = plane_.upstreams().send(endpoint, *this, make_upstream_request(endpoint_time));
}

std::optional<FailureCause> ProxiedRequest::attempt_denial(Span time_left, TimePoint now) const {
  if (ServiceBalancer::is_expired(time_left)) return FailureCause::time_spent;
  if (tries_ > 0 && !balancer().allows_retry(time_left, now)) return FailureCause::time_spent;
  if (attempts_ >= max_attempts() || tries_ > max_unsent_tries + attempts_) return cause_without_endpoint();
  return std::nullopt;
}

std::size_t ProxiedRequest::max_attempts() const { return std::max<std::size_t>(route_->max_attempts, 1); }

FailureCause ProxiedRequest::cause_without_endpoint() const {
  return last_result_ == AttemptResult::rejected ? FailureCause::endpoints_full : FailureCause::no_endpoint;
}

// Returns null if the request may not be sent to any endpoint.
std::shared_ptr<Endpoint> ProxiedRequest::choose_endpoint(TimePoint now) {
  // An idempotent request that has tried all endpoints may return to them while time is left.
  if (route_->repeatable() && !placement_.avoid.empty() && !balancer().choose_endpoint(placement_, now))
    placement_.avoid.clear();
  const std::size_t avoided = placement_.avoid.size();
  std::shared_ptr<Endpoint> endpoint;
  while (const auto chosen = balancer().choose_endpoint(placement_, now)) {
    endpoint = plane_.upstreams().find(*chosen);
    if (endpoint && plane_.may_connect(*endpoint)) break;
    endpoint = nullptr;
    placement_.avoid.push_back(*chosen);  // for this choice only
  }
  placement_.avoid.resize(avoided);
  return endpoint;
}

void ProxiedRequest::begin_attempt(const Endpoint& endpoint, TimePoint now) {
  ++tries_;
  ++attempts_;
  ++plane_.counters().attempts;
  if (tries_ > 1) ++plane_.counters().retries;
  release_response_body();
  attempt_ = {};
  attempt_.endpoint_id = endpoint.id;
  attempt_.sent_at = now;
  attempt_.is_open = true;
}

// Returns the timeout of the attempt.
Span ProxiedRequest::start_attempt_timer(Span time_left, TimePoint now) {
  // The last possible attempt gets all the remaining time.
  const bool may_retry = route_->repeatable() && (!is_stream_ || attempts_ < max_attempts());
  const Span timeout = balancer().attempt_timeout(route_->timeout, time_left, may_retry, now);
  attempt_.has_adaptive_timeout = timeout < std::min(route_->timeout, time_left);
  balancer().on_attempt_sent(attempt_.endpoint_id, placement_, now);
  plane_.timers().cancel(timer_);
  timer_ = plane_.timers().after(timeout, guarded([this] { on_attempt_timeout(); }));
  return timeout;
}

UpstreamRequest ProxiedRequest::make_upstream_request(Span time_left) const {
  ProxyHeaders proxy_headers;
  proxy_headers.endpoint_id = attempt_.endpoint_id;
  proxy_headers.time_left = time_left;
  if (route_->affinity) proxy_headers.priority = std::clamp(route_->priority * 2, 0, max_priority);
  if (is_head_written_) proxy_headers.last_event_id = last_event_id_;
  UpstreamRequest upstream;
  upstream.body = body_parts();
  std::size_t body_size = 0;
  for (const std::string_view part : upstream.body) body_size += part.size();
  upstream.head = format_request_head(request_, proxy_headers, body_size);
  upstream.attempt_id = request_.attempt_id;
  upstream.is_head = request_.method == "HEAD";
  return upstream;
}

// ---- responses from the endpoint

void ProxiedRequest::on_response_head(const http::Parser& response) {
  attempt_.status = response.status();
  attempt_.stated_body_size = response.length().value_or(0);
  for (std::size_t i = 0; i < response.fields(); ++i) {
    const http::Field header = response.field(i);
    if (!is_hop_by_hop(header.name, "")) attempt_.headers.emplace_back(header.name, header.value);
  }
  if (const auto load = response.find("X-Chutevane-Server-Load")) {
    double running = 0;
    double waiting = 0;
    double slots = 0;
    if (std::sscanf(std::string(*load).c_str(), "%lf,%lf,%lf", &running, &waiting, &slots) == 3)
      balancer().on_load_report(attempt_.endpoint_id, running, waiting, plane_.timers().now());
  }
  attempt_.is_rejected = response.find("X-Chutevane-Not-Executed").has_value() || attempt_.status == 421;
  if (attempt_.status / 100 != 2) return;
  const auto id = response.find("X-Chutevane-Attempt-Id");
  const bool is_other_attempt = !request_.attempt_id.empty() && (!id || *id != request_.attempt_id);
  attempt_.is_invalid =
      !response.find("X-Chutevane-Server-Seal") || response.find("Content-Encoding") || is_other_attempt;
}

void ProxiedRequest::on_response_body(std::string_view bytes) {
  if (attempt_.body.size() + bytes.size() > max_response_bytes) attempt_.is_invalid = true;
  if (attempt_.is_invalid) return;
  attempt_.body.append(bytes);
  attempt_.body_charge = {plane_.scheduler().buffer_budget(), attempt_.body.capacity()};
  const bool has_room = connection_.make_room();
  if (!has_room && attempt_.body.size() > max_response_without_room) return drop_response();
  if (is_stream_ && attempt_.status == 200) forward_events(false);
}

// An assignment would keep the string's memory.
void ProxiedRequest::release_response_body() {
  std::string().swap(attempt_.body);
  attempt_.body_charge = {};
}

// The memory of this process does not suffice for the response. The request has run.
void ProxiedRequest::drop_response() {
  std::exchange(attempt_.connection, nullptr)->cancel();
  end_attempt(AttemptOutcome::cancelled);
  release_response_body();
  may_have_run_ = true;
  if (is_head_written_) return reset(FailureCause::response_memory_full);
  ++plane_.counters().failed;
  respond(FailureCause::response_memory_full, 502, "no room for the endpoint's answer");
}

void ProxiedRequest::on_response_complete() {
  attempt_.connection = nullptr;
  if (attempt_.is_rejected) {
    end_attempt(AttemptOutcome::rejected);
    last_result_ = AttemptResult::rejected;
    placement_.avoid.push_back(attempt_.endpoint_id);
    // A 400 with proof is caused by the request itself; every endpoint would reject it.
    if (attempt_.status == 400 && !is_head_written_) return forward_response();
    return start_attempt();
  }
  if (attempt_.is_invalid) {
    end_attempt(AttemptOutcome::failed);
    last_result_ = AttemptResult::invalid_response;
    placement_.avoid.push_back(attempt_.endpoint_id);
    if (is_head_written_) return resume_or_reset(FailureCause::stream_bad);
    return retry_after_failure(true);
  }
  if (attempt_.status / 100 == 2) return on_success();
  on_error_status();
}

void ProxiedRequest::on_success() {
  const TimePoint now = plane_.timers().now();
  if (!is_stream_) balancer().on_response(attempt_.endpoint_id, placement_, now - attempt_.sent_at, now);
  end_attempt(AttemptOutcome::served);
  if (is_stream_ && attempt_.status == 200) {
    forward_events(true);
    return finish_stream();
  }
  if (is_head_written_) return resume_or_reset(FailureCause::stream_bad);
  forward_response();
}

// Handles a status of 4xx or 5xx without proof that the request has not run.
void ProxiedRequest::on_error_status() {
  // A 500 is attributed to the request, not to the endpoint.
  end_attempt(attempt_.status > 500 ? AttemptOutcome::failed : AttemptOutcome::served);
  may_have_run_ = true;
  last_result_ = AttemptResult::server_error;
  if (is_head_written_) return resume_or_reset(FailureCause::stream_broke_off);
  if (attempt_.status >= 500 && route_->repeatable() && attempts_ < route_->max_attempts) {
    placement_.avoid.push_back(attempt_.endpoint_id);
    return start_attempt();
  }
  if (claims_not_executed() && !route_->repeatable()) return give_up(FailureCause::time_spent);
  forward_response();
}

// Clients interpret these statuses as a guarantee that the request has not run.
bool ProxiedRequest::claims_not_executed() const {
  const int status = attempt_.status;
  return status == 503 || status == 429 || status == 408 ||
         (status == 402 && request_.token_budget.has_value());
}

void ProxiedRequest::on_response_failed(UpstreamFailure failure) {
  attempt_.connection = nullptr;
  end_attempt(AttemptOutcome::failed);
  if (failure == UpstreamFailure::not_sent) --attempts_;
  // The head of a rejection is sufficient proof.
  const bool may_have_run = failure == UpstreamFailure::connection_lost && !attempt_.is_rejected;
  if (may_have_run) {
    last_result_ = AttemptResult::connection_lost;
  } else {
    last_result_ = attempt_.is_rejected ? AttemptResult::rejected : AttemptResult::not_sent;
  }
  // Set now rather than with the next attempt, because the client may disconnect before that.
  may_have_run_ = may_have_run_ || may_have_run;
  placement_.avoid.push_back(attempt_.endpoint_id);
  // Deferred, because the call that has just failed is still on the stack.
  plane_.timers().cancel(timer_);
  timer_ =
      plane_.timers().after(Span(), guarded([this, may_have_run] { retry_after_failure(may_have_run); }));
}

void ProxiedRequest::on_attempt_timeout() {
  if (stage_ == Stage::storing) return;
  ++plane_.counters().attempts_timed_out;
  if (attempt_.connection != nullptr) std::exchange(attempt_.connection, nullptr)->cancel();
  end_attempt(attempt_.has_adaptive_timeout ? AttemptOutcome::adaptive_timeout : AttemptOutcome::failed);
  may_have_run_ = true;
  last_result_ = AttemptResult::timed_out;
  if (is_head_written_) return resume_or_reset(FailureCause::stream_timeout);
  if (route_->repeatable()) {
    placement_.avoid.push_back(attempt_.endpoint_id);
    return start_attempt();
  }
  give_up(FailureCause::time_spent);
}

void ProxiedRequest::end_attempt(AttemptOutcome outcome) {
  if (!std::exchange(attempt_.is_open, false)) return;
  balancer().on_attempt_ended(attempt_.endpoint_id, placement_, outcome, plane_.timers().now());
}

// ---- retries

void ProxiedRequest::retry_after_failure(bool may_have_run) {
  may_have_run_ = may_have_run_ || may_have_run;
  if (is_head_written_) return resume_or_reset(FailureCause::stream_broke_off);
  if (may_have_run && !route_->repeatable()) return give_up(FailureCause::time_spent);
  start_attempt();
}

// Called when the endpoint fails during a stream of which the client has received a part.
void ProxiedRequest::resume_or_reset(FailureCause cause) {
  if (!route_->resumable || !last_event_id_) return reset(cause);
  std::vector<std::string>& avoid = placement_.avoid;
  if (std::find(avoid.begin(), avoid.end(), attempt_.endpoint_id) == avoid.end())
    avoid.push_back(attempt_.endpoint_id);
  ++plane_.counters().streams_resumed;
  start_attempt();
}

// Ends the request without a further attempt. If it has not run, the response is 503 with `cause_if_not_run`;
// otherwise it is 502 or 504, with a cause that depends on how the last attempt ended.
void ProxiedRequest::give_up(FailureCause cause_if_not_run) {
  if (is_head_written_) return reset(cause_of_reset());
  if (may_have_run_) {
    ++plane_.counters().failed;
    const int status = ServiceBalancer::is_expired(time_left()) ? 504 : 502;
    return respond(cause_of_bad_gateway(), status, "the endpoint gave no whole answer");
  }
  budget_.release();
  respond(cause_if_not_run, 503, "no endpoint can take it now", RetryAfter::yes);
}

FailureCause ProxiedRequest::cause_of_bad_gateway() const {
  switch (last_result_) {
    case AttemptResult::invalid_response: return FailureCause::bad_answer;
    case AttemptResult::timed_out: return FailureCause::endpoint_timeout;
    case AttemptResult::server_error: return FailureCause::refusal_without_proof;
    case AttemptResult::none:
    case AttemptResult::not_sent:
    case AttemptResult::rejected:
    case AttemptResult::connection_lost: break;
  }
  return FailureCause::endpoint_broke_off;
}

FailureCause ProxiedRequest::cause_of_reset() const {
  switch (last_result_) {
    case AttemptResult::invalid_response: return FailureCause::stream_bad;
    case AttemptResult::timed_out: return FailureCause::stream_timeout;
    case AttemptResult::none:
    case AttemptResult::not_sent:
    case AttemptResult::rejected:
    case AttemptResult::server_error:
    case AttemptResult::connection_lost: break;
  }
  return FailureCause::stream_broke_off;
}

std::string_view ProxiedRequest::name_of(AttemptResult result) {
  switch (result) {
    case AttemptResult::none: return "";
    case AttemptResult::not_sent: return "unsent";
    case AttemptResult::connection_lost: return "broke_off";
    case AttemptResult::invalid_response: return "bad_answer";
    case AttemptResult::timed_out: return "timed_out";
    case AttemptResult::rejected: return "turned_away";
    case AttemptResult::server_error: return "server_error";
  }
  return "";
}

}  // namespace chutevane::edge
