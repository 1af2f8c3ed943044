#include "lab/relay.hpp"

#include <algorithm>

namespace chutevane::lab {
namespace {

using net::Socket;
using net::Waker;

constexpr std::size_t held_most = 256 * 1024;  // bytes on a way: then its sender waits, as with a full window

}  // namespace

RelayedConnection::RelayedConnection(net::Scheduler& scheduler, Relay& owner, int fd, const sockaddr_in& to)
    : scheduler_(scheduler),
      owner_(owner),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      near_(scheduler, waker_),
      far_(scheduler, waker_),
      to_(to),
      task_(run()) {
  near_.adopt(fd);
}

bool RelayedConnection::move(Socket& from, Socket& to, Direction& d, bool blocked, TimePoint& next) {
  const TimePoint now = scheduler_.now();
  while (!d.ended && d.held < held_most) {
    const Socket::Result result = from.read(room_);
    if (result == Socket::Result::broken) return false;
    if (result == Socket::Result::ended) d.ended = true;
    if (result != Socket::Result::some) break;
    const WayIlls& ills = owner_.ills_;
    if (blocked) owner_.on_struck(FaultKind::partition);
    if (ills.delay > Span()) owner_.on_struck(FaultKind::slow_link);
    if (ills.bytes_per_s > 0.0) owner_.on_struck(FaultKind::capped_link);
    Chunk c{now + ills.delay + ills.spread * owner_.chance_.unit(), {room_.bytes().data(), room_.size()}};
    if (ills.bytes_per_s > 0.0) {
      d.free_at = std::max(d.free_at, now) +
                  Span::ms(static_cast<double>(c.bytes.size()) / ills.bytes_per_s * 1000.0);
      c.due = std::max(c.due, d.free_at);
    }
    if (!d.way.empty()) c.due = std::max(c.due, d.way.back().due);
    d.held += c.bytes.size();
    room_.consume(room_.size());
    d.way.push_back(std::move(c));
  }
  if (d.ended && &from == &near_) d.way.clear(), d.held = 0;  // given up by who sent it
  while (!blocked && !d.way.empty()) {
    Chunk& c = d.way.front();
    if (c.due > now) {
      next = std::min(next, c.due);
      break;
    }
    std::size_t written = 0;
    const Socket::Result result = to.write(c.bytes, written);
    c.bytes.erase(0, written);
    d.held -= written;
    if (result == Socket::Result::broken) return false;
    if (!c.bytes.empty()) break;
    d.way.pop_front();
  }
  if (d.ended && d.way.empty() && !blocked && !d.passed_on) {
    to.end_writing();
    d.passed_on = true;
  }
  return true;
}

net::Task RelayedConnection::run() {
  bool up = far_.connect(to_);
  if (up) {
    const Waker::Bits bits = co_await waker_.wait(Waker::writable | Waker::hung_up | told);
    up = (bits & told) != 0 || far_.connected();
    waker_.set(Waker::readable);
  }
  while (up && !(there_.passed_on && back_.passed_on)) {
    TimePoint next = TimePoint::never();
    if (!silent_) {
      up = move(near_, far_, there_, owner_.block_there_, next) &&
           move(far_, near_, back_, owner_.block_back_, next);
    } else {
      std::size_t unheard = 0;
      net::Socket& left = near_.open() ? near_ : far_;
      up = left.open() && left.discard(room_, unheard);
    }
    if (!up) break;
    if (next < TimePoint::never()) {
      timer_.set(next);
    } else {
      timer_.cancel();
    }
    co_await waker_.wait(Waker::readable | Waker::writable | due | told);
  }
  if (!up && near_.open()) near_.reset();
  if (!up && far_.open()) far_.reset();
  near_.close();
  far_.close();
  timer_.cancel();
  owner_.connections_.retire(*this);
}

Relay::Relay(net::Scheduler& scheduler, const sockaddr_in& at, const sockaddr_in& to, std::uint64_t seed)
    : Relay(scheduler, to, seed) {
  listener_.open(at);
}

Relay::Relay(net::Scheduler& scheduler, const sockaddr_in& to, std::uint64_t seed)
    : scheduler_(scheduler),
      to_(to),
      chance_(seed, "relay"),
      listener_(scheduler, *this),
      connections_(scheduler) {}

void Relay::accepted(int fd) {
  connections_.add(std::make_unique<RelayedConnection>(scheduler_, *this, fd, to_)).task_.start();
}

void Relay::suffer(const WayIlls& ills, bool near_is_sidecar) {
  if (ills == ills_) return;
  ills_ = ills;
  block_there_ = near_is_sidecar ? ills.from_sidecar : ills.to_sidecar;
  block_back_ = near_is_sidecar ? ills.to_sidecar : ills.from_sidecar;
  // What would have come up cannot be seen from here: that nothing can is told once a way.
  if (ills.held) on_struck(FaultKind::held_link);
  listener_.silence(ills.held || block_there_ || block_back_);
  for (std::size_t i = 0; i < connections_.size(); ++i)
    connections_[i].waker_.set(RelayedConnection::told | Waker::readable);
}

void Relay::cut() {
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    on_struck(FaultKind::cut);
    connections_[i].near_.reset();
    connections_[i].far_.reset();
    connections_[i].there_.passed_on = connections_[i].back_.passed_on = true;
    connections_[i].waker_.set(RelayedConnection::told);
  }
}

void Relay::lose(bool of_near) {
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    RelayedConnection& c = connections_[i];
    on_struck(FaultKind::lost_end);
    c.silent_ = true;
    (of_near ? c.near_ : c.far_).reset();
    c.waker_.set(RelayedConnection::told);
  }
}

}  // namespace chutevane::lab
