#include "http.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  return chutevane::fuzz::http_target(chutevane::http::Side::response, data, size);
}
