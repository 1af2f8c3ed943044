#include "net/scheduler.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "net/epoll.hpp"

namespace chutevane::net {
namespace {

constexpr std::size_t max_events = 256;  // events taken in one turn
constexpr int max_rounds = 4;  // of ready coroutines in a row, before sockets and timers are looked at again
constexpr Span max_wait = Span::ms(60000);  // timers beyond it are found in a later turn

}  // namespace

Waker::~Waker() {
  if (!queued_) return;
  std::replace(scheduler_.ready_.begin(), scheduler_.ready_.end(), this, static_cast<Waker*>(nullptr));
  std::replace(scheduler_.running_.begin(), scheduler_.running_.end(), this, static_cast<Waker*>(nullptr));
}

void Waker::set(Bits bits) {
  pending_ |= bits;
  if (queued_ || !waiting_ || (pending_ & mask_) == 0) return;
  queued_ = true;
  scheduler_.ready_.push_back(this);
}

void Waker::run() {
  queued_ = false;
  if (!waiting_ || (pending_ & mask_) == 0) return;  // what it was woken for has been taken back
  std::exchange(waiting_, nullptr).resume();
}

void Timer::set(TimePoint due) {
  due_ = due;
  if (heap_index_ == unset) {
    heap_index_ = scheduler_.timers_.size();
    scheduler_.timers_.push_back(this);
  }
  scheduler_.sift(heap_index_);
}

void Timer::cancel() {
  waker_.clear(bit_);
  if (heap_index_ == unset) return;
  const std::size_t hole = std::exchange(heap_index_, unset);
  Timer* last = scheduler_.timers_.back();
  scheduler_.timers_.pop_back();
  if (last == this) return;
  scheduler_.put(hole, last);
  scheduler_.sift(hole);
}

Scheduler::Scheduler() : own_(std::make_unique<Epoll>()), system_(*own_) {}

Scheduler::~Scheduler() = default;

std::uint32_t Scheduler::watch(int fd, Waker& waker) {
  std::uint32_t at = static_cast<std::uint32_t>(sources_.size());
  if (free_sources_.empty()) {
    sources_.emplace_back();
  } else {
    at = free_sources_.back();
    free_sources_.pop_back();
  }
  sources_[at].waker = &waker;
  if (!system_.watch(fd, std::uint64_t{sources_[at].use} << 32U | at)) waker.set(Waker::hung_up);
  return at;
}

void Scheduler::unwatch(int fd, std::uint32_t source) {
  system_.unwatch(fd);
  sources_[source].waker = nullptr;
  ++sources_[source].use;
  free_sources_.push_back(source);
}

void Scheduler::put(std::size_t index, Timer* timer) {
  timers_[index] = timer;
  timer->heap_index_ = index;
}

// Moves the timer at `index` up or down to where it belongs.
void Scheduler::sift(std::size_t index) {
  Timer* const timer = timers_[index];
  while (index > 0 && timer->due_ < timers_[(index - 1) / 2]->due_) {
    put(index, timers_[(index - 1) / 2]);
    index = (index - 1) / 2;
  }
  while (true) {
    std::size_t child = index * 2 + 1;
    if (child >= timers_.size()) break;
    if (child + 1 < timers_.size() && timers_[child + 1]->due_ < timers_[child]->due_) ++child;
    if (timer->due_ <= timers_[child]->due_) break;
    put(index, timers_[child]);
    index = child;
  }
  put(index, timer);
}

void Scheduler::fire_due() {
  const TimePoint now = system_.now();
  while (!timers_.empty() && timers_.front()->due_ <= now) {
    Timer* const timer = timers_.front();
    timer->cancel();
    timer->waker_.set(timer->bit_);
  }
}

void Scheduler::run_ready() {
  // Guards timers and quiet sockets against peers that always have more to read.
  for (int round = 0; round < max_rounds && !ready_.empty(); ++round) {
    running_.swap(ready_);
    for (std::size_t i = 0; i < running_.size(); ++i) {
      if (running_[i] != nullptr) running_[i]->run();
    }
    running_.clear();
  }
}

TimePoint Scheduler::next_due() const {
  if (!ready_.empty()) return system_.now();
  return timers_.empty() ? TimePoint::never() : timers_.front()->due_;
}

void Scheduler::turn() {
  Span wait = max_wait;
  if (!ready_.empty()) {
    wait = Span();
  } else if (!timers_.empty()) {
    wait = std::clamp(timers_.front()->due_ - system_.now(), Span(), max_wait);
  }
  std::array<System::Event, max_events> events;
  const std::size_t n = system_.wait(events, wait);
  const auto dispatch = [&](bool of_ends) {
    for (std::size_t i = 0; i < n; ++i) {
      const System::Event& e = events[i];
      if (((e.bits & System::hung_up) != 0) != of_ends) continue;
      const Source& source = sources_[e.tag & 0xffffffffU];
      if (source.waker == nullptr || source.use != e.tag >> 32U) continue;  // closed since
      source.waker->set(e.bits);
    }
    run_ready();
  };
  // Ends go first: guards against a turn that comes late and still sends what its caller has left meanwhile.
  dispatch(true);
  // What is due goes before what has come in: guards against a long batch of reads holding up deadlines.
  fire_due();
  run_ready();
  dispatch(false);
}

}  // namespace chutevane::net
