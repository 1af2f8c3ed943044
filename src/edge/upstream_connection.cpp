/// UpstreamConnection: sending requests and receiving responses on one connection to an endpoint.
#include "edge/upstream_connection.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "edge/upstream_pool.hpp"

namespace chutevane::edge {
namespace {

constexpr http::Limits response_limits{.head = 16U << 10U, .body = 64U << 20U, .fields = 100};  // bytes
constexpr Span connect_timeout = Span::ms(600);        // a reachable endpoint accepts within a few ms
constexpr Span default_idle_timeout = Span::ms(3000);  // if the endpoint does not state a timeout
constexpr double idle_timeout_fraction = 0.8;  // of the stated timeout, to close before the endpoint does
constexpr std::size_t max_skipped_responses = 4;
constexpr std::size_t max_unsent_bytes = 64 * 1024;  // copied from a body ahead of what the endpoint reads

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamPool& pool, net::Scheduler& scheduler, net::TimerQueue& timers,
                                       std::shared_ptr<Endpoint> endpoint)
    : pool_(pool),
      timers_(timers),
      endpoint_(std::move(endpoint)),
      channel_(scheduler, static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::response, response_limits),
      idle_timeout_(default_idle_timeout) {}

// ---- sending

void UpstreamConnection::send(ResponseHandler& handler, UpstreamRequest request) {
  timers_.cancel(timer_);
  handler_ = &handler;
  unsent_head_ = std::move(request.head);
  unsent_body_.assign(request.body.rbegin(), request.body.rend());
  attempt_id_ = std::move(request.attempt_id);
  is_head_request_ = request.is_head;
  is_request_written_ = is_head_read_ = is_skipping_ = false;
  // Without an id, a late response could not be distinguished from the response to the next request.
  is_persistent_ = !attempt_id_.empty();
  skipped_responses_ = 0;
  parser_.reset(is_head_request_);
  if (channel_.up()) write_request();
}

bool UpstreamConnection::connect(const sockaddr_in& address) {
  timer_ = timers_.after(connect_timeout, [this] {
    if (!is_request_written_ && handler_ != nullptr) fail(UpstreamFailure::not_sent);
  });
  if (channel_.connect(address)) return true;
  fail(UpstreamFailure::not_sent);
  return false;
}

// From this point on the request may run. A request that waited for the connection is not sent if the
// endpoint has started draining in the meantime.
void UpstreamConnection::write_request() {
  if (endpoint_->is_draining || endpoint_->is_removed) return fail(UpstreamFailure::not_sent);
  is_request_written_ = true;
  ++requests_written_;
  channel_.out().append(unsent_head_);
  unsent_head_.clear();
  unsent_head_.shrink_to_fit();
  write_body();
}

// A body that fits is sent in one write with its head.
void UpstreamConnection::write_body() {
  do {
    while (!unsent_body_.empty() && channel_.unsent() < max_unsent_bytes) {
      std::string_view& part = unsent_body_.back();
      const std::size_t size = std::min(part.size(), max_unsent_bytes);
      channel_.out().append(part.substr(0, size));
      part.remove_prefix(size);
      if (part.empty()) unsent_body_.pop_back();
    }
    channel_.flush();
  } while (!unsent_body_.empty() && channel_.up() && channel_.unsent() == 0);
}

void UpstreamConnection::on_channel_open(net::Channel&) {
  timers_.cancel(timer_);
  write_request();
}

// ---- receiving

void UpstreamConnection::on_channel_data(net::Channel&) {
  if (handler_ == nullptr) return close();  // bytes that do not belong to any request
  if (!is_request_written_) return fail(UpstreamFailure::not_sent);
  process_input();
}

void UpstreamConnection::process_input() {
  Step step = Step::again;
  while (!is_closed_ && step == Step::again) step = is_head_read_ ? read_body() : read_head();
}

UpstreamConnection::Step UpstreamConnection::read_head() {
  if (channel_.in().empty()) return Step::wait;
  const http::Progress progress = parser_.feed(channel_.in().bytes());
  if (progress == http::Progress::failed) return fail_response();
  if (!parser_.head_done()) return Step::wait;
  if (parser_.status() < 200) return read_interim_head(progress);
  if (may_be_surplus()) return fail_response();
  is_head_read_ = true;
  read_keep_alive();
  is_skipping_ = is_for_other_request();
  if (is_skipping_) {
    is_persistent_ = false;
    if (++skipped_responses_ > max_skipped_responses) return fail_response();
  } else if (ends_only_by_close()) {
    return fail_response();
  } else if (deliver_head() == Step::wait) {
    return Step::wait;
  }
  channel_.in().consume(parser_.size());
  parser_.detach(nullptr);
  return progress == http::Progress::complete ? end_response() : Step::again;
}

// Skips interim responses such as 100 Continue and 103 Early Hints. A 101 is an error: the edge never asks to
// switch protocols, and the bytes after a 101 are not HTTP.
UpstreamConnection::Step UpstreamConnection::read_interim_head(http::Progress progress) {
  if (progress != http::Progress::complete || parser_.status() == 101) return fail_response();
  channel_.in().consume(parser_.size());
  parser_.reset(is_head_request_);
  return Step::again;
}

// Returns Step::wait if the handler has cancelled the request.
UpstreamConnection::Step UpstreamConnection::deliver_head() {
  handler_->on_response_head(parser_);
  if (is_closed_ || handler_ == nullptr) return Step::wait;
  if (!parser_.body().empty()) handler_->on_response_body(parser_.body());
  return is_closed_ || handler_ == nullptr ? Step::wait : Step::again;
}

UpstreamConnection::Step UpstreamConnection::read_body() {
  const std::span<char> bytes = channel_.in().bytes();
  if (bytes.empty()) return Step::wait;
  std::size_t consumed = 0;
  std::string_view piece;
  const http::Progress progress = parser_.more(bytes, consumed, piece);
  if (progress == http::Progress::failed) return fail_response();
  if (!piece.empty() && !is_skipping_) {
    handler_->on_response_body(piece);
    if (is_closed_ || handler_ == nullptr) return Step::wait;
  }
  channel_.in().consume(consumed);
  if (progress == http::Progress::complete) return end_response();
  return consumed == 0 ? Step::wait : Step::again;
}

UpstreamConnection::Step UpstreamConnection::end_response() {
  if (!is_skipping_) {
    complete();
    return Step::wait;
  }
  is_head_read_ = false;
  parser_.reset(is_head_request_);
  return Step::again;
}

// Returns true if the head has the id of another attempt, that is, of an earlier one whose response is no
// longer expected.
bool UpstreamConnection::is_for_other_request() const {
  const auto id = parser_.find("X-Chutevane-Attempt-Id");
  return id && *id != attempt_id_;
}

// A head without an id, after an earlier request on this connection, may be surplus data of the earlier
// response. It neither answers the current request nor proves that the request did not run.
bool UpstreamConnection::may_be_surplus() const {
  return requests_written_ > 1 && !attempt_id_.empty() && !parser_.find("X-Chutevane-Attempt-Id");
}

// Returns true if the end of the body can't be distinguished from a lost connection.
bool UpstreamConnection::ends_only_by_close() const {
  return !parser_.length() && !parser_.keep_alive() && parser_.has_body() &&
         !parser_.find("Transfer-Encoding");
}

void UpstreamConnection::read_keep_alive() {
  constexpr std::string_view parameter = "timeout=";
  is_persistent_ = is_persistent_ && parser_.keep_alive();
  const auto value = parser_.find("Keep-Alive");
  if (!value) return;
  const std::size_t at = value->find(parameter);
  if (at == std::string_view::npos) return;
  int seconds = 0;
  const std::string_view digits = value->substr(at + parameter.size());
  if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec == std::errc())
    idle_timeout_ = Span::ms(seconds * 1000.0 * idle_timeout_fraction);
}

// ---- ends

void UpstreamConnection::complete() {
  ResponseHandler* const handler = std::exchange(handler_, nullptr);
  // Bytes after a complete response do not belong to any request, and the unsent rest of a request that was
  // answered early would precede the next request. In both cases the connection can't be reused.
  const bool is_clean = channel_.in().empty() && channel_.unsent() == 0 && unsent_body_.empty();
  unsent_body_.clear();
  if (!is_persistent_ || !is_clean || endpoint_->is_draining || endpoint_->is_removed ||
      idle_timeout_ <= Span()) {
    close();
  } else {
    channel_.set_reading_paused(false);
    endpoint_->idle_connections.push_back(this);
    timers_.cancel(timer_);
    timer_ = timers_.after(idle_timeout_, [this] { close(); });
  }
  handler->on_response_complete();
}

void UpstreamConnection::fail(UpstreamFailure failure) {
  ResponseHandler* const handler = std::exchange(handler_, nullptr);
  close();
  if (handler != nullptr) handler->on_response_failed(failure);
}

UpstreamConnection::Step UpstreamConnection::fail_response() {
  fail(UpstreamFailure::connection_lost);
  return Step::wait;
}

void UpstreamConnection::on_channel_closed(net::Channel&) {
  if (is_closed_) return;
  if (handler_ != nullptr && is_head_read_ && !is_skipping_ &&
      parser_.ended(channel_.in().bytes()) == http::Progress::complete)
    return complete();
  fail(is_request_written_ ? UpstreamFailure::connection_lost : UpstreamFailure::not_sent);
}

bool UpstreamConnection::cancel() {
  handler_ = nullptr;
  close();
  return is_request_written_;
}

void UpstreamConnection::close() {
  if (is_closed_) return;
  is_closed_ = true;
  unsent_body_.clear();
  timers_.cancel(timer_);
  channel_.close();
  pool_.on_closed(*this);
}

}  // namespace chutevane::edge
