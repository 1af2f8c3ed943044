/// Implements AncestorFetcher: asks the nodes of the storage map one after another.
#include "storage/ancestor_fetcher.hpp"

#include <algorithm>
#include <vector>

#include "storage/placement.hpp"

namespace chutevane::storage {
namespace {

constexpr Span reply_timeout = Span::ms(60);
/// Half of the time for which an edge waits for the reply to a store request.
constexpr Span fetch_time_limit = Span::ms(200);

}  // namespace

/// State of the fetch for one chain.
struct AncestorFetcher::Fetch {
  common::Turn turn;
  Done done;
  TimePoint deadline;
  std::string missing;               // id of the ancestor that is being requested
  std::deque<std::string> untried;   // addresses of the nodes not yet asked for it
  std::size_t answered_without = 0;  // nodes that replied without the ancestor
  std::size_t silent = 0;            // nodes that did not reply in time
};

void AncestorFetcher::complete_chain(const common::Turn& turn, Done done) {
  if (store_.first_missing_ancestor(turn.id).empty()) {
    ++outcomes_[static_cast<std::size_t>(ChainOutcome::complete)];
    return done(true);
  }
  auto fetch = std::make_shared<Fetch>();
  fetch->turn = turn;
  fetch->done = std::move(done);
  fetch->deadline = timers_.now() + fetch_time_limit;
  request_next(fetch);
}

void AncestorFetcher::request_next(const std::shared_ptr<Fetch>& fetch) {
  const std::string missing = store_.first_missing_ancestor(fetch->turn.id);
  if (missing != fetch->missing) {
    fetch->missing = missing;
    fetch->untried = peers_by_preference(fetch->turn.program);
    fetch->answered_without = fetch->silent = 0;
  }
  if (missing.empty()) {
    store_.store_turn(fetch->turn, timers_.now());  // extends the retention of the ancestors
    record_end(*fetch);
    return fetch->done(true);
  }
  if (fetch->untried.empty() || timers_.now() >= fetch->deadline) {
    record_end(*fetch);
    return fetch->done(false);
  }
  const std::string address = fetch->untried.front();
  fetch->untried.pop_front();
  const common::FindTurnRequest request{map_.version, missing, ""};
  peers_.client_for(address).call<common::FindTurnReply>(
      request, reply_timeout, [this, fetch](auto reply) { on_reply(fetch, reply); });
}

std::deque<std::string> AncestorFetcher::peers_by_preference(const std::string& program) const {
  const std::vector<std::size_t> group = replica_group(program, map_.nodes, tolerated_losses_);
  std::deque<std::string> peers;
  for (std::size_t i = 0; i < map_.nodes.size(); ++i) {
    const bool is_in_group = std::find(group.begin(), group.end(), i) != group.end();
    if (map_.nodes[i].node == own_node_) continue;
    if (is_in_group) {
      peers.push_front(map_.nodes[i].address);
    } else {
      peers.push_back(map_.nodes[i].address);
    }
  }
  return peers;
}

void AncestorFetcher::on_reply(const std::shared_ptr<Fetch>& fetch,
                               const absl::StatusOr<common::FindTurnReply>& reply) {
  if (!reply.ok()) {
    ++fetch->silent;
  } else if (reply->turns.empty()) {
    ++fetch->answered_without;
  } else {
    // If the store has no capacity, the turn stays missing, and asking the next node does not help either.
    for (const common::Turn& turn : reply->turns) store_.store_turn(turn, timers_.now());
  }
  request_next(fetch);
}

void AncestorFetcher::record_end(const Fetch& fetch) {
  const ChainOutcome outcome = fetch.missing.empty() ? ChainOutcome::fetched : ChainOutcome::incomplete;
  ++outcomes_[static_cast<std::size_t>(outcome)];
  const TimePoint now = timers_.now();
  if (outcome != ChainOutcome::incomplete || !incomplete_log_.admits(now)) return;
  const auto expired_at = store_.expired_at(fetch.missing);
  const std::string expired_ms_ago =
      expired_at ? std::to_string(static_cast<std::int64_t>((now - *expired_at).as_ms())) : "none";
  incomplete_log_.line("turn=" + fetch.turn.id + " missing=" + fetch.missing +
                       " answered_without=" + std::to_string(fetch.answered_without) +
                       " silent=" + std::to_string(fetch.silent) + " expired_here_ms_ago=" + expired_ms_ago);
}

void AncestorFetcher::write_metrics(common::MetricsWriter& out) const {
  out.begin(common::MetricsWriter::Type::counter, "chutevane_storage_chains", "",
            "Turns that were to be stored, by whether their chain was here.");
  for (std::size_t outcome = 0; outcome < chain_outcome_count; ++outcome) {
    out.sample(static_cast<double>(outcomes_[outcome]),
               {{"outcome", label_of(static_cast<ChainOutcome>(outcome))}});
  }
}

}  // namespace chutevane::storage
