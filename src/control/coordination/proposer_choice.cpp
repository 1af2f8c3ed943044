#include "control/coordination/proposer_choice.hpp"

#include <algorithm>

namespace chutevane::control::coordination {
namespace {

constexpr Span suspicion_time = Span::ms(2000);

}  // namespace

std::string ProposerChoice::choose(const std::vector<common::Acceptor>& acceptors,
                                   const std::string& own_address,
                                   const std::function<bool(const std::string& address)>& is_able,
                                   TimePoint now) const {
  std::vector<std::string> addresses;
  addresses.reserve(acceptors.size());
  for (const common::Acceptor& acceptor : acceptors) addresses.push_back(acceptor.address);
  std::sort(addresses.begin(), addresses.end());
  const auto chosen = std::find_if(addresses.begin(), addresses.end(), [&](const std::string& address) {
    const auto suspected = suspected_until_.find(address);
    const bool is_suspected = suspected != suspected_until_.end() && now < suspected->second;
    return !is_suspected && is_able(address);
  });
  return chosen == addresses.end() ? own_address : *chosen;
}

void ProposerChoice::suspect(const std::string& address, TimePoint now) {
  suspected_until_[address] = now + suspicion_time;
}

}  // namespace chutevane::control::coordination
