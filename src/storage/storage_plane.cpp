#include "storage/storage_plane.hpp"

#include <utility>

#include "common/disk.hpp"
#include "common/invariant.hpp"
#include "common/log.hpp"

namespace chutevane::storage {
namespace {

using common::Turn;

constexpr Span disk_again = Span::ms(100);      // between tries of a disk that fails
constexpr Span chain_most = Span::ms(60);       // for another's answer with what a chain lacks here
constexpr std::size_t chain_bytes = 4U << 20U;  // of one answer to an edge
constexpr Span leave_again = Span::ms(50);      // between looks whether the map still names a leaving one
constexpr Span last_words = Span::ms(200);      // for what is still to be sent
constexpr Span grace_spare = Span::ms(600);     // before the platform ends it by force
constexpr double store_part = 0.5;              // of the memory: the rest is for what comes and goes

std::size_t room_of(const common::ProcessSettings& s) {
  double mb = s.memory_mb > 0 ? s.memory_mb * store_part : 1e6;
  if (s.disk_mb > 0) mb = std::min(mb, s.disk_mb * store_part);
  return static_cast<std::size_t>(mb * 1e6);
}

}  // namespace

StoragePlane::StoragePlane(net::Scheduler& scheduler, const common::ProcessSettings& settings,
                           std::unique_ptr<common::Disk> disk)
    : scheduler_(scheduler),
      settings_(settings),
      timers_(scheduler),
      disk_(std::move(disk)),
      record_slots_(*disk_, "storage"),
      map_slots_(*disk_, "map"),
      store_(*disk_, room_of(settings)),
      rpc_server_(scheduler) {}

absl::Status StoragePlane::open() {
  const auto got = record_slots_.recover();
  if (got.ok()) {
    if (!common::decode(got->checkpoint, record_)) return absl::DataLossError("storage: record not read");
  } else {
    if (!absl::IsNotFound(got.status()) && !absl::IsDataLoss(got.status())) return got.status();
    record_.disk = disk_->generate_id();
    if (absl::Status s = record_slots_.write_checkpoint(common::encoded(record_)); !s.ok()) return s;
  }
  if (absl::Status s = open_map_record(); !s.ok()) return s;
  if (absl::Status s = store_.open(timers_.now()); !s.ok()) return s;
  listen();
  common::Member self;
  self.node = settings_.node;
  self.plane = "storage";
  self.disk = record_.disk;
  self.address = net::text_of(settings_.internal_address(common::storage_plane_port));
  self.zone = settings_.zone;
  self.counted = settings_.loss_counted;
  sessions_ = std::make_unique<common::ControlSessions>(scheduler_, timers_, settings_, self);
  sessions_->on_value([this](const common::RegisterValue& value) { value_came(value); });
  sweep();
  common::log_info("storage.open", "disk " + record_.disk + ", " + std::to_string(store_.turns()) +
                                       " turns, " + std::to_string(store_.accounts()) + " accounts");
  return absl::OkStatus();
}

// One that can't be read says nothing: it takes over anew.
absl::Status StoragePlane::open_map_record() {
  const auto got = map_slots_.recover();
  const bool none = absl::IsNotFound(got.status()) || absl::IsDataLoss(got.status());
  if (!got.ok() && !none) return got.status();
  const bool read = got.ok() && common::decode(got->checkpoint, map_record_);
  if (!read || map_record_.disk != record_.disk) map_record_ = {record_.disk, 0, false};
  return absl::OkStatus();
}

ReplicaStatus StoragePlane::check(std::int64_t map) const {
  if (map < map_) return ReplicaStatus::caller_map_stale;
  if (map > map_) return ReplicaStatus::replica_map_stale;
  return ReplicaStatus::ok;
}

void StoragePlane::when_synced(std::function<void()> then) {
  synced_.push_back(std::move(then));
  if (sync_due_) return;
  sync_due_ = true;
  // All that comes in the same turn goes to disk at once.
  timers_.after(Span(), [this] { sync(); });
}

// What waits for a disk that fails is told once it works again; nothing else is taken up meanwhile.
void StoragePlane::sync() {
  const bool worked = disk_health_.is_healthy();
  const TimePoint began = timers_.now();
  const absl::Status committed = store_.commit(began);
  ++syncs_;
  sync_time_ = sync_time_ + (timers_.now() - began);
  if (!disk_health_.record_outcome(committed)) {
    if (worked) sessions_->report_disk_failing(true);
    timers_.after(disk_again, [this] { sync(); });
    return;
  }
  if (!worked) sessions_->report_disk_failing(false);
  sync_due_ = false;
  std::vector<std::function<void()>> told;
  told.swap(synced_);
  for (const auto& one : told) one();
}

void StoragePlane::listen() {
  rpc_server_.on<common::ReserveRequest>(
      [this](Connection& connection, std::uint64_t number, common::ReserveRequest& ask) {
        common::ReserveReply out;
        out.map_version = map_;
        ReplicaStatus verdict = check(ask.map_version);
        if (verdict == ReplicaStatus::ok && (!ready_ || map_record_due_ || store_.failing()))
          verdict = ReplicaStatus::not_ready;
        out.verdict = static_cast<std::int64_t>(verdict);
        note_answer(Asked::reserve, verdict, ask.attempt, ask.map_version);
        if (verdict != ReplicaStatus::ok) return connection.reply(number, out);
        out.others = store_.reserve(ask.program, ask.attempt, ask.max_tokens, timers_.now());
        answer_when_synced(connection, number, std::move(out));
      });
  rpc_server_.on<common::CommitUsage>([this](Connection&, std::uint64_t, common::CommitUsage& word) {
    store_.settle(word.program, word.attempt, word.used_tokens, timers_.now());
    when_synced([] {});
  });
  rpc_server_.on<common::StoreTurnRequest>(
      [this](Connection& connection, std::uint64_t number, common::StoreTurnRequest& ask) {
        common::StoreTurnReply out;
        out.map_version = map_;
        ReplicaStatus verdict = check(ask.map_version);
        if (verdict == ReplicaStatus::ok && ((joining() && !ready_) || map_record_due_))
          verdict = ReplicaStatus::not_ready;
        if (verdict == ReplicaStatus::ok && (store_.failing() || !store_.keep(ask.turn, timers_.now())))
          verdict = ReplicaStatus::out_of_capacity;
        out.verdict = static_cast<std::int64_t>(verdict);
        note_answer(Asked::keep, verdict, ask.turn.id, ask.map_version);
        if (verdict != ReplicaStatus::ok) return connection.reply(number, out);
        if (ask.used_tokens >= 0)
          store_.settle(ask.turn.program, ask.turn.id, ask.used_tokens, timers_.now());
        const std::uint64_t id = connection.id();
        with_chain(ask.turn, [this, id, number, out] {
          if (const Connection* const there = rpc_server_.find(id)) answer_when_synced(*there, number, out);
        });
      });
  rpc_server_.on<common::FindTurnRequest>([this](Connection& connection, std::uint64_t number,
                                                 common::FindTurnRequest& ask) {
    common::FindTurnReply out;
    out.map_version = map_;
    for (const Turn* t : store_.chain(ask.id, chain_bytes, timers_.now())) out.turns.push_back(*t);
    const ReplicaStatus verdict = out.turns.empty() ? verdict_on_missing(ask.map_version) : ReplicaStatus::ok;
    out.verdict = static_cast<std::int64_t>(verdict);
    note_answer(Asked::find, verdict, ask.attempt, ask.map_version);
    connection.reply(number, out);
  });
  rpc_server_.on<common::PullRequest>(
      [this](Connection& connection, std::uint64_t number, common::PullRequest& ask) {
        answer_pull(connection, number, ask);
      });
  rpc_server_.listen(settings_.internal_listen_address(common::storage_plane_port));
}

std::string_view StoragePlane::name_of(Asked asked) {
  switch (asked) {
    case Asked::reserve: return "reserve";
    case Asked::keep: return "keep";
    case Asked::find: return "find";
  }
  return "";
}

// It has come in by a map that others may not have yet. Until it has taken over from enough of them, so many
// may lag that an edge which lags as well would believe them that there is no such turn: what it keeps does
// not count.
bool StoragePlane::joining() const {
  return std::any_of(storage_nodes_.begin(), storage_nodes_.end(), [&](const common::StorageNode& c) {
    return c.node == settings_.node && c.bootstrapping;
  });
}

// Of a turn that is not here.
ReplicaStatus StoragePlane::verdict_on_missing(std::int64_t asked_map) const {
  const ReplicaStatus at = check(asked_map);
  if (at != ReplicaStatus::ok) return at;
  const ReplicaStatus verdict = whole_ ? ReplicaStatus::not_found : ReplicaStatus::indeterminate;
  common::check_invariant(common::Invariant::unknown_only_when_whole,
                          verdict != ReplicaStatus::not_found || take_over_is_done(),
                          [&] { return "map " + std::to_string(map_) + ", " + describe_take_over(); });
  return verdict;
}

// Whether as many sources have told all as have to.
bool StoragePlane::take_over_is_done() const {
  std::int64_t done = 0;
  for (const auto& [node, t] : taking_) done += t.done ? 1 : 0;
  return done + may_miss_ >= static_cast<std::int64_t>(taking_.size());
}

std::string StoragePlane::describe_take_over() const {
  std::size_t accounts = 0, turns = 0;
  for (const auto& [node, t] : taking_) {
    accounts += t.accounts_done ? 1 : 0;
    turns += t.done ? 1 : 0;
  }
  return std::string(whole_   ? "whole"
                     : ready_ ? "ready"
                              : "taking over") +
         ", sources " + std::to_string(taking_.size()) + ", told accounts " + std::to_string(accounts) +
         ", told turns " + std::to_string(turns) + ", may miss " + std::to_string(may_miss_);
}

// What is not answered as asked is told with the attempt that it was for, at a bounded rate. A turn that is
// not there is the common answer to those who ask for one, and told by the edge where it matters.
void StoragePlane::note_answer(Asked asked, ReplicaStatus verdict, const std::string& attempt,
                               std::int64_t map) {
  ++answers_[static_cast<std::size_t>(asked)][static_cast<std::size_t>(verdict)];
  if (verdict == ReplicaStatus::ok || verdict == ReplicaStatus::not_found) return;
  if (!refusals_.admits(timers_.now())) return;
  refusals_.line("id=" + (attempt.empty() ? "none" : attempt) + " asked=" + std::string(name_of(asked)) +
                 " verdict=" + std::string(name_of(verdict)) + " asked_map=" + std::to_string(map) +
                 " map=" + std::to_string(map_) + " state=" + describe_take_over());
}

void StoragePlane::write_metrics(common::MetricsWriter& out) {
  using Type = common::MetricsWriter::Type;
  const auto gauge = [&](std::string_view name, std::string_view unit, std::string_view help, double value) {
    out.gauge(name, unit, help, value);
  };
  out.begin(Type::counter, "chutevane_storage_answers", "",
            "Answers to edges, by what was asked and the verdict.");
  for (std::size_t a = 0; a < asked_kinds; ++a) {
    for (std::size_t v = 0; v < replica_status_count; ++v) {
      if (answers_[a][v] > 0)
        out.sample(
            static_cast<double>(answers_[a][v]),
            {{"asked", name_of(static_cast<Asked>(a))}, {"verdict", name_of(static_cast<ReplicaStatus>(v))}});
    }
  }
  gauge("chutevane_storage_turns", "", "Turns held.", static_cast<double>(store_.turns()));
  gauge("chutevane_storage_accounts", "", "Accounts of programs held.",
        static_cast<double>(store_.accounts()));
  gauge("chutevane_storage_bytes", "bytes", "Turns in memory and on disk.",
        static_cast<double>(store_.bytes()));
  gauge("chutevane_storage_map", "", "Number of the map of storage nodes.", static_cast<double>(map_));
  gauge("chutevane_storage_nodes", "", "Storage nodes in that map.",
        static_cast<double>(storage_nodes_.size()));
  gauge("chutevane_storage_ready", "", "1 where accounts are complete by that map.", ready_ ? 1 : 0);
  gauge("chutevane_storage_whole", "", "1 where turns are complete by that map.", whole_ ? 1 : 0);
  gauge("chutevane_storage_sources", "", "Other nodes of the take-over under way, or of the last one.",
        static_cast<double>(taking_.size()));
  counter_of_syncs(out);
  gauge("chutevane_disk_failing", "", "1 while the disk takes nothing.", store_.failing() ? 1 : 0);
  gauge("chutevane_control_sessions", "", "Sessions with control that stand.",
        static_cast<double>(sessions_->usable_count()));
  gauge("chutevane_knowledge_age_seconds", "seconds", "Age of what is known from control.",
        sessions_->knowledge_age().as_ms() / 1000);
}

void StoragePlane::counter_of_syncs(common::MetricsWriter& out) const {
  out.counter("chutevane_disk_syncs", "", "Syncs of the disk.", static_cast<double>(syncs_));
  out.counter("chutevane_disk_sync_seconds", "seconds", "Time in syncs of the disk.",
              sync_time_.as_ms() / 1000);
}

// ---- chains

struct StoragePlane::ChainFetch {
  common::Turn turn;
  std::function<void()> then;
  std::vector<std::string> sources;  // addresses that were not asked yet for what is missing now
  std::string missing;
};

void StoragePlane::with_chain(const Turn& turn, std::function<void()> then) {
  if (store_.first_missing(turn.id).empty()) return then();
  auto fetch = std::make_shared<ChainFetch>();
  fetch->turn = turn;
  fetch->then = std::move(then);
  fetch_chain(fetch);
}

void StoragePlane::fetch_chain(const std::shared_ptr<ChainFetch>& fetch) {
  const std::string missing = store_.first_missing(fetch->turn.id);
  if (missing != fetch->missing) {
    fetch->missing = missing;
    fetch->sources.clear();
    for (const common::StorageNode& c : storage_nodes_) {
      if (c.node != settings_.node) fetch->sources.push_back(c.address);
    }
  }
  if (missing.empty() || fetch->sources.empty()) {
    store_.keep(fetch->turn, timers_.now());  // what has come lasts as long as the turn
    return fetch->then();
  }
  const std::string from = fetch->sources.back();
  fetch->sources.pop_back();
  link(from).call<common::FindTurnReply>(common::FindTurnRequest{map_, missing, ""}, chain_most,
                                         [this, fetch](auto got) { fetched(fetch, std::move(got)); });
}

void StoragePlane::fetched(const std::shared_ptr<ChainFetch>& fetch,
                           absl::StatusOr<common::FindTurnReply> got) {
  if (got.ok()) {
    for (const Turn& t : got->turns) store_.keep(t, timers_.now());
  }
  fetch_chain(fetch);
}

common::RpcClient& StoragePlane::link(const std::string& address) {
  auto& at = links_[address];
  if (!at) {
    const auto to = net::parse_address(address);
    at = std::make_unique<common::RpcClient>(scheduler_, timers_, to.value_or(sockaddr_in{}),
                                             std::hash<std::string>()(address + settings_.node));
  }
  return *at;
}

void StoragePlane::sweep() {
  store_.sweep(timers_.now());
  if (store_.dirty()) when_synced([] {});
  timers_.after(Span::ms(1000), [this] { sweep(); });
}

// Its disk may go with it, and it may hold one of the last copies: the others take over while it is there.
void StoragePlane::begin_shutdown() {
  if (leaving_) return;
  leaving_ = true;
  sessions_->report_draining();
  go_when_released(timers_.now() + settings_.grace - grace_spare);
}

bool StoragePlane::may_go() const {
  const bool listed = std::any_of(storage_nodes_.begin(), storage_nodes_.end(),
                                  [&](const common::StorageNode& c) { return c.node == settings_.node; });
  const auto others =
      std::count_if(storage_nodes_.begin(), storage_nodes_.end(),
                    [&](const common::StorageNode& c) { return !c.draining && c.node != settings_.node; });
  return !listed || static_cast<std::size_t>(others) < replica_group_size(settings_.machine_losses);
}

void StoragePlane::go_when_released(TimePoint latest) {
  if (!may_go() && timers_.now() < latest) {
    timers_.after(leave_again, [this, latest] { go_when_released(latest); });
    return;
  }
  sessions_->close();
  timers_.after(last_words, [this] { finished_ = true; });
}

}  // namespace chutevane::storage
