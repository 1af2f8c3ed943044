#include "control/acceptor_membership.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace chutevane::control {
namespace {

constexpr std::int64_t first_epoch = 1;

}  // namespace

bool is_acceptor(const AcceptorIdentity& controller, const Acceptor& member, std::int64_t epoch) {
  if (controller.address != member.address) return false;
  if (!member.disk.empty()) return controller.disk == member.disk;
  return epoch == first_epoch && controller.has_initial_disk;
}

bool contains_acceptor(const RegisterValue& epoch_value, const AcceptorIdentity& controller) {
  return std::any_of(epoch_value.acceptors.begin(), epoch_value.acceptors.end(), [&](const Acceptor& member) {
    return is_acceptor(controller, member, epoch_value.epoch);
  });
}

std::optional<NamedAcceptorSet> NamedAcceptorSet::make(std::vector<Acceptor> members) {
  std::set<std::string> addresses;
  for (const Acceptor& member : members) {
    if (member.address.empty() || member.disk.empty()) return std::nullopt;
    if (!addresses.insert(member.address).second) return std::nullopt;
  }
  if (members.empty()) return std::nullopt;
  return NamedAcceptorSet(std::move(members));
}

RegisterValue sealed_with(RegisterValue value, const NamedAcceptorSet& next) {
  value.next_acceptors = next.members();
  return value;
}

}  // namespace chutevane::control
