#include "lab/front.hpp"

#include <algorithm>

namespace chutevane::lab {
namespace {

using net::Socket;
using net::Waker;

constexpr Span check_pause = Span::ms(20);   // between tries
constexpr Span answer_most = Span::ms(500);  // for one try

}  // namespace

ReadyChecks::Check::Check(net::Scheduler& scheduler, ReadyChecks& all, std::size_t sidecar,
                          const sockaddr_in& address)
    : scheduler_(scheduler),
      all_(all),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      sidecar_(sidecar),
      address_(address),
      task_(run()) {
  task_.start();
}

net::Task ReadyChecks::Check::run() {
  bool ready = false, stopped = false;
  while (!ready && !stopped) {
    in_.consume(in_.size());
    parser_.reset();
    timer_.set(scheduler_.now() + answer_most);
    bool up = socket_.connect(address_);
    if (up) {
      const Waker::Bits bits = co_await waker_.wait(Waker::writable | Waker::hung_up | due | dropped);
      stopped = (bits & dropped) != 0;
      up = (bits & (due | dropped)) == 0 && socket_.connected();
    }
    std::size_t written = 0;
    if (up)
      up = socket_.write(std::string_view("GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
                         written) == Socket::Result::some;
    http::Progress progress = http::Progress::more;
    while (up && progress == http::Progress::more) {
      const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | dropped);
      stopped = (bits & dropped) != 0;
      if ((bits & (due | dropped)) != 0) break;
      const Socket::Result result = socket_.read(in_);
      if (result != Socket::Result::broken)
        progress = parser_.feed(in_.bytes(), result == Socket::Result::ended);
      if (result == Socket::Result::broken) up = false;
    }
    ready = progress == http::Progress::complete && parser_.status() == 200;
    socket_.close();
    waker_.clear(Waker::readable | Waker::writable | Waker::hung_up);
    if (ready || stopped) break;
    timer_.set(scheduler_.now() + check_pause);
    const Waker::Bits bits = co_await waker_.wait(due | dropped);
    stopped = (bits & dropped) != 0;
  }
  timer_.cancel();
  if (ready && !stopped) all_.heard_(sidecar_);
  all_.checks_.retire(*this);
}

void ReadyChecks::begin(std::size_t sidecar, const sockaddr_in& address) {
  checks_.add(std::make_unique<Check>(scheduler_, *this, sidecar, address));
}

void ReadyChecks::stop(std::size_t sidecar) {
  for (std::size_t i = 0; i < checks_.size(); ++i) {
    if (checks_[i].sidecar_ == sidecar) checks_[i].waker_.set(Check::dropped);
  }
}

void Front::take_in(std::size_t sidecar, const sockaddr_in& address) {
  std::erase_if(members_, [&](const Member& m) { return m.to.sidecar == sidecar; });
  members_.push_back({{address, sidecar}, TimePoint::never()});
}

void Front::drop_at(std::size_t sidecar, TimePoint when) {
  for (Member& m : members_) {
    if (m.to.sidecar == sidecar) m.until = std::min(m.until, when);
  }
}

std::optional<Destination> Front::deal() {
  const TimePoint now = scheduler_.now();
  std::erase_if(members_, [&](const Member& m) { return m.until <= now; });
  if (members_.empty()) return std::nullopt;
  return members_[turn_++ % members_.size()].to;
}

}  // namespace chutevane::lab
