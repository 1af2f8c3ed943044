/// State transfer: a storage node fetches from its peers the data that a new storage map assigns to it.
///
/// A change of the map may assign programs to a node that has none of their turns and accounts, because the
/// node is new, its disk was replaced, it was unreachable, or it replaces another node in their replica
/// groups. Under the new map the node must not answer as if it had this data. It sends PullRequests to every
/// other node of the map, its *sources*, and reaches two levels of completeness:
///
/// - *ready*: the node has all accounts that are assigned to it, and may answer reservations. An account
///   without some of its entries would let a program exceed its budget.
/// - *complete*: the node also has all turns, and may answer that a turn does not exist (`not_found`). The
///   node reports this level to the controllers and makes it durable (storage/served_map_record.hpp), so that
///   a restart does not require another transfer.
///
/// Each source is sent one request at a time, in two phases:
///
/// 1. Accounts, in order of program names, until a reply is marked as the last part of the list.
/// 2. Ids of turns, in order, likewise. The turns whose ids are missing here are requested before the list
///    continues, max_turns_per_request at a time.
///
/// Each reply is made durable before the next request. A source answers only under the same map as this node,
/// and from then on it accepts nothing under an earlier map. The transfer therefore finds everything that a
/// majority has accepted under earlier maps, and everything that is accepted under this map is sent to this
/// node directly. A source that uses another map or does not answer is asked again. Its list of ids then
/// starts over, because turns may have been added before the position that was reached.
///
/// Not every source is needed. Whatever counts as stored has more replicas than the number of tolerated
/// losses, so that number of sources may be skipped, less the replicas that may already be missing: those on
/// lost disks, and those on nodes that were removed from the map while they did not answer
/// (common::missing_replicas). A source is skipped once it has not replied for source_silence_timeout. If
/// more replicas are missing than losses are tolerated, the transfer cannot end under this map. The models
/// model/budget.pml, model/absent.pml and model/retire.pml verify this for every order of steps.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "chutevane/types.hpp"
#include "common/messages.hpp"
#include "net/timer_queue.hpp"
#include "storage/group_commit.hpp"
#include "storage/peer_clients.hpp"
#include "storage/replica_store.hpp"
#include "storage/served_map.hpp"

namespace chutevane::storage {

/// Receives the data of one transfer at a time. Runs on the event loop's thread.
class StateTransfer {
 public:
  /// The objects that a transfer uses. All must outlive the StateTransfer.
  struct Dependencies {
    net::TimerQueue& timers;
    ReplicaStore& store;
    GroupCommit& group_commit;
    PeerClients& peers;
    const ServedMap& map;
    const std::string& own_node;
  };
  /// `on_complete` is called, from start() or later, each time a transfer makes the node complete.
  StateTransfer(Dependencies dependencies, std::function<void()> on_complete)
      : dependencies_(dependencies), on_complete_(std::move(on_complete)) {}

  /// Starts a transfer under the current map. Abandons a transfer in progress, but keeps the data received.
  /// `max_skipped_sources` is the number of tolerated losses less the number of missing replicas; if it is
  /// negative, the transfer cannot end.
  void start(std::int64_t max_skipped_sources);
  /// Abandons a transfer in progress, because the map assigns nothing to this node. The node is then neither
  /// ready nor complete.
  void cancel();
  /// Marks the node as ready and complete without a transfer. To be called if the node was complete under
  /// this very map before its process was restarted.
  void resume_complete();

  bool is_ready() const { return ready_; }
  bool is_complete() const { return complete_; }
  /// Returns true if as many sources as needed have sent everything, which holds whenever a transfer has made
  /// the node complete.
  bool has_enough_sources() const;
  /// Returns the number of sources of the current transfer, or of the last one.
  std::size_t source_count() const { return sources_.size(); }
  /// Returns the progress of the transfer as text for log lines.
  std::string describe() const;

 private:
  enum class Phase : std::uint8_t { accounts, turns, done };
  /// State of the transfer from one source.
  struct Source {
    std::string address;
    Phase phase = Phase::accounts;
    std::string after;                       // position in the list of the phase
    std::vector<std::string> missing_turns;  // listed ids that are missing here and not requested yet
    TimePoint last_reply_at;                 // of any reply, including refusals
    bool timed_out = false;                  // silent for too long, so skipped if that is allowed
  };
  /// Numbers of sources by what they have sent. Sources that have timed out are not awaited.
  struct Progress {
    std::size_t with_accounts = 0;  // sources that have sent all accounts
    std::size_t with_turns = 0;     // sources that have sent all accounts and all turns
    std::size_t awaited_for_accounts = 0;
    std::size_t awaited_for_turns = 0;
  };

  void request_next(const std::string& node);
  /// Returns the next request to `source`. Removes the requested ids from `source.missing_turns`.
  common::PullRequest next_request(Source& source) const;
  void on_reply(const std::string& node, std::uint64_t generation,
                const absl::StatusOr<common::PullReply>& reply);
  /// Schedules another request. `answered` is true if the source refused, false if it did not reply in time.
  void on_refusal(const std::string& node, Source& source, bool answered);
  /// Stores the accounts and turns of a reply.
  void store_reply(const common::PullReply& reply);
  static void advance_accounts(Source& source, const common::PullReply& reply);
  void advance_turns(Source& source, const common::PullReply& reply) const;
  Progress progress() const;
  bool is_enough(std::size_t sources_done) const;
  /// Marks the node as ready or complete once no source is awaited for that level and enough sources have
  /// sent the data for it.
  void update_completeness();

  const Dependencies dependencies_;
  const std::function<void()> on_complete_;
  std::map<std::string, Source> sources_;  // by node
  std::int64_t max_skipped_sources_ = 0;
  std::uint64_t generation_ = 0;  // number of the transfer; replies to an earlier one are ignored
  TimePoint started_at_;
  bool ready_ = false;
  bool complete_ = false;
};

}  // namespace chutevane::storage
