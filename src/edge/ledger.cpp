#include "edge/ledger.hpp"

#include <algorithm>
#include <set>

#include "common/invariant.hpp"

namespace chutevane::edge {
namespace {

using common::Turn;
using storage::ReplicaStatus;

constexpr Span ask_most = Span::ms(400);   // for one answer of storage: two ways and a sync take some ms
constexpr Span ask_again = Span::ms(15);   // where the map is about to change
constexpr Span rest_most = Span::ms(12);   // for the rest of the group after a majority: two ways and a sync,
                                           // then the majority is asked again
constexpr Span keep_hedge = Span::ms(40);  // then the next of the group is asked to keep it too
constexpr Span find_hedge = Span::ms(40);  // then the next is asked whether it has it
constexpr std::size_t chain_most = 10000;  // turns: guards against names that go round in a ring

std::size_t weight(const Turn& t) { return t.input.data.size() + t.output.data.size() + 300; }

}  // namespace

struct Ledger::Asked {
  std::string program, attempt;
  std::int64_t most = 0, budget = 0;
  TimePoint until;
  std::function<void(Granted)> done;
  std::uint64_t turn = 0;
  std::size_t yes = 0, no = 0, all = 0;
  std::map<std::string, common::Reservation> others;  // by attempt: no one of the group need know of all
  std::int64_t map = 0;
  bool over = false, again = false;  // again: a majority has it already, and is asked a second time
  net::TimerQueue::Handle rest;
  std::int64_t sum() const {
    std::int64_t out = 0;
    for (const auto& [id, r] : others) out += r.tokens;
    return out;
  }
};

struct Ledger::Keeping {
  Turn turn;
  std::int64_t used = 0;
  TimePoint until;
  std::function<void(bool)> done;
  std::uint64_t turn_number = 0;
  std::int64_t map = 0;  // of `group`: answers under two maps do not add up
  std::vector<std::size_t> group;
  std::size_t asked = 0, yes = 0, needed = 0;
  std::set<std::size_t> disks;  // places in the map of those that have it
  net::TimerQueue::Handle hedge;
  bool over = false, again_due = false;
};

struct Ledger::Seeking {
  std::string want, program, attempt;
  TimePoint until;
  std::function<void(Chain)> done;
  std::vector<std::shared_ptr<const Turn>> newest_first;
  std::vector<std::size_t> order;  // of the places to ask
  std::uint64_t turn = 0;
  std::size_t asked = 0, answered = 0, unknown = 0;
  std::int64_t map = 0;
  net::TimerQueue::Handle hedge;
  bool over = false;
};

Ledger::Ledger(net::Scheduler& scheduler, net::TimerQueue& later, std::string zone, std::size_t losses,
               std::size_t cache_most, std::uint64_t seed)
    : scheduler_(scheduler),
      timers_(later),
      zone_(std::move(zone)),
      losses_(losses),
      cache_most_(cache_most),
      seed_(seed) {}

void Ledger::map_came(std::int64_t map, const std::vector<common::StorageNode>& storage_nodes) {
  if (map <= map_) return;
  map_ = map;
  storage_nodes_ = storage_nodes;
  for (const common::StorageNode& c : storage_nodes_) link(c.address);  // stands before it is needed
}

bool Ledger::usable() const {
  const auto staying = std::count_if(storage_nodes_.begin(), storage_nodes_.end(),
                                     [](const common::StorageNode& c) { return !c.draining; });
  return static_cast<std::size_t>(staying) > losses_;
}

common::RpcClient& Ledger::link(const std::string& address) {
  auto& at = links_[address];
  if (!at) {
    const auto to = net::parse_address(address);
    at = std::make_unique<common::RpcClient>(scheduler_, timers_, to.value_or(sockaddr_in{}),
                                             seed_ ^ std::hash<std::string>()(address));
  }
  return *at;
}

std::vector<std::size_t> Ledger::group(const std::string& program) const {
  return storage::replica_group(program, storage_nodes_, losses_);
}

// ---- budgets

void Ledger::reserve(const std::string& program, const std::string& attempt, std::int64_t most,
                     std::int64_t budget, TimePoint until, std::function<void(Granted)> done) {
  auto asked = std::make_shared<Asked>();
  asked->program = program;
  asked->attempt = attempt;
  asked->most = most;
  asked->budget = budget;
  asked->until = until;
  asked->done = std::move(done);
  ask_reserve(asked);
}

// Every other reservation that was granted is at a majority of the group: one of those that answer tells it.
// No two need tell the same, so what they tell is joined by attempt.
//
// What a majority says at once does not decide: of three turns through three edges each may be told of one
// other alone, and all be granted on a budget for two. All of the group decide, since the last at any one of
// them is told of all others there; or a majority that is asked again, under the same map, once a majority
// has it: who has it later is told of it by then (docs/state.md).
void Ledger::ask_reserve(const std::shared_ptr<Asked>& asked) {
  if (asked->over) return;
  const std::vector<std::size_t> places = group(asked->program);
  const std::uint64_t turn = ++asked->turn;
  asked->again = asked->again && asked->map == map_;
  asked->map = map_;
  asked->yes = asked->no = 0;
  asked->all = places.size();
  asked->others.clear();
  timers_.cancel(asked->rest);
  const auto anew = [this, asked, turn] {
    if (asked->over || asked->turn != turn) return;
    asked->again = false;
    timers_.cancel(asked->rest);
    ++asked->turn;
    if (timers_.now() + ask_again >= asked->until) {
      asked->over = true;
      return asked->done(Granted::unclear);
    }
    timers_.after(ask_again, [this, asked] { ask_reserve(asked); });
  };
  if (places.size() <= losses_) return anew();
  const std::size_t needed = std::max(storage::quorum_size(places.size()), losses_ + 1);
  const common::ReserveRequest ask{map_, asked->program, asked->attempt, asked->most};
  const Span most = std::min(ask_most, asked->until - timers_.now());
  const auto answered = [this, asked, turn, needed, anew](absl::StatusOr<common::ReserveReply> got) {
    if (asked->over || asked->turn != turn) return;
    const bool yes = got.ok() && static_cast<ReplicaStatus>(got->verdict) == ReplicaStatus::ok;
    ++(yes ? asked->yes : asked->no);
    if (yes) {
      for (common::Reservation& r : got->others) {
        const auto [at, fresh] = asked->others.emplace(r.attempt, r);
        if (!fresh && r.committed && !at->second.committed) at->second = r;
      }
    }
    if (asked->yes == asked->all || (asked->again && asked->yes == needed)) {
      asked->over = true;
      timers_.cancel(asked->rest);
      return asked->done(asked->sum() + asked->most <= asked->budget ? Granted::yes : Granted::spent);
    }
    if (asked->all - asked->no < needed) return anew();
    if (asked->yes < needed) return;
    const auto second = [this, asked, turn] {
      if (asked->over || asked->turn != turn) return;
      asked->again = true;
      ask_reserve(asked);
    };
    if (asked->yes + asked->no == asked->all) {
      second();
    } else if (yes && asked->yes == needed) {
      asked->rest = timers_.after(rest_most, second);
    }
  };
  for (const std::size_t i : places)
    link(storage_nodes_[i].address).call<common::ReserveReply>(ask, most, answered);
}

void Ledger::settle(const std::string& program, const std::string& attempt, std::int64_t used) {
  for (const std::size_t i : group(program))
    link(storage_nodes_[i].address).send(common::CommitUsage{program, attempt, used});
}

// ---- turns

void Ledger::keep(const Turn& turn, std::int64_t used, TimePoint until, std::function<void(bool)> done) {
  auto keeping = std::make_shared<Keeping>();
  keeping->turn = turn;
  keeping->used = used;
  keeping->until = until;
  keeping->done = std::move(done);
  ask_keep(keeping);
}

// The nearest of the group first: as many as bear the losses. The rest of it only where one does not answer.
//
// All that count have it under one map. One that has it under an older map may be lost, and the disk that
// takes its place may have asked the others before they had the turn: it would lie at fewer than were
// counted.
void Ledger::ask_keep(const std::shared_ptr<Keeping>& keeping) {
  if (keeping->over) return;
  if (timers_.now() >= keeping->until) {
    keeping->over = true;
    return keeping->done(false);
  }
  ++keeping->turn_number;
  keeping->map = map_;
  keeping->again_due = false;
  keeping->group = group(keeping->turn.program);
  std::stable_partition(keeping->group.begin(), keeping->group.end(),
                        [&](std::size_t i) { return storage_nodes_[i].zone == zone_; });
  keeping->asked = keeping->yes = 0;
  keeping->disks.clear();
  keeping->needed = std::max(storage::quorum_size(keeping->group.size()), losses_ + 1);
  timers_.cancel(keeping->hedge);
  if (keeping->group.size() < keeping->needed) {
    timers_.after(ask_again, [this, keeping] { ask_keep(keeping); });
    return;
  }
  for (std::size_t n = 0; n < keeping->needed; ++n) keep_at(keeping, keeping->group[keeping->asked++]);
  // The others hear what it came to: their count of the budget is no less than it is.
  for (std::size_t n = keeping->needed; n < keeping->group.size(); ++n) {
    if (keeping->used >= 0)
      link(storage_nodes_[keeping->group[n]].address)
          .send(common::CommitUsage{keeping->turn.program, keeping->turn.id, keeping->used});
  }
  const auto hedge = [this, keeping] {
    if (!keeping->over && keeping->map != map_) return ask_keep(keeping);
    while (!keeping->over && keeping->asked < keeping->group.size())
      keep_at(keeping, keeping->group[keeping->asked++]);
  };
  keeping->hedge = timers_.after(keep_hedge, hedge);
}

void Ledger::keep_at(const std::shared_ptr<Keeping>& keeping, std::size_t place) {
  const std::uint64_t turn = keeping->turn_number;
  const Span most = std::min(ask_most, std::max(keeping->until - timers_.now(), Span::ms(1)));
  link(storage_nodes_[place].address)
      .call<common::StoreTurnReply>(
          common::StoreTurnRequest{map_, keeping->turn, keeping->used}, most,
          [this, keeping, turn, place](absl::StatusOr<common::StoreTurnReply> got) {
            if (keeping->over || keeping->turn_number != turn) return;
            if (keeping->map != map_) return ask_keep(keeping);
            if (got.ok() && static_cast<ReplicaStatus>(got->verdict) == ReplicaStatus::ok) {
              keeping->disks.insert(place);
              if (++keeping->yes < keeping->needed) return;
              check_kept(*keeping);
              keeping->over = true;
              timers_.cancel(keeping->hedge);
              remember(keeping->turn);
              return keeping->done(true);
            }
            if (keeping->asked < keeping->group.size()) {
              keep_at(keeping, keeping->group[keeping->asked++]);
            } else if (!std::exchange(keeping->again_due, true)) {
              timers_.after(ask_again, [this, keeping] { ask_keep(keeping); });
            }
          });
}

void Ledger::check_kept(const Keeping& keeping) const {
  common::check_invariant(
      common::Invariant::kept_by_enough_disks, keeping.disks.size() > losses_ && keeping.map == map_, [&] {
        return keeping.turn.id + " at " + std::to_string(keeping.disks.size()) + " disks, map " +
               std::to_string(keeping.map) + " of " + std::to_string(map_);
      });
}

void Ledger::remember(Turn turn) {
  const std::string id = turn.id;
  if (cache_.contains(id)) return;
  cached_bytes_ += weight(turn);
  order_.push_front(id);
  const TimePoint until = timers_.now() + Span::ms(static_cast<double>(turn.retention_ms));
  cache_[id] = {std::make_shared<const Turn>(std::move(turn)), until, order_.begin()};
  while (cached_bytes_ > cache_most_ && order_.size() > 1) {
    const auto last = cache_.find(order_.back());
    cached_bytes_ -= weight(*last->second.turn);
    cache_.erase(last);
    order_.pop_back();
  }
}

std::shared_ptr<const Turn> Ledger::recall(const std::string& id) {
  const auto found = cache_.find(id);
  if (found == cache_.end()) return nullptr;
  Cached& c = found->second;
  order_.splice(order_.begin(), order_, c.place);
  return c.turn;
}

void Ledger::find(const std::string& id, const std::string& program, const std::string& attempt,
                  TimePoint until, std::function<void(Chain)> done) {
  auto seeking = std::make_shared<Seeking>();
  seeking->want = id;
  seeking->program = program;
  seeking->attempt = attempt;
  seeking->until = until;
  seeking->done = std::move(done);
  seek(seeking);
}

// From the newest on: what is here first, then what storage has of the rest.
void Ledger::seek(const std::shared_ptr<Seeking>& seeking) {
  if (seeking->over) return;
  const auto finish = [&](Sought verdict) {
    seeking->over = true;
    timers_.cancel(seeking->hedge);
    Chain out;
    out.verdict = verdict;
    out.turns.assign(seeking->newest_first.rbegin(), seeking->newest_first.rend());
    seeking->done(std::move(out));
  };
  while (!seeking->want.empty()) {
    const auto here = recall(seeking->want);
    if (!here) break;
    seeking->newest_first.push_back(here);
    seeking->want = here->previous;
    if (seeking->newest_first.size() > chain_most) return finish(Sought::unsure);
  }
  if (seeking->want.empty()) return finish(Sought::whole);
  if (timers_.now() >= seeking->until) return finish(Sought::unsure);
  ++seeking->turn;
  seeking->asked = seeking->answered = seeking->unknown = 0;
  seeking->map = map_;
  seeking->order = group(seeking->program);
  std::stable_partition(seeking->order.begin(), seeking->order.end(),
                        [&](std::size_t i) { return storage_nodes_[i].zone == zone_; });
  for (std::size_t i = 0; i < storage_nodes_.size(); ++i) {
    if (std::find(seeking->order.begin(), seeking->order.end(), i) == seeking->order.end())
      seeking->order.push_back(i);
  }
  if (seeking->order.empty()) {
    timers_.after(ask_again, [this, seeking] { seek(seeking); });
    return;
  }
  seek_at(seeking, 0);
}

void Ledger::seek_at(const std::shared_ptr<Seeking>& seeking, std::size_t which) {
  if (seeking->over || which != seeking->asked) return;
  if (seeking->map != map_) return seek(seeking);  // its places are those of another map
  if (which >= seeking->order.size()) return;
  ++seeking->asked;
  // It is told by its time, also where nobody answers.
  const Span most = std::clamp(seeking->until - timers_.now(), Span::ms(1), ask_most);
  const std::uint64_t turn = seeking->turn;
  timers_.cancel(seeking->hedge);
  seeking->hedge = timers_.after(find_hedge, [this, seeking, turn, which] {
    if (seeking->turn == turn) seek_at(seeking, which + 1);
  });
  link(storage_nodes_[seeking->order[which]].address)
      .call<common::FindTurnReply>(common::FindTurnRequest{seeking->map, seeking->want, seeking->attempt},
                                   most, [this, seeking, turn](absl::StatusOr<common::FindTurnReply> got) {
                                     sought(seeking, turn, std::move(got));
                                   });
}

void Ledger::sought(const std::shared_ptr<Seeking>& seeking, std::uint64_t turn,
                    absl::StatusOr<common::FindTurnReply> got) {
  if (seeking->over || seeking->turn != turn) return;
  ++seeking->answered;
  if (got.ok() && !got->turns.empty()) {
    for (Turn& t : got->turns) remember(std::move(t));
    seek(seeking);
    return;
  }
  if (got.ok() && static_cast<ReplicaStatus>(got->verdict) == ReplicaStatus::not_found) ++seeking->unknown;
  // Whoever was answered whole with it, it lay at more than the losses: so many that have not got it prove
  // that there is none.
  if (seeking->unknown + losses_ >= seeking->order.size() && seeking->unknown > 0 && seeking->map == map_) {
    seeking->over = true;
    timers_.cancel(seeking->hedge);
    seeking->done({Sought::unknown, {}});
    return;
  }
  if (seeking->answered == seeking->order.size()) {  // not certain yet
    ++seeking->turn;
    const Span rest = std::max(seeking->until - timers_.now(), Span());
    timers_.after(std::min(ask_again * 3, rest), [this, seeking] { seek(seeking); });
    return;
  }
  seek_at(seeking, seeking->asked);
}

}  // namespace chutevane::edge
