// Attempts of a client's request: where it is sent, how long it is waited for, whether it goes again.
#include <algorithm>
#include <cstdio>

#include "common/invariant.hpp"
#include "edge/client.hpp"
#include "edge/data_plane.hpp"

namespace chutevane::edge {
namespace {

constexpr std::size_t plain_most = 64U << 20U;  // bytes of an answer that is held whole
constexpr std::size_t turned_away_most = 3;     // endpoints that were full, on top of maxAttempts' first

}  // namespace

void Client::attempt() {
  stage_ = Stage::asking;
  common::check_invariant(common::Invariant::not_sent_twice, !may_have_run_ || route_->repeatable(),
                          [&] { return request_.attempt_id + " after " + endpoint_; });
  common::check_invariant(common::Invariant::reserved_before_sent, !holds_budget() || budget_.is_open(),
                          [&] { return request_.attempt_id; });
  const TimePoint now = plane_.timers_.now();
  const Span time = left();
  ServiceBalancer& balancer = plane_.balancer_for(service_);
  if (ServiceBalancer::is_expired(time)) return give_up(FailureCause::time_spent);
  if (tries_ > 0 && !balancer.allows_retry(time, now)) return give_up(FailureCause::time_spent);
  const std::size_t most_attempts = std::max<std::size_t>(route_->max_attempts, 1);
  if (attempts_ >= most_attempts || tries_ > turned_away_most + attempts_)
    return give_up(last_attempt_ == LastAttempt::turned_away ? FailureCause::endpoints_full
                                                             : FailureCause::no_endpoint);
  std::shared_ptr<Endpoint> to;
  // What may be repeated goes once more to where it has been, rather than to nobody with time left.
  if (route_->repeatable() && !placing_.avoid.empty() && !balancer.choose_endpoint(placing_, now))
    placing_.avoid.clear();
  const std::size_t avoided = placing_.avoid.size();
  while (const auto chosen = balancer.choose_endpoint(placing_, now)) {
    to = plane_.upstreams_.find(*chosen);
    if (to && plane_.room_at(*to)) break;
    to = nullptr;
    placing_.avoid.push_back(*chosen);
  }
  placing_.avoid.resize(avoided);
  if (!to)
    return give_up(last_attempt_ == LastAttempt::turned_away ? FailureCause::endpoints_full
                                                             : FailureCause::no_endpoint);
  begin_attempt(*to, now);
  const Span class_deadline = std::min(route_->timeout, time);
  // One that nothing can follow can't be sent again: it is held to the class deadline and the client's time.
  const bool may_follow = route_->repeatable() && (!streaming_ || attempts_ < most_attempts);
  const Span ceiling = balancer.attempt_timeout(route_->timeout, time, may_follow, now);
  measured_ceiling_ = ceiling < class_deadline;
  balancer.on_attempt_sent(endpoint_, placing_, now);
  plane_.timers_.cancel(timer_);
  timer_ = plane_.timers_.after(ceiling, guarded([this] { attempt_due(); }));
  ProxyHeaders own;
  own.endpoint_id = endpoint_;
  // The measured ceiling of a stream ends with its first event: its endpoint works on.
  own.time_left = streaming_ ? class_deadline : ceiling;
  if (route_->affinity) own.priority = std::clamp(route_->priority * 2, 0, 9);
  if (head_out_) own.last_event_id = last_event_;
  UpstreamRequest outgoing;
  outgoing.head = format_request_head(request_, own, body_.size());
  outgoing.body = body_;
  outgoing.attempt_id = request_.attempt_id;
  outgoing.is_head = request_.method == "HEAD";
  connection_ = plane_.upstreams_.send(to, *this, std::move(outgoing));
}

void Client::begin_attempt(const Endpoint& to, TimePoint now) {
  endpoint_ = to.id;
  ++tries_;
  ++attempts_;
  ++plane_.counters_.attempts;
  if (tries_ > 1) ++plane_.counters_.retries;
  turned_away_ = bad_answer_ = first_event_seen_ = false;
  status_ = 0;
  answer_.clear();
  answer_fields_.clear();
  sent_ = now;
  attempt_open_ = true;
}

void Client::first_event_came(TimePoint now) {
  if (std::exchange(first_event_seen_, true)) return;
  plane_.balancer_for(service_).on_response(endpoint_, placing_, now - sent_, now);
  stage_ = Stage::relaying;
  if (!measured_ceiling_) return;
  measured_ceiling_ = false;
  plane_.timers_.cancel(timer_);
  timer_ = plane_.timers_.after(left(), guarded([this] { attempt_due(); }));
}

void Client::attempt_over(AttemptOutcome how) {
  if (!std::exchange(attempt_open_, false)) return;
  plane_.balancer_for(service_).on_attempt_ended(endpoint_, placing_, how, plane_.timers_.now());
}

// Its ceiling has passed. What cannot be repeated is only held to the class deadline and the client's time.
void Client::attempt_due() {
  if (stage_ == Stage::keeping) return;
  ++plane_.counters_.cut;
  if (connection_ != nullptr) std::exchange(connection_, nullptr)->cancel();
  attempt_over(measured_ceiling_ ? AttemptOutcome::adaptive_timeout : AttemptOutcome::failed);
  may_have_run_ = true;
  last_attempt_ = LastAttempt::timed_out;
  if (head_out_) return resume_or_break_off(FailureCause::stream_timeout);
  if (route_->repeatable()) {
    placing_.avoid.push_back(endpoint_);
    return attempt();
  }
  give_up(FailureCause::time_spent);
}

void Client::on_response_head(const http::Parser& response) {
  status_ = response.status();
  stated_length_ = response.length().value_or(0);
  for (std::size_t i = 0; i < response.fields(); ++i) {
    const http::Field f = response.field(i);
    if (!is_hop_by_hop(f.name, "")) answer_fields_.emplace_back(f.name, f.value);
  }
  if (const auto load = response.find("X-Chutevane-Server-Load")) {
    double running = 0, waiting = 0, slots = 0;
    if (std::sscanf(std::string(*load).c_str(), "%lf,%lf,%lf", &running, &waiting, &slots) == 3)
      plane_.balancer_for(service_).on_load_report(endpoint_, running, waiting, plane_.timers_.now());
  }
  turned_away_ = response.find("X-Chutevane-Not-Executed").has_value() || status_ == 421;
  if (status_ / 100 == 2) {
    const auto id = response.find("X-Chutevane-Attempt-Id");
    bad_answer_ = !response.find("X-Chutevane-Server-Seal") || response.find("Content-Encoding") ||
                  (!request_.attempt_id.empty() && (!id || *id != request_.attempt_id));
  }
}

void Client::on_response_body(std::string_view piece) {
  if (answer_.size() + piece.size() > plain_most) bad_answer_ = true;
  if (!bad_answer_) answer_.append(piece);
  if (streaming_ && status_ == 200 && !bad_answer_) relay(false);
}

void Client::on_response_failed(UpstreamFailure how) {
  connection_ = nullptr;
  attempt_over(AttemptOutcome::failed);
  if (how == UpstreamFailure::not_sent) --attempts_;
  const bool may_run =
      how == UpstreamFailure::connection_lost && !turned_away_;  // a rejection's head is proof enough
  last_attempt_ = may_run        ? LastAttempt::broke_off
                  : turned_away_ ? LastAttempt::turned_away
                                 : LastAttempt::unsent;
  // From here on, and not only once it is tried again: the client may leave before.
  may_have_run_ = may_have_run_ || may_run;
  placing_.avoid.push_back(endpoint_);
  // Not from inside the call that has just failed.
  plane_.timers_.cancel(timer_);
  timer_ = plane_.timers_.after(Span(), guarded([this, may_run] { after_failure(may_run); }));
}

void Client::after_failure(bool ran) {
  may_have_run_ = may_have_run_ || ran;
  if (head_out_) return resume_or_break_off(FailureCause::stream_broke_off);
  if (ran && !route_->repeatable()) return give_up(FailureCause::time_spent);
  attempt();
}

void Client::resume_or_break_off(FailureCause cause) {
  if (!route_->resumable || !last_event_) return break_off(cause);
  if (std::find(placing_.avoid.begin(), placing_.avoid.end(), endpoint_) == placing_.avoid.end())
    placing_.avoid.push_back(endpoint_);
  ++plane_.counters_.resumed;
  attempt();
}

void Client::on_response_complete() {
  connection_ = nullptr;
  const TimePoint now = plane_.timers_.now();
  if (turned_away_) {
    attempt_over(AttemptOutcome::rejected);
    last_attempt_ = LastAttempt::turned_away;
    placing_.avoid.push_back(endpoint_);
    if (status_ == 400 && !head_out_) return deliver();
    return attempt();
  }
  if (bad_answer_) {
    attempt_over(AttemptOutcome::failed);
    last_attempt_ = LastAttempt::bad_answer;
    placing_.avoid.push_back(endpoint_);
    if (head_out_) return resume_or_break_off(FailureCause::stream_bad);
    return after_failure(true);
  }
  if (status_ / 100 == 2) {
    if (!streaming_) plane_.balancer_for(service_).on_response(endpoint_, placing_, now - sent_, now);
    attempt_over(AttemptOutcome::served);
    if (streaming_ && status_ == 200) {
      relay(true);
      return finish_stream();
    }
    if (head_out_) return resume_or_break_off(FailureCause::stream_bad);
    return deliver();
  }
  // It has run, or a promise that only an endpoint could give is missing.
  // A 500 is the request's own, and its endpoint works.
  attempt_over(status_ > 500 ? AttemptOutcome::failed : AttemptOutcome::served);
  may_have_run_ = true;
  last_attempt_ = LastAttempt::server_error;
  if (head_out_) return resume_or_break_off(FailureCause::stream_broke_off);
  if (status_ >= 500 && route_->repeatable() && attempts_ < route_->max_attempts) {
    placing_.avoid.push_back(endpoint_);
    return attempt();
  }
  const bool promises = status_ == 503 || status_ == 429 || status_ == 408 ||
                        (status_ == 402 && request_.token_budget.has_value());
  if (promises && !route_->repeatable()) return give_up(FailureCause::time_spent);
  deliver();
}

void Client::give_up(FailureCause unsent_cause) {
  if (head_out_) return break_off(cause_of_break());
  if (may_have_run_) {
    ++plane_.counters_.failed;
    const int status = ServiceBalancer::is_expired(left()) ? 504 : 502;
    return answer_own(cause_of_last_attempt(), status, "the endpoint gave no whole answer");
  }
  budget_.release();
  answer_own(unsent_cause, 503, "no endpoint can take it now", ComeBack::yes);
}

FailureCause Client::cause_of_last_attempt() const {
  switch (last_attempt_) {
    case LastAttempt::bad_answer: return FailureCause::bad_answer;
    case LastAttempt::timed_out: return FailureCause::endpoint_timeout;
    case LastAttempt::server_error: return FailureCause::refusal_without_proof;
    case LastAttempt::none:
    case LastAttempt::unsent:
    case LastAttempt::turned_away:
    case LastAttempt::broke_off: break;
  }
  return FailureCause::endpoint_broke_off;
}

FailureCause Client::cause_of_break() const {
  switch (last_attempt_) {
    case LastAttempt::bad_answer: return FailureCause::stream_bad;
    case LastAttempt::timed_out: return FailureCause::stream_timeout;
    case LastAttempt::none:
    case LastAttempt::unsent:
    case LastAttempt::turned_away:
    case LastAttempt::server_error:
    case LastAttempt::broke_off: break;
  }
  return FailureCause::stream_broke_off;
}

std::string_view Client::name_of(LastAttempt how) {
  switch (how) {
    case LastAttempt::none: return "";
    case LastAttempt::unsent: return "unsent";
    case LastAttempt::broke_off: return "broke_off";
    case LastAttempt::bad_answer: return "bad_answer";
    case LastAttempt::timed_out: return "timed_out";
    case LastAttempt::turned_away: return "turned_away";
    case LastAttempt::server_error: return "server_error";
  }
  return "";
}

}  // namespace chutevane::edge
