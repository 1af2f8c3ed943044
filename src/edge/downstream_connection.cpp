/// DownstreamConnection: reading of requests, time limits, and framing of responses.
#include "edge/downstream_connection.hpp"

#include <algorithm>
#include <cstdio>

#include "common/invariant.hpp"
#include "edge/data_plane.hpp"
#include "http/writer.hpp"

namespace chutevane::edge {
namespace {

constexpr std::size_t max_pipelined_bytes = 16U << 10U;  // buffered while a request is being served
constexpr std::size_t pipelined_read_quota = 4U << 10U;  // bytes: a client's next request is not awaited
constexpr std::size_t framing_read_quota = 4U << 10U;    // bytes
constexpr std::size_t max_header_fields = 100;
constexpr Span closing_timeout = Span::ms(1000);  // for the client to close after the last response
constexpr Span unread_grace = Span::ms(1);        // for reading the bytes that are already in the socket
constexpr std::string_view last_chunk = "0\r\n\r\n";

}  // namespace

DownstreamConnection::DownstreamConnection(DataPlane& plane)
    : plane_(plane),
      channel_(plane.scheduler(), static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::request),
      request_(std::make_unique<ProxiedRequest>(plane, *this)) {
  plane_.connection_limiter().add(*this);
  start_request_timer();
}

DownstreamConnection::~DownstreamConnection() { plane_.timers().cancel(timer_); }

// ---- time limits

// The limits of a request are those of the configuration at the time of its first byte.
http::Limits DownstreamConnection::request_limits() const {
  const common::ClientLimits limits = plane_.client_limits();
  return {.head = limits.header_bytes, .body = limits.body_bytes, .fields = max_header_fields};
}

Span DownstreamConnection::idle_limit() const { return plane_.client_limits().idle; }

void DownstreamConnection::start_request_timer() {
  const common::ClientLimits limits = plane_.client_limits();
  const bool has_begun = parser_.begun() || channel_.in_size() > 0;
  is_awaiting_head_ = has_begun && !parser_.head_done();
  if (!has_begun) return start_idle_timer(limits.idle);
  plane_.timers().cancel(timer_);
  timer_ = plane_.timers().after(is_awaiting_head_ ? limits.header : limits.idle, [this] {
    if (!channel_.unread()) return on_request_timeout();
    // The data has arrived but was not read yet: this process was delayed, not the client.
    timer_ = plane_.timers().after(unread_grace, [this] { on_request_timeout(); });
  });
}

void DownstreamConnection::on_request_timeout() {
  if (state_ != State::reading) return;
  if (!parser_.begun()) return close(FailureCause::client_stalled);
  reject_unread(FailureCause::slow_request, 408, "the request did not come whole in time");
}

// Limits the time between two requests, and the time until the client closes the connection. `elapsed` is the
// part of the limit that has already passed.
void DownstreamConnection::start_idle_timer(Span limit, Span elapsed) {
  plane_.timers().cancel(timer_);
  timer_ = plane_.timers().after(
      limit - elapsed, [this, limit, unsent = channel_.unsent()] { on_idle_timeout(limit, unsent); });
}

void DownstreamConnection::on_idle_timeout(Span limit, std::size_t unsent_before) {
  // A client that is still reading its response is not idle.
  if (channel_.unsent() > 0 && channel_.unsent() < unsent_before) return start_idle_timer(limit);
  // Clients rely on the current limit, which may have increased in the meantime.
  if (state_ == State::reading && idle_limit() > limit) return start_idle_timer(idle_limit(), limit);
  if (state_ != State::reading || !channel_.unread()) return close(FailureCause::client_stalled);
  // A request has arrived but was not read yet: this process was delayed, not the client.
  timer_ = plane_.timers().after(unread_grace, [this] { on_request_timeout(); });
}

// ---- requests

void DownstreamConnection::on_channel_data(net::Channel&) {
  if (state_ == State::reading) {
    read_request();
  } else if (state_ == State::closing) {
    channel_.in().clear();  // further requests are not answered
  } else if (channel_.in_size() > max_pipelined_bytes) {
    channel_.set_reading_paused(true);
  }
}

void DownstreamConnection::on_channel_flushed(net::Channel&) {
  switch (state_) {
    case State::closing: return start_idle_timer(closing_timeout);
    case State::serving: set_phase(Phase::serving); return request_->on_response_read();
    case State::reading:
      if (parser_.begun()) return;
      set_phase(Phase::idle);
      channel_.set_reading_paused(channel_.in_size() > max_pipelined_bytes);
      return channel_.in_size() > 0 ? read_pipelined() : start_idle_timer(idle_limit());
    case State::closed: return;
  }
}

void DownstreamConnection::on_channel_progress(net::Channel&, std::size_t bytes) {
  plane_.connection_limiter().on_progress(*this, bytes);
}

void DownstreamConnection::on_channel_closed(net::Channel&) { on_closed(FailureCause::client_left); }

void DownstreamConnection::read_request() {
  if (state_ != State::reading || channel_.in_size() == 0 || has_unread_response()) return;
  if (!parser_.begun()) parser_.set_limits(request_limits());
  const bool had_head = parser_.head_done();
  const std::size_t size_before = channel_.in_size();
  const std::size_t decoded_before = parser_.body_received();
  const http::Progress progress = parser_.feed(channel_.in());
  if (progress == http::Progress::more) {
    // Bytes that are mostly framing, as of tiny chunks, cost far more time than others: fewer are read in a
    // turn.
    const bool is_mostly_framing =
        size_before - channel_.in_size() > parser_.body_received() - decoded_before;
    channel_.set_read_quota(is_mostly_framing ? framing_read_quota : net::Channel::default_read_quota);
    return await_rest_of_request(had_head);
  }
  if (progress == http::Progress::failed)
    return reject_unread(FailureCause::malformed_request, parser_.status_of_error(), parser_.error());
  serve_request();
}

void DownstreamConnection::await_rest_of_request(bool had_head) {
  channel_.set_reading_paused(false);
  set_phase(Phase::receiving);
  count_progress();
  const bool has_room = plane_.connection_limiter().make_room(this);
  if (!has_room && (!common::ConnectionLimiter::is_small(*this) || parser_.find("Expect")))
    return reject_unread(FailureCause::memory_full, 503, "too much is being received now");
  if (!had_head && parser_.head_done() && !is_continue_sent_ && parser_.find("Expect")) {
    is_continue_sent_ = true;
    channel_.write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (!is_awaiting_head_ || parser_.head_done()) start_request_timer();
}

void DownstreamConnection::set_phase(Phase phase) { plane_.connection_limiter().set_phase(*this, phase); }

bool DownstreamConnection::make_room() { return plane_.connection_limiter().make_room(this); }

void DownstreamConnection::count_progress() {
  const std::size_t received =
      parser_.head_done() ? parser_.head_size() + parser_.body_received() : channel_.in_size();
  plane_.connection_limiter().on_progress(*this, received - std::min(received, received_bytes_));
  received_bytes_ = received;
}

void DownstreamConnection::serve_request() {
  plane_.timers().cancel(timer_);
  set_phase(Phase::serving);
  channel_.set_read_quota(pipelined_read_quota);
  state_ = State::serving;
  request_ = std::make_unique<ProxiedRequest>(plane_, *this);
  is_persistent_ = parser_.keep_alive() && !plane_.is_closing();
  ParsedClientRequest parsed = parse_client_request(parser_, channel_.in());
  parser_.reset();
  received_bytes_ = 0;
  is_continue_sent_ = false;
  request_->start(std::move(parsed));
}

// Bytes that follow an incompletely read request can't be distinguished from it, so the connection ends.
void DownstreamConnection::reject_unread(FailureCause cause, int status, std::string_view text) {
  plane_.timers().cancel(timer_);
  state_ = State::serving;
  is_persistent_ = false;
  request_ = std::make_unique<ProxiedRequest>(plane_, *this);
  request_->reject(cause, status, text);
}

void DownstreamConnection::on_request_finished() {
  state_ = State::reading;
  channel_.set_read_quota(net::Channel::default_read_quota);
  channel_.flush();
  if (!is_persistent_) {
    state_ = State::closing;
    set_phase(Phase::closing);
    channel_.in().clear();
    channel_.shutdown_write_when_flushed();
    start_idle_timer(channel_.unsent() > 0 ? idle_limit() : closing_timeout);
    return;
  }
  set_phase(channel_.unsent() > 0 ? Phase::sending : Phase::idle);
  make_room();
  if (has_unread_response()) {  // the next request waits until the client has read this one's response
    channel_.set_reading_paused(true);
    return start_idle_timer(idle_limit());
  }
  start_request_timer();
  // Many small requests that were sent ahead are read before more of them is received.
  channel_.set_reading_paused(channel_.in_size() > max_pipelined_bytes);
  if (channel_.in_size() > 0) read_pipelined();
}

// Deferred to a later iteration of the event loop, because other connections should be served first and the
// finished request is still on the stack.
void DownstreamConnection::read_pipelined() {
  plane_.timers().cancel(timer_);
  timer_ = plane_.timers().after(Span(), [this] {
    start_request_timer();
    read_request();
  });
}

// ---- responses

void DownstreamConnection::write_head(int status,
                                      const std::vector<std::pair<std::string, std::string>>& headers) {
  http::Writer out(channel_.out());
  out.status_line(status);
  for (const auto& [name, value] : headers) out.field(name, value);
  if (plane_.is_shutting_down()) is_persistent_ = false;
  if (!is_persistent_) out.field("Connection", "close");
}

void DownstreamConnection::write_body(int status, std::string_view method, std::string_view body,
                                      std::size_t content_length) {
  http::Writer out(channel_.out());
  const bool has_no_content = status == 204 || status == 304;
  if (!has_no_content && method != "HEAD") return out.body(body);
  if (status != 204 && content_length > 0) out.field("Content-Length", std::to_string(content_length));
  out.no_body();
}

void DownstreamConnection::begin_chunks() { channel_.out().append("Transfer-Encoding: chunked\r\n\r\n"); }

void DownstreamConnection::write_chunk(std::string_view bytes) {
  char size_line[24];
  const int length = std::snprintf(size_line, sizeof size_line, "%zx\r\n", bytes.size());
  channel_.out().append({size_line, static_cast<std::size_t>(length)});
  channel_.out().append(bytes);
  channel_.out().append("\r\n");
}

void DownstreamConnection::end_chunks() { channel_.out().append(last_chunk); }

void DownstreamConnection::flush() {
  channel_.flush();
  if (state_ == State::serving && has_unread_response()) set_phase(Phase::sending);
}

// ---- ends

// A request that was not read completely has not run, and its client is told so. A client that does not read
// its response can't be told anything.
void DownstreamConnection::on_shed(common::ShedCause cause) {
  const bool is_receiving = state_ == State::reading && parser_.begun() && channel_.unsent() == 0;
  if (cause == common::ShedCause::memory && is_receiving)
    return reject_unread(FailureCause::memory_full, 503, "too much is being received now");
  if (is_receiving)
    reject_unread(FailureCause::too_many_connections, 503, "too many connections are waiting now");
  if (state_ != State::closed) close(FailureCause::client_stalled);
}

void DownstreamConnection::close(FailureCause cause) {
  if (state_ == State::closed) return;
  channel_.close();
  on_closed(cause);
}

void DownstreamConnection::reset(FailureCause cause) {
  channel_.reset();
  on_closed(cause);
}

void DownstreamConnection::record_failure(FailureCause cause, int status) {
  plane_.failures().count(cause);
  plane_.failures().log(plane_.timers().now(), [&] {
    FailureReport report;
    request_->add_to(report);
    plane_.add_control_state(report);
    report.cause = cause;
    report.status = status;
    return report;
  });
}

void DownstreamConnection::on_closed(FailureCause cause) {
  common::check_invariant(common::Invariant::exchange_ends_once, state_ != State::closed,
                          [&] { return request_->attempt_id() + ", " + std::string(name_of(cause)); });
  if (state_ == State::serving || channel_.unsent() > 0) record_failure(cause, 0);
  plane_.timers().cancel(timer_);
  request_->abort();
  state_ = State::closed;
  channel_.in().clear();
  channel_.out().clear();
  plane_.connection_limiter().remove(*this);
  plane_.remove(*this);
}

}  // namespace chutevane::edge
