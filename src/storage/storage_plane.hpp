// A storage sidecar: answers edges from its store, under the map that control has pushed, and takes over what
// is its own by a new map from the others before it answers under it.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/control_sessions.hpp"
#include "common/disk.hpp"
#include "common/disk_health.hpp"
#include "common/durable_state.hpp"
#include "common/invariant.hpp"
#include "common/process.hpp"
#include "common/rate_limited_log.hpp"
#include "common/rpc.hpp"
#include "common/settings.hpp"
#include "storage/placement.hpp"
#include "storage/store.hpp"

namespace chutevane::storage {

class StoragePlane final : public common::Plane {
 public:
  StoragePlane(net::Scheduler& scheduler, const common::ProcessSettings& settings,
               std::unique_ptr<common::Disk> disk);
  absl::Status open() override;
  void begin_shutdown() override;
  bool finished() const override { return finished_; }
  void reload(const common::ProcessSettings& settings) override { sessions_->reload(settings); }
  void write_metrics(common::MetricsWriter& out) override;

 private:
  using Connection = common::RpcServer::Connection;
  // Taking over from one other: accounts first, then the names of turns, then those that are not here.
  struct Taking {
    std::string address;
    bool accounts_done = false, done = false, given_up = false;
    TimePoint since;
    std::string after;
    std::vector<std::string> wanted;
    std::uint64_t turn = 0;
  };

  // What edges ask for.
  enum class Asked : std::uint8_t { reserve, keep, find };
  static constexpr std::size_t asked_kinds = static_cast<std::size_t>(Asked::find) + 1;
  static std::string_view name_of(Asked asked);
  static std::string_view name_of(ReplicaStatus verdict) { return storage::name_of(verdict); }

  absl::Status open_map_record();
  void listen();
  // Once what was written before is on disk, where the caller is still there.
  template <class M>
  void answer_when_synced(const Connection& connection, std::uint64_t number, M message) {
    when_synced([this, id = connection.id(), number, message = std::move(message)] {
      common::check_invariant(common::Invariant::answered_after_sync, !store_.dirty(),
                              [] { return std::string("records are not on disk yet"); });
      if (Connection* const there = rpc_server_.find(id)) there->reply(number, message);
    });
  }
  bool joining() const;
  ReplicaStatus verdict_on_missing(std::int64_t asked_map) const;
  bool take_over_is_done() const;
  std::string describe_take_over() const;
  void note_answer(Asked asked, ReplicaStatus verdict, const std::string& attempt, std::int64_t map);
  void counter_of_syncs(common::MetricsWriter& out) const;
  void value_came(const common::RegisterValue& value);
  void take_over(const std::vector<common::StorageNode>& before);
  void ask(const std::string& node);
  void pulled(const std::string& node, std::uint64_t turn, absl::StatusOr<common::PullReply> got);
  void look_ready();
  // Whether this disk had all that is its own by this map before the process was started anew. It goes on
  // then as one that was silent for a while: what it has missed, others of each group have (docs/state.md).
  bool was_whole() const;
  // Before anything is answered by a map it is on disk: a process that is started anew and hears of an older
  // one does not go by that. Until it is written nothing is answered.
  void write_map_record(std::int64_t map, bool whole);
  void write_map_record_again();
  ReplicaStatus check(std::int64_t map) const;
  // Once the whole chain of the turn is here, or none of the others has what is missing: a turn is kept with
  // all that it goes on from, so that these have its time here too.
  struct ChainFetch;
  void with_chain(const common::Turn& turn, std::function<void()> then);
  void fetch_chain(const std::shared_ptr<ChainFetch>& fetch);
  void fetched(const std::shared_ptr<ChainFetch>& fetch, absl::StatusOr<common::FindTurnReply> got);
  // Once what was written before is on disk.
  void when_synced(std::function<void()> then);
  void sync();
  void answer_pull(Connection& connection, std::uint64_t number, const common::PullRequest& ask);
  common::RpcClient& link(const std::string& address);
  void sweep();
  // Whether the others have taken over what is here, or are too few to.
  bool may_go() const;
  void go_when_released(TimePoint latest);

  net::Scheduler& scheduler_;
  common::ProcessSettings settings_;
  net::TimerQueue timers_;
  std::unique_ptr<common::Disk> disk_;
  common::DurableState record_slots_;
  common::StorageNodeRecord record_;
  common::DurableState map_slots_;
  common::MapRecord map_record_;  // as it is on disk, or is to be
  bool map_record_due_ = false;   // ... and is not there yet
  Store store_;
  common::DiskHealth disk_health_;
  common::RpcServer rpc_server_;
  std::unique_ptr<common::ControlSessions> sessions_;
  std::map<std::string, std::unique_ptr<common::RpcClient>> links_;  // by address
  std::vector<common::StorageNode> storage_nodes_;
  std::int64_t map_ = 0;
  bool ready_ = false, whole_ = false, leaving_ = false, finished_ = false;
  // How many of the others may be left out of the take-over under way: those that may be lost, less the
  // copies that are missing already. Below 0 it can't end by this map.
  std::int64_t may_miss_ = 0;
  TimePoint takeover_since_;
  std::map<std::string, Taking> taking_;  // by node
  std::uint64_t turn_ = 0;
  std::vector<std::function<void()>> synced_;
  bool sync_due_ = false;
  // For the figures and logs.
  static constexpr int refusal_lines_most = 10;  // a second
  std::array<std::array<std::uint64_t, replica_status_count>, asked_kinds> answers_{};
  common::RateLimitedLog refusals_{"storage.refused", refusal_lines_most};
  std::uint64_t syncs_ = 0;
  Span sync_time_;
};

}  // namespace chutevane::storage
