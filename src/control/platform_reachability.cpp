#include "control/platform_reachability.hpp"

#include <algorithm>

namespace chutevane::control {
namespace {

constexpr Span min_pause = Span::ms(1000), max_pause = Span::ms(16000);

}  // namespace

void PlatformReachability::on_reached(TimePoint now) {
  last_reached_at_ = now;
  next_question_at_ = now;
  pause_ = min_pause;
  peers_in_round_ = 0;
}

bool PlatformReachability::should_ask_peer(bool is_leader, TimePoint now) const {
  return is_leader && !is_asking_ && time_since_reached(now) >= platform_unreached_limit &&
         now >= next_question_at_;
}

std::size_t PlatformReachability::next_peer(std::size_t peer_count, TimePoint now) {
  is_asking_ = true;
  if (peers_in_round_ == 0) {
    peers_in_round_ = peer_count;
    next_question_at_ = now;
  }
  return next_peer_++ % std::max<std::size_t>(peer_count, 1);
}

bool PlatformReachability::on_reply(bool peer_reaches_platform, TimePoint now) {
  is_asking_ = false;
  // This controller's own fetches may have succeeded in the meantime.
  if (peer_reaches_platform) return time_since_reached(now) >= platform_unreached_limit;
  if (peers_in_round_ > 0 && --peers_in_round_ == 0) {
    next_question_at_ = now + pause_;
    pause_ = std::min(max_pause, pause_ * 2);
  }
  return false;
}

}  // namespace chutevane::control
