/// Runs the balancers of one simulator process: one for each simulated sidecar, nothing shared between them
/// but the endpoint lists, which are the simulator's.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "chutevane/balancer.hpp"
#include "simulator_protocol/action_frame.hpp"
#include "simulator_protocol/event_frame.hpp"

namespace chutevane::simulator_host {

class SimulatorHost {
 public:
  /// Handles the events of one frame in their order; returns the action frame, which holds until the next
  /// call. Throws simulator_protocol::FrameError where the frame is malformed; no reply is to be sent then.
  std::span<const std::uint8_t> handle_frame(std::span<const std::uint8_t> frame);

 private:
  struct Instance {
    std::optional<Balancer> balancer;  // none: not launched, failed to launch, or stopped
    std::string report_fields;         // what the figures of its load reports mean
    TimePoint timer_due = TimePoint::never();
    std::uint32_t timer_token = 0;  // of the newest timer; others have been superseded
    bool is_touched = false;        // an event of this frame was its own
  };
  Instance& instance(std::uint16_t number);
  void launch(const simulator_protocol::Event& event, TimePoint now);
  void handle_event(simulator_protocol::Event& event, TimePoint now);
  void update_timers(TimePoint now);

  std::vector<Instance> instances_;
  std::vector<std::uint16_t> touched_;  // in the order of their first event
  std::array<std::vector<ListedEndpoint>, simulator_protocol::list_count> lists_;
  simulator_protocol::ActionFrame reply_;
};

}  // namespace chutevane::simulator_host
