// Whether a call that one pool has given up may go on to another, without I/O.
//
// The rules on repeats hold over pools as they do within one: a single-use call goes on only when nothing may
// have run, a referenced one only where the next pool remembers references together with this one, and one
// budget of dispatches counts over all of them.
#pragma once

#include <cstdint>

#include "chutevane/types.hpp"

namespace chutevane::pool {

enum class Effect : std::uint8_t { replayable, referenced, single_use };

struct Spent {
  int dispatches = 0;         // over all pools so far
  bool may_have_run = false;  // one of them, for all that is known
  TimePoint first_sent;       // of those that may have run
};

struct Onward {
  Effect effect = Effect::replayable;
  bool same_group = false;     // the next pool remembers references together with all that the call was in
  bool group_is_whole = true;  // its track's references are remembered by all of a group, not by zone or cell
  Span remembered;
  int most_dispatches = 1;
  TimePoint until;  // the caller waits no longer
};

enum class OnwardNo : std::uint8_t { none, no_time, no_dispatches, may_have_run, other_group, forgotten };

inline OnwardNo may_go_on(const Onward& o, const Spent& spent, TimePoint now) {
  if (o.until <= now) return OnwardNo::no_time;
  if (spent.dispatches >= o.most_dispatches) return OnwardNo::no_dispatches;
  if (!spent.may_have_run || o.effect == Effect::replayable) return OnwardNo::none;
  if (o.effect == Effect::single_use) return OnwardNo::may_have_run;
  if (!o.same_group || !o.group_is_whole) return OnwardNo::other_group;
  // The next pool counts its own window from its own first dispatch: what it may send last must still be
  // remembered.
  if (o.until > spent.first_sent + o.remembered) return OnwardNo::forgotten;
  return OnwardNo::none;
}

}  // namespace chutevane::pool
