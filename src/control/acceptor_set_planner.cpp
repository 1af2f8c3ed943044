#include "control/acceptor_set_planner.hpp"

#include <algorithm>
#include <utility>

#include "control/replica_count.hpp"

namespace chutevane::control {
namespace {

using common::Acceptor;

/// An acceptor set under construction: the current set with the changes made so far.
class DraftSet {
 public:
  struct Slot {
    Acceptor acceptor;
    bool is_new = false;  // not a member of the current set
  };

  DraftSet(const common::RegisterValue& current, const std::vector<LiveController>& live)
      : epoch_(current.epoch), live_(live) {
    for (const Acceptor& member : current.acceptors) slots_.push_back({member});
    std::copy_if(live.begin(), live.end(), std::back_inserter(free_), [&](const LiveController& controller) {
      return controller.is_eligible && !controller.identity.disk.empty() &&
             !contains_acceptor(current, controller.identity);
    });
  }

  std::vector<Slot>& slots() { return slots_; }
  std::size_t size() const { return slots_.size(); }
  bool has_new_members() const {
    return std::any_of(slots_.begin(), slots_.end(), [](const Slot& slot) { return slot.is_new; });
  }

  /// Returns the live controller that is the member of this slot, or nullptr if it is out of contact.
  const LiveController* live_member(const Slot& slot) const {
    const auto found = std::find_if(live_.begin(), live_.end(), [&](const LiveController& controller) {
      return is_acceptor(controller.identity, slot.acceptor, epoch_);
    });
    return found == live_.end() ? nullptr : &*found;
  }

  /// Assigns the slot to the free controller at the same address, if there is one.
  void replace_by_own_address(Slot& slot) {
    const auto same_address = std::find_if(free_.begin(), free_.end(), [&](const LiveController& controller) {
      return controller.identity.address == slot.acceptor.address;
    });
    if (same_address != free_.end()) assign(slot, same_address);
  }
  /// Assigns the slot to any free controller, if there is one.
  void replace_by_any(Slot& slot) {
    const auto candidate = find_candidate();
    if (candidate != free_.end()) assign(slot, candidate);
  }
  /// Adds a free controller as a new member. Returns false if no controller is free.
  bool add_member() {
    const auto candidate = find_candidate();
    if (candidate == free_.end()) return false;
    slots_.emplace_back();
    assign(slots_.back(), candidate);
    return true;
  }
  void drop_last_member() { slots_.pop_back(); }
  /// Fills in the disks of members in contact, which the first set names by address alone.
  void name_disks() {
    for (Slot& slot : slots_) {
      const LiveController* const controller = live_member(slot);
      if (controller != nullptr) slot.acceptor.disk = controller->identity.disk;
    }
  }
  /// Removes members whose disks are not known.
  void drop_unnamed() {
    std::erase_if(slots_, [](const Slot& slot) { return slot.acceptor.disk.empty(); });
  }
  std::vector<Acceptor> members() const {
    std::vector<Acceptor> out;
    for (const Slot& slot : slots_) out.push_back(slot.acceptor);
    return out;
  }

 private:
  using Candidate = std::vector<LiveController>::iterator;

  /// Returns a free controller whose address is not in the set, as one address must not count as two members.
  Candidate find_candidate() {
    return std::find_if(free_.begin(), free_.end(), [&](const LiveController& controller) {
      return std::none_of(slots_.begin(), slots_.end(), [&](const Slot& slot) {
        return slot.acceptor.address == controller.identity.address;
      });
    });
  }
  void assign(Slot& slot, Candidate candidate) {
    slot = {{candidate->identity.address, candidate->identity.disk}, true};
    free_.erase(candidate);
  }

  const std::int64_t epoch_;  // of the current set
  std::vector<Slot> slots_;
  const std::vector<LiveController>& live_;
  std::vector<LiveController> free_;  // eligible and not in the set, in the order of `live_`
};

}  // namespace

std::optional<NamedAcceptorSet> AcceptorSetPlanner::plan(const common::RegisterValue& current,
                                                         const std::vector<LiveController>& live,
                                                         TimePoint now) {
  const std::size_t target_size = replicas_for(losses_);
  DraftSet draft(current, live);
  for (DraftSet::Slot& slot : draft.slots()) {
    if (draft.live_member(slot) == nullptr) draft.replace_by_own_address(slot);
  }
  bool is_awaiting_disk = false;
  for (DraftSet::Slot& slot : draft.slots()) {
    const LiveController* const member = slot.is_new ? nullptr : draft.live_member(slot);
    const bool is_present = slot.is_new || member != nullptr;
    const bool is_lost = absence_.update("acceptor " + slot.acceptor.address + " " + slot.acceptor.disk,
                                         is_present, acceptor_absence_timeout, now);
    // A controller that shuts down may lose its disk with its machine, so it is replaced before it exits.
    const bool is_shutting_down = member != nullptr && !member->is_eligible;
    if (is_shutting_down || (is_lost && !is_present)) draft.replace_by_any(slot);
    is_awaiting_disk = is_awaiting_disk || (slot.acceptor.disk.empty() && !is_present && !is_lost);
  }
  while (draft.size() < target_size && draft.add_member()) {
  }
  if (!draft.has_new_members() || is_awaiting_disk) return std::nullopt;
  draft.name_disks();
  draft.drop_unnamed();
  // An even number of members tolerates no more losses than one member fewer.
  if (draft.size() > 1 && draft.size() % 2 == 0 && draft.size() < target_size) draft.drop_last_member();
  if (!draft.has_new_members()) return std::nullopt;
  return NamedAcceptorSet::make(draft.members());
}

}  // namespace chutevane::control
