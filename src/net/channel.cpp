#include "net/channel.hpp"

#include <unistd.h>

#include <utility>

namespace chutevane::net {
namespace {

constexpr Span accept_retry_interval = Span::ms(20);  // while no descriptor is left
constexpr std::size_t idle_buffer_size = 16 * 1024;   // bytes that an idle connection's buffers keep

}  // namespace

Channel::Channel(Scheduler& scheduler, Observer& observer)
    : waker_(scheduler),
      socket_(scheduler, waker_),
      observer_(observer),
      in_(scheduler.buffer_budget()),
      out_(scheduler.buffer_budget()) {}

void Channel::adopt(int fd) {
  socket_.adopt(fd);
  up_ = true;
  task_ = run(false);
  task_.start();
}

bool Channel::connect(const sockaddr_in& to) {
  if (!socket_.connect(to)) return false;
  task_ = run(true);
  task_.start();
  return true;
}

void Channel::end(bool with_reset) {
  if (!socket_.open()) return;
  if (with_reset) {
    socket_.reset();
  } else {
    socket_.close();
  }
  up_ = false;
  waker_.set(ended);
}

// Closes and tells the observer, unless it has closed the channel itself.
void Channel::fail() {
  if (!socket_.open()) return;
  socket_.close();
  up_ = false;
  observer_.on_channel_closed(*this);
}

void Channel::set_reading_paused(bool paused) {
  if (std::exchange(reading_paused_, paused) == paused) return;
  if (!paused) waker_.set(state_changed | Waker::readable);
}

void Channel::close_when_flushed() {
  close_when_flushed_ = true;
  waker_.set(state_changed);
}

void Channel::shutdown_write_when_flushed() {
  shutdown_write_when_flushed_ = true;
  reading_paused_ = false;
  waker_.set(state_changed | Waker::readable);
}

// After a failed write: what the peer sent before it closed may say why.
void Channel::read_rest() {
  while (open() && socket_.read(in_, read_quota_) == Socket::Result::some) observer_.on_channel_data(*this);
}

// False: the connection is broken.
bool Channel::write_pending() {
  if (out_.empty()) return true;
  std::size_t written = 0;
  const Socket::Result result = socket_.write(out_.bytes(), written);
  out_.consume(written);
  out_.shrink(idle_buffer_size);
  return result != Socket::Result::broken;
}

// Writes from the caller's turn, so that a short message needs no wake-up.
void Channel::flush() {
  if (!up()) return;
  if (!write_pending()) waker_.set(state_changed | Waker::hung_up);
}

// False: the channel is closed.
bool Channel::finish_connect() {
  if (!open()) return false;
  if (!socket_.connected()) {
    fail();
    return false;
  }
  up_ = true;
  observer_.on_channel_open(*this);
  return true;
}

// False: the channel is closed.
bool Channel::write_step() {
  const std::size_t pending = out_.size();
  if (!write_pending()) {
    read_rest();
    fail();
    return false;
  }
  if (out_.size() < pending) {
    observer_.on_channel_progress(*this, pending - out_.size());
    if (!open()) return false;
  }
  if (pending > 0 && out_.empty()) {
    observer_.on_channel_flushed(*this);
    if (!open()) return false;
  }
  if (close_when_flushed_ && out_.empty()) {
    fail();
    return false;
  }
  if (out_.empty() && std::exchange(shutdown_write_when_flushed_, false)) socket_.end_writing();
  return true;
}

// False: the channel is closed.
bool Channel::read_step() {
  if (reading_paused_) return true;
  const Socket::Result result = socket_.read(in_, read_quota_);
  if (result == Socket::Result::later) return true;
  if (result != Socket::Result::some) {
    fail();
    return false;
  }
  observer_.on_channel_data(*this);
  if (!open()) return false;
  in_.shrink(idle_buffer_size);
  return true;
}

Task Channel::run(bool connecting) {
  if (connecting) {
    co_await waker_.wait(Waker::writable | Waker::hung_up | ended);
    if (!finish_connect()) co_return;
  }
  while (open()) {
    if (!write_step() || !read_step()) co_return;
    const Waker::Bits reading = reading_paused_ ? 0U : Waker::readable | Waker::hung_up;
    // Yields: a peer that always has more to read must not hold up the others. After a hang-up this ends at
    // once, until what came with it has been read.
    co_await waker_.yield_and_wait(Waker::writable | state_changed | ended | reading);
  }
}

Listener::Listener(Scheduler& scheduler, std::function<void(int)> on_accept)
    : waker_(scheduler),
      retry_(scheduler, waker_, retry_due),
      socket_(scheduler, waker_),
      on_accept_(std::move(on_accept)),
      scheduler_(scheduler) {}

void Listener::listen(const sockaddr_in& at) {
  socket_.listen(at);
  task_ = run();
  task_.start();
}

Task Listener::run() {
  while (socket_.open()) {
    bool exhausted = false;
    for (int fd = socket_.accept(exhausted); fd >= 0; fd = socket_.accept(exhausted)) on_accept_(fd);
    if (exhausted) retry_.set(scheduler_.now() + accept_retry_interval);
    co_await waker_.wait(Waker::readable | Waker::hung_up | retry_due);
  }
}

}  // namespace chutevane::net
