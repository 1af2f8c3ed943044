// Discovery's list: entries that are taken can be used; anything else is a ListError.
#include <cstdlib>

#include "discovery/endpoint_list.hpp"
#include "net/socket.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace chutevane;
  try {
    const discovery::EndpointList list =
        discovery::parse_endpoint_list({reinterpret_cast<const char*>(data), size});
    for (const discovery::EndpointEntry& e : list.entries) {
      if (e.id.empty()) std::abort();
      if (!e.address.empty() && !net::parse_address(e.address)) std::abort();
      if (!(e.size >= 0.0)) std::abort();
    }
  } catch (const discovery::EndpointListError&) {
  }
  return 0;
}
