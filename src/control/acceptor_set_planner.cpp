#include "control/acceptor_set_planner.hpp"

#include <algorithm>

#include "control/replica_count.hpp"

namespace chutevane::control {
namespace {

using common::Acceptor;

/// Whether the acceptor is this controller on this disk. The first set names its members by address alone.
bool is_same(const Acceptor& acceptor, const LiveController& controller) {
  if (acceptor.address != controller.address) return false;
  return acceptor.disk == controller.disk || (acceptor.disk.empty() && controller.has_initial_disk);
}

/// A set under construction: the current one, and the changes made to it so far.
class DraftSet {
 public:
  DraftSet(const std::vector<Acceptor>& current, const std::vector<LiveController>& live)
      : members_(current), live_(live) {
    std::copy_if(live.begin(), live.end(), std::back_inserter(free_), [&](const LiveController& controller) {
      return controller.is_eligible && !is_member(controller);
    });
  }

  std::vector<Acceptor>& members() { return members_; }
  bool has_changed() const { return has_changed_; }

  bool is_live(const Acceptor& acceptor) const {
    return std::any_of(live_.begin(), live_.end(),
                       [&](const LiveController& controller) { return is_same(acceptor, controller); });
  }
  bool is_shutting_down(const Acceptor& acceptor) const {
    return std::any_of(live_.begin(), live_.end(), [&](const LiveController& controller) {
      return is_same(acceptor, controller) && !controller.is_eligible;
    });
  }

  /// Hands the slot to the free controller at the same address, if there is one.
  void replace_by_own_address(Acceptor& slot) {
    const auto same_address = std::find_if(free_.begin(), free_.end(), [&](const LiveController& controller) {
      return controller.address == slot.address;
    });
    if (same_address != free_.end()) assign(slot, same_address);
  }
  /// Hands the slot to a free controller, if there is one.
  void replace_by_any(Acceptor& slot) {
    const auto candidate = find_candidate();
    if (candidate != free_.end()) assign(slot, candidate);
  }
  /// False: no controller is free.
  bool add_member() {
    const auto candidate = find_candidate();
    if (candidate == free_.end()) return false;
    members_.emplace_back();
    assign(members_.back(), candidate);
    return true;
  }
  void drop_last_member(const std::vector<Acceptor>& current) {
    members_.pop_back();
    if (members_ == current) has_changed_ = false;
  }
  /// Names the disks of members that the first set knows by their addresses alone.
  void name_disks() {
    for (Acceptor& member : members_) {
      for (const LiveController& controller : live_) {
        if (member.disk.empty() && is_same(member, controller)) member.disk = controller.disk;
      }
    }
  }

 private:
  using Candidate = std::vector<LiveController>::iterator;

  bool is_member(const LiveController& controller) const {
    return std::any_of(members_.begin(), members_.end(),
                       [&](const Acceptor& member) { return is_same(member, controller); });
  }
  /// A free controller whose address is not in the set: one address must not count as two members.
  Candidate find_candidate() {
    return std::find_if(free_.begin(), free_.end(), [&](const LiveController& controller) {
      return std::none_of(members_.begin(), members_.end(),
                          [&](const Acceptor& member) { return member.address == controller.address; });
    });
  }
  void assign(Acceptor& slot, Candidate candidate) {
    slot = {candidate->address, candidate->disk};
    free_.erase(candidate);
    has_changed_ = true;
  }

  std::vector<Acceptor> members_;
  const std::vector<LiveController>& live_;
  std::vector<LiveController> free_;  // eligible and not in the set, in the order of `live_`
  bool has_changed_ = false;
};

}  // namespace

std::optional<std::vector<Acceptor>> AcceptorSetPlanner::plan(const common::RegisterValue& current,
                                                              const std::vector<LiveController>& live,
                                                              TimePoint now) {
  const std::size_t target_size = replicas_for(losses_);
  DraftSet draft(current.acceptors, live);
  for (Acceptor& member : draft.members()) {
    if (!draft.is_live(member)) draft.replace_by_own_address(member);
  }
  for (Acceptor& member : draft.members()) {
    const bool is_live = draft.is_live(member);
    const bool is_lost = absence_.update("acceptor " + member.address + " " + member.disk, is_live,
                                         acceptor_absence_timeout, now);
    // One that shuts down may take its disk with it: it is replaced before it goes, not after.
    if (draft.is_shutting_down(member) || (is_lost && !is_live)) draft.replace_by_any(member);
  }
  while (draft.members().size() < target_size && draft.add_member()) {
  }
  // An even number of members bears no more losses than one fewer.
  const std::size_t size = draft.members().size();
  if (draft.has_changed() && size > 1 && size % 2 == 0 && size < target_size)
    draft.drop_last_member(current.acceptors);
  if (!draft.has_changed()) return std::nullopt;
  draft.name_disks();
  return draft.members();
}

}  // namespace chutevane::control
