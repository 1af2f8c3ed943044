#include "admin/server.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>

#include "http/writer.hpp"

namespace chutevane::admin {
namespace {

using net::Socket;
using net::Waker;

constexpr Span call_most = Span::ms(3000);  // for a call to come whole: staff and their tools send it at once
constexpr Span linger_most = Span::ms(500);  // for the peer to take its answer and end
constexpr Span retry_every = Span::ms(50);   // where no descriptor was left
constexpr http::Limits limits{.head = 8 * 1024, .body = 4 * 1024, .fields = 64};  // bytes; calls have no body
constexpr std::size_t linger_bytes = 64 * 1024;                                   // of what nobody reads
constexpr Waker::Bits retry = Waker::own;

enum class Word : std::uint8_t { ready, counters, coming_back, out, in };
struct Path {
  std::string_view method, target;
  Word word;
};
constexpr std::array<Path, 5> paths{{{"GET", "/control/ready", Word::ready},
                                     {"GET", "/control/counters", Word::counters},
                                     {"GET", "/control/coming-back", Word::coming_back},
                                     {"PUT", "/control/out-of-service", Word::out},
                                     {"PUT", "/control/in-service", Word::in}}};

}  // namespace

Visit::Visit(net::Scheduler& scheduler, Server& server, int fd)
    : scheduler_(scheduler),
      server_(server),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      parser_(http::Side::request, limits),
      since_(scheduler.now()),
      task_(run()) {
  socket_.adopt(fd);
}

void Visit::answer(int status, std::string_view type, std::string_view body, std::string_view allow) {
  buffer_.consume(buffer_.size());
  http::Writer out(buffer_);
  out.status_line(status).field("Content-Type", type).field("Cache-Control", "no-store");
  if (!allow.empty()) out.field("Allow", allow);
  out.field("Connection", "close").body(body);
}

// What does not fit has no effect: a word counts only whole, with its own method and without a body.
void Visit::serve() {
  constexpr std::string_view text = "text/plain";
  const std::string_view target = parser_.target().substr(0, parser_.target().find('?'));
  const auto at = std::find_if(paths.begin(), paths.end(), [&](const Path& p) { return p.target == target; });
  if (at == paths.end()) return answer(404, text, "no such path\n");
  if (at->method != parser_.method()) return answer(405, text, "another method\n", at->method);
  Desk& desk = server_.desk_;
  bool yes = true;
  switch (at->word) {
    case Word::counters: return answer(200, "application/json", desk.figures());
    case Word::coming_back: return answer(200, "application/json", desk.coming_back_text());
    case Word::ready: yes = desk.takes_clients(); break;
    case Word::out: yes = desk.out_of_service(); break;
    case Word::in: yes = desk.in_service(); break;
  }
  answer(yes ? 200 : 503, text, yes ? "yes\n" : "no\n");
}

net::Task Visit::run() {
  timer_.set(since_ + call_most);
  http::Progress progress = http::Progress::more;
  bool up = true;
  while (up && progress == http::Progress::more) {
    const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | dropped);
    if ((bits & (due | dropped)) != 0) break;
    const Socket::Result result = socket_.read(buffer_);
    if (result == Socket::Result::some) progress = parser_.feed(buffer_.bytes());
    up = result == Socket::Result::some || result == Socket::Result::later;
  }
  up = up && socket_.open();
  if (up) {
    whole_ = true;
    if (progress == http::Progress::complete) {
      serve();
    } else {
      const bool slow = progress == http::Progress::more;
      answer(slow ? 408 : parser_.status_of_error(), "text/plain",
             slow ? "no whole call\n" : "not understood\n");
    }
    timer_.set(scheduler_.now() + call_most);
    while (up && !buffer_.empty()) {
      std::size_t written = 0;
      const Socket::Result result = socket_.write(buffer_.bytes(), written);
      buffer_.consume(written);
      up = result != Socket::Result::broken;
      if (result != Socket::Result::later) continue;
      const Waker::Bits bits = co_await waker_.wait(Waker::writable | due | dropped);
      up = (bits & (due | dropped)) == 0;
    }
    if (up) socket_.end_writing();
    timer_.set(scheduler_.now() + linger_most);
    for (std::size_t unread = 0;
         up && unread < linger_bytes;) {  // closing on unread bytes takes the answer away
      const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | dropped);
      up = socket_.discard(buffer_, unread) && (bits & (due | dropped)) == 0;
    }
  }
  socket_.close();
  timer_.cancel();
  server_.visits_.retire(*this);
}

Server::Server(net::Scheduler& scheduler, Desk& desk, std::size_t most)
    : scheduler_(scheduler),
      desk_(desk),
      most_(most),
      waker_(scheduler),
      timer_(scheduler, waker_, retry),
      socket_(scheduler, waker_),
      visits_(scheduler),
      task_(accept()) {}

void Server::listen(const sockaddr_in& at) {
  socket_.listen(at);
  task_.start();
}

// The oldest goes, one whose call has been answered first. Guards calls that come against connections that
// are held with no whole call.
void Server::make_room() {
  Visit* oldest = nullptr;
  for (std::size_t i = 0; i < visits_.size(); ++i) {
    Visit& v = visits_[i];
    if (!v.socket_.open()) continue;
    if (oldest == nullptr || std::pair(!v.whole_, v.since_) < std::pair(!oldest->whole_, oldest->since_))
      oldest = &v;
  }
  if (oldest == nullptr) return;
  oldest->socket_.close();
  oldest->waker_.set(Visit::dropped);
}

net::Task Server::accept() {
  while (true) {
    bool exhausted = false;
    while (true) {
      const int fd = socket_.accept(exhausted);
      if (fd < 0) break;
      if (visits_.size() >= most_) make_room();
      visits_.add(std::make_unique<Visit>(scheduler_, *this, fd)).task_.start();
    }
    if (exhausted) {
      make_room();
      timer_.set(scheduler_.now() + retry_every);
    }
    co_await waker_.wait(Waker::readable | retry);
  }
}

}  // namespace chutevane::admin
