#include "simhost/host.hpp"

#include <algorithm>

#include "config/setting_names.hpp"

namespace chutevane::simhost {

using tundra::EventCode;

std::span<const std::uint8_t> Host::answer(std::span<const std::uint8_t> frame) {
  const tundra::Batch batch(frame);
  const TimePoint now = batch.head().now;
  reply_.clear();
  for (std::uint32_t i = 0; i < batch.head().count; ++i) {
    tundra::Event event = batch.event(i);
    if (event.code == EventCode::snapshot_rows) {
      lists_[event.list] = std::move(event.entries);
    } else {
      deliver(event, now);
    }
  }
  for (const std::uint16_t who : touched_) {
    Instance& in = instances_[who];
    in.touched = false;
    if (!in.balancer) continue;
    const TimePoint next = in.balancer->next_wake();
    if (next < in.timer_due) {
      reply_.timer(who, std::max(next - now, Span()), ++in.token);
      in.timer_due = next;
    }
  }
  touched_.clear();
  return reply_.finish();
}

Host::Instance& Host::instance(std::uint16_t who) {
  if (who >= instances_.size()) instances_.resize(who + 1U);
  return instances_[who];
}

void Host::launch(const tundra::Event& event, TimePoint now) {
  Instance& in = instance(event.who);
  in.balancer.reset();
  in.timer_due = TimePoint::never();
  const Settings settings = tundra::read_settings(event.text);
  const auto fields = settings.find("report.fields");
  in.report_fields = fields == settings.end() ? "" : fields->second;
  try {
    in.balancer.emplace(settings, event.seed, now);
  } catch (const SettingError& e) {
    reply_.fault(event.who, std::string(e.what()) + " (on the wire: " + config::platform_name(e.key) + ")");
  }
}

void Host::deliver(tundra::Event& event, TimePoint now) {
  if (event.code == EventCode::launch) launch(event, now);
  Instance& in = instance(event.who);
  if (!in.touched) {
    in.touched = true;
    touched_.push_back(event.who);
  }
  if (!in.balancer) return;
  const auto send = [&](Answers answers) {
    for (const Answer& a : answers) reply_.answer(event.who, a);
  };
  switch (event.code) {
    case EventCode::targets: send(in.balancer->listed(event.list_kind, lists_[event.list & 15U], now)); break;
    case EventCode::order: reply_.answer(event.who, in.balancer->arrived(event.call, now)); break;
    case EventCode::closed_attempt:
      event.end.load = tundra::read_load(event, in.report_fields);
      send(in.balancer->ended(event.end, now));
      break;
    case EventCode::vanished: send(in.balancer->client_left(event.end.call, now)); break;
    case EventCode::wake:
      if (event.token == in.token) in.timer_due = TimePoint::never();
      send(in.balancer->woken(now));
      break;
    case EventCode::stop: in.balancer.reset(); break;
    case EventCode::peer_data: in.balancer->told(event.end.endpoint, event.token, now); break;
    case EventCode::launch:
    case EventCode::health:   // nothing is probed
    case EventCode::started:  // streamed answers are the client's; no deployment has them
    case EventCode::snapshot_rows: break;
  }
}

}  // namespace chutevane::simhost
