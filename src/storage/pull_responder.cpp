/// Builds replies to PullRequests: the content of each kind of reply and its size limits.
#include "storage/pull_responder.hpp"

#include <algorithm>
#include <set>

#include "storage/placement.hpp"

namespace chutevane::storage {
namespace {

// Limits of one reply, so that other requests are served between the parts of a transfer.
constexpr std::size_t max_listed_bytes =
    std::size_t{256} * 1024;  // total size of the turns listed in one reply
constexpr std::size_t max_listed_turns = 2000;
constexpr std::size_t max_accounts = 500;

/// Fills in the data of one reply.
class ReplyBuilder {
 public:
  ReplyBuilder(const common::PullRequest& request, const PullSource& source)
      : request_(request), source_(source) {}

  void add_requested_turns(common::PullReply& reply) const {
    reply.last = false;  // not part of the list of ids, so it cannot be its last part
    for (const std::string& id : request_.wanted_ids) {
      if (const common::Turn* const turn = source_.store.find_turn(id)) reply.turns.push_back(*turn);
    }
  }

  void add_turn_ids(common::PullReply& reply) const {
    const auto is_assigned = [this](const std::string& program) { return is_assigned_to_requester(program); };
    const std::set<std::string> ancestors = source_.store.cross_program_ancestors(is_assigned);
    std::size_t bytes = 0;
    source_.store.for_each_turn(request_.after_id, [&](const common::Turn& turn) {
      if (!is_assigned(turn.program) && !ancestors.contains(turn.id)) return true;
      reply.ids.push_back(turn.id);
      bytes += turn.input.data.size() + turn.output.data.size();
      return reply.last = reply.ids.size() < max_listed_turns && bytes < max_listed_bytes;
    });
  }

  void add_accounts(common::PullReply& reply) const {
    source_.store.for_each_account(request_.after_id, [&](const common::Account& account) {
      if (is_assigned_to_requester(account.program)) reply.accounts.push_back(account);
      return reply.last = reply.accounts.size() < max_accounts;
    });
  }

 private:
  bool is_assigned_to_requester(const std::string& program) const {
    const std::vector<std::size_t> group =
        replica_group(program, source_.map.nodes, source_.tolerated_losses);
    return std::any_of(group.begin(), group.end(),
                       [this](std::size_t index) { return source_.map.nodes[index].node == request_.node; });
  }

  const common::PullRequest& request_;
  const PullSource& source_;
};

}  // namespace

common::PullReply make_pull_reply(const common::PullRequest& request, const PullSource& source) {
  common::PullReply reply;
  reply.map_version = source.map.version;
  reply.last = true;
  const ReplyBuilder builder(request, source);
  if (source.map.version != request.map_version) {
    reply.verdict = static_cast<std::int64_t>(source.map.check(request.map_version));
  } else if (!source.map.contains(source.node, source.disk)) {
    reply.verdict = static_cast<std::int64_t>(ReplicaStatus::not_ready);
  } else if (!request.wanted_ids.empty()) {
    builder.add_requested_turns(reply);
  } else if (request.turns) {
    builder.add_turn_ids(reply);
  } else {
    builder.add_accounts(reply);
  }
  return reply;
}

}  // namespace chutevane::storage
