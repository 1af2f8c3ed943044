// chutevanectl: the operators' client of the serving tier.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "ctl/orders.hpp"
#include "ctl/run.hpp"
#include "ctl/wire.hpp"

int main(int argc, char** argv) {
  using namespace chutevane::ctl;
  std::signal(SIGPIPE, SIG_IGN);  // a closed standard output is told by its stream
  const char* const control = std::getenv(control_variable);
  Wire wire;
  MachineClock clock;
  Surroundings around{std::cout,        std::cerr, wire, clock, control == nullptr ? "" : control,
                      CHUTEVANE_VERSION};
  return run({argv + 1, argv + argc}, around);
}
