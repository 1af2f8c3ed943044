#include "tier_simulation/session_observers.hpp"

#include <algorithm>

namespace chutevane::tier_simulation {
namespace {

constexpr Span heartbeat_interval = Span::ms(300);
constexpr Span max_silence = Span::ms(1000);      // then the connection is assumed to be lost
constexpr Span fresh_age_limit = Span::ms(1000);  // edges rely on a heartbeat that claims to be fresher
constexpr Span network_slack = Span::ms(600);     // for delays, late turns and retransmissions

}  // namespace

void SessionObservers::ping_all() {
  for (const Machine* control : deployment_.machines_of(Role::control)) {
    if (!sessions_.contains(control->name())) open(*control);
    Session& session = sessions_[control->name()];
    if (session.connection->up() && session.connection->time_since_receive() > max_silence)
      session.connection->reconnect();
    send_heartbeat(control->name());
  }
  http_client_.timers().after(heartbeat_interval, [this] { ping_all(); });
}

void SessionObservers::open(const Machine& control) {
  Session& session = sessions_[control.name()];
  const std::string& name = control.name();
  session.connection = std::make_unique<common::RpcClient>(
      http_client_.scheduler(), http_client_.timers(),
      control.settings().internal_address(common::control_plane_port), std::hash<std::string>()(name));
  session.connection->on_up([this, name] {
    Session& at = sessions_[name];
    at.values = {};
    at.version = at.promised_version = 0;
    send_heartbeat(name);
  });
  session.connection->on_message(
      [this, name](std::uint8_t kind, std::string_view record) { on_message(name, kind, record); });
}

void SessionObservers::send_heartbeat(const std::string& name) {
  Session& session = sessions_[name];
  common::MemberHeartbeat heartbeat;
  heartbeat.member.node = "observer";
  heartbeat.member.plane = "observer";
  heartbeat.member.number = session.values.number();
  heartbeat.primary = true;
  session.connection->send(heartbeat);
}

void SessionObservers::on_message(const std::string& name, std::uint8_t kind, std::string_view record) {
  Session& session = sessions_[name];
  if (kind == common::ControlHeartbeat::kind) {
    common::ControlHeartbeat got;
    if (common::decode(record, got)) check_heartbeat(name, got);
  } else if (kind == common::ValuePush::kind) {
    common::ValuePush push;
    if (!common::decode(record, push)) return;
    const std::int64_t before = session.values.number(), number = push.number;
    // On a single session each difference comes after the value that it applies to.
    if (number < before || session.values.receive(push) == common::ValueReceiver::Result::rejected)
      checker_.report_violation("pushed-back", name + " pushes what can't follow: number " +
                                                   std::to_string(number) + " after " +
                                                   std::to_string(before));
    if (!session.values.value()) return;
    const common::RegisterValue& value = *session.values.value();
    if (value.config_version < session.version)
      checker_.report_violation("pushed-back", name + " pushes version " +
                                                   std::to_string(value.config_version) + " after " +
                                                   std::to_string(session.version));
    session.version = value.config_version;
    checker_.record_in_force(session.version, value.config.data, "a push of " + name);
  }
}

// What a heartbeat promises is checked at the next one, since the push that belongs to it comes after it.
void SessionObservers::check_heartbeat(const std::string& name, const common::ControlHeartbeat& heartbeat) {
  Session& session = sessions_[name];
  if (session.version < session.promised_version)
    checker_.report_violation("stale-but-fresh", name + " claims to be fresh and has version " +
                                                     std::to_string(session.version) + ", acknowledged was " +
                                                     std::to_string(session.promised_version));
  session.promised_version = 0;
  const Span age = Span::ms(static_cast<double>(heartbeat.knowledge_age_ms));
  const Machine* const control = deployment_.find(name);
  if (age >= fresh_age_limit || control == nullptr || deployment_.has_slow_link(*control)) return;
  session.promised_version = checker_.acknowledged_before(http_client_.timers().now() - age - network_slack);
}

}  // namespace chutevane::tier_simulation
