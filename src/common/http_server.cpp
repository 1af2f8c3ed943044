#include "common/http_server.hpp"

#include "http/writer.hpp"

namespace chutevane::common {

HttpServer::HttpServer(net::Scheduler& scheduler, std::size_t body_most, Handler handler)
    : scheduler_(scheduler),
      body_most_(body_most),
      handler_(std::move(handler)),
      listener_(scheduler,
                [this](int fd) { tasks_.add(std::make_unique<Connection>(*this)).channel_.adopt(fd); }),
      tasks_(scheduler) {}

HttpServer::Connection::Connection(HttpServer& port)
    : port_(port),
      channel_(port.scheduler_, static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::request, {.head = 16 * 1024, .body = port.body_most_, .fields = 100}),
      id_(++port.last_) {
  port.connections_.emplace(id_, this);
}

void HttpServer::Connection::on_channel_closed(net::Channel&) {
  port_.connections_.erase(id_);
  port_.tasks_.retire(*this);
}

void HttpServer::Connection::look() {
  if (looking_) return;  // an answer that is given at once comes back here: the loop below goes on
  looking_ = true;
  while (!asked_ && channel_.open() && !channel_.in().empty() && take_request()) {
  }
  looking_ = false;
}

// False: it has not come whole yet.
bool HttpServer::Connection::take_request() {
  const http::Progress progress = parser_.feed(channel_.in().bytes());
  if (progress == http::Progress::more) return false;
  asked_ = true;
  ++asked_number_;
  if (progress == http::Progress::failed) {
    keep_ = false;
    answer({parser_.status_of_error(), std::string(parser_.error()), {}});
    return true;
  }
  keep_ = parser_.keep_alive();
  port_.handler_(parser_, [port = &port_, id = id_, number = asked_number_](HttpResponse reply) {
    const auto found = port->connections_.find(id);
    if (found != port->connections_.end() && found->second->asked_number_ == number)
      found->second->answer(reply);
  });
  return true;
}

void HttpServer::Connection::answer(const HttpResponse& reply) {
  if (!asked_ || !channel_.open()) return;
  http::Writer out(channel_.out());
  out.status_line(reply.status);
  if (!reply.body.empty())
    out.field("Content-Type", reply.body.front() == '{' ? "application/json" : "text/plain");
  for (const auto& [name, value] : reply.fields) out.field(name, value);
  if (!keep_) out.field("Connection", "close");
  out.body(reply.body);
  if (parser_.size() <= channel_.in().size()) channel_.in().consume(parser_.size());
  parser_.reset();
  asked_ = false;
  channel_.flush();
  if (!keep_) {
    channel_.close_when_flushed();
  } else {
    look();
  }
}

}  // namespace chutevane::common
