/// Implements ProposerChoice.
#include "control/coordination/proposer_choice.hpp"

#include <algorithm>

namespace chutevane::control::coordination {
namespace {

constexpr Span min_suspicion_time = Span::ms(2000);
constexpr Span max_suspicion_time = Span::ms(16000);

}  // namespace

std::string ProposerChoice::choose(const std::vector<common::Acceptor>& acceptors,
                                   const std::string& own_address,
                                   const std::function<bool(const std::string& address)>& can_serve,
                                   TimePoint now) const {
  std::vector<std::string> addresses;
  addresses.reserve(acceptors.size());
  for (const common::Acceptor& acceptor : acceptors) addresses.push_back(acceptor.address);
  std::sort(addresses.begin(), addresses.end());
  const auto chosen = std::find_if(addresses.begin(), addresses.end(), [&](const std::string& address) {
    const auto suspicion = suspicions_.find(address);
    const bool is_suspected = suspicion != suspicions_.end() && now < suspicion->second.until;
    return !is_suspected && can_serve(address);
  });
  return chosen == addresses.end() ? own_address : *chosen;
}

void ProposerChoice::suspect(const std::string& address, TimePoint now) {
  Suspicion& suspicion = suspicions_[address];
  if (now < suspicion.until) {  // several calls that were forwarded together fail one after another
    suspicion.until = std::max(suspicion.until, now + min_suspicion_time);
    return;
  }
  suspicion.duration = std::clamp(suspicion.duration * 2, min_suspicion_time, max_suspicion_time);
  suspicion.until = now + suspicion.duration;
}

}  // namespace chutevane::control::coordination
