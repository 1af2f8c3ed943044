/// Plans the set of acceptors of the register. No I/O.
///
/// The leader of the role `roster` calls plan() with each tick and submits the result as a change of the
/// register. Two leaders at the same time do no harm, as the register chooses only one of their changes.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "chutevane/types.hpp"
#include "common/messages.hpp"
#include "control/absence_tracker.hpp"
#include "control/acceptor_membership.hpp"

namespace chutevane::control {

/// A controller in contact, as described by its gossip.
struct LiveController {
  AcceptorIdentity identity;
  bool is_eligible = false;  // it may become an acceptor: it is not shutting down
};

/// An acceptor that is out of contact for longer is replaced. A lost machine counts as lost until `catchUpS`
/// (4.1 s where known) after its successor started; the next machine may fail then. The replacement must be
/// complete by that time, even if a leader has to be elected first (within 1.3 s).
constexpr Span acceptor_absence_timeout = Span::ms(1500);

/// Plans the next set from the arguments of plan(). Its only state is when each acceptor was last present.
class AcceptorSetPlanner {
 public:
  /// `losses`: number of machines that may be lost at the same time. The set has replicas_for(losses)
  /// acceptors if there are that many controllers.
  explicit AcceptorSetPlanner(std::size_t losses) : losses_(losses) {}

  /// Discards recorded absences. Must be called when this controller becomes the leader.
  void restart() { absence_.clear(); }

  /// Returns the next set of acceptors, or std::nullopt if the current one should stay. Must be called
  /// regularly, as it records who is present. A member is replaced
  /// - at once by the controller at its address if that has another disk, since the old disk is lost for
  /// good;
  ///   also if a set after the first names no disk for the member, since that member has never voted;
  /// - at once by any free controller if the member is shutting down;
  /// - after acceptor_absence_timeout by any free controller if the member is out of contact.
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
