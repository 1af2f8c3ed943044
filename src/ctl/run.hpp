// One run of chutevanectl: its command, what it prints, its exit code.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "ctl/caller.hpp"

namespace chutevane::ctl {

// What scripts go by; the words for them are in --help and docs/operators/system.md.
enum Exit : int {
  good = 0,
  refused = 1,    // by the system; or findings, or a difference
  wrong_use = 2,  // command line, or a file that cannot be opened
  unclear = 3,    // nobody reached, or not known whether an order is in force
};

struct Surroundings {
  std::ostream& out;
  std::ostream& err;
  Transport& transport;
  Clock& clock;
  std::string control;  // what the variable names
  std::string version;
};

int run(const std::vector<std::string>& arguments, Surroundings& around);

}  // namespace chutevane::ctl
