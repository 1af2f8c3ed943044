/// Chooses the controller that proposes the calls of all controllers. A single proposer avoids competing
/// ballots. No I/O.
///
/// The choice needs no agreement: every controller may propose at any time, and the register guarantees
/// correct results whoever does. Most controllers should only make the same choice most of the time. Each
/// controller chooses the first acceptor, by address, that can serve calls as far as it knows. An acceptor
/// that did not answer a forwarded call in time, or whose connection broke, is suspected for a while and not
/// chosen; each further failure lengthens that time.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "chutevane/types.hpp"
#include "common/messages.hpp"

namespace chutevane::control::coordination {

/// Chooses a proposer and keeps track of suspected ones.
class ProposerChoice {
 public:
  /// Returns the address of the acceptor that should propose, or `own_address` if no acceptor can.
  /// `can_serve` returns true if the controller with that address, which may be this one, can serve a call as
  /// far as is known here.
  std::string choose(const std::vector<common::Acceptor>& acceptors, const std::string& own_address,
                     const std::function<bool(const std::string& address)>& can_serve, TimePoint now) const;

  /// Records that the controller failed to answer, so that it is not chosen for a while.
  void suspect(const std::string& address, TimePoint now);
  /// Records that the controller has answered, which ends its suspicion.
  void clear(const std::string& address) { suspicions_.erase(address); }

 private:
  struct Suspicion {
    TimePoint until;
    Span duration;
  };
  std::map<std::string, Suspicion> suspicions_;  // by address
};

}  // namespace chutevane::control::coordination
