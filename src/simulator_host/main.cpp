/// chutevane_simhost: runs balancers under the simulator. Reads frames from standard input and writes one
/// reply for each to standard output. The exit status is 0 at the end of the input, 1 if a reply cannot be
/// written, and 2, with a line on standard error, if the input is malformed.
#include <algorithm>
#include <cstdio>
#include <vector>

#include "simulator_host/simulator_host.hpp"

namespace chutevane {
namespace {

using simulator_protocol::FrameError;
using simulator_protocol::header_size;

// A wrong length in a header must not make the process allocate gigabytes that the input does not contain.
constexpr std::size_t max_read_size = 1U << 20U;

// Reads one frame. Returns false if the input has ended between two frames. Throws FrameError.
bool read_frame(std::vector<std::uint8_t>& frame) {
  frame.resize(header_size);
  std::size_t size = std::fread(frame.data(), 1, header_size, stdin);
  if (size == 0) return false;
  const std::size_t length = simulator_protocol::parse_header({frame.data(), size}).length;
  while (size < length) {
    frame.resize(std::min(length, size + max_read_size));
    const std::size_t count = std::fread(frame.data() + size, 1, frame.size() - size, stdin);
    if (count == 0) throw FrameError("input ends inside a frame", size);
    size += count;
  }
  return true;
}

int run() {
  simulator_host::SimulatorHost host;
  std::vector<std::uint8_t> frame;
  std::size_t frame_start = 0;  // offset in the input
  try {
    while (read_frame(frame)) {
      const auto reply = host.handle_frame(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
        return 1;
      frame_start += frame.size();
    }
  } catch (const FrameError& e) {
    std::fprintf(stderr, "chutevane_simhost: %s at byte %zu of the input\n", e.what(), frame_start + e.byte);
    return 2;
  }
  return 0;
}

}  // namespace
}  // namespace chutevane

int main() { return chutevane::run(); }
