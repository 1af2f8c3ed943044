/// Implements AncestorFetcher: asks the nodes of the storage map one after another.
#include "storage/ancestor_fetcher.hpp"

#include <vector>

namespace chutevane::storage {
namespace {

constexpr Span reply_timeout = Span::ms(60);

}  // namespace

/// State of the fetch for one chain.
struct AncestorFetcher::Fetch {
  common::Turn turn;
  std::function<void()> done;
  std::string missing;               // id of the ancestor that is being requested
  std::vector<std::string> untried;  // addresses of the nodes not yet asked for it
};

void AncestorFetcher::complete_chain(const common::Turn& turn, std::function<void()> done) {
  if (store_.first_missing_ancestor(turn.id).empty()) return done();
  auto fetch = std::make_shared<Fetch>();
  fetch->turn = turn;
  fetch->done = std::move(done);
  request_next(fetch);
}

void AncestorFetcher::request_next(const std::shared_ptr<Fetch>& fetch) {
  const std::string missing = store_.first_missing_ancestor(fetch->turn.id);
  if (missing != fetch->missing) {
    fetch->missing = missing;
    fetch->untried.clear();
    for (const common::StorageNode& node : map_.nodes) {
      if (node.node != own_node_) fetch->untried.push_back(node.address);
    }
  }
  if (missing.empty() || fetch->untried.empty()) {
    store_.store_turn(fetch->turn, timers_.now());  // extends the retention of the ancestors
    return fetch->done();
  }
  const std::string address = fetch->untried.back();
  fetch->untried.pop_back();
  const common::FindTurnRequest request{map_.version, missing, ""};
  peers_.client_for(address).call<common::FindTurnReply>(
      request, reply_timeout, [this, fetch](auto reply) { on_reply(fetch, reply); });
}

void AncestorFetcher::on_reply(const std::shared_ptr<Fetch>& fetch,
                               const absl::StatusOr<common::FindTurnReply>& reply) {
  if (reply.ok()) {
    // If the store has no capacity, the turn stays missing, and asking the next node does not help either.
    for (const common::Turn& turn : reply->turns) store_.store_turn(turn, timers_.now());
  }
  request_next(fetch);
}

}  // namespace chutevane::storage
