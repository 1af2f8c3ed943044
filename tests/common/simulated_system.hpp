// A simulated machine for tests: a clock that is controlled by the test, and no network. A wait returns
// immediately and advances the clock to the next timer, so that code with timers runs as fast as possible.
#pragma once

#include <cerrno>
#include <functional>

#include "net/scheduler.hpp"
#include "net/system.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::simulated {

class SimulatedSystem final : public net::System {
 public:
  explicit SimulatedSystem(TimePoint start = TimePoint::at_ms(1e9)) : now_(start) {}
  TimePoint now() const override { return now_; }
  std::size_t wait(std::span<Event>, Span most) override {
    now_ = std::min(now_ + most, std::max(now_, until_));
    return 0;
  }
  // Sets the time beyond which waits do not advance the clock.
  void stop_at(TimePoint until) { until_ = until; }
  void advance(Span by) { now_ = now_ + by; }

  bool watch(int, std::uint64_t) override { return false; }
  void unwatch(int) override {}
  int connect(const sockaddr_in&) override {
    ++connects_;
    return -ECONNREFUSED;
  }
  int connect_error(int) override { return ECONNREFUSED; }
  int listen(const sockaddr_in&) override { return -EADDRINUSE; }
  void backlog(int, int) override {}
  int accept(int) override { return -EAGAIN; }
  long receive(int, std::span<char>) override { return -ECONNRESET; }
  long peek(int) override { return -ECONNRESET; }
  long send(int, std::span<const char>) override { return -ECONNRESET; }
  std::optional<sockaddr_in> local(int) const override { return std::nullopt; }
  std::optional<sockaddr_in> peer(int) const override { return std::nullopt; }
  void end_writing(int) override {}
  void close(int, bool) override {}
  int open_signals(std::initializer_list<int>) override { return -ENOSYS; }
  int next_signal(int) override { return 0; }
  std::size_t descriptors(std::size_t wanted) override { return wanted; }
  std::size_t connects() const { return connects_; }

 private:
  TimePoint now_, until_ = TimePoint::never();
  std::size_t connects_ = 0;
};

// A simulated clock with a scheduler and a timer queue.
struct Clockwork {
  SimulatedSystem system;
  net::Scheduler scheduler{system};
  net::TimerQueue later{scheduler};

  // Runs the scheduler for the time `most`, or until `enough` returns true. Returns false if it ran for all
  // of `most`.
  bool play(Span most, const std::function<bool()>& enough = nullptr) {
    const TimePoint end = system.now() + most;
    system.stop_at(end);
    while (true) {
      if (enough && enough()) return true;
      if (scheduler.next_due() > end) break;
      scheduler.turn();
    }
    if (system.now() < end) system.advance(end - system.now());
    return false;
  }
};

// A random generator with a seed. It gives the same sequence on every machine.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(seed * 0x9e3779b97f4a7c15ULL + 0x853c49e6748fea9bULL) {}
  std::uint64_t next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
  }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(next() % n); }
  double unit() { return static_cast<double>(next() >> 11U) * 0x1p-53; }
  bool chance(double part) { return unit() < part; }

 private:
  std::uint64_t state_;
};

}  // namespace chutevane::simulated
