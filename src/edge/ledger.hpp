// What a sidecar of the traffic asks of storage: budgets set aside before a turn runs, turns kept before
// their answer ends, and chains found again. docs/state.md has why a majority of a program's group is enough.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/messages.hpp"
#include "common/rpc.hpp"
#include "storage/placement.hpp"

namespace chutevane::edge {

class Ledger {
 public:
  enum class Granted : std::uint8_t { yes, spent, unclear };
  enum class Sought : std::uint8_t { whole, unknown, unsure };

  Ledger(net::Scheduler& scheduler, net::TimerQueue& later, std::string zone, std::size_t losses,
         std::size_t cache_most, std::uint64_t seed);
  void map_came(std::int64_t map, const std::vector<common::StorageNode>& storage_nodes);
  bool usable() const;  // enough storage sidecars are known for copies that bear the losses

  // Sets `most` tokens aside, unless others of the program have too much of the budget. Until `until`.
  void reserve(const std::string& program, const std::string& attempt, std::int64_t most, std::int64_t budget,
               TimePoint until, std::function<void(Granted)> done);
  // The turn has not run, and will not.
  void release(const std::string& program, const std::string& attempt) { settle(program, attempt, 0); }
  void settle(const std::string& program, const std::string& attempt, std::int64_t used);
  // True once enough have it on disk.
  void keep(const common::Turn& turn, std::int64_t used, TimePoint until, std::function<void(bool)> done);

  // The turn and all before it, the oldest first.
  struct Chain {
    Sought verdict = Sought::unsure;
    std::vector<std::shared_ptr<const common::Turn>> turns;
  };
  // `attempt`: of the request that asks, for logs.
  void find(const std::string& id, const std::string& program, const std::string& attempt, TimePoint until,
            std::function<void(Chain)> done);
  std::size_t cached() const { return cache_.size(); }
  std::int64_t map() const { return map_; }

 private:
  struct Asked;
  struct Keeping;
  struct Seeking;
  void ask_reserve(const std::shared_ptr<Asked>& asked);
  void ask_keep(const std::shared_ptr<Keeping>& keeping);
  void keep_at(const std::shared_ptr<Keeping>& keeping, std::size_t place);
  void check_kept(const Keeping& keeping) const;
  void seek(const std::shared_ptr<Seeking>& seeking);
  void seek_at(const std::shared_ptr<Seeking>& seeking, std::size_t which);
  void sought(const std::shared_ptr<Seeking>& seeking, std::uint64_t turn,
              absl::StatusOr<common::FindTurnReply> got);
  std::vector<std::size_t> group(const std::string& program) const;
  common::RpcClient& link(const std::string& address);
  void remember(common::Turn turn);
  std::shared_ptr<const common::Turn> recall(const std::string& id);

  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const std::string zone_;
  const std::size_t losses_, cache_most_;
  const std::uint64_t seed_;
  std::int64_t map_ = 0;
  std::vector<common::StorageNode> storage_nodes_;
  std::map<std::string, std::unique_ptr<common::RpcClient>> links_;
  struct Cached {
    std::shared_ptr<const common::Turn> turn;
    TimePoint until;
    std::list<std::string>::iterator place;
  };
  std::unordered_map<std::string, Cached> cache_;
  std::list<std::string> order_;  // the newest used first
  std::size_t cached_bytes_ = 0;
};

}  // namespace chutevane::edge
