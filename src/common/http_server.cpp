#include "common/http_server.hpp"

#include "http/writer.hpp"

namespace chutevane::common {
namespace {

constexpr std::size_t max_header_bytes = 16 * 1024;
constexpr std::size_t max_fields = 100;  // in a request's header

}  // namespace

HttpServer::HttpServer(net::Scheduler& scheduler, std::size_t max_body_bytes, Handler handler)
    : scheduler_(scheduler),
      max_body_bytes_(max_body_bytes),
      handler_(std::move(handler)),
      listener_(scheduler,
                [this](int fd) { tasks_.add(std::make_unique<Connection>(*this)).channel_.adopt(fd); }),
      tasks_(scheduler) {}

HttpServer::Connection::Connection(HttpServer& server)
    : server_(server),
      channel_(server.scheduler_, static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::request,
              {.head = max_header_bytes, .body = server.max_body_bytes_, .fields = max_fields}),
      id_(++server.last_id_) {
  server.connections_.emplace(id_, this);
}

void HttpServer::Connection::on_channel_closed(net::Channel&) {
  server_.connections_.erase(id_);
  server_.tasks_.retire(*this);
}

void HttpServer::Connection::on_channel_data(net::Channel&) {
  if (is_closing_) return channel_.in().consume(channel_.in_size());
  process_requests();
}

void HttpServer::Connection::process_requests() {
  if (processing_) return;  // called by a handler that replied synchronously: the outer loop continues
  processing_ = true;
  while (!request_pending_ && !is_closing_ && channel_.open() && !channel_.in().empty() &&
         handle_next_request()) {
  }
  processing_ = false;
}

bool HttpServer::Connection::handle_next_request() {
  const http::Progress progress = parser_.feed(channel_.in());
  if (progress == http::Progress::more) return false;
  request_pending_ = true;
  ++request_number_;
  if (progress == http::Progress::failed) {
    keep_alive_ = false;
    respond({parser_.status_of_error(), std::string(parser_.error()), {}});
    return true;
  }
  keep_alive_ = parser_.keep_alive();
  server_.handler_(parser_,
                   [server = &server_, id = id_, number = request_number_](const HttpResponse& response) {
                     const auto found = server->connections_.find(id);
                     if (found != server->connections_.end() && found->second->request_number_ == number)
                       found->second->respond(response);
                   });
  return true;
}

void HttpServer::Connection::respond(const HttpResponse& response) {
  if (!request_pending_ || !channel_.open()) return;
  http::Writer out(channel_.out());
  out.status_line(response.status);
  if (!response.body.empty())
    out.field("Content-Type", response.body.front() == '{' ? "application/json" : "text/plain");
  for (const auto& [name, value] : response.fields) out.field(name, value);
  if (!keep_alive_) out.field("Connection", "close");
  out.body(response.body);
  if (parser_.size() <= channel_.in().size()) channel_.in().consume(parser_.size());
  parser_.reset();
  request_pending_ = false;
  channel_.flush();
  if (!keep_alive_) {
    is_closing_ = true;
    channel_.in().consume(channel_.in_size());
    channel_.close_when_flushed();
  } else {
    process_requests();
  }
}

}  // namespace chutevane::common
