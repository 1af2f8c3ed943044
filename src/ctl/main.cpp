/// chutevanectl: the command line client for operators of the serving tier.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "ctl/command_line.hpp"
#include "ctl/http_transport.hpp"
#include "ctl/run.hpp"

int main(int argc, char** argv) {
  using namespace chutevane::ctl;
  std::signal(SIGPIPE, SIG_IGN);  // a closed standard output shows in its stream
  const char* const control = std::getenv(control_variable);
  HttpTransport transport;
  SystemClock clock;
  Environment environment{std::cout,        std::cerr, transport, clock, control == nullptr ? "" : control,
                          CHUTEVANE_VERSION};
  return run({argv + 1, argv + argc}, environment);
}
