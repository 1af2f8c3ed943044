#include "sidecar/callers.hpp"

#include <unistd.h>

#include <algorithm>

#include "base/log.hpp"

namespace chutevane::sidecar {
namespace {

using net::Socket;
using net::Waker;

constexpr double caller_part = 0.5;                // of the descriptors
constexpr Span write_most = Span::ms(10000);       // for more of an answer to be taken
constexpr Span body_pause = Span::ms(1500);        // between bytes of a request's body
constexpr Span body_slack = Span::ms(2300);        // by which a body may be behind the rate
constexpr double body_rate = 16.0;                 // bytes/ms: a quarter of the slowest that is known
constexpr std::size_t piece_most = 16 * 1024;      // bytes of a body at a time
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
      buffer_(all.held_),
      out_(all.held_),
      id_(all.open_ids_),
      accepted_(scheduler.now()),
      idle_since_(scheduler.now()),
      task_(run()) {
  socket_.adopt(fd);
}

CallerConnection::~CallerConnection() {
  end_outstanding();
  if (body_) body_->produced_by(nullptr, 0);
  if (answer_) answer_->leave();
}

// Bounds progress, not the whole: a large body may be long on its way, but not stand still.
TimePoint CallerConnection::read_by() const {
  const Span at_rate = Span::ms(static_cast<double>(parser_.come()) / body_rate);
  return std::min(scheduler_.now() + body_pause, body_since_ + body_slack + at_rate);
}

bool CallerConnection::wants_pieces() const {
  if (!parser_.head_done() || !parser_.has_body()) return false;
  const std::size_t most = whole_most(all_.held_, true);
  return parser_.length() ? *parser_.length() > most : parser_.body().size() > most;
}

void CallerConnection::take_in_pieces() {
  head_.assign(buffer_.bytes().data(), parser_.head_size());
  body_ = std::make_shared<Pipe>(all_.held_, true);
  body_->produced_by(&waker_, moved);
  body_->put(parser_.body());
  buffer_.consume(parser_.size());
  parser_.detach(head_.data());
}

void CallerConnection::leave_call() {
  const CallId gone = std::exchange(call_, 0);
  if (body_) body_->break_off();
  id_.give_back();
  end_outstanding();
  all_.intake_.caller_left(gone);
}

void CallerConnection::end_outstanding() {
  if (std::exchange(outstanding_, false)) --all_.counters_.outstanding;
}
void CallerConnection::count_end(Result result) { all_.counters_.ended(track_, result); }

template <class Write>
void CallerConnection::answer(Write write) {
  call_ = 0;
  id_.give_back();
  last_ = last_ || !parser_.keep_alive() || all_.closing_ || withheld_;
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
  answer([&](net::Buffer& out) { all_.front_.write_done(out, response, last_, parser_.method() == "HEAD"); });
}
void CallerConnection::began(const http::Parser& response, const std::shared_ptr<Pipe>& body) {
  answer_ = body;
  answer_->consumed_by(&waker_, moved);
  tail_ = false;
  chunked_ = !response.length() && !parser_.http_1_0();
  last_ = last_ || (!response.length() && !chunked_);  // its end is the connection's
  answer([&](net::Buffer& out) { all_.front_.write_begun(out, response, chunked_, last_); });
}
void CallerConnection::rejected(Span come_back, const pool::Spent& spent) {
  count_end(Result::declined);
  // Turned away at the door: elsewhere there may be room.
  if (spent.dispatches == 0 && all_.parting_.may_go(all_.size(), scheduler_.now())) {
    last_ = true;
    ++all_.counters_.parted;
  }
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
  taken_ = body_ ? 0 : parser_.size();
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
      // Its caller closed behind it, perhaps long ago: it waited to be accepted, or behind an answer. Guards
      // endpoints against work that nobody waits for; run() finds the hang-up.
      if (waker_.has(Waker::hung_up)) break;
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
      call.coming = body_ != nullptr;
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
    body_.reset();
    come_whole_ = false;
    told_to_go_on_ = false;
    bool head_seen = false;
    withheld_ = false;
    idle_since_ = scheduler_.now();
    // One that has been served may rest. One that has not must ask, and end its request, within the bound.
    timer_.set(served_ ? idle_since_ + all_.idle_most_ : accepted_ + all_.request_most_);
    bool reading = false;
    came_behind_ = true;
    http::Progress progress = buffer_.empty() ? http::Progress::more : parser_.feed(buffer_.bytes());
    while (up && progress == http::Progress::more && !wants_pieces()) {
      if (!reading && parser_.begun()) {
        reading = true;
        request_since_ = scheduler_.now();
        if (served_) timer_.set(scheduler_.now() + all_.request_most_);
      }
      if (parser_.head_done()) {
        if (!std::exchange(head_seen, true)) body_since_ = scheduler_.now();
        timer_.set(read_by());
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
      // Also when nothing came: reading may have moved what is held.
      if (result == Socket::Result::some || result == Socket::Result::later)
        progress = parser_.feed(buffer_.bytes());
      if (result == Socket::Result::ended || result == Socket::Result::broken) up = false;
    }
    if (!up) break;
    timer_.cancel();
    if (progress == http::Progress::complete) {
      begin_request();
    } else if (progress == http::Progress::more && wants_pieces()) {
      if (!head_seen) body_since_ = scheduler_.now();
      if (!told_to_go_on_ && parser_.find("Expect") == "100-continue") withheld_ = true;
      take_in_pieces();
      begin_request();
    } else {
      const bool slow = progress == http::Progress::more;
      refuse_request(slow ? 408 : parser_.status_of_error(), slow ? "request too slow" : parser_.error());
    }
    if (to_write_ == 0 && std::exchange(withheld_, false)) {
      std::size_t written = 0;
      up = socket_.write(std::string_view("HTTP/1.1 100 Continue\r\n\r\n"), written) == Socket::Result::some;
    }
    while (up && to_write_ == 0) {
      Waker::Bits bits = answered | Waker::hung_up | dropped;
      bool reads = body_ && !come_whole_;
      if (reads) {
        progress = body_->take_in(parser_, buffer_);
        come_whole_ = progress == http::Progress::complete;
        if (progress == http::Progress::failed) {
          leave_call();
          refuse_request(parser_.status_of_error(), parser_.error());
          break;
        }
        const bool waits = body_->room() == 0 || (all_.held_.full() && !body_->ready().empty());
        reads = progress == http::Progress::more && !waits;
        bits |= reads ? Waker::readable | due : come_whole_ ? 0 : moved;
        if (reads) {
          timer_.set(read_by());
        } else {  // the endpoint's pace: what it takes is not the caller's to answer for
          timer_.cancel();
          body_since_ = scheduler_.now() - Span::ms(static_cast<double>(parser_.come()) / body_rate);
        }
      }
      bits = co_await waker_.wait(bits);
      if (to_write_ != 0) break;
      if ((bits & (Waker::hung_up | dropped)) != 0) {
        up = false;
      } else if ((bits & due) != 0) {
        leave_call();
        refuse_request(408, "request too slow");
      } else if (reads && (bits & Waker::readable) != 0) {
        const Socket::Result result = socket_.read(buffer_, std::min(body_->room(), piece_most));
        up = result == Socket::Result::some || result == Socket::Result::later;
      }
    }
    if (!up) {  // the caller has gone away
      left_call_ = true;
      socket_.close();
      leave_call();
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
    while (up && answer_ && (!out_.empty() || !tail_)) {  // a large answer, piece by piece
      if (out_.empty() && !answer_->give_out(out_, chunked_, tail_)) {
        if (answer_->broken()) {  // it ends short of its length or its last chunk, or with a reset: never as
                                  // whole
          count_end(Result::aborted);
          socket_.reset();
          up = false;
          break;
        }
        timer_.cancel();
        const Waker::Bits bits = co_await waker_.wait(moved | Waker::hung_up | dropped);
        if ((bits & (Waker::hung_up | dropped)) != 0) up = false;
        continue;
      }
      std::size_t written = 0;
      const Socket::Result result = socket_.write(out_.bytes(), written);
      out_.consume(written);
      if (result == Socket::Result::broken) up = false;
      if (result != Socket::Result::later) continue;
      timer_.set(scheduler_.now() + write_most);
      const Waker::Bits bits = co_await waker_.wait(Waker::writable | due | dropped);
      if ((bits & (due | dropped)) != 0) up = false;
    }
    if (answer_) {
      if (up) count_end(Result::succeeded);
      answer_->leave();
      answer_.reset();
      out_.consume(out_.size());
      out_.shrink(0);
    }
    end_outstanding();
    // The rest of a request that was answered before it had come whole: a caller that is still sending would
    // meet a reset instead of its answer.
    while (up && body_ && !come_whole_ && !last_) {
      progress = read_on(parser_, buffer_, nullptr);
      if (progress != http::Progress::more) up = progress == http::Progress::complete;
      if (progress != http::Progress::more) break;
      timer_.set(read_by());
      const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | dropped);
      const Socket::Result result = socket_.open() ? socket_.read(buffer_) : Socket::Result::broken;
      up = (bits & (due | dropped)) == 0 &&
           (result == Socket::Result::some || result == Socket::Result::later);
    }
    if (body_) body_->produced_by(nullptr, 0);
    if (last_ && up) {  // closing on bytes not read yet would take the answer away from its reader
      lingering_ = true;
      socket_.end_writing();
      timer_.set(scheduler_.now() + linger_most);
      buffer_.consume(buffer_.size());
      for (std::size_t unread = 0; up && unread < linger_bytes;) {
        const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | dropped);
        up = socket_.discard(buffer_, unread) && (bits & (due | dropped)) == 0;
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
                 Counters& counters, OpenIds& open_ids, net::BufferBudget& held)
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
      held_(held),
      parting_(config.part_with),
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
  if (!socket_.open() || call_ != 0 || answer_ || (to_write_ > 0 && !lingering_)) return std::nullopt;
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
