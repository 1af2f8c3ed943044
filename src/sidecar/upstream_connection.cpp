#include "sidecar/upstream_connection.hpp"

#include <algorithm>

#include "sidecar/upstream_pool.hpp"

namespace chutevane::sidecar {
namespace {

using net::Socket;
using net::Waker;

constexpr Span progress_interval = Span::ms(50);  // between reports that a streamed request goes out
// For more of a streamed response: long, since its dispatch counts as done, and an endpoint that hangs may
// come back.
constexpr Span body_timeout = Span::ms(30000);

}  // namespace

UpstreamConnection::UpstreamConnection(net::Scheduler& scheduler, UpstreamPool& pool,
                                       UpstreamEndpoint& endpoint)
    : scheduler_(scheduler),
      pool_(pool),
      endpoint_(endpoint),
      address_changes_(endpoint.address_changes),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      buffer_(pool.buffer_budget_),
      task_(run()) {}

UpstreamConnection::~UpstreamConnection() {
  release_request_body();
  if (response_body_) response_body_->set_producer(nullptr, 0);
}

net::Task UpstreamConnection::run() {
  if (const Bits events = start_connecting()) on_connect_event(co_await waker_.wait(events));
  if (!is_usable_) report(Outcome::not_connected);
  while (is_usable_) {
    start_writing();
    while (const Bits events = write_request()) on_write_event(co_await waker_.wait(events));
    if (!finish_request()) break;
    while (const Bits events = wait_for_response()) on_response_event(co_await waker_.wait(events));
    if (!start_delivery()) break;
    while (const Bits events = wait_for_body()) on_body_event(co_await waker_.wait(events));
    if (!finish_delivery()) break;
    buffer_.shrink(idle_buffer_bytes);
    // `readable` may stand for bytes that have been read since; it does not end the connection by itself.
    Bits events = 0;
    do {
      events = co_await waker_.wait(Waker::readable | Waker::hung_up | due | dispatched | closed);
    } while (events == Waker::readable && socket_.quiet());
    if (!resume(events)) break;
  }
  close();
}

/// The pool gives a new connection its first dispatch, or an idle one its next.
void UpstreamConnection::assign(const Dispatch& dispatch, const http::Parser& request,
                                const std::shared_ptr<BodyPipe>& body) {
  dispatch_ = dispatch;
  is_busy_ = true;
  to_head_ = request.method() == "HEAD";
  written_bytes_ = 0;
  request_body_ = body;
  last_piece_written_ = false;
  is_chunked_ = body && !request.length();
  if (body) {
    body->rewind();
    body->set_consumer(&waker_, pipe_moved);
  }
  pool_.protocol_.write_upstream_request(buffer_, request, dispatch.timeout, body != nullptr);
  ++pool_.counters_.dispatches;
}

void UpstreamConnection::report(Outcome outcome, const http::Parser* response) {
  if (!is_busy_) return;
  is_busy_ = false;
  const Dispatch ended = dispatch_;  // the connection may be given the next one before this returns
  ++pool_.counters_.outcomes[static_cast<std::size_t>(outcome)];
  ++pool_.counters_.outcomes_by_stage[static_cast<std::size_t>(stage_)][static_cast<std::size_t>(outcome)];
  pool_.observer_->on_dispatch_end(ended, outcome, response);
}

// --- The connect

UpstreamConnection::Bits UpstreamConnection::start_connecting() {
  is_usable_ = socket_.connect(endpoint_.address);
  if (!is_usable_) return 0;
  const TimePoint now = scheduler_.now();
  timer_.set(now + std::min(pool_.connect_timeout_, dispatch_.sent + dispatch_.timeout - now));
  return Waker::writable | Waker::hung_up | due | closed;
}

void UpstreamConnection::on_connect_event(Bits events) {
  is_usable_ = (events & (due | closed)) == 0 && socket_.connected();
}

// --- The request

void UpstreamConnection::start_writing() {
  stage_ = Stage::writing;
  written_bytes_ = 0;
  timer_.set(std::min(dispatch_.sent + dispatch_.timeout, dispatch_.send_deadline));
}

UpstreamConnection::Bits UpstreamConnection::write_request() {
  while (is_usable_ && (!buffer_.empty() || (request_body_ && !last_piece_written_))) {
    if (!may_still_write()) return 0;
    waits_for_body_ = false;
    if (buffer_.empty()) {
      const BodyPipe::Piece piece = request_body_->write_piece(buffer_, is_chunked_);
      last_piece_written_ = piece == BodyPipe::Piece::last;
      waits_for_body_ = piece == BodyPipe::Piece::none;
    }
    if (waits_for_body_) {  // the client's pace: the dispatch's time does not run
      if (request_body_->is_aborted()) return 0;
      if (dispatch_.send_deadline == TimePoint::never()) timer_.cancel();
      return pipe_moved | Waker::readable | Waker::hung_up | due | closed;
    }
    std::size_t written = 0;
    const Socket::Result result = socket_.write(buffer_.bytes(), written);
    buffer_.consume(written);
    written_bytes_ += written;
    if (result == Socket::Result::broken) is_usable_ = false;
    if (request_body_ && written > 0) note_body_progress();
    if (result == Socket::Result::later) return Waker::writable | due | closed;
  }
  return 0;
}

/// Ends the dispatch where its request must not go on.
bool UpstreamConnection::may_still_write() {
  // The connect may have taken the dispatch past its deadline. After that an endpoint may no longer remember
  // the call's idempotency key and would run the call twice.
  if (scheduler_.now() >= dispatch_.send_deadline) {
    report(has_written() ? Outcome::not_connected : Outcome::not_sent);
    is_usable_ = false;
  } else if (!socket_.quiet()) {
    // Bytes before the request's last are no response to it, and must not be taken for one.
    report(socket_.has_bytes() ? Outcome::not_sent : Outcome::not_connected);
    is_usable_ = false;
  }
  return is_usable_;
}

void UpstreamConnection::note_body_progress() {
  const TimePoint now = scheduler_.now();
  timer_.set(std::min(now + dispatch_.timeout, dispatch_.send_deadline));
  if (now - progress_reported_at_ < progress_interval) return;
  pool_.observer_->on_request_progress(dispatch_, false);
  progress_reported_at_ = now;
}

void UpstreamConnection::on_write_event(Bits events) {
  // While the client's bytes are awaited the timer only brings the deadline to be checked.
  is_usable_ = (events & closed) == 0 && (waits_for_body_ || (events & due) == 0);
}

/// Whether the whole request is out. If not, no endpoint has run it.
bool UpstreamConnection::finish_request() {
  if (request_body_ && (request_body_->is_aborted() || !last_piece_written_)) is_usable_ = false;
  if (!is_usable_) {
    report(Outcome::not_connected);
    return false;
  }
  stage_ = Stage::reading;
  ++pool_.counters_.forwards;
  if (request_body_) {  // the time-out runs from the last byte
    dispatch_.sent = scheduler_.now();
    pool_.observer_->on_request_progress(dispatch_, true);
    release_request_body();
  }
  timer_.set(dispatch_.sent + dispatch_.timeout);
  parser_.reset(to_head_);
  progress_ = http::Progress::more;
  failure_ = Outcome::reset;
  return true;
}

void UpstreamConnection::release_request_body() {
  if (request_body_) request_body_->clear_consumer(&waker_);
  request_body_.reset();
}

// --- The response

UpstreamConnection::Bits UpstreamConnection::wait_for_response() {
  if (!is_usable_ || progress_ == http::Progress::complete || must_stream_response()) return 0;
  return Waker::readable | Waker::hung_up | due | closed;
}

void UpstreamConnection::on_response_event(Bits events) {
  if ((events & (due | closed)) != 0) {
    failure_ = Outcome::timed_out;
    is_usable_ = false;
    return;
  }
  const Socket::Result result = socket_.read(buffer_);
  if (result != Socket::Result::broken)
    progress_ = parser_.feed(buffer_.bytes(), result == Socket::Result::ended);
  if (result == Socket::Result::broken || progress_ == http::Progress::failed) is_usable_ = false;
  skip_interim_responses();
}

/// 1xx responses come before the final one.
void UpstreamConnection::skip_interim_responses() {
  while (progress_ == http::Progress::complete && parser_.status() < 200) {
    buffer_.consume(parser_.size());
    parser_.reset(to_head_);
    progress_ = buffer_.empty() ? http::Progress::more : parser_.feed(buffer_.bytes());
  }
}

bool UpstreamConnection::must_stream_response() const {
  return parser_.head_done() && parser_.status() == 200 && parser_.has_body() &&
         exceeds_buffer(parser_, max_buffered_body(pool_.buffer_budget_, parser_.length().has_value()));
}

/// Whether there is a response that somebody wants: all of it, or the beginning of a streamed one.
bool UpstreamConnection::start_delivery() {
  if (!is_usable_) {
    report(failure_);
    return false;
  }
  timer_.cancel();
  return progress_ == http::Progress::complete || start_streaming();
}

/// Returns whether the connection is kept.
bool UpstreamConnection::finish_delivery() { return response_body_ ? finish_streaming() : finish_response(); }

/// Reports a complete response. Returns whether the connection is kept.
bool UpstreamConnection::finish_response() {
  // It becomes idle before the report: what the balancer decides on hearing of the end may go out on it.
  const bool is_kept = parser_.keep_alive() && buffer_.size() == parser_.size() && pool_.park(*this);
  report(pool_.protocol_.outcome_of(parser_), &parser_);
  buffer_.consume(parser_.size());
  return is_kept;
}

/// From here on a large response goes to the client through a pipe. False: nobody wants it.
bool UpstreamConnection::start_streaming() {
  response_body_ = std::make_shared<BodyPipe>(pool_.buffer_budget_, false);
  response_body_->set_producer(&waker_, pipe_moved);
  response_body_->append(parser_.body());
  is_busy_ = !pool_.observer_->on_response_started(dispatch_, parser_, response_body_);
  if (is_busy_) {
    report(Outcome::cancelled);
    return false;
  }
  ++pool_.counters_.outcomes[static_cast<std::size_t>(Outcome::done)];
  stage_ = Stage::streaming;
  buffer_.consume(parser_.size());
  parser_.detach(nullptr);
  return true;
}

UpstreamConnection::Bits UpstreamConnection::wait_for_body() {
  if (!response_body_ || !is_usable_ || progress_ != http::Progress::more) return 0;
  progress_ = response_body_->receive(parser_, buffer_);
  if (progress_ != http::Progress::more || response_body_->has_lost_consumer()) return 0;
  const bool must_pause = pool_.buffer_budget_.full() && !response_body_->readable().empty();
  receivable_ = must_pause ? 0 : response_body_->writable_bytes();
  timer_.set(scheduler_.now() + body_timeout);
  if (receivable_ == 0) return pipe_moved | due | closed;
  return Waker::readable | Waker::hung_up | pipe_moved | due | closed;
}

void UpstreamConnection::on_body_event(Bits events) {
  if (receivable_ == 0) {  // the client is slow; that is not the endpoint's fault
    is_usable_ = (events & closed) == 0;
    return;
  }
  if ((events & (due | closed)) != 0) is_usable_ = false;
  if (!is_usable_ || (events & (Waker::readable | Waker::hung_up)) == 0) return;
  const Socket::Result result = socket_.read(buffer_, std::min(receivable_, max_piece_bytes));
  if (result == Socket::Result::ended) progress_ = parser_.ended(buffer_.bytes());
  if (progress_ == http::Progress::complete) response_body_->finish();
  if (result == Socket::Result::broken) is_usable_ = false;
}

/// Returns whether the connection is kept.
bool UpstreamConnection::finish_streaming() {
  timer_.cancel();
  if (progress_ != http::Progress::complete) {
    response_body_->abort();
    if (!response_body_->has_lost_consumer()) pool_.observer_->on_response_broken(endpoint_.id);
    is_usable_ = false;
  }
  response_body_->set_producer(nullptr, 0);
  response_body_.reset();
  return is_usable_ && parser_.keep_alive() && buffer_.empty() && pool_.park(*this);
}

// --- Idling, and the end

/// Whether the idle connection goes on with the next dispatch.
bool UpstreamConnection::resume(Bits events) {
  if ((events & dispatched) == 0) {  // closed by the endpoint, by the timer or by the pool
    if (stage_ == Stage::idle) pool_.unpark(*this);
    return false;
  }
  if ((events & closed) != 0) return false;
  if ((events & Waker::hung_up) != 0) {  // after the pool chose it: nothing has been written
    report(Outcome::not_connected);
    return false;
  }
  return true;
}

void UpstreamConnection::close() {
  stage_ = Stage::closed;
  release_request_body();
  socket_.close();
  timer_.cancel();
  pool_.on_connection_closed(*this);
}

}  // namespace chutevane::sidecar
