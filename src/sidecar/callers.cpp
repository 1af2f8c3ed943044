#include "sidecar/callers.hpp"

#include <unistd.h>

#include <algorithm>

#include "base/log.hpp"

namespace chutevane::sidecar {
namespace {

using net::Socket;
using net::Waker;

constexpr double caller_part = 0.5;                // of the descriptors
constexpr Span write_most = Span::ms(10000);       // for an answer to be taken
constexpr Span linger_most = Span::ms(1000);       // after an answer to what could not be read
constexpr std::size_t linger_bytes = 1024 * 1024;  // of what nobody reads, before it is cut off
constexpr Span request_grace = Span::ms(1000);     // for a request on its way, before its connection may go
constexpr Span silent_grace = Span::ms(200);       // for one whose first byte has not come: they come at once
constexpr Span exhausted_pause = Span::ms(50);     // before accepting is tried again
constexpr std::size_t buffer_kept = 8 * 1024;      // bytes of an idle connection
constexpr Waker::Bits room = Waker::own, retry = Waker::own << 1U;

}  // namespace

CallerConnection::CallerConnection(net::Scheduler& scheduler, Callers& all, int fd)
    : scheduler_(scheduler),
      all_(all),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      id_(all.open_ids_),
      accepted_(scheduler.now()),
      idle_since_(scheduler.now()),
      task_(run()) {
  socket_.adopt(fd);
}

CallerConnection::~CallerConnection() { end_outstanding(); }

void CallerConnection::end_outstanding() {
  if (std::exchange(outstanding_, false)) --all_.counters_.outstanding;
}
void CallerConnection::count_end(Result result) { all_.counters_.ended(track_, result); }

template <class Write>
void CallerConnection::answer(Write write) {
  call_ = 0;
  id_.give_back();
  last_ = last_ || !parser_.keep_alive() || all_.closing_;
  buffer_.consume(std::exchange(taken_, 0));
  // What came after the request, if any and if it is still to be read.
  const std::string behind(buffer_.bytes().data(), last_ ? 0 : buffer_.size());
  buffer_.consume(buffer_.size());
  write(buffer_);
  to_write_ = buffer_.size();
  buffer_.append(behind);
  waker_.set(answered);
}

void CallerConnection::done(const http::Parser& response) {
  count_end(Result::succeeded);
  answer([&](net::Buffer& out) { all_.front_.write_done(out, response, last_); });
}
void CallerConnection::rejected(Span come_back, const pool::Spent&) {
  count_end(Result::declined);
  answer([&](net::Buffer& out) { all_.front_.write_rejection(out, come_back, last_); });
}
void CallerConnection::broken_off(bool timed_out, const pool::Spent&) {
  count_end(Result::aborted);
  answer([&](net::Buffer& out) { all_.front_.write_broken_off(out, timed_out, last_); });
}
void CallerConnection::answer_plain(int status, std::string_view text) {
  answer([&](net::Buffer& out) { all_.front_.write_plain(out, status, text, last_); });
}
// What could not be read as a request. Where it ends is not known, so the connection ends with it.
void CallerConnection::refuse_request(int status, std::string_view text) {
  ++all_.counters_.bad_requests;
  taken_ = buffer_.size();
  last_ = true;
  answer_plain(status, std::string(text) + "\n");
}

void CallerConnection::begin_request() {
  ApiCall call;
  std::string_view why;
  std::uint32_t way = 0;
  taken_ = parser_.size();
  switch (all_.intake_.read(parser_, call, way, why)) {
    case Front::Kind::ready:
      if (all_.draining_) {
        answer_plain(503, "draining\n");
      } else {
        answer_plain(200, "ready\n");
      }
      break;
    case Front::Kind::nowhere:
      ++all_.counters_.bad_requests;
      answer_plain(404, std::string(why) + "\n");
      break;
    case Front::Kind::bad:
      ++all_.counters_.bad_requests;
      last_ = buffer_.size() > taken_;  // a caller that sends such requests in heaps is read no further
      answer_plain(400, std::string(why) + "\n");
      break;
    case Front::Kind::call: {
      // Guards rule 1 for the call that has this id: its endpoint would take both for one.
      const std::string_view name = all_.front_.id_of(parser_);
      if (!name.empty() && !id_.take(name)) {
        ++all_.counters_.bad_requests;
        answer_plain(409, "a call with this X-Request-ID is open\n");
        break;
      }
      // One that came whole behind another request has been waited for since.
      if (came_behind_) call.left = call.left - (scheduler_.now() - read_at_);
      track_ = call.track;
      outstanding_ = true;
      ++all_.counters_.outstanding;
      const CallId id = all_.intake_.take(call, way, *this);
      if (to_write_ == 0) call_ = id;  // not answered at once
      break;
    }
  }
}

net::Task CallerConnection::run() {
  bool up = true;
  while (up) {
    parser_.reset();
    told_to_go_on_ = false;
    idle_since_ = scheduler_.now();
    // One that has been served may rest. One that has not must ask, and end its request, within the bound.
    timer_.set(served_ ? idle_since_ + all_.idle_most_ : accepted_ + all_.request_most_);
    bool reading = false;
    came_behind_ = true;
    http::Progress progress = buffer_.empty() ? http::Progress::more : parser_.feed(buffer_.bytes());
    while (up && progress == http::Progress::more) {
      if (!reading && parser_.begun()) {
        reading = true;
        request_since_ = scheduler_.now();
        if (served_) timer_.set(scheduler_.now() + all_.request_most_);
      }
      if (parser_.head_done() && !told_to_go_on_ && parser_.find("Expect") == "100-continue") {
        told_to_go_on_ = true;
        std::size_t written = 0;
        up =
            socket_.write(std::string_view("HTTP/1.1 100 Continue\r\n\r\n"), written) == Socket::Result::some;
        if (!up) break;
      }
      const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | dropped);
      if ((bits & dropped) != 0 || ((bits & due) != 0 && !reading)) up = false;
      if ((bits & (due | dropped)) != 0) break;
      const Socket::Result result = socket_.read(buffer_);
      read_at_ = scheduler_.now();
      came_behind_ = false;
      if (result == Socket::Result::some) progress = parser_.feed(buffer_.bytes());
      if (result == Socket::Result::ended || result == Socket::Result::broken) up = false;
    }
    if (!up) break;
    timer_.cancel();
    if (progress == http::Progress::complete) {
      begin_request();
    } else {
      const bool slow = progress == http::Progress::more;
      refuse_request(slow ? 408 : parser_.status_of_error(), slow ? "request too slow" : parser_.error());
    }
    while (to_write_ == 0) {
      const Waker::Bits bits = co_await waker_.wait(answered | Waker::hung_up | dropped);
      if ((bits & (Waker::hung_up | dropped)) != 0 && to_write_ == 0) {
        up = false;
        break;
      }
    }
    if (!up) {  // the caller has gone away
      left_call_ = true;
      end_outstanding();
      const CallId gone = std::exchange(call_, 0);
      socket_.close();
      id_.give_back();
      all_.intake_.caller_left(gone);
      break;
    }
    served_ = true;
    waker_.clear(answered);
    timer_.set(scheduler_.now() + write_most);
    while (up && to_write_ > 0) {
      std::size_t written = 0;
      const Socket::Result result = socket_.write(buffer_.bytes().first(to_write_), written);
      buffer_.consume(written);
      to_write_ -= written;
      if (result == Socket::Result::broken) up = false;
      if (result != Socket::Result::later) continue;
      const Waker::Bits bits = co_await waker_.wait(Waker::writable | due | dropped);
      if ((bits & (due | dropped)) != 0) up = false;
    }
    end_outstanding();
    if (last_ && up) {  // closing on bytes not read yet would take the answer away from its reader
      lingering_ = true;
      socket_.end_writing();
      timer_.set(scheduler_.now() + linger_most);
      buffer_.consume(buffer_.size());
      for (std::size_t unread = 0; up && unread < linger_bytes;) {
        const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | dropped);
        const Socket::Result result = socket_.open() ? socket_.read(buffer_) : Socket::Result::broken;
        unread += buffer_.size();
        buffer_.consume(buffer_.size());
        up = (bits & (due | dropped)) == 0 &&
             (result == Socket::Result::some || result == Socket::Result::later);
      }
    }
    if (last_) break;
    buffer_.shrink(buffer_kept);
    if (all_.paused_) all_.waker_.set(room);
  }
  ++all_.counters_.caller_ends[static_cast<std::size_t>(stage())];
  socket_.close();
  timer_.cancel();
  all_.left(*this);
}

Callers::Callers(net::Scheduler& scheduler, const config::Config& config, const Front& front, Intake& intake,
                 Counters& counters, OpenIds& open_ids)
    : scheduler_(scheduler),
      front_(front),
      intake_(intake),
      counters_(counters),
      idle_most_(config.idle_most),
      request_most_(config.request_most),
      connections_whole_(static_cast<std::size_t>(static_cast<double>(config.sockets) * caller_part)),
      connections_most_(connections_whole_),
      waker_(scheduler),
      timer_(scheduler, waker_, retry),
      socket_(scheduler, waker_),
      open_ids_(open_ids),
      connections_(scheduler),
      task_(accept()) {}

void Callers::listen(const sockaddr_in& at) {
  socket_.listen(at);
  task_.start();
}

void Callers::listen_on(int fd) {
  socket_.adopt(fd);
  task_.start();
}

void Callers::leave_new(bool to_other) {
  if (std::exchange(leave_new_, to_other) && !to_other) waker_.set(room);
}

void Callers::share(double part) {
  connections_most_ = static_cast<std::size_t>(static_cast<double>(connections_whole_) * part);
}

net::Task Callers::accept() {
  while (socket_.open()) {
    accept_all();
    co_await waker_.wait(Waker::readable | room | retry);
  }
}

// At the bound the longest idle connection goes for each new one; without one, accepting waits.
void Callers::accept_all() {
  bool exhausted = false;
  while (socket_.open() && !leave_new_) {
    const bool full = connections_.size() >= connections_most_;
    CallerConnection* const idle = full ? longest_idle() : nullptr;
    paused_ = full && idle == nullptr;
    if (paused_) {
      timer_.set(scheduler_.now() + exhausted_pause);
      return;
    }
    const int fd = socket_.accept(exhausted);
    if (fd < 0) break;
    ++counters_.callers_accepted;
    if (idle != nullptr) shed(*idle);
    CallerConnection& one = connections_.add(std::make_unique<CallerConnection>(scheduler_, *this, fd));
    one.task_.start();
  }
  if (!exhausted) return;
  log_line("no descriptors left: closing an idle connection");
  if (CallerConnection* const idle = longest_idle()) shed(*idle);
  timer_.set(scheduler_.now() + exhausted_pause);
}

CallerEnd CallerConnection::stage() const {
  if (left_call_) return CallerEnd::call_in_hand;
  if (lingering_) return CallerEnd::after_last;
  if (to_write_ > 0) return CallerEnd::writing;
  if (parser_.begun()) return CallerEnd::within_request;
  return served_ ? CallerEnd::idle : CallerEnd::before_request;
}

// When a connection came to be without anything owed on it, as far as it may be closed: one with a call in
// hand or an answer on its way may not, and one whose first or whole request may still be coming not yet.
std::optional<TimePoint> CallerConnection::spare_since() const {
  if (!socket_.open() || call_ != 0 || (to_write_ > 0 && !lingering_)) return std::nullopt;
  if (lingering_) return TimePoint();
  if (!parser_.begun() && served_) return idle_since_;
  const TimePoint since = parser_.begun() ? request_since_ : idle_since_;
  if (scheduler_.now() - since < (parser_.begun() ? request_grace : silent_grace)) return std::nullopt;
  return since;
}

CallerConnection* Callers::longest_idle() {
  CallerConnection* oldest = nullptr;
  TimePoint oldest_since;
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    const std::optional<TimePoint> since = connections_[i].spare_since();
    if (!since || (oldest != nullptr && *since >= oldest_since) || !connections_[i].socket_.quiet()) continue;
    oldest = &connections_[i];
    oldest_since = *since;
  }
  return oldest;
}

void Callers::shed(CallerConnection& connection) {
  ++counters_.callers_shed;
  connection.socket_.close();
  connection.waker_.set(CallerConnection::dropped);
}

void Callers::left(CallerConnection& connection) {
  connections_.retire(connection);
  if (paused_) waker_.set(room);
}

void Callers::stop_listening() {
  accept_all();
  socket_.close();
}

void Callers::close_idle(Span least) {
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    CallerConnection& c = connections_[i];
    if (!c.idle() || scheduler_.now() - c.idle_since_ < least || !c.socket_.quiet()) continue;
    c.socket_.close();
    c.waker_.set(CallerConnection::dropped);
  }
}

}  // namespace chutevane::sidecar
