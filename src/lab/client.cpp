#include "lab/client.hpp"

#include <charconv>
#include <cstdio>
#include <utility>

namespace chutevane::lab {

using net::Socket;
using net::Waker;

ClientConnection::ClientConnection(net::Scheduler& scheduler, Client& all, const Destination& to)
    : scheduler_(scheduler),
      all_(all),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      to_(to),
      task_(run()) {}

void ClientConnection::begin(std::uint64_t request, std::string text, TimePoint deadline) {
  request_ = request;
  text_ = std::move(text);
  deadline_ = deadline;
  out_.consume(out_.size());
  out_.append(text_);
  all_.busy_[request] = this;
  all_.sink_.sent(request, to_.sidecar);
}

net::Task ClientConnection::run() {
  Failure why = Failure::refused;
  bool up = socket_.connect(to_.address);
  if (up) {
    timer_.set(deadline_);
    const Waker::Bits bits = co_await waker_.wait(Waker::writable | Waker::hung_up | due | dropped);
    up = (bits & (due | dropped)) == 0 && socket_.connected();
    if ((bits & due) != 0) why = Failure::timed_out;
  }
  while (up) {
    stage_ = Stage::busy;
    timer_.set(deadline_);
    why = Failure::broken;
    while (up && !out_.empty()) {
      std::size_t written = 0;
      const Socket::Result result = socket_.write(out_.bytes(), written);
      out_.consume(written);
      if (result == Socket::Result::broken) up = false;
      if (result != Socket::Result::later) continue;
      const Waker::Bits bits = co_await waker_.wait(Waker::writable | due | dropped);
      up = (bits & (due | dropped)) == 0;
      if ((bits & due) != 0) why = Failure::timed_out;
    }
    parser_.reset();
    http::Progress progress = http::Progress::more;
    while (up && progress != http::Progress::complete) {
      const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | dropped);
      if ((bits & dropped) != 0) up = false;
      if ((bits & due) != 0) {
        why = Failure::timed_out;
        up = false;
      }
      if (!up) break;
      const Socket::Result result = socket_.read(in_);
      if (result != Socket::Result::broken)
        progress = parser_.feed(in_.bytes(), result == Socket::Result::ended);
      if (result == Socket::Result::broken || progress == http::Progress::failed) up = false;
    }
    if (!up) break;
    timer_.cancel();
    const bool again = parser_.keep_alive();
    last_request_ = std::exchange(request_, 0);
    all_.busy_.erase(last_request_);
    all_.way_ = socket_.way();
    all_.sink_.answered(last_request_, parser_);
    in_.consume(parser_.size());
    if (!in_.empty()) all_.sink_.extra_bytes(last_request_);
    if (!again || !in_.empty()) break;
    timer_.set(scheduler_.now() + all_.idle_most_);
    all_.rest(*this);
    const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | given | dropped);
    if ((bits & dropped) != 0) break;
    if ((bits & given) == 0) {
      if ((bits & Waker::readable) != 0 && socket_.has_bytes()) all_.sink_.extra_bytes(last_request_);
      all_.unrest(*this);
      break;
    }
  }
  stage_ = Stage::closed;
  socket_.close();
  timer_.cancel();
  all_.connections_.retire(*this);  // makes room for one that takes its place; it stays until the next step
  if (request_ != 0) {
    const std::uint64_t request = std::exchange(request_, 0);
    all_.busy_.erase(request);
    // A kept connection that was closed as the request crossed: it goes out once more, on a new one.
    const bool crossed = reused_ && why == Failure::broken && in_.empty() && all_.sink_.goes_again(request);
    if (!crossed || !all_.dispatch(request, text_, deadline_, true)) all_.sink_.failed(request, why);
  }
  all_.sink_.room();
}

Client::Client(net::Scheduler& scheduler, ClientSink& sink, Dealer& dealer, std::size_t most, Span idle_most)
    : scheduler_(scheduler),
      sink_(sink),
      dealer_(dealer),
      most_(most),
      idle_most_(idle_most),
      connections_(scheduler) {}

void Client::rest(ClientConnection& one) {
  one.stage_ = ClientConnection::Stage::idle;
  idle_.push_back(&one);
  sink_.room();
}

void Client::unrest(ClientConnection& one) { std::erase(idle_, &one); }

bool Client::send(std::uint64_t request, std::string text, TimePoint deadline) {
  return dispatch(request, std::move(text), deadline, false);
}

bool Client::dispatch(std::uint64_t request, std::string text, TimePoint deadline, bool fresh) {
  fresh = fresh || (spread_ && connections_.size() < most_);
  while (!fresh && !idle_.empty()) {
    ClientConnection& one = *idle_.front();
    idle_.pop_front();
    if (!one.socket_.quiet()) {  // it will find out by itself
      one.waker_.set(ClientConnection::dropped);
      continue;
    }
    one.reused_ = true;
    one.begin(request, std::move(text), deadline);
    one.waker_.set(ClientConnection::given);
    return true;
  }
  if (connections_.size() >= most_) return false;
  const std::optional<Destination> to = dealer_.deal();
  if (!to) {
    sink_.failed(request, Failure::nobody);
    return true;
  }
  ++opened_;
  ClientConnection& one = connections_.add(std::make_unique<ClientConnection>(scheduler_, *this, *to));
  one.begin(request, std::move(text), deadline);
  one.task_.start();
  return true;
}

void Client::abandon(std::uint64_t request) {
  const auto found = busy_.find(request);
  if (found == busy_.end()) return;
  ClientConnection& one = *found->second;
  busy_.erase(found);
  one.request_ = 0;
  one.socket_.close();
  one.waker_.set(ClientConnection::dropped);
}

void Client::close_all() {
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    ClientConnection& one = connections_[i];
    busy_.erase(one.request_);
    one.request_ = 0;
    one.socket_.close();
    one.waker_.set(ClientConnection::dropped);
  }
  idle_.clear();
}

std::string call_text(const CallText& c) {
  char id[20], left[24];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(c.call));
  std::snprintf(left, sizeof left, "%lldu", static_cast<long long>(c.left.as_us()));
  std::string out = c.read_only ? "GET" : "POST";
  out += " /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: ";
  out.append(id).append("\r\nX-Priority-Class: ").append(c.track).append("\r\nX-Timeout: ").append(left);
  if (!c.client.empty()) out.append("\r\nX-Client: ").append(c.client);
  if (c.key != 0) out += "\r\nX-Attrs: affinity=" + std::to_string(c.key);
  if (c.repeated) out += "\r\nX-Retried: 1";
  if (!c.reference.empty()) out.append("\r\nIdempotency-Key: ").append(c.reference);
  if (!c.read_only) out += "\r\nContent-Length: " + std::to_string(c.body);
  out += "\r\n\r\n";
  if (!c.read_only) out.append(c.body, 'x');
  return out;
}

std::uint64_t call_of(std::string_view id) {
  std::uint64_t out = 0;
  const char* end = id.data() + id.size();
  const auto got = std::from_chars(id.data(), end, out, 16);
  return id.size() == 16 && got.ec == std::errc() && got.ptr == end ? out : 0;
}

}  // namespace chutevane::lab
