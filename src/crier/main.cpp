// chutevane-crier: the operators' client of the serving tier.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "crier/orders.hpp"
#include "crier/run.hpp"
#include "crier/wire.hpp"

int main(int argc, char** argv) {
  using namespace chutevane::crier;
  std::signal(SIGPIPE, SIG_IGN);  // a closed standard output is told by its stream
  const char* const control = std::getenv(control_variable);
  Wire wire;
  MachineClock clock;
  Surroundings around{std::cout,        std::cerr, wire, clock, control == nullptr ? "" : control,
                      CHUTEVANE_VERSION};
  return run({argv + 1, argv + argc}, around);
}
