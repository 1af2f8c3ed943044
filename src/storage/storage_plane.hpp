// A storage sidecar: answers edges from its store, under the map that control has pushed, and takes over what
// is its own by a new map from the others before it answers under it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "market/disk_health.hpp"
#include "market/link.hpp"
#include "market/process.hpp"
#include "market/session.hpp"
#include "market/settings.hpp"
#include "storage/placement.hpp"
#include "storage/store.hpp"

namespace chutevane::storage {

class StoragePlane final : public market::Plane {
 public:
  StoragePlane(net::Scheduler& scheduler, const market::ProcessSettings& settings,
               std::unique_ptr<market::Disk> disk);
  absl::Status open() override;
  void leave() override;
  bool finished() const override { return finished_; }
  void reread(const market::ProcessSettings& settings) override { sessions_->reread(settings); }

 private:
  using Guest = market::Desk::Guest;
  // Taking over from one other: accounts first, then the names of turns, then those that are not here.
  struct Taking {
    std::string address;
    bool accounts_done = false, done = false, given_up = false;
    TimePoint since;
    std::string after;
    std::vector<std::string> wanted;
    std::uint64_t turn = 0;
  };

  void listen();
  void value_came(const market::Value& value);
  void take_over(const std::vector<market::StorageNode>& before);
  void ask(const std::string& node);
  void pulled(const std::string& node, std::uint64_t turn, absl::StatusOr<market::Pulled> got);
  void look_ready();
  void note_held();
  Verdict check(std::int64_t map) const;
  // Once the whole chain of the turn is here, or none of the others has what is missing: a turn is kept with
  // all that it goes on from, so that these have its time here too.
  struct ChainFetch;
  void with_chain(const market::Turn& turn, std::function<void()> then);
  void fetch_chain(const std::shared_ptr<ChainFetch>& fetch);
  void fetched(const std::shared_ptr<ChainFetch>& fetch, absl::StatusOr<market::Found> got);
  // Once what was written before is on disk.
  void when_synced(std::function<void()> then);
  void sync();
  void answer_pull(Guest& guest, std::uint64_t number, const market::Pull& ask);
  market::Link& link(const std::string& address);
  void sweep();
  // Whether the others have taken over what is here, or are too few to.
  bool may_go() const;
  void go_when_released(TimePoint latest);

  net::Scheduler& scheduler_;
  market::ProcessSettings settings_;
  net::Later later_;
  std::unique_ptr<market::Disk> disk_;
  market::Slots record_slots_;
  market::StorageNodeRecord record_;
  Store store_;
  market::DiskHealth disk_health_;
  market::Desk desk_;
  std::unique_ptr<market::Sessions> sessions_;
  std::map<std::string, std::unique_ptr<market::Link>> links_;  // by address
  std::vector<market::StorageNode> storage_nodes_;
  std::int64_t map_ = 0;
  bool ready_ = false, whole_ = false, leaving_ = false, finished_ = false;
  // How many of the others may be left out of the take-over under way: none, where a copy was lost already.
  std::size_t may_miss_ = 0;
  TimePoint takeover_since_;
  std::map<std::string, Taking> taking_;  // by node
  std::uint64_t turn_ = 0;
  std::vector<std::function<void()>> synced_;
  bool sync_due_ = false;
};

}  // namespace chutevane::storage
