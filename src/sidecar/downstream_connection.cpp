#include "sidecar/downstream_connection.hpp"

#include <algorithm>
#include <utility>

#include "sidecar/listener.hpp"

namespace chutevane::sidecar {
namespace {

using net::Socket;
using net::Waker;

constexpr Span write_timeout = Span::ms(10000);       // for the client to take more of a response
constexpr Span body_pause_timeout = Span::ms(1500);   // between bytes of a request's body
constexpr Span body_rate_allowance = Span::ms(2300);  // by which a body may be behind the slowest rate
constexpr double min_body_rate = 16.0;  // bytes/ms: a quarter of the slowest client's that is known
// After a response to a request that was not read to its end.
constexpr Span linger_timeout = Span::ms(1000);
constexpr std::size_t max_linger_bytes = 1024 * 1024;
// How long a connection is kept for a request that may be on its way, when another waits for its descriptor:
// after the request's first byte, and before it (clients send at once).
constexpr Span request_grace = Span::ms(1000), silent_grace = Span::ms(200);

}  // namespace

DownstreamConnection::DownstreamConnection(net::Scheduler& scheduler, Listener& listener, int fd)
    : scheduler_(scheduler),
      listener_(listener),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      buffer_(listener.buffer_budget_),
      accepted_at_(scheduler.now()),
      idle_since_(scheduler.now()),
      request_id_(listener.active_ids_),
      pieces_(listener.buffer_budget_),
      task_(run()) {
  socket_.adopt(fd);
}

DownstreamConnection::~DownstreamConnection() {
  end_outstanding();
  if (request_body_) request_body_->set_producer(nullptr, 0);
  if (response_body_) response_body_->detach_consumer();
}

net::Task DownstreamConnection::run() {
  while (is_usable_) {
    prepare_for_request();
    while (const Bits events = wait_for_request()) on_request_event(co_await waker_.wait(events));
    if (!is_usable_) break;
    handle_request();
    while (const Bits events = wait_for_response()) on_response_event(co_await waker_.wait(events));
    if (!is_usable_) {
      abandon_call();
      break;
    }
    start_writing();
    while (const Bits events = write_response()) on_write_event(co_await waker_.wait(events));
    while (const Bits events = write_response_body()) on_write_event(co_await waker_.wait(events));
    finish_response();
    while (const Bits events = wait_for_request_rest()) on_request_rest_event(co_await waker_.wait(events));
    if (request_body_) request_body_->set_producer(nullptr, 0);
    if (is_last_ && is_usable_) {
      start_lingering();
      while (const Bits events = wait_for_peer_close()) on_linger_event(co_await waker_.wait(events));
    }
    if (is_last_) break;
    become_idle();
  }
  close();
}

// --- The request

void DownstreamConnection::prepare_for_request() {
  parser_.reset();
  request_body_.reset();
  body_received_ = false;
  sent_continue_ = withheld_continue_ = false;
  head_seen_ = request_started_ = request_timed_out_ = false;
  idle_since_ = scheduler_.now();
  // A connection that has been served may rest. A new one must begin and end its request within the bound.
  timer_.set(has_served_ ? idle_since_ + listener_.idle_timeout_ : accepted_at_ + listener_.request_timeout_);
  was_pipelined_ = true;
  progress_ = buffer_.empty() ? http::Progress::more : parser_.feed(buffer_.bytes());
}

DownstreamConnection::Bits DownstreamConnection::wait_for_request() {
  if (!is_usable_ || request_timed_out_ || progress_ != http::Progress::more || must_stream_request())
    return 0;
  note_request_progress();
  if (parser_.head_done() && !sent_continue_ && expects_continue()) {
    sent_continue_ = true;
    is_usable_ = send_continue();
    if (!is_usable_) return 0;
  }
  return Waker::readable | Waker::hung_up | due | closed;
}

/// Sets the timer to what the part of the request that is under way allows.
void DownstreamConnection::note_request_progress() {
  if (!request_started_ && parser_.begun()) {
    request_started_ = true;
    request_since_ = scheduler_.now();
    if (has_served_) timer_.set(scheduler_.now() + listener_.request_timeout_);
  }
  if (!parser_.head_done()) return;
  if (!std::exchange(head_seen_, true)) body_since_ = scheduler_.now();
  timer_.set(body_deadline());
}

void DownstreamConnection::on_request_event(Bits events) {
  // A request that has begun is answered with 408; a connection without one is just closed.
  if ((events & closed) != 0 || ((events & due) != 0 && !request_started_)) is_usable_ = false;
  request_timed_out_ = (events & due) != 0;
  if ((events & (due | closed)) != 0) return;
  const Socket::Result result = socket_.read(buffer_);
  last_read_at_ = scheduler_.now();
  was_pipelined_ = false;
  // Fed also when nothing came: reading may have moved the bytes that the parser refers to.
  if (result == Socket::Result::some || result == Socket::Result::later)
    progress_ = parser_.feed(buffer_.bytes());
  if (result == Socket::Result::ended || result == Socket::Result::broken) is_usable_ = false;
}

/// Bounds progress, not the whole time: a large body may take long, but must not stand still.
TimePoint DownstreamConnection::body_deadline() const {
  return std::min(scheduler_.now() + body_pause_timeout,
                  body_since_ + body_rate_allowance + body_time_at_min_rate());
}

Span DownstreamConnection::body_time_at_min_rate() const {
  return Span::ms(static_cast<double>(parser_.body_received()) / min_body_rate);
}

bool DownstreamConnection::must_stream_request() const {
  return parser_.head_done() && parser_.has_body() &&
         exceeds_buffer(parser_, max_buffered_body(listener_.buffer_budget_, true));
}

bool DownstreamConnection::send_continue() {
  std::size_t written = 0;
  return socket_.write(std::string_view("HTTP/1.1 100 Continue\r\n\r\n"), written) == Socket::Result::some;
}

void DownstreamConnection::handle_request() {
  timer_.cancel();
  if (progress_ == http::Progress::complete) {
    route_request();
  } else if (progress_ == http::Progress::more && must_stream_request()) {
    if (!head_seen_) body_since_ = scheduler_.now();
    withheld_continue_ = !sent_continue_ && expects_continue();
    start_streaming_request();
    route_request();
  } else {
    const bool too_slow = progress_ == http::Progress::more;
    reject_unreadable(too_slow ? 408 : parser_.status_of_error(),
                      too_slow ? "request too slow" : parser_.error());
  }
  if (unwritten_ == 0 && std::exchange(withheld_continue_, false)) is_usable_ = send_continue();
}

void DownstreamConnection::start_streaming_request() {
  head_.assign(buffer_.bytes().data(), parser_.head_size());
  request_body_ = std::make_shared<BodyPipe>(listener_.buffer_budget_, true);
  request_body_->set_producer(&waker_, pipe_moved);
  request_body_->append(parser_.body());
  buffer_.consume(parser_.size());
  parser_.detach(head_.data());
}

void DownstreamConnection::route_request() {
  request_bytes_ = request_body_ ? 0 : parser_.size();
  const ClassifiedRequest request = listener_.router_.classify(parser_);
  switch (request.kind) {
    case RequestKind::readiness_check:
      if (listener_.is_draining_) {
        reply_locally(503, "draining\n");
      } else {
        reply_locally(200, "ready\n");
      }
      break;
    case RequestKind::no_route:
      ++listener_.counters_.bad_requests;
      reply_locally(404, std::string(request.reason) + "\n");
      break;
    case RequestKind::invalid:
      ++listener_.counters_.bad_requests;
      is_last_ = buffer_.size() > request_bytes_;  // a client that pipelines such requests is read no further
      reply_locally(400, std::string(request.reason) + "\n");
      break;
    case RequestKind::call: submit_call(request.call, request.route); break;
  }
}

void DownstreamConnection::submit_call(ApiCall call, std::uint32_t route) {
  // The client closed after it had sent the request, perhaps long ago, while the connection waited to be
  // accepted or the request behind another: endpoints are spared work that nobody waits for. The hang-up ends
  // the wait for the response.
  if (waker_.has(Waker::hung_up)) return;
  const std::string_view id = listener_.protocol_.request_id(parser_);
  if (!id.empty() && !request_id_.claim(id)) {
    ++listener_.counters_.bad_requests;
    reply_locally(409, "a call with this X-Request-ID is open\n");
    return;
  }
  // The client's patience with a pipelined request has run since the request came.
  if (was_pipelined_) call.time_left = call.time_left - (scheduler_.now() - last_read_at_);
  track_ = call.track;
  call.is_uploading = request_body_ != nullptr;
  is_outstanding_ = true;
  ++listener_.counters_.outstanding;
  const CallId submitted = listener_.router_.submit(call, route, *this);
  if (unwritten_ == 0) call_ = submitted;  // else it has been answered already
}

// --- The response

DownstreamConnection::Bits DownstreamConnection::wait_for_response() {
  if (!is_usable_ || unwritten_ != 0) return 0;
  Bits events = responded | Waker::hung_up | closed;
  reads_body_ = false;
  if (request_body_ && !body_received_) {
    events |= receive_request_body();
    if (unwritten_ != 0) return 0;  // it could not be read
  }
  return events;
}

/// Moves what has come of a streamed request into its pipe. Returns the events that bring more of it.
DownstreamConnection::Bits DownstreamConnection::receive_request_body() {
  progress_ = request_body_->receive(parser_, buffer_);
  body_received_ = progress_ == http::Progress::complete;
  if (progress_ == http::Progress::failed) {
    end_call_without_response();
    reject_unreadable(parser_.status_of_error(), parser_.error());
    return 0;
  }
  const bool must_pause = request_body_->writable_bytes() == 0 ||
                          (listener_.buffer_budget_.full() && !request_body_->readable().empty());
  reads_body_ = progress_ == http::Progress::more && !must_pause;
  if (reads_body_) {
    timer_.set(body_deadline());
    return Waker::readable | due;
  }
  // The endpoint's pace: the time that it takes is not held against the client.
  timer_.cancel();
  body_since_ = scheduler_.now() - body_time_at_min_rate();
  return body_received_ ? 0 : pipe_moved;
}

void DownstreamConnection::on_response_event(Bits events) {
  if (unwritten_ != 0) return;
  if ((events & (Waker::hung_up | closed)) != 0) {
    is_usable_ = false;
  } else if ((events & due) != 0) {
    end_call_without_response();
    reject_unreadable(408, "request too slow");
  } else if (reads_body_ && (events & Waker::readable) != 0) {
    const Socket::Result result =
        socket_.read(buffer_, std::min(request_body_->writable_bytes(), max_piece_bytes));
    is_usable_ = result == Socket::Result::some || result == Socket::Result::later;
  }
}

/// The client has left while its call was in flight.
void DownstreamConnection::abandon_call() {
  left_in_call_ = true;
  socket_.close();
  end_call_without_response();
}

void DownstreamConnection::end_call_without_response() {
  const CallId call = std::exchange(call_, 0);
  if (request_body_) request_body_->abort();
  request_id_.release();
  end_outstanding();
  listener_.router_.cancel(call);
}

/// Puts a response in the request's place at the buffer's front, and wakes the coroutine to write it.
template <class Write>
void DownstreamConnection::respond(Write write) {
  call_ = 0;
  request_id_.release();
  is_last_ = is_last_ || !parser_.keep_alive() || listener_.closes_after_response_ || withheld_continue_;
  buffer_.consume(std::exchange(request_bytes_, 0));
  // Pipelined bytes, if they are still to be read.
  const std::string behind(buffer_.bytes().data(), is_last_ ? 0 : buffer_.size());
  buffer_.consume(buffer_.size());
  write(buffer_);
  unwritten_ = buffer_.size();
  buffer_.append(behind);
  waker_.set(responded);
}

void DownstreamConnection::on_response(const http::Parser& response) {
  record_result(RequestResult::succeeded);
  respond([&](net::Buffer& out) {
    listener_.protocol_.write_response(out, response, is_last_, parser_.method() == "HEAD");
  });
}

void DownstreamConnection::on_response_started(const http::Parser& response,
                                               const std::shared_ptr<BodyPipe>& body) {
  response_body_ = body;
  response_body_->set_consumer(&waker_, pipe_moved);
  last_piece_out_ = false;
  is_chunked_ = !response.length() && !parser_.http_1_0();
  is_last_ = is_last_ || (!response.length() && !is_chunked_);  // the connection's end frames the body
  respond([&](net::Buffer& out) {
    listener_.protocol_.write_response_head(out, response, is_chunked_, is_last_);
  });
}

void DownstreamConnection::on_rejected(Span retry_after, const pool::AttemptHistory& history) {
  record_result(RequestResult::declined);
  // Rejected without an attempt: this sidecar is full, and the client may find room at another one.
  if (history.dispatches == 0 && listener_.parting_.may_go(listener_.size(), scheduler_.now())) {
    is_last_ = true;
    ++listener_.counters_.downstream_rebalanced;
  }
  respond([&](net::Buffer& out) { listener_.protocol_.write_rejection(out, retry_after, is_last_); });
}

void DownstreamConnection::on_aborted(bool timed_out, const pool::AttemptHistory&) {
  record_result(RequestResult::aborted);
  respond([&](net::Buffer& out) { listener_.protocol_.write_abort(out, timed_out, is_last_); });
}

void DownstreamConnection::reply_locally(int status, std::string_view text) {
  respond([&](net::Buffer& out) { listener_.protocol_.write_local_reply(out, status, text, is_last_); });
}

/// Answers what could not be read as a request. Where it ends is not known, so the connection ends with it.
void DownstreamConnection::reject_unreadable(int status, std::string_view text) {
  ++listener_.counters_.bad_requests;
  request_bytes_ = buffer_.size();
  is_last_ = true;
  reply_locally(status, std::string(text) + "\n");
}

void DownstreamConnection::end_outstanding() {
  if (std::exchange(is_outstanding_, false)) --listener_.counters_.outstanding;
}

void DownstreamConnection::record_result(RequestResult result) {
  listener_.counters_.record_result(track_, result);
}

void DownstreamConnection::start_writing() {
  has_served_ = true;
  waker_.clear(responded);
  timer_.set(scheduler_.now() + write_timeout);
}

DownstreamConnection::Bits DownstreamConnection::write_response() {
  while (is_usable_ && unwritten_ > 0) {
    std::size_t written = 0;
    const Socket::Result result = socket_.write(buffer_.bytes().first(unwritten_), written);
    buffer_.consume(written);
    unwritten_ -= written;
    if (result == Socket::Result::broken) is_usable_ = false;
    if (result == Socket::Result::later) return Waker::writable | due | closed;
  }
  return 0;
}

/// A streamed response's body, piece by piece.
DownstreamConnection::Bits DownstreamConnection::write_response_body() {
  while (is_usable_ && response_body_ && (!pieces_.empty() || !last_piece_out_)) {
    if (pieces_.empty()) {
      const BodyPipe::Piece piece = response_body_->write_piece(pieces_, is_chunked_);
      last_piece_out_ = piece == BodyPipe::Piece::last;
      if (piece == BodyPipe::Piece::none && response_body_->is_aborted()) {
        // Cut short of its length or its last chunk, or reset, so that the client does not take it for
        // complete.
        record_result(RequestResult::aborted);
        socket_.reset();
        is_usable_ = false;
        return 0;
      }
      if (piece == BodyPipe::Piece::none) {
        timer_.cancel();
        return pipe_moved | Waker::hung_up | closed;
      }
    }
    std::size_t written = 0;
    const Socket::Result result = socket_.write(pieces_.bytes(), written);
    pieces_.consume(written);
    if (result == Socket::Result::broken) is_usable_ = false;
    if (result == Socket::Result::later) {
      timer_.set(scheduler_.now() + write_timeout);
      return Waker::writable | due | closed;
    }
  }
  return 0;
}

void DownstreamConnection::on_write_event(Bits events) {
  if ((events & (Waker::hung_up | due | closed)) != 0) is_usable_ = false;
}

void DownstreamConnection::finish_response() {
  if (response_body_) {
    if (is_usable_) record_result(RequestResult::succeeded);
    response_body_->detach_consumer();
    response_body_.reset();
    pieces_.consume(pieces_.size());
    pieces_.shrink(0);
  }
  end_outstanding();
}

// --- The end of a request, and of the connection

/// Reads on what is left of a streamed request that was answered before its end: closing on a client that
/// still sends would reset the connection and take the response away from it.
DownstreamConnection::Bits DownstreamConnection::wait_for_request_rest() {
  if (!is_usable_ || !request_body_ || body_received_ || is_last_) return 0;
  progress_ = receive_body(parser_, buffer_, nullptr);
  if (progress_ != http::Progress::more) {
    is_usable_ = progress_ == http::Progress::complete;
    return 0;
  }
  timer_.set(body_deadline());
  return Waker::readable | Waker::hung_up | due | closed;
}

void DownstreamConnection::on_request_rest_event(Bits events) {
  const Socket::Result result = socket_.open() ? socket_.read(buffer_) : Socket::Result::broken;
  is_usable_ =
      (events & (due | closed)) == 0 && (result == Socket::Result::some || result == Socket::Result::later);
}

/// Closing with bytes unread would reset the connection and take the last response away from its reader.
void DownstreamConnection::start_lingering() {
  is_lingering_ = true;
  socket_.end_writing();
  timer_.set(scheduler_.now() + linger_timeout);
  buffer_.consume(buffer_.size());
  lingered_bytes_ = 0;
}

DownstreamConnection::Bits DownstreamConnection::wait_for_peer_close() const {
  if (!is_usable_ || lingered_bytes_ >= max_linger_bytes) return 0;
  return Waker::readable | Waker::hung_up | due | closed;
}

void DownstreamConnection::on_linger_event(Bits events) {
  is_usable_ = socket_.discard(buffer_, lingered_bytes_) && (events & (due | closed)) == 0;
}

void DownstreamConnection::become_idle() {
  buffer_.shrink(idle_buffer_bytes);
  listener_.on_connection_idle();
}

void DownstreamConnection::close() {
  ++listener_.counters_.downstream_closes[static_cast<std::size_t>(close_stage())];
  socket_.close();
  timer_.cancel();
  listener_.on_connection_closed(*this);
}

DownstreamClose DownstreamConnection::close_stage() const {
  if (left_in_call_) return DownstreamClose::call_in_flight;
  if (is_lingering_) return DownstreamClose::after_last_response;
  if (unwritten_ > 0) return DownstreamClose::writing;
  if (parser_.begun()) return DownstreamClose::within_request;
  return has_served_ ? DownstreamClose::idle : DownstreamClose::before_request;
}

std::optional<TimePoint> DownstreamConnection::evictable_since() const {
  if (!socket_.open() || call_ != 0 || response_body_ || (unwritten_ > 0 && !is_lingering_))
    return std::nullopt;
  if (is_lingering_) return TimePoint();
  if (!parser_.begun() && has_served_) return idle_since_;
  const TimePoint since = parser_.begun() ? request_since_ : idle_since_;
  if (scheduler_.now() - since < (parser_.begun() ? request_grace : silent_grace)) return std::nullopt;
  return since;
}

}  // namespace chutevane::sidecar
