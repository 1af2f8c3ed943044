// The process's signals, as something that a coroutine can wait for.
#pragma once

#include <initializer_list>

#include "net/scheduler.hpp"

namespace chutevane::net {

class Signals {
 public:
  // Takes these signals away from their handlers. Throws std::system_error.
  Signals(Scheduler& scheduler, Waker& waker, std::initializer_list<int> numbers);
  ~Signals();
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;
  int next();  // the next one that has come, or 0

 private:
  Scheduler& scheduler_;
  int fd_;
  std::uint32_t source_;
};

}  // namespace chutevane::net
