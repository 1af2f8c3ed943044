/// The process's signals, as events that a coroutine can wait for.
#pragma once

#include <initializer_list>

#include "net/scheduler.hpp"

namespace chutevane::net {

class Signals {
 public:
  /// Blocks these signals' handlers; `waker` becomes readable when one has come. Throws std::system_error.
  Signals(Scheduler& scheduler, Waker& waker, std::initializer_list<int> numbers);
  ~Signals();
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;
  /// The next signal that has come, or 0.
  int next();

 private:
  Scheduler& scheduler_;
  int fd_;
  std::uint32_t source_;
};

}  // namespace chutevane::net
