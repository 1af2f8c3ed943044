/// One run of chutevanectl: from the command line to the exit code.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "ctl/control_client.hpp"

namespace chutevane::ctl {

/// What scripts rely on; --help and docs/operators/system.md describe them.
enum class ExitCode : int {
  success = 0,
  rejected = 1,       ///< by the system; or there are findings, or a difference
  bad_usage = 2,      ///< of the command line; or a file cannot be opened or written
  indeterminate = 3,  ///< nobody was reached, or a change may be in force or not
};

/// What a run needs of its process. All of it must outlive the run.
struct Environment {
  std::ostream& out;
  std::ostream& err;
  Transport& transport;
  Clock& clock;
  std::string control;  ///< value of control_variable; empty: it is not set
  std::string version;  ///< of the program
};

/// `arguments`: without the program's name. Returns the exit code.
int run(const std::vector<std::string>& arguments, Environment& environment);

}  // namespace chutevane::ctl
