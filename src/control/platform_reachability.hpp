/// When the leader of the role `list` should give way to a controller that reaches the platform. No I/O.
///
/// A leader may be in contact with a quorum and cut off from the platform. While its fetches fail it asks one
/// peer after the other whether that one can fetch the list. If one can, the leader gives up the role for a
/// while, so that another is elected. If none can, it stays: a change of the leader would help nobody, and is
/// asked for ever less often. Until then all serve on with the list that they have.
#pragma once

#include <cstddef>
#include <cstdint>

#include "chutevane/types.hpp"

namespace chutevane::control {

/// A leader whose fetches have failed for so long asks its peers: two fetches in a row have timed out.
constexpr Span platform_silence_limit = Span::ms(2000);
/// After it has given up the role a controller does not stand for it for so long: the fault may last.
constexpr Span list_abstention = Span::ms(10000);

/// To be used by one controller, from its event loop. Times are of its steady clock.
class PlatformReachability {
 public:
  /// A fetch of this controller, as the leader, has succeeded; or it has just become the leader.
  void on_reached(TimePoint now);
  /// Whether to ask a peer now. `is_leader`: of the role `list`.
  bool should_ask_peer(bool is_leader, TimePoint now) const;
  /// Which of `peer_count` peers to ask; to be called where should_ask_peer(). Its answer is due by
  /// on_reply().
  std::size_t next_peer(std::size_t peer_count, TimePoint now);
  /// The peer's answer; false where none came. True: this controller should give up the role.
  [[nodiscard]] bool on_reply(bool peer_reaches_platform, TimePoint now);
  /// Since the last success as a leader.
  Span silence(TimePoint now) const { return now - last_reached_at_; }

 private:
  TimePoint last_reached_at_;
  TimePoint next_question_at_;
  Span pause_;                      // after a round of all peers of which none reaches the platform
  std::size_t next_peer_ = 0;       // in their order
  std::size_t peers_in_round_ = 0;  // that are still to be asked in this round
  bool is_asking_ = false;
};

}  // namespace chutevane::control
