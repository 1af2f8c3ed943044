/// Runs the balancers of one simulator process, one for each simulated sidecar (instance). They share nothing
/// except the simulator's endpoint lists.
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
  /// Handles the events of one frame in order. Returns the action frame, which stays valid until the next
  /// call. Throws simulator_protocol::FrameError if the frame is malformed, in which case no reply is sent.
  std::span<const std::uint8_t> handle_frame(std::span<const std::uint8_t> frame);

 private:
  struct Instance {
    std::optional<Balancer> balancer;  // empty if not launched, failed to launch, or stopped
    std::string report_fields;         // names of the values in its load reports, separated by commas
    TimePoint timer_due = TimePoint::never();
    std::uint32_t timer_token = 0;  // token of the newest timer; earlier ones are superseded
    bool is_touched = false;        // the current frame has an event for this instance
  };
  Instance& instance(std::uint16_t number);
  void launch(const simulator_protocol::Event& event, TimePoint now);
  void handle_event(simulator_protocol::Event& event, TimePoint now);
  void update_timers(TimePoint now);

  std::vector<Instance> instances_;
  std::vector<std::uint16_t> touched_;  // instances in the order of their first event in the frame
  std::array<std::vector<ListedEndpoint>, simulator_protocol::list_count> lists_;
  simulator_protocol::ActionFrame reply_;
};

}  // namespace chutevane::simulator_host
