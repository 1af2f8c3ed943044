#include "admin/admin_connection.hpp"

#include <algorithm>
#include <array>

#include "admin/admin_handler.hpp"
#include "admin/admin_server.hpp"
#include "http/writer.hpp"

namespace chutevane::admin {
namespace {

using net::Socket;
using net::Waker;

constexpr Span request_timeout = Span::ms(3000);  // for the whole request: operators' tools send it at once
constexpr Span response_timeout = Span::ms(3000);
constexpr Span linger_timeout = Span::ms(500);  // for the peer to read the response and close
constexpr std::size_t max_discarded_bytes = 64 * 1024;
constexpr http::Limits limits{.head = 8 * 1024, .body = 4 * 1024, .fields = 64};  // bytes, bytes, count

enum class Command : std::uint8_t {
  check_readiness,
  show_counters,
  show_startup_progress,
  take_out_of_service,
  return_to_service,
};

struct Route {
  std::string_view method, path;
  Command command;
};
constexpr std::array<Route, 5> routes{{{"GET", "/control/ready", Command::check_readiness},
                                       {"GET", "/control/counters", Command::show_counters},
                                       {"GET", "/control/coming-back", Command::show_startup_progress},
                                       {"PUT", "/control/out-of-service", Command::take_out_of_service},
                                       {"PUT", "/control/in-service", Command::return_to_service}}};

constexpr std::string_view plain_text = "text/plain";
constexpr std::string_view json_text = "application/json";

}  // namespace

AdminConnection::AdminConnection(net::Scheduler& scheduler, AdminServer& server, int descriptor)
    : scheduler_(scheduler),
      server_(server),
      waker_(scheduler),
      timer_(scheduler, waker_, timed_out),
      socket_(scheduler, waker_),
      parser_(http::Side::request, limits),
      opened_at_(scheduler.now()),
      task_(run()) {
  socket_.adopt(descriptor);
}

void AdminConnection::write_response(int status, std::string_view type, std::string_view body,
                                     std::string_view allow) {
  buffer_.consume(buffer_.size());
  http::Writer out(buffer_);
  out.status_line(status).field("Content-Type", type).field("Cache-Control", "no-store");
  if (!allow.empty()) out.field("Allow", allow);
  out.field("Connection", "close").body(body);
}

void AdminConnection::handle_request() {
  const std::string_view path = parser_.target().substr(0, parser_.target().find('?'));
  const auto route =
      std::find_if(routes.begin(), routes.end(), [&](const Route& r) { return r.path == path; });
  if (route == routes.end()) return write_response(404, plain_text, "no such path\n");
  if (route->method != parser_.method())
    return write_response(405, plain_text, "another method\n", route->method);
  AdminHandler& handler = server_.handler_;
  bool is_affirmative = true;
  switch (route->command) {
    case Command::show_counters: return write_response(200, json_text, handler.counters_json());
    case Command::show_startup_progress:
      return write_response(200, json_text, handler.startup_progress_json());
    case Command::check_readiness: is_affirmative = handler.accepts_clients(); break;
    case Command::take_out_of_service: is_affirmative = handler.take_out_of_service(); break;
    case Command::return_to_service: is_affirmative = handler.return_to_service(); break;
  }
  write_response(is_affirmative ? 200 : 503, plain_text, is_affirmative ? "yes\n" : "no\n");
}

// A request that is incomplete or malformed has no effect.
void AdminConnection::respond_to(http::Progress progress) {
  switch (progress) {
    case http::Progress::complete: return handle_request();
    case http::Progress::more: return write_response(408, plain_text, "no whole call\n");
    default: return write_response(parser_.status_of_error(), plain_text, "not understood\n");
  }
}

net::Task AdminConnection::run() {
  timer_.set(opened_at_ + request_timeout);
  http::Progress progress = http::Progress::more;
  bool is_up = true;
  while (is_up && progress == http::Progress::more) {
    const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | timed_out | evicted);
    if ((bits & (timed_out | evicted)) != 0) break;
    const Socket::Result result = socket_.read(buffer_);
    if (result == Socket::Result::some) progress = parser_.feed(buffer_.bytes());
    is_up = result == Socket::Result::some || result == Socket::Result::later;
  }
  is_up = is_up && socket_.open();
  if (is_up) {
    has_request_ = true;
    respond_to(progress);
    timer_.set(scheduler_.now() + response_timeout);
    while (is_up && !buffer_.empty()) {
      std::size_t written = 0;
      const Socket::Result result = socket_.write(buffer_.bytes(), written);
      buffer_.consume(written);
      is_up = result != Socket::Result::broken;
      if (result != Socket::Result::later) continue;
      const Waker::Bits bits = co_await waker_.wait(Waker::writable | timed_out | evicted);
      is_up = (bits & (timed_out | evicted)) == 0;
    }
    if (is_up) socket_.end_writing();
    timer_.set(scheduler_.now() + linger_timeout);
    // A socket that is closed with unread bytes resets the connection, and the response may be lost.
    for (std::size_t discarded = 0; is_up && discarded < max_discarded_bytes;) {
      const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | timed_out | evicted);
      is_up = socket_.discard(buffer_, discarded) && (bits & (timed_out | evicted)) == 0;
    }
  }
  socket_.close();
  timer_.cancel();
  server_.connections_.retire(*this);
}

}  // namespace chutevane::admin
