// The platform's file: read whole or refused with the key that is wrong.
#include <cstdlib>

#include "config/config.hpp"
#include "net/socket.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace chutevane;
  try {
    const config::Config c = config::read({reinterpret_cast<const char*>(data), size},
                                          [](const char*) -> const char* { return nullptr; });
    if (!net::parse_address(c.listen) || c.max_descriptors == 0) std::abort();
  } catch (const ConfigError& e) {
    if (e.key.empty()) std::abort();
  }
  return 0;
}
