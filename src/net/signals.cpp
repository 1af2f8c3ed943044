#include "net/signals.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace chutevane::net {

Signals::Signals(Scheduler& scheduler, Waker& waker, std::initializer_list<int> numbers)
    : scheduler_(scheduler) {
  sigset_t set;
  sigemptyset(&set);
  for (const int n : numbers) sigaddset(&set, n);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  fd_ = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "signalfd");
  source_ = scheduler_.watch(fd_, waker);
}

Signals::~Signals() {
  scheduler_.unwatch(fd_, source_);
  ::close(fd_);
}

int Signals::next() {
  signalfd_siginfo info{};
  return ::read(fd_, &info, sizeof info) == sizeof info ? static_cast<int>(info.ssi_signo) : 0;
}

}  // namespace chutevane::net
