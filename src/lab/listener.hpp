// Accepts connections for a stand-in, which makes of each what it wants. May refuse, or let nothing come up.
#pragma once

#include <netinet/in.h>

#include <optional>

#include "net/socket.hpp"
#include "net/task.hpp"

namespace chutevane::lab {

class Acceptor {
 public:
  virtual void accepted(int fd) = 0;  // takes over the descriptor

 protected:
  ~Acceptor() = default;
};

class Listener {
 public:
  Listener(net::Scheduler& scheduler, Acceptor& owner)
      : scheduler_(scheduler),
        owner_(owner),
        waker_(scheduler),
        timer_(scheduler, waker_, due),
        socket_(scheduler, waker_),
        filler_waker_(scheduler),
        filler_(scheduler, filler_waker_),
        task_(run()) {
    task_.start();
  }
  void open(const sockaddr_in& at) {  // throws std::system_error
    at_ = at;
    silent_ = false;
    socket_.listen(at);
    waker_.set(changed);
  }
  void close() {
    socket_.close();
    filler_.close();
  }
  bool is_open() const { return socket_.open(); }
  std::optional<sockaddr_in> address() const { return socket_.local(); }
  // While silent new connections neither come up nor are refused: one of the lab's own fills the queue.
  void silence(bool on) {
    if (on == silent_) return;
    silent_ = on;
    if (!socket_.open()) return;
    if (on) {
      socket_.backlog(0);
      filler_.connect(at_);
    } else {
      filler_.close();
      socket_.backlog(SOMAXCONN);
      waker_.set(changed);
    }
  }

 private:
  static constexpr net::Waker::Bits due = net::Waker::own, changed = net::Waker::own << 1U;
  static constexpr Span exhausted_pause = Span::ms(20);  // before accepting is tried again

  net::Task run() {
    while (true) {
      bool exhausted = false;
      while (socket_.open() && !silent_) {
        const int fd = socket_.accept(exhausted);
        if (fd < 0) break;
        owner_.accepted(fd);
      }
      if (exhausted) timer_.set(scheduler_.now() + exhausted_pause);
      // A listening socket tells `hung_up` only when it is closed, and is waited for under `changed` then.
      co_await waker_.wait(net::Waker::readable | due | changed);
    }
  }

  net::Scheduler& scheduler_;
  Acceptor& owner_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Waker filler_waker_;
  net::Socket filler_;
  sockaddr_in at_{};
  bool silent_ = false;
  net::Task task_;
};

}  // namespace chutevane::lab
