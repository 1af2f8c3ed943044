#include "control/value_notification.hpp"

namespace chutevane::control {

common::Chosen make_chosen_notification(common::RecentValues& recent, const Register& reg,
                                        const PeerPosition& receiver) {
  common::Chosen out;
  out.epoch = reg.epoch_value().epoch;
  if (receiver.epoch != out.epoch) out.initial = reg.epoch_value();
  out.ballot = reg.known_ballot();
  const bool is_newest_recent = recent.number() == reg.known_value()->number;
  const common::ValueDifference* const difference =
      is_newest_recent && receiver.number > 0 ? recent.difference_from(receiver.number) : nullptr;
  if (difference != nullptr) {
    out.difference = *difference;
  } else {
    out.value = *reg.known_value();
  }
  return out;
}

bool apply_chosen_notification(Register& reg, const common::RecentValues& recent,
                               const common::Chosen& notification) {
  // A notification without its epoch's initial value is for receivers that are in that epoch.
  const bool names_epoch = notification.initial.epoch != 0;
  if (!names_epoch && notification.epoch != reg.epoch_value().epoch) return false;
  const absl::StatusOr<RegisterValue> value =
      common::received_value(notification.value, notification.difference, recent);
  if (!value.ok()) return false;
  reg.observe_chosen(*value, notification.initial);
  if (notification.ballot.round > 0) reg.observe_accepted(notification.epoch, notification.ballot, *value);
  return true;
}

}  // namespace chutevane::control
