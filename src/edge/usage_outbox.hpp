/// Usage messages that may have been lost with a connection, kept to be sent again. No I/O.
///
/// A reservation whose use a storage node never learns counts in full for good. CommitUsage has no answer: it
/// is lost where the connection is down, or breaks before it has arrived. Each message is therefore kept for
/// a while, and sent again over the next connection to its node. A node that has it ignores it.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "chutevane/types.hpp"
#include "common/messages.hpp"

namespace chutevane::edge {

/// Messages are kept for so long: as long as a node that was lost may take to be back.
constexpr Span usage_retention = Span::ms(30000);
/// ... and so many of them at most, the newest: about 100 bytes each.
constexpr std::size_t max_kept_usages = 2048;

/// Of one storage node. Times are of one steady clock.
class UsageOutbox {
 public:
  /// The message was sent, or would have been if the connection were up.
  void add(const common::CommitUsage& message, TimePoint now);
  /// What to send over a new connection, the oldest first.
  std::vector<common::CommitUsage> recent(TimePoint now);
  std::size_t size() const { return kept_.size(); }

 private:
  struct Kept {
    common::CommitUsage message;
    TimePoint added_at;
  };
  void drop_expired(TimePoint now);

  std::deque<Kept> kept_;  // the oldest first
};

}  // namespace chutevane::edge
