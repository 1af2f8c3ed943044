// chutevane_simhost: frames in on standard input, one reply each on standard output.
#include <algorithm>
#include <cstdio>
#include <vector>

#include "simhost/host.hpp"

int main() {
  using namespace chutevane;
  constexpr std::size_t chunk = 1U << 20U;
  simhost::Host host;
  std::vector<std::uint8_t> frame(tundra::header_size);
  std::size_t frame_start = 0;  // in the whole input
  try {
    while (true) {
      frame.resize(tundra::header_size);
      std::size_t have = std::fread(frame.data(), 1, tundra::header_size, stdin);
      if (have == 0) return 0;
      const std::size_t length = tundra::read_head({frame.data(), have}).length;
      // In pieces: a wrong length must not make us ask for gigabytes before the input has shown them.
      while (have < length) {
        frame.resize(std::min(length, have + chunk));
        const std::size_t got = std::fread(frame.data() + have, 1, frame.size() - have, stdin);
        if (got == 0) throw tundra::FrameError("input ends inside a frame", have);
        have += got;
      }
      const auto reply = host.answer({frame.data(), length});
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
        return 1;
      frame_start += length;
    }
  } catch (const tundra::FrameError& e) {
    std::fprintf(stderr, "chutevane_simhost: %s at byte %zu of the input\n", e.what(), frame_start + e.byte);
    return 2;
  }
}
