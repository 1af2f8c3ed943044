// The word by which a control machine tells another of a chosen value: as the difference from what that one
// has, where it is known. No I/O. A word that cannot be applied is dropped: its receiver hears by gossip that
// it is behind, and reads the register.
#pragma once

#include "common/value_update.hpp"
#include "control/register.hpp"

namespace chutevane::control {

// What is known of the receiver, by gossip or from what it was sent.
struct PeerState {
  std::int64_t epoch = 0;
  std::int64_t number = 0;  // of its newest value; 0: none is known
};

// Of the newest value that `reg` knows; `recent` holds it too.
common::Chosen chosen_word(common::RecentValues& recent, const Register& reg, const PeerState& peer);

// `recent`: the receiver's. Whether the word could be used.
bool take_chosen(Register& reg, const common::RecentValues& recent, const common::Chosen& word);

}  // namespace chutevane::control
