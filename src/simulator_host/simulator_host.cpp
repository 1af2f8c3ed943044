#include "simulator_host/simulator_host.hpp"

#include <algorithm>

#include "config/setting_names.hpp"
#include "simulator_protocol/settings_text.hpp"

namespace chutevane::simulator_host {

using simulator_protocol::Event;
using simulator_protocol::EventCode;

std::span<const std::uint8_t> SimulatorHost::handle_frame(std::span<const std::uint8_t> bytes) {
  const simulator_protocol::EventFrame frame(bytes);
  const TimePoint now = frame.header().now;
  reply_.clear();
  for (std::uint32_t i = 0; i < frame.header().event_count; ++i) {
    Event event = frame.event(i);
    if (event.code == EventCode::snapshot_rows) {
      lists_[event.list_number] = std::move(event.entries);
    } else {
      handle_event(event, now);
    }
  }
  update_timers(now);
  return reply_.finish();
}

// An earlier timer replaces the current one. A later timer is set only once the current one has expired.
void SimulatorHost::update_timers(TimePoint now) {
  for (const std::uint16_t number : touched_) {
    Instance& instance = instances_[number];
    instance.is_touched = false;
    if (!instance.balancer) continue;
    const TimePoint next = instance.balancer->next_wake();
    if (next < instance.timer_due) {
      reply_.add_timer(number, std::max(next - now, Span()), ++instance.timer_token);
      instance.timer_due = next;
    }
  }
  touched_.clear();
}

SimulatorHost::Instance& SimulatorHost::instance(std::uint16_t number) {
  if (number >= instances_.size()) instances_.resize(number + 1U);
  return instances_[number];
}

void SimulatorHost::launch(const Event& event, TimePoint now) {
  Instance& launched = instance(event.instance);
  launched.balancer.reset();
  launched.timer_due = TimePoint::never();
  const Settings settings = simulator_protocol::parse_settings(event.settings);
  const auto fields = settings.find("report.fields");
  launched.report_fields = fields == settings.end() ? "" : fields->second;
  try {
    launched.balancer.emplace(settings, event.seed, now);
  } catch (const SettingError& e) {
    const std::string wire_name = config::platform_name(e.key);
    reply_.add_error(event.instance, std::string(e.what()) + " (on the wire: " + wire_name + ")");
  }
}

void SimulatorHost::handle_event(Event& event, TimePoint now) {
  if (event.code == EventCode::launch) launch(event, now);
  Instance& target = instance(event.instance);
  if (!target.is_touched) {
    target.is_touched = true;
    touched_.push_back(event.instance);
  }
  if (!target.balancer) return;
  Balancer& balancer = *target.balancer;
  const auto reply = [&](Answers answers) {
    for (const Answer& answer : answers) reply_.add_answer(event.instance, answer);
  };
  switch (event.code) {
    case EventCode::targets: {
      const auto& list = lists_[event.list_number % lists_.size()];
      reply(balancer.on_endpoint_list(event.list_kind, list, now));
      break;
    }
    case EventCode::order: reply_.add_answer(event.instance, balancer.on_call(event.call, now)); break;
    case EventCode::closed_attempt:
      event.end.load = simulator_protocol::parse_load_report(event, target.report_fields);
      reply(balancer.on_dispatch_end(event.end, now));
      break;
    case EventCode::vanished: reply(balancer.on_client_disconnect(event.end.call, now)); break;
    case EventCode::wake:
      if (event.token == target.timer_token) target.timer_due = TimePoint::never();
      reply(balancer.on_timer(now));
      break;
    case EventCode::stop: target.balancer.reset(); break;
    case EventCode::peer_data: balancer.on_published_load(event.end.endpoint, event.token, now); break;
    case EventCode::launch:
    case EventCode::health:   // no probes are sent
    case EventCode::started:  // no deployment streams responses
    case EventCode::snapshot_rows: break;
  }
}

}  // namespace chutevane::simulator_host
