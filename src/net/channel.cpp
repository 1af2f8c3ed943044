#include "net/channel.hpp"

#include <unistd.h>

#include <utility>

namespace chutevane::net {
namespace {

constexpr std::size_t read_most = 64 * 1024;  // bytes at a time: others have their turn
constexpr std::size_t kept = 16 * 1024;       // bytes that an idle connection's buffers keep

}  // namespace

Channel::Channel(Scheduler& scheduler, Observer& sink)
    : waker_(scheduler), socket_(scheduler, waker_), sink_(sink) {}

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

void Channel::gone() {
  if (!socket_.open()) return;
  socket_.close();
  up_ = false;
  sink_.on_channel_closed(*this);
}

void Channel::set_reading_paused(bool held) {
  held_ = held;
  if (!held) waker_.set(stirred | Waker::readable);
}

void Channel::close_when_flushed() {
  last_ = true;
  waker_.set(stirred);
}

void Channel::shutdown_write_when_flushed() {
  last_written_ = true;
  set_reading_paused(false);
}

// What the peer said before it ended the connection under our writing: perhaps why.
void Channel::read_rest() {
  while (open() && socket_.read(in_, read_most) == Socket::Result::some) sink_.on_channel_data(*this);
}

// False: the connection is gone. What can go out at once does so from here: no wake-up is needed for it.
bool Channel::push_out() {
  if (out_.empty()) return true;
  std::size_t written = 0;
  const Socket::Result result = socket_.write(out_.bytes(), written);
  out_.consume(written);
  out_.shrink(kept);
  return result != Socket::Result::broken;
}

void Channel::flush() {
  if (!up()) return;
  if (!push_out()) waker_.set(stirred | Waker::hung_up);
}

Task Channel::run(bool connecting) {
  if (connecting) {
    co_await waker_.wait(Waker::writable | Waker::hung_up | ended);
    if (!open()) co_return;
    if (!socket_.connected()) {
      gone();
      co_return;
    }
    up_ = true;
    sink_.on_channel_open(*this);
  }
  while (open()) {
    const bool had = !out_.empty();
    if (!push_out()) {
      read_rest();
      gone();
      co_return;
    }
    if (had && out_.empty()) {
      sink_.on_channel_flushed(*this);
      if (!open()) co_return;
    }
    if (last_ && out_.empty()) {
      gone();
      co_return;
    }
    if (out_.empty() && std::exchange(last_written_, false)) socket_.end_writing();
    if (!held_) {
      const Socket::Result result = socket_.read(in_, read_most);
      if (result == Socket::Result::some) {
        sink_.on_channel_data(*this);
        if (!open()) co_return;
        in_.shrink(kept);
        if (result == Socket::Result::some && waker_.has(Waker::hung_up)) continue;
      } else if (result != Socket::Result::later) {
        gone();
        co_return;
      }
    }
    co_await waker_.wait(Waker::writable | stirred | ended | (held_ ? 0U : Waker::readable | Waker::hung_up));
  }
}

Listener::Listener(Scheduler& scheduler, std::function<void(int)> taken)
    : waker_(scheduler), socket_(scheduler, waker_), taken_(std::move(taken)) {}

void Listener::listen(const sockaddr_in& at) {
  socket_.listen(at);
  task_ = run();
  task_.start();
}

Task Listener::run() {
  while (socket_.open()) {
    bool exhausted = false;
    for (int fd = socket_.accept(exhausted); fd >= 0; fd = socket_.accept(exhausted)) taken_(fd);
    co_await waker_.wait(Waker::readable | Waker::hung_up);
  }
}

}  // namespace chutevane::net
