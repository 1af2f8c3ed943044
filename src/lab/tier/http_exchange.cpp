#include "lab/tier/http_exchange.hpp"

#include <cstdio>

#include "http/writer.hpp"

namespace chutevane::lab::tier {
namespace {

constexpr http::Limits bounds{.head = 16 * 1024, .body = 64U << 20U, .fields = 100};  // bytes
constexpr Span comes_up = Span::ms(1000);

}  // namespace

std::string ReceivedRequest::find(std::string_view name) const {
  for (const auto& [n, value] : fields) {
    if (http::same_name(n, name)) return value;
  }
  return "";
}

std::string ReceivedRequest::query(std::string_view name) const {
  const std::string wanted = std::string(name) + "=";
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', ++at);
    if (target.compare(at, wanted.size(), wanted) == 0)
      return target.substr(at + wanted.size(), next == std::string::npos ? next : next - at - wanted.size());
    at = next;
  }
  return "";
}

std::string request_text(std::string_view method, std::string_view target, std::string_view host,
                         const HeaderFields& fields, std::string_view body) {
  std::string out =
      std::string(method) + " " + std::string(target) + " HTTP/1.1\r\nHost: " + std::string(host) + "\r\n";
  for (const auto& [name, value] : fields) out.append(name).append(": ").append(value).append("\r\n");
  if (!body.empty() || method != "GET") out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out.append("\r\n").append(body);
}

// ---- a port

HttpPort::HttpPort(net::Scheduler& scheduler, Handler handler, Handler gone)
    : scheduler_(scheduler),
      handler_(std::move(handler)),
      gone_(std::move(gone)),
      listener_(scheduler,
                [this](int fd) { tasks_.add(std::make_unique<Exchange>(*this)).channel_.adopt(fd); }),
      tasks_(scheduler) {}

HttpPort::Exchange* HttpPort::find(std::uint64_t id) {
  const auto found = visits_.find(id);
  return found == visits_.end() ? nullptr : found->second;
}

void HttpPort::close() {
  listener_.close();
  while (tasks_.size() > 0) tasks_[tasks_.size() - 1].reset();
}

HttpPort::Exchange::Exchange(HttpPort& port)
    : port_(port),
      channel_(port.scheduler_, static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::request, bounds),
      id_(++port.last_) {
  port.visits_.emplace(id_, this);
}

void HttpPort::Exchange::leave() {
  if (std::exchange(left_, true)) return;
  port_.visits_.erase(id_);
  if (std::exchange(in_hand_, false) && port_.gone_) port_.gone_(*this);
  port_.tasks_.retire(*this);
}

void HttpPort::Exchange::reset() {
  channel_.reset();
  leave();
}

void HttpPort::Exchange::answer_bytes(std::string_view bytes) {
  keep_ = false;
  channel_.out().append(bytes);
  over();
}

void HttpPort::Exchange::look() {
  if (in_hand_ || !channel_.open() || channel_.in().empty()) return;
  const http::Progress progress = parser_.feed(channel_.in().bytes());
  if (progress == http::Progress::more) return;
  if (progress == http::Progress::failed) return reset();
  asked_ = {std::string(parser_.method()), std::string(parser_.target()), std::string(parser_.body()), {}};
  for (std::size_t i = 0; i < parser_.fields(); ++i)
    asked_.fields.emplace_back(parser_.field(i).name, parser_.field(i).value);
  keep_ = parser_.keep_alive();
  channel_.in().consume(parser_.size());
  parser_.reset();
  in_hand_ = true;
  port_.handler_(*this);
}

void HttpPort::Exchange::begin(int status, const HeaderFields& fields) {
  if (port_.ends_) keep_ = false;
  http::Writer out(channel_.out());
  out.status_line(status);
  for (const auto& [name, value] : fields) out.field(name, value);
  if (!keep_) out.field("Connection", "close");
  channel_.out().append("Transfer-Encoding: chunked\r\n\r\n");
}

void HttpPort::Exchange::piece(std::string_view bytes) {
  char line[24];
  const int n = std::snprintf(line, sizeof line, "%zx\r\n", bytes.size());
  channel_.out().append({line, static_cast<std::size_t>(n)});
  channel_.out().append(bytes);
  channel_.out().append("\r\n");
  channel_.flush();
}

void HttpPort::Exchange::finish() {
  channel_.out().append("0\r\n\r\n");
  over();
}

void HttpPort::Exchange::answer(int status, const HeaderFields& fields, std::string_view body) {
  if (port_.ends_) keep_ = false;
  http::Writer out(channel_.out());
  out.status_line(status);
  for (const auto& [name, value] : fields) out.field(name, value);
  if (!keep_) out.field("Connection", "close");
  out.body(body);
  over();
}

void HttpPort::Exchange::over() {
  in_hand_ = false;
  channel_.out().append(std::exchange(behind_, {}));
  channel_.flush();
  if (!keep_) {
    channel_.close_when_flushed();
  } else {
    look();
  }
}

// ---- a line

HttpConnection::HttpConnection(HttpConnector& all)
    : all_(all),
      channel_(all.scheduler_, static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::response, bounds) {}

HttpConnection& HttpConnector::open(const sockaddr_in& to) {
  HttpConnection& line = tasks_.add(std::make_unique<HttpConnection>(*this));
  const bool begun = line.channel_.connect(to);
  // Not from inside the call that opens it.
  line.due_ = timers_.after(begun ? comes_up : Span(), [&line] {
    if (!line.channel_.up()) line.fail(true);
  });
  return line;
}

void HttpConnection::ask(ResponseHandler& sink, std::string request) {
  sink_ = &sink;
  request_ = std::move(request);
  head_seen_ = false;
  parser_.reset();
  if (!channel_.up()) return;
  channel_.write(request_);
}

void HttpConnection::on_channel_open(net::Channel&) {
  came_up_ = true;
  all_.timers_.cancel(due_);
  if (sink_ == nullptr) return;
  channel_.write(request_);
  if (ends_writing_) channel_.shutdown_write_when_flushed();
}

void HttpConnection::send_in_two_parts(ResponseHandler& sink, const std::string& request,
                                       std::size_t first_part, Span pause) {
  ask(sink, request.substr(0, first_part));
  rest_due_ = all_.timers_.after(pause, [this, rest = request.substr(std::min(first_part, request.size()))] {
    if (channel_.up() && sink_ != nullptr) channel_.write(rest);
  });
}

void HttpConnection::close() {
  sink_ = nullptr;
  if (std::exchange(left_, true)) return;
  all_.timers_.cancel(due_);
  all_.timers_.cancel(rest_due_);
  channel_.close();
  if (const auto told = std::exchange(told_gone_, nullptr)) told(*this);
  all_.tasks_.retire(*this);
}

void HttpConnection::fail(bool unsent) {
  ResponseHandler* const told = std::exchange(sink_, nullptr);
  close();
  if (told != nullptr) told->on_failed(unsent);
}

void HttpConnection::on_channel_closed(net::Channel&) { fail(!came_up_); }

void HttpConnection::done() {
  ResponseHandler* const told = std::exchange(sink_, nullptr);
  if (!channel_.in().empty()) keep_ = false;
  if (!keep_) close();
  if (told != nullptr) told->on_complete();
}

void HttpConnection::look() {
  while (!left_ && sink_ != nullptr && !channel_.in().bytes().empty()) {
    if (!(head_seen_ ? read_body() : read_head())) return;
  }
}

bool HttpConnection::read_head() {
  const http::Progress progress = parser_.feed(channel_.in().bytes());
  if (progress == http::Progress::failed) {
    fail(false);
    return false;
  }
  if (!parser_.head_done()) return false;
  head_seen_ = true;
  keep_ = parser_.keep_alive();
  sink_->on_head(parser_);
  if (sink_ != nullptr && !parser_.body().empty()) sink_->on_body(parser_.body());
  if (sink_ == nullptr) return false;
  channel_.in().consume(parser_.size());
  parser_.detach(nullptr);
  if (progress == http::Progress::complete) done();
  return progress != http::Progress::complete;
}

bool HttpConnection::read_body() {
  std::size_t taken = 0;
  std::string_view piece;
  const http::Progress progress = parser_.more(channel_.in().bytes(), taken, piece);
  if (progress == http::Progress::failed) {
    fail(false);
    return false;
  }
  if (!piece.empty()) sink_->on_body(piece);
  if (sink_ == nullptr) return false;
  channel_.in().consume(taken);
  if (progress == http::Progress::complete) done();
  return progress != http::Progress::complete && taken > 0;
}

// ---- an errand

void BufferedRequest::run(HttpConnector& lines, net::TimerQueue& later, const sockaddr_in& to,
                          std::string request, Span most, Done done) {
  const auto one = std::make_shared<BufferedRequest>(Key{}, later, std::move(done));
  one->due_ = later.after(most, [one] { one->end(false); });
  one->line_ = &lines.open(to);
  one->line_->ask(*one, std::move(request));
}

void BufferedRequest::on_head(const http::Parser& answer) {
  got_.status = answer.status();
  for (std::size_t i = 0; i < answer.fields(); ++i)
    got_.fields.emplace_back(answer.field(i).name, answer.field(i).value);
}

void BufferedRequest::end(bool whole) {
  const auto self = shared_from_this();
  timers_.cancel(due_);
  line_->close();
  got_.whole = whole;
  done_(got_);
}

}  // namespace chutevane::lab::tier
