/// State transfer: how a storage node gets, from its peers, what a new storage map assigns to it.
///
/// A change of the map may assign programs to a node that has none of their turns and accounts: one that is
/// new, whose disk was replaced, that was away, or that takes the place of another in their replica groups.
/// Under the new map it must not answer as if it had them. It asks every other node of the map, its
/// *sources*, with PullRequests, and reaches two levels of completeness:
///
/// - *ready*: it has all accounts that are its own, and may answer reservations. An account that lacked
///   entries would let a program exceed its budget.
/// - *complete*: it has all turns too, and may say that there is no such turn (`not_found`). Controllers are
///   told, and the level is durable (storage/served_map_record.hpp), so that a restart does not transfer all
///   again.
///
/// Each source is sent one request at a time, in phases:
///
/// 1. Accounts, in the order of their programs, until a reply is marked as the last part of the list.
/// 2. Ids of turns, in their order, likewise. Ids that are missing here are noted, and before the list goes
///    on those turns are requested, max_turns_per_request at a time.
///
/// Each reply is made durable before the next request. A source answers only under the same map as this node,
/// and from then on it accepts nothing under an earlier one. So the transfer meets whatever a majority has
/// accepted under earlier maps, and what is accepted under this map is sent to this node, too. A source that
/// goes by another map, or does not answer, is asked again; its list of ids begins anew, because turns may
/// have been added before the position that was reached.
///
/// Not every source is needed. What counts as stored has more replicas than losses are tolerated, so as many
/// sources as there may be losses can be left out, less the replicas that may be missing already: those of
/// lost disks, and of nodes that were removed from the map while they did not answer
/// (common::missing_replicas). A source is left out once it has been silent for source_silence_timeout. Where
/// more replicas are missing than losses are tolerated the transfer cannot end under this map. The models
/// model/budget.pml, model/absent.pml and model/retire.pml check this in every order of steps.
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

/// Runs on the event loop's thread. All references outlive this object.
class StateTransfer {
 public:
  /// What a transfer works with.
  struct Environment {
    net::TimerQueue& timers;
    ReplicaStore& store;
    GroupCommit& group_commit;
    PeerClients& peers;
    const ServedMap& map;
    const std::string& own_node;
  };
  /// `on_complete` is called from start() or later, each time that the node becomes complete by a transfer.
  StateTransfer(Environment environment, std::function<void()> on_complete)
      : env_(environment), on_complete_(std::move(on_complete)) {}

  /// Begins anew, under the map as it is now; a transfer under way is given up, what it has brought stays.
  /// `max_skipped_sources`: tolerated losses less missing replicas; negative: the transfer cannot end.
  void start(std::int64_t max_skipped_sources);
  /// Gives up a transfer under way: the map assigns nothing to this node. It is neither ready nor complete.
  void cancel();
  /// The node was complete under this very map before its process was restarted.
  void resume_complete();

  bool is_ready() const { return ready_; }
  bool is_complete() const { return complete_; }
  /// As many sources as are needed have sent everything. Holds whenever the node is complete by a transfer.
  bool has_enough_sources() const;
  /// Of the transfer under way, or the last one.
  std::size_t source_count() const { return sources_.size(); }
  /// For logs.
  std::string describe() const;

 private:
  enum class Phase : std::uint8_t { accounts, turns, done };
  /// The state of the transfer from one other node.
  struct Source {
    std::string address;
    Phase phase = Phase::accounts;
    std::string after;                       // position in the list of the phase
    std::vector<std::string> missing_turns;  // ids that were listed, are not here and were not requested yet
    TimePoint last_heard;                    // any reply counts, also one that refuses
    bool timed_out = false;                  // silent for too long: skipped where that is allowed
  };
  /// Sources, counted by what they have sent. Those that have timed out are not awaited.
  struct Progress {
    std::size_t with_accounts = 0;  // sources that have sent all accounts
    std::size_t with_turns = 0;     // ... and all turns
    std::size_t awaited_for_accounts = 0;
    std::size_t awaited_for_turns = 0;
  };

  void request_next(const std::string& node);
  /// Takes the requested ids out of `source.missing_turns`.
  common::PullRequest next_request(Source& source) const;
  void on_reply(const std::string& node, std::uint64_t generation,
                const absl::StatusOr<common::PullReply>& reply);
  /// Asks again after an interval. `answered`: the source has refused; otherwise it did not answer in time.
  void on_refusal(const std::string& node, Source& source, bool answered);
  /// Takes what a reply brings into the store.
  void store_reply(const common::PullReply& reply);
  static void advance_accounts(Source& source, const common::PullReply& reply);
  void advance_turns(Source& source, const common::PullReply& reply) const;
  Progress progress() const;
  bool is_enough(std::size_t sources_done) const;
  /// Reaches a level once no source is awaited for it and enough have sent what it takes.
  void update_completeness();

  const Environment env_;
  const std::function<void()> on_complete_;
  std::map<std::string, Source> sources_;  // by node
  std::int64_t max_skipped_sources_ = 0;
  std::uint64_t generation_ = 0;  // of the transfer: replies to an earlier one are ignored
  TimePoint started_at_;
  bool ready_ = false;
  bool complete_ = false;
};

}  // namespace chutevane::storage
