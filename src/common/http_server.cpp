#include "common/http_server.hpp"

#include "http/writer.hpp"

namespace chutevane::common {
namespace {

constexpr std::size_t max_header_bytes = 16 * 1024;
constexpr std::size_t max_fields = 100;                 // in a request's header
constexpr std::size_t max_pipelined_bytes = 16 * 1024;  // buffered while a request is being served
constexpr std::size_t pipelined_read_quota = 4 * 1024;  // bytes
constexpr std::size_t framing_read_quota = 4 * 1024;    // bytes
constexpr std::size_t max_unsent_bytes = 64 * 1024;     // of responses, before the next request is read
constexpr Span closing_timeout = Span::ms(1000);        // for the client to close after the last response
constexpr std::string_view retry_after_s = "0.5";       // stalled requests have given way by then

}  // namespace

HttpServer::HttpServer(net::Scheduler& scheduler, std::string port, const HttpServerLimits& limits,
                       Handler handler)
    : scheduler_(scheduler),
      timers_(scheduler),
      limits_(limits),
      handler_(std::move(handler)),
      limiter_(std::move(port), scheduler, limits.connections),
      listener_(scheduler, [this](int fd) { accept(fd); }),
      tasks_(scheduler) {}

void HttpServer::accept(int fd) {
  if (!limiter_.admit()) return scheduler_.system().close(fd, false);
  tasks_.add(std::make_unique<Connection>(*this)).channel_.adopt(fd);
}

HttpServer::Connection::Connection(HttpServer& server)
    : server_(server),
      channel_(server.scheduler_, static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::request,
              {.head = max_header_bytes, .body = server.limits_.body_bytes, .fields = max_fields}),
      id_(++server.last_id_) {
  server.connections_.emplace(id_, this);
  server.limiter_.add(*this);
  start_timer(server.limits_.idle);
}

HttpServer::Connection::~Connection() { server_.timers_.cancel(timer_); }

// ---- Requests

void HttpServer::Connection::on_channel_data(net::Channel&) {
  if (state_ == State::closing) return channel_.in().clear();
  if (state_ == State::reading) process_requests();
  if (state_ == State::serving && channel_.in_size() > max_pipelined_bytes) channel_.set_reading_paused(true);
}

void HttpServer::Connection::process_requests() {
  if (processing_) return;  // called by a handler that replied synchronously: the outer loop continues
  processing_ = true;
  while (state_ == State::reading && channel_.unsent() <= max_unsent_bytes && channel_.in_size() > 0 &&
         handle_next_request()) {
  }
  processing_ = false;
}

bool HttpServer::Connection::handle_next_request() {
  const std::size_t size_before = channel_.in_size();
  const std::size_t decoded_before = parser_.body_received();
  const http::Progress progress = parser_.feed(channel_.in());
  if (progress == http::Progress::failed) {
    reject(parser_.status_of_error(), parser_.error());
    return false;
  }
  if (progress == http::Progress::more) {
    // Bytes that are mostly framing, as of tiny chunks, cost far more time than others: fewer are read in a
    // turn.
    const bool is_mostly_framing =
        size_before - channel_.in_size() > parser_.body_received() - decoded_before;
    channel_.set_read_quota(is_mostly_framing ? framing_read_quota : net::Channel::default_read_quota);
    await_rest_of_request();
    return false;
  }
  serve_request();
  return true;
}

void HttpServer::Connection::await_rest_of_request() {
  ConnectionLimiter& limiter = server_.limiter_;
  const bool has_begun = received_bytes_ > 0;
  limiter.set_phase(*this, ConnectionLimiter::Phase::receiving);
  const std::size_t received =
      parser_.head_done() ? parser_.head_size() + parser_.body_received() : channel_.in_size();
  const bool is_unit_complete = limiter.on_progress(*this, received - received_bytes_);
  received_bytes_ = received;
  if (!has_begun || is_unit_complete) start_timer(server_.limits_.progress);
  if (!limiter.make_room(this) && !ConnectionLimiter::is_small(*this)) on_shed(ShedCause::memory);
}

void HttpServer::Connection::serve_request() {
  server_.timers_.cancel(timer_);
  server_.limiter_.set_phase(*this, ConnectionLimiter::Phase::serving);
  state_ = State::serving;
  is_request_held_ = true;
  keep_alive_ = parser_.keep_alive();
  const std::uint64_t number = ++request_number_;
  channel_.set_read_quota(pipelined_read_quota);
  server_.handler_(parser_, [server = &server_, id = id_, number](const HttpResponse& response) {
    const auto found = server->connections_.find(id);
    if (found != server->connections_.end() && found->second->request_number_ == number)
      found->second->respond(response);
  });
  if (request_number_ == number) release_request();
}

void HttpServer::Connection::release_request() {
  if (!std::exchange(is_request_held_, false)) return;
  const bool is_large = channel_.in().capacity() > max_pipelined_bytes;
  if (is_large) {
    channel_.in().release_front(parser_.size());
  } else {
    channel_.in().consume(parser_.size());
  }
  parser_.reset();
  received_bytes_ = 0;
}

void HttpServer::Connection::reject(int status, std::string_view reason) {
  keep_alive_ = false;
  ++request_number_;
  HttpResponse response{status, std::string(reason), {}};
  if (status == 503) response.fields.emplace_back("Retry-After", std::string(retry_after_s));
  write_response(response);
  begin_closing();
}

// ---- Responses

void HttpServer::Connection::write_response(const HttpResponse& response) {
  http::Writer out(channel_.out());
  out.status_line(response.status);
  if (!response.body.empty())
    out.field("Content-Type", response.body.front() == '{' ? "application/json" : "text/plain");
  for (const auto& [name, value] : response.fields) out.field(name, value);
  if (!keep_alive_) out.field("Connection", "close");
  out.body(response.body);
  channel_.flush();
}

void HttpServer::Connection::respond(const HttpResponse& response) {
  if (state_ != State::serving || !channel_.open()) return;
  release_request();
  write_response(response);
  if (!keep_alive_) return begin_closing();
  state_ = State::reading;
  channel_.set_read_quota(net::Channel::default_read_quota);
  unsent_bytes_ = channel_.unsent();
  server_.limiter_.set_phase(
      *this, unsent_bytes_ > 0 ? ConnectionLimiter::Phase::sending : ConnectionLimiter::Phase::idle);
  start_timer(unsent_bytes_ > 0 ? server_.limits_.progress : server_.limits_.idle);
  server_.limiter_.make_room(this);
  const bool must_wait = unsent_bytes_ > max_unsent_bytes;
  channel_.set_reading_paused(must_wait);
  if (!must_wait) process_requests();
}

void HttpServer::Connection::on_channel_flushed(net::Channel&) {
  if (state_ == State::closing) return start_timer(closing_timeout);
  if (state_ != State::reading) return;
  if (received_bytes_ == 0) {
    server_.limiter_.set_phase(*this, ConnectionLimiter::Phase::idle);
    start_timer(server_.limits_.idle);
  }
  channel_.set_reading_paused(false);
  process_requests();
}

// ---- Ends

// What follows a request that was not read completely can't be distinguished from it, so the connection ends.
// Closing at once would be a reset, which may discard the response (net::Channel).
void HttpServer::Connection::begin_closing() {
  state_ = State::closing;
  is_request_held_ = false;
  channel_.in().clear();
  server_.limiter_.set_phase(*this, ConnectionLimiter::Phase::closing);
  channel_.shutdown_write_when_flushed();
  unsent_bytes_ = channel_.unsent();
  start_timer(unsent_bytes_ > 0 ? server_.limits_.progress : closing_timeout);
}

void HttpServer::Connection::start_timer(Span limit) {
  server_.timers_.cancel(timer_);
  timer_ = server_.timers_.after(limit, [this] { on_timeout(); });
}

void HttpServer::Connection::on_timeout() {
  if (unsent_bytes_ > 0 && channel_.unsent() + ConnectionLimiter::progress_unit <= unsent_bytes_) {
    unsent_bytes_ = channel_.unsent();
    return start_timer(server_.limits_.progress);
  }
  if (state_ == State::reading && received_bytes_ > 0 && channel_.unsent() == 0)
    return reject(408, "the request did not arrive completely in time");
  close();
}

void HttpServer::Connection::on_shed(ShedCause cause) {
  if (state_ == State::reading && received_bytes_ > 0 && channel_.unsent() == 0)
    reject(503, "too much is being received");
  if (cause == ShedCause::connections || state_ != State::closing || !ConnectionLimiter::is_small(*this))
    close();
}

void HttpServer::Connection::close() {
  if (state_ == State::closed) return;
  state_ = State::closed;
  server_.timers_.cancel(timer_);
  channel_.close();
  channel_.in().clear();
  channel_.out().clear();
  server_.limiter_.remove(*this);
  server_.connections_.erase(id_);
  server_.tasks_.retire(*this);
}

}  // namespace chutevane::common
