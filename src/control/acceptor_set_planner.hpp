/// Plans the set of acceptors of the register. No I/O.
///
/// The leader of the role `roster` calls plan() with each tick and submits the result as a change of the
/// register. Two leaders at once do no harm: the register takes one change.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "chutevane/types.hpp"
#include "common/messages.hpp"
#include "control/absence_tracker.hpp"
#include "control/acceptor_membership.hpp"

namespace chutevane::control {

/// A controller that is in contact, as its gossip describes it.
struct LiveController {
  AcceptorIdentity identity;
  bool is_eligible = false;  // it may become an acceptor: it is not shutting down
};

/// An acceptor that was out of contact for longer is replaced. A lost machine stops counting `catchUpS` (4.1
/// s where known) after its successor began, and the next machine may fail then: the replacement must be done
/// by that time, even if a leader had to be elected first (within 1.3 s).
constexpr Span acceptor_absence_timeout = Span::ms(1500);

/// Plans from what it is given; it remembers only who was present when.
class AcceptorSetPlanner {
 public:
  /// `losses`: machines that may be lost at once. The set has replicas_for(losses) acceptors where there are
  /// as many controllers.
  explicit AcceptorSetPlanner(std::size_t losses) : losses_(losses) {}

  /// Starts to watch anew; to be called when this controller becomes the leader.
  void restart() { absence_.clear(); }

  /// The next set of acceptors, or nothing where the current one should stay. To be called regularly, as it
  /// notes who is present. A member is replaced
  /// - at once by the controller at its address, where that has another disk: the old disk is lost for good;
  ///   and where the set names no disk, though only the first may: that member has never voted;
  /// - at once by any free controller, where the member is shutting down;
  /// - after acceptor_absence_timeout by any free controller, where the member is out of contact.
  ///
  /// The next set names every member's disk. So a change waits, for up to acceptor_absence_timeout, for
  /// members of the first set whose disks are not known yet. Those still out of contact by then are left out.
  std::optional<NamedAcceptorSet> plan(const common::RegisterValue& current,
                                       const std::vector<LiveController>& live, TimePoint now);

 private:
  const std::size_t losses_;
  AbsenceTracker absence_;
};

}  // namespace chutevane::control
