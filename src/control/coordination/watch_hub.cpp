/// Implements WatchHub.
#include "control/coordination/watch_hub.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "json/value.hpp"

namespace chutevane::control::coordination {
namespace {

constexpr std::size_t max_events = 1000;  // per response; a watcher gets the rest with its next request

const KeyGroup& group_in(const State& state, const std::string& name) {
  static const KeyGroup no_group;
  const auto found = state.groups.find(name);
  return found == state.groups.end() ? no_group : found->second;
}

common::HttpResponse no_events_response(std::int64_t revision) {
  json::Writer out;
  out.open('{').key("events").open('[').close(']');
  out.key("revision").number(static_cast<std::uint64_t>(revision)).close('}');
  return {200, out.result(), {}};
}

}  // namespace

std::optional<common::HttpResponse> watch_response(const KeyGroup& group, std::int64_t after) {
  if (group.revision <= after) return std::nullopt;
  const bool is_complete = !group.history.empty() && group.history.front().revision <= after + 1;
  if (!is_complete) return common::HttpResponse{410, R"({"cause":"the history begins later"})", {}};
  const auto first = std::find_if(group.history.begin(), group.history.end(),
                                  [&](const PutEvent& event) { return event.revision > after; });
  json::Writer out;
  out.open('{').key("events").open('[');
  std::size_t count = 0;
  std::int64_t revision = after;
  for (auto event = first; event != group.history.end() && count < max_events; ++event, ++count) {
    out.open('{').key("name").text(event->key).key("value").text(event->value);
    out.key("revision").number(static_cast<std::uint64_t>(event->revision)).close('}');
    revision = event->revision;
  }
  out.close(']').key("revision").number(static_cast<std::uint64_t>(revision)).close('}');
  return common::HttpResponse{200, out.result(), {}};
}

void WatchHub::add(const WatchRequest& request, const State& state, common::HttpServer::Reply reply) {
  const KeyGroup& group = group_in(state, request.group);
  if (std::optional<common::HttpResponse> response = watch_response(group, request.after))
    return reply(*std::move(response));
  if (watchers_.size() >= max_watchers)
    return reply({503, R"({"cause":"too many watchers here"})", {{"Retry-After", "0.5"}}});
  const std::uint64_t id = ++last_id_;
  Watcher& watcher = watchers_[id];
  watcher.request = request;
  known_revisions_[request.group] = group.revision;
  watcher.reply = std::move(reply);
  watcher.timeout = timers_.after(request.wait, [this, id] { on_timeout(id); });
}

void WatchHub::on_timeout(std::uint64_t id) {
  auto node = watchers_.extract(id);
  if (node.empty()) return;
  const WatchRequest& request = node.mapped().request;
  const std::int64_t revision = std::max(request.after, known_revisions_[request.group]);
  erase_unwatched_groups();
  node.mapped().reply(no_events_response(revision));
}

void WatchHub::erase_unwatched_groups() {
  std::set<std::string> watched;
  for (const auto& [id, watcher] : watchers_) watched.insert(watcher.request.group);
  std::erase_if(known_revisions_, [&](const auto& entry) { return !watched.contains(entry.first); });
}

void WatchHub::on_state(const State& state) {
  // Watchers of the same group at the same revision share one response.
  std::map<std::pair<std::string, std::int64_t>, std::optional<common::HttpResponse>> responses;
  std::vector<std::pair<std::uint64_t, const common::HttpResponse*>> due;
  for (auto& [group, revision] : known_revisions_) revision = group_in(state, group).revision;
  for (const auto& [id, watcher] : watchers_) {
    const WatchRequest& request = watcher.request;
    if (known_revisions_[request.group] <= request.after) continue;
    const auto [entry, is_new] = responses.try_emplace({request.group, request.after});
    if (is_new) entry->second = watch_response(group_in(state, request.group), request.after);
    if (entry->second) due.emplace_back(id, &*entry->second);
  }
  for (const auto& [id, response] : due) {
    auto node = watchers_.extract(id);
    if (node.empty()) continue;
    timers_.cancel(node.mapped().timeout);
    node.mapped().reply(*response);
  }
}

void WatchHub::release_all(const common::HttpResponse& response) {
  std::map<std::uint64_t, Watcher> released;
  released.swap(watchers_);
  for (auto& [id, watcher] : released) {
    timers_.cancel(watcher.timeout);
    watcher.reply(response);
  }
}

}  // namespace chutevane::control::coordination
