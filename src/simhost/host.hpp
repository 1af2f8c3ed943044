// Hosts the instances of one process: one balancer for each sidecar, nothing shared between them.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chutevane/balancer.hpp"
#include "tundra/codec.hpp"

namespace chutevane::simhost {

class Host {
 public:
  // Answers one frame. Throws tundra::FrameError on what is malformed; the reply is then void.
  std::span<const std::uint8_t> answer(std::span<const std::uint8_t> frame);

 private:
  struct Instance {
    std::optional<Balancer> balancer;
    std::string report_fields;
    TimePoint timer_due = TimePoint::never();
    std::uint32_t token = 0;
    bool touched = false;
  };
  Instance& instance(std::uint16_t who);
  void launch(const tundra::Event& event, TimePoint now);
  void deliver(tundra::Event& event, TimePoint now);

  std::vector<Instance> instances_;
  std::vector<std::uint16_t> touched_;
  std::array<std::vector<ListedEndpoint>, 16> lists_;
  tundra::Reply reply_;
};

}  // namespace chutevane::simhost
