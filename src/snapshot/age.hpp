// When something was written down, and how old it is now, for as far as that can be known. Without I/O.
#pragma once

#include <string>

#include "chutevane/types.hpp"

namespace chutevane::snapshot {

// A moment by three readings at once: which start of the machine it was, how long that had been up, and what
// Unix time it believed. The first two are not moved by whoever sets a clock; the third is.
struct Stamp {
  std::string boot;  // a name of the machine's start; empty: not known
  Span up;           // since then, time asleep included
  TimePoint unix_time;
};

enum class Surety : std::uint8_t {
  unknown,  // worth nothing
  likely,   // the machine has started anew since: by Unix time, which contradicts nothing
  sure      // by the clock of one start of one machine
};

struct Age {
  Surety surety = Surety::unknown;
  Span span;  // meaningless where it is unknown
};

// Guards against steps of the clock, copies brought back and copies of another machine: what is written in
// the future, or before this start by less time than it has been up, has no age.
Age age(const Stamp& written, const Stamp& now);

}  // namespace chutevane::snapshot
