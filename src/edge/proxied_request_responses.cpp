/// ProxiedRequest responses: forwards an endpoint's response or a stream of events to the client, writes the
/// edge's own error responses, and updates turns and budgets in storage at the end.
#include "common/invariant.hpp"
#include "edge/data_plane.hpp"
#include "edge/downstream_connection.hpp"
#include "edge/proxied_request.hpp"
#include "edge/server_sent_event.hpp"

namespace chutevane::edge {
namespace {

constexpr std::size_t max_event_bytes = 4U << 20U;
constexpr std::size_t max_kept_body_bytes = 64U << 10U;  // of memory, between the events of a stream
constexpr std::int64_t no_reservation = -1;

}  // namespace

// ---- responses of endpoints

void ProxiedRequest::check_response_belongs() const {
  for (const auto& header : attempt_.headers) {
    if (!http::same_name(header.first, "X-Chutevane-Attempt-Id")) continue;
    const std::string& value = header.second;
    common::check_invariant(common::Invariant::answer_belongs_to_exchange,
                            is_in_progress_ && value == request_.attempt_id,
                            [&] { return "response to " + value + " for request " + request_.attempt_id; });
  }
}

void ProxiedRequest::forward_response() {
  ++plane_.counters().answered;
  check_response_belongs();
  if (attempt_.status >= 400 && attempt_.is_rejected) budget_.release();
  connection_.write_head(attempt_.status, attempt_.headers);
  connection_.write_body(attempt_.status, request_.method, attempt_.body, attempt_.stated_body_size);
  release_response_body();
  finish();
}

// Forwards the complete events that have arrived. If `is_end` is true, also forwards the incomplete rest.
void ProxiedRequest::forward_events(bool is_end) {
  const TimePoint now = plane_.timers().now();
  const std::string_view received = attempt_.body;
  std::size_t forwarded = 0;
  while (forwarded < received.size()) {
    std::size_t size = complete_event_size(received.substr(forwarded));
    if (size == 0) {
      if (received.size() - forwarded > max_event_bytes) attempt_.is_invalid = true;
      if (!is_end) break;
      size = received.size() - forwarded;
    }
    const std::string_view text = received.substr(forwarded, size);
    const ServerSentEvent event = parse_event(text);
    // An id that does not increase means a missing or repeated event. Nothing more of the response is
    // forwarded.
    if (event.id && last_event_id_ && *event.id <= *last_event_id_) {
      attempt_.is_invalid = true;
      return;
    }
    if (event.id) last_event_id_ = event.id;
    on_first_event(now);
    write_event(text, event);
    forwarded += size;
  }
  attempt_.body.erase(0, forwarded);
  if (attempt_.body.empty() && attempt_.body.capacity() > max_kept_body_bytes) release_response_body();
  if (forwarded > 0) connection_.flush();
  pause_if_unread();
}

// A client that does not read holds up its endpoint, not the memory of this process.
void ProxiedRequest::pause_if_unread() {
  if (attempt_.connection != nullptr && connection_.has_unread_response())
    attempt_.connection->set_reading_paused(true);
}

void ProxiedRequest::on_response_read() {
  if (attempt_.connection != nullptr) attempt_.connection->set_reading_paused(false);
}

void ProxiedRequest::on_first_event(TimePoint now) {
  if (std::exchange(attempt_.has_first_event, true)) return;
  balancer().on_response(attempt_.endpoint_id, placement_, now - attempt_.sent_at, now);
  stage_ = Stage::streaming;
  if (!attempt_.has_adaptive_timeout) return;
  attempt_.has_adaptive_timeout = false;
  plane_.timers().cancel(timer_);
  timer_ = plane_.timers().after(time_left(), guarded([this] { on_attempt_timeout(); }));
}

void ProxiedRequest::write_event(std::string_view text, const ServerSentEvent& event) {
  if (!is_head_written_) {
    ++plane_.counters().streams;
    check_response_belongs();
    write_stream_head();
  }
  connection_.write_chunk(text);
  if (!event.data.empty()) {
    ++events_forwarded_;
    ++plane_.counters().events;
  }
  if (route_->retained) turn_output_.append(event.data);
}

void ProxiedRequest::write_stream_head() {
  is_head_written_ = true;
  connection_.write_head(attempt_.status, attempt_.headers);
  connection_.begin_chunks();
}

void ProxiedRequest::finish_stream() {
  if (attempt_.is_invalid) return resume_or_reset(FailureCause::stream_bad);
  if (!is_head_written_) write_stream_head();
  if (route_->retained) return store_turn();
  connection_.end_chunks();
  ++plane_.counters().answered;
  commit_budget();
  finish();
}

// ---- turns and budgets

// The response ends only after the turn is stored, because a client with a complete response may continue the
// turn.
void ProxiedRequest::store_turn() {
  stage_ = Stage::storing;
  common::Turn turn;
  turn.id = request_.attempt_id;
  turn.previous = request_.previous_turn;
  turn.program = request_.program;
  turn.input.data = request_.body.release();
  turn.output.data = std::move(turn_output_);
  turn.retention_ms = static_cast<std::int64_t>(route_->retention.as_ms());
  const std::int64_t tokens = forwarded_tokens().value_or(static_cast<std::int64_t>(events_forwarded_));
  plane_.storage().store_turn(std::move(turn), std::move(previous_turns_),
                              budget_.is_open() ? tokens : no_reservation, deadline_,
                              guarded([this](bool is_stored) { on_turn_stored(is_stored); }));
}

void ProxiedRequest::on_turn_stored(bool is_stored) {
  if (!is_stored) return reset(FailureCause::turn_not_kept);
  ++plane_.counters().turns_stored;
  ++plane_.counters().answered;
  connection_.end_chunks();
  finish();
}

std::optional<std::int64_t> ProxiedRequest::forwarded_tokens() const {
  const common::Service* const service = configuration_->service(service_);
  if (service == nullptr || !service->engine) return std::nullopt;
  return static_cast<std::int64_t>(events_forwarded_) * service->engine->tokens_per_event;
}

// Called when no more of the response will reach the client.
void ProxiedRequest::commit_budget() {
  if (const auto tokens = forwarded_tokens()) budget_.commit(*tokens);
}

// ---- responses of the edge itself

void ProxiedRequest::respond(FailureCause cause, int status, std::string_view text, RetryAfter retry_after) {
  if (status == 503) ++plane_.counters().refused;
  connection_.record_failure(cause, status);
  std::vector<std::pair<std::string, std::string>> headers{{"Content-Type", "text/plain"}};
  if (!request_.attempt_id.empty()) headers.emplace_back("X-Chutevane-Attempt-Id", request_.attempt_id);
  if (retry_after == RetryAfter::yes) headers.emplace_back("Retry-After", plane_.retry_after());
  connection_.write_head(status, headers);
  connection_.write_body(status, request_.method, text, text.size());
  finish();
}

// ---- ends

void ProxiedRequest::finish() {
  plane_.timers().cancel(timer_);
  guard_.reset();
  is_in_progress_ = is_head_written_ = false;
  budget_.abandon();
  previous_turns_.clear();
  previous_turns_charge_ = {};
  request_ =
      {};  // frees the bodies, and keeps the end of an idle connection from being reported for this request
  stage_ = Stage::finished;
  connection_.on_request_finished();
}

// A part of the response has been sent. The reset keeps the client from mistaking it for a complete response.
void ProxiedRequest::reset(FailureCause cause) { connection_.reset(cause); }

void ProxiedRequest::abort() {
  guard_.reset();
  plane_.timers().cancel(timer_);
  bool reached_endpoint = may_have_run_;
  if (attempt_.connection != nullptr)
    reached_endpoint = std::exchange(attempt_.connection, nullptr)->cancel() || reached_endpoint;
  end_attempt(AttemptOutcome::cancelled);
  if (is_head_written_) {
    commit_budget();
  } else if (!reached_endpoint && (stage_ == Stage::preparing || stage_ == Stage::attempting)) {
    budget_.release();
  }
  is_in_progress_ = false;
  previous_turns_.clear();
  previous_turns_charge_ = {};
  stage_ = Stage::finished;
}

}  // namespace chutevane::edge
