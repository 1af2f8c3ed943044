#include "lab/machine.hpp"

#include <algorithm>

namespace chutevane::lab {
namespace {

constexpr Span warm_step = Span::ms(20);  // warmth counts as even for so long: 0.1% of a usual warm-up
constexpr double done_ms = 1e-9;          // of work left: rounding, not work
constexpr double least_speed = 1e-6;      // a machine never stands quite still: ends stay finite

}  // namespace

double Machine::warmth(TimePoint now) const {
  if (came_up_ <= TimePoint() || spec_.warm_after <= Span() || now - came_up_ >= spec_.warm_after) return 1.0;
  return spec_.cold_share + (1.0 - spec_.cold_share) * std::max(0.0, (now - came_up_) / spec_.warm_after);
}

// Cores that are taken away are felt by all jobs alike: the ones left are shared out.
double Machine::speed(TimePoint now) const {
  const double busy = std::max(1.0, static_cast<double>(running_.size()));
  const double shared = std::min(1.0, std::min<double>(spec_.cores, cores_left_) / busy);
  return std::max(least_speed, warmth(now) * slow_speed_ * shared);
}

void Machine::fill() {
  while (running_.size() < static_cast<std::size_t>(spec_.cores) && !queue_.empty()) {
    begun_.push_back(queue_.front().id);
    running_.push_back(queue_.front());
    queue_.pop_front();
  }
}

void Machine::advance(TimePoint now) {
  while (at_ < now) {
    if (running_.empty()) {
      at_ = now;
      break;
    }
    const double v = speed(at_);
    TimePoint step = now;
    if (warmth(at_) < 1.0) step = std::min(step, at_ + warm_step);
    double least = running_.front().left_ms;
    for (const Job& j : running_) least = std::min(least, j.left_ms);
    const Span to_end = Span::us(static_cast<std::int64_t>(least / v * 1000.0) + 1);
    step = std::min(step, at_ + to_end);
    const double done = (step - at_).as_ms() * v;
    at_ = step;
    for (Job& j : running_) j.left_ms -= done;
    std::erase_if(running_, [&](const Job& j) {
      if (j.left_ms > done_ms) return false;
      ended_.push_back(j.id);
      return true;
    });
    fill();
  }
}

bool Machine::offer(JobId job, double work_ms, TimePoint now) {
  advance(now);
  at_ = std::max(at_, now);
  if (running_.size() >= static_cast<std::size_t>(spec_.cores) && queue_.size() >= spec_.queue) return false;
  queue_.push_back({job, std::max(work_ms, done_ms * 2)});
  fill();
  return true;
}

void Machine::withdraw(JobId job, TimePoint now) {
  advance(now);
  const auto same = [&](const Job& j) { return j.id == job; };
  std::erase_if(queue_, same);
  std::erase_if(running_, same);
  fill();
}

void Machine::burden(double speed, double cores_left, TimePoint now) {
  advance(now);
  slow_speed_ = speed;
  cores_left_ = cores_left;
}

TimePoint Machine::next_end() const {
  if (running_.empty()) return TimePoint::never();
  double least = running_.front().left_ms;
  for (const Job& j : running_) least = std::min(least, j.left_ms);
  return at_ + Span::us(static_cast<std::int64_t>(least / speed(at_) * 1000.0) + 1);
}

}  // namespace chutevane::lab
