/// Usage messages that may have been lost with a connection, retained for resending. Performs no I/O.
///
/// A reservation counts in full forever at a storage node that never receives its usage. CommitUsage has no
/// reply and is lost if the connection is down or breaks before the message arrives. Each message is
/// therefore retained for a while and sent again over the next connection to its node. A node ignores
/// messages that it already has.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "chutevane/types.hpp"
#include "common/messages.hpp"

namespace chutevane::edge {

/// How long a message is retained: the time that a lost node may take to come back.
constexpr Span usage_retention = Span::ms(30000);
/// Maximum number of retained messages, of about 100 bytes each. The oldest are dropped first.
constexpr std::size_t max_retained_usages = 2048;

/// The outbox of one storage node. All times must come from the same steady clock.
class UsageOutbox {
 public:
  /// Adds a message that was sent, or could not be sent because the connection is down.
  void add(const common::CommitUsage& message, TimePoint now);
  /// Returns the messages to send over a new connection, oldest first.
  std::vector<common::CommitUsage> recent(TimePoint now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    common::CommitUsage message;
    TimePoint added_at;
  };
  void drop_expired(TimePoint now);

  std::deque<Entry> entries_;  // oldest first
};

}  // namespace chutevane::edge
