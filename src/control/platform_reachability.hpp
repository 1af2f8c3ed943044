/// Decides when the leader of the role `list` should step down in favor of a controller that can reach the
/// platform. No I/O.
///
/// A leader may be in contact with a quorum but cut off from the platform. While its fetches fail, it asks
/// its peers one after the other whether they can fetch the list. If one can, the leader gives up the role
/// for a while, so that another controller is elected. If none can, it remains the leader, since a change
/// would not help, and asks again after growing pauses. Meanwhile all controllers keep using the list that
/// they have.
#pragma once

#include <cstddef>
#include <cstdint>

#include "chutevane/types.hpp"

namespace chutevane::control {

/// A leader whose fetches have failed for this long asks its peers. Two fetches in a row have then timed out.
constexpr Span platform_unreached_limit = Span::ms(2000);
/// Time for which a controller does not campaign for the role after giving it up, since the fault may
/// persist.
constexpr Span list_step_down_duration = Span::ms(10000);

/// Used by one controller from its event loop. Times are from its steady clock.
class PlatformReachability {
 public:
  /// Reports that a fetch as the leader has succeeded, or that this controller has become the leader.
  void on_reached(TimePoint now);
  /// Returns true if a peer should be asked now. `is_leader`: true if this controller leads the role `list`.
  bool should_ask_peer(bool is_leader, TimePoint now) const;
  /// Returns the index of the peer to ask, below `peer_count`. Must only be called if should_ask_peer(), and
  /// must be followed by a call of on_reply().
  std::size_t next_peer(std::size_t peer_count, TimePoint now);
  /// Processes the peer's reply, or false if there was none. Returns true if this controller should give up
  /// the role.
  [[nodiscard]] bool on_reply(bool peer_reaches_platform, TimePoint now);
  /// Returns the time since the last successful fetch as the leader, or since the election.
  Span time_since_reached(TimePoint now) const { return now - last_reached_at_; }

 private:
  TimePoint last_reached_at_;
  TimePoint next_question_at_;
  Span pause_;                      // after a round in which no peer could reach the platform
  std::size_t next_peer_ = 0;       // taken modulo the number of peers
  std::size_t peers_in_round_ = 0;  // peers still to be asked in this round
  bool is_asking_ = false;
};

}  // namespace chutevane::control
