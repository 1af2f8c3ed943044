#include "control/duty.hpp"

#include <xxhash.h>

#include <algorithm>

namespace chutevane::control {
namespace {

constexpr Span stand_spread = Span::ms(150);  // so that two seldom stand at once
constexpr Span again_least = Span::ms(100);   // after a round that nobody won

}  // namespace

double Duty::draw() {
  random_ = XXH3_64bits(&random_, sizeof random_);
  return static_cast<double>(random_ >> 11U) * 0x1p-53;
}

void Duty::heard(const std::string& node, bool holds, std::int64_t term, TimePoint now) {
  if (holds) {
    if (mine_ && term >= term_) mine_ = false;
    if (term < term_) return;
    term_ = term;
    holder_ = node;
    heard_ = now;
  } else if (!holder_.empty() && holder_ == node && !mine_) {
    heard_ = TimePoint();  // it says itself that it has it no more
    holder_.clear();
  }
}

void Duty::learn_told(std::int64_t told, std::uint64_t holder) {
  const std::int64_t term = duty_term(told);
  const bool overtaken = mine_ && told > told_term(term_, holder);
  if (!overtaken && term <= term_) return;
  term_ = std::max(term_, term);
  mine_ = false;
  holder_.clear();
  heard_ = TimePoint();
}

bool Duty::vote(std::int64_t term, TimePoint now) {
  if (term <= voted_ || term <= term_ || !vacant(now)) return false;
  voted_ = term;
  return true;
}

bool Duty::stand(TimePoint now, std::int64_t& term) {
  if (!vacant(now)) {
    wait_until_ = TimePoint();
    return false;
  }
  if (standing_) return false;
  if (wait_until_ == TimePoint()) wait_until_ = now + stand_spread * draw();
  if (now < wait_until_) return false;
  standing_ = true;
  term = std::max(term_, voted_) + 1;
  return true;
}

void Duty::won(std::int64_t term, TimePoint now) {
  standing_ = false;
  if (term <= term_) return;
  mine_ = true;
  term_ = term;
  heard_ = won_at_ = now;
}

void Duty::lost(TimePoint now) {
  standing_ = false;
  wait_until_ = now + again_least + stand_spread * draw();
}

void Duty::give_up(TimePoint now) {
  if (!mine_) return;
  mine_ = false;
  holder_.clear();
  heard_ = now;
  wait_until_ = TimePoint();
}

}  // namespace chutevane::control
