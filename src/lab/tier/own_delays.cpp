#include "lab/tier/own_delays.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>

namespace chutevane::lab::tier {
namespace {

constexpr Span tick_every = Span::ms(5);
constexpr std::chrono::milliseconds sync_every(50);

}  // namespace

OwnDelays::OwnDelays(net::TimerQueue& later, std::string file) : timers_(later), file_(std::move(file)) {
  tick(timers_.now() + tick_every);
  thread_ = std::thread([this] { sync(); });
}

void OwnDelays::stop() {
  stopped_ = true;
  if (thread_.joinable()) thread_.join();
}

void OwnDelays::tick(TimePoint due) {
  timers_.at(due, [this, due] {
    if (stopped_) return;
    const TimePoint now = timers_.now();
    lateness_ms_.push_back((now - due).as_ms());
    tick(now + tick_every);
  });
}

// In a thread of its own: a disk that stands still must not hold the stand-ins up.
void OwnDelays::sync() {
  const int fd = ::open(file_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0) return;
  while (!stopped_) {
    const auto began = std::chrono::steady_clock::now();
    const char bytes[512] = {};
    if (::write(fd, bytes, sizeof bytes) < 0 || ::fdatasync(fd) != 0) break;
    sync_ms_.push_back(
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count());
    std::this_thread::sleep_for(sync_every);
  }
  ::close(fd);
  std::error_code ignored;
  std::filesystem::remove(file_, ignored);
}

}  // namespace chutevane::lab::tier
