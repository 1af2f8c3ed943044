#include "control/chosen_word.hpp"

namespace chutevane::control {

common::Chosen chosen_word(common::RecentValues& recent, const Register& reg, const PeerState& peer) {
  common::Chosen out;
  out.epoch = reg.initial().epoch;
  if (peer.epoch != out.epoch) out.initial = reg.initial();
  out.ballot = reg.known_ballot();
  const bool held = recent.number() == reg.known()->number;
  const common::ValueDifference* const change =
      held && peer.number > 0 ? recent.difference_from(peer.number) : nullptr;
  if (change != nullptr) {
    out.difference = *change;
  } else {
    out.value = *reg.known();
  }
  return out;
}

bool take_chosen(Register& reg, const common::RecentValues& recent, const common::Chosen& word) {
  // Without the first value of its epoch the word is for those who are in that epoch.
  if (word.initial.epoch == 0 && word.epoch != reg.initial().epoch) return false;
  const absl::StatusOr<RegisterValue> value = common::received_value(word.value, word.difference, recent);
  if (!value.ok()) return false;
  reg.learn_chosen(*value, word.initial);
  if (word.ballot.round > 0) reg.learn_accepted(word.epoch, word.ballot, *value);
  return true;
}

}  // namespace chutevane::control
