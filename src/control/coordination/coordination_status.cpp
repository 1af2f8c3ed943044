/// Writes the status of the coordination service as JSON.
#include "control/coordination/coordination_status.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>

#include "json/value.hpp"

namespace chutevane::control::coordination {
namespace {

/// The JSON writer takes unsigned numbers only. Returns 0 for a negative number, which should not occur.
std::uint64_t unsigned_of(std::int64_t number) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(number, 0));
}

/// Returns the iterator after the first max_listed_names entries.
template <class Entry>
auto end_of_listed(const std::map<std::string, Entry>& entries) {
  return std::next(entries.begin(), static_cast<std::ptrdiff_t>(std::min(entries.size(), max_listed_names)));
}

void write_acceptors(json::Writer& out, const common::RegisterValue& epoch) {
  out.key("acceptors").open('[');
  for (const common::Acceptor& acceptor : epoch.acceptors)
    out.open('{').key("address").text(acceptor.address).key("disk").text(acceptor.disk).close('}');
  out.close(']');
}

void write_locks(json::Writer& out, const State& state) {
  out.key("lockCount").number(state.locks.size()).key("locks").open('[');
  for (auto entry = state.locks.begin(); entry != end_of_listed(state.locks); ++entry) {
    const auto& [name, lock] = *entry;
    out.open('{').key("name").text(name).key("holder").text(lock.holder);
    out.key("fence").number(unsigned_of(lock.fence));
    out.key("holdMs").number(unsigned_of(lock.hold_ms)).close('}');
  }
  out.close(']');
}

void write_groups(json::Writer& out, const State& state) {
  out.key("groupCount").number(state.groups.size()).key("groups").open('[');
  for (auto entry = state.groups.begin(); entry != end_of_listed(state.groups); ++entry) {
    const auto& [name, group] = *entry;
    out.open('{').key("name").text(name).key("revision").number(unsigned_of(group.revision));
    out.key("keys").number(group.keys.size()).key("history").number(group.history.size()).close('}');
  }
  out.close(']');
}

void write_numbers(json::Writer& out, const State& state) {
  out.key("numberCount").number(state.numbers.size()).key("numbers").open('[');
  for (auto entry = state.numbers.begin(); entry != end_of_listed(state.numbers); ++entry) {
    const auto& [name, number] = *entry;
    out.open('{').key("name").text(name).key("value").number(unsigned_of(number)).close('}');
  }
  out.close(']');
}

}  // namespace

bool is_status_target(std::string_view target) {
  return target.substr(0, target.find('?')) == "/v1/Coordination.Retrieve";
}

std::string coordination_status_json(const CoordinationStatus& status) {
  static const State no_state;
  const State& state = status.known_state != nullptr ? *status.known_state : no_state;
  json::Writer out;
  out.open('{').key("node").text(status.node);
  out.key("epoch").number(unsigned_of(status.epoch.epoch));
  out.key("number").number(unsigned_of(status.known_number));
  write_acceptors(out, status.epoch);
  out.key("proposer").text(status.proposer).key("available").truth(status.is_available);
  out.key("queue").number(status.queue_length).key("watchers").number(status.watcher_count);
  out.key("stateBytes").number(status.state_bytes);
  write_locks(out, state);
  write_groups(out, state);
  write_numbers(out, state);
  return out.close('}').result();
}

}  // namespace chutevane::control::coordination
