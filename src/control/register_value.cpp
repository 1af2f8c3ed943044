#include "control/register_value.hpp"

#include <algorithm>

namespace chutevane::control {

RegisterValue first_epoch_value(std::vector<Acceptor> acceptors) {
  RegisterValue value;
  value.epoch = 1;
  std::sort(acceptors.begin(), acceptors.end(),
            [](const Acceptor& a, const Acceptor& b) { return a.address < b.address; });
  value.acceptors = std::move(acceptors);
  return value;
}

RegisterValue next_epoch_value(const RegisterValue& sealed) {
  RegisterValue value = sealed;
  ++value.number;
  ++value.epoch;
  value.acceptors = sealed.next_acceptors;
  value.next_acceptors.clear();
  return value;
}

std::size_t quorum_size(const RegisterValue& epoch_value) { return epoch_value.acceptors.size() / 2 + 1; }

bool contains_address(const std::vector<Acceptor>& set, const std::string& address) {
  return std::any_of(set.begin(), set.end(),
                     [&](const Acceptor& acceptor) { return acceptor.address == address; });
}

}  // namespace chutevane::control
