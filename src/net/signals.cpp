#include "net/signals.hpp"

#include <system_error>

namespace chutevane::net {

Signals::Signals(Scheduler& scheduler, Waker& waker, std::initializer_list<int> numbers)
    : scheduler_(scheduler), fd_(scheduler.system().open_signals(numbers)) {
  if (fd_ < 0) throw std::system_error(-fd_, std::generic_category(), "signalfd");
  source_ = scheduler_.watch(fd_, waker);
}

Signals::~Signals() {
  scheduler_.unwatch(fd_, source_);
  scheduler_.system().close(fd_, false);
}

int Signals::next() { return scheduler_.system().next_signal(fd_); }

}  // namespace chutevane::net
